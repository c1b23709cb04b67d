//! The two versions of a rollout, and their fingerprints.

/// The old or the new one of the two programs, or of the two settings files, of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Version {
    /// The version that nodes run before the rollout.
    Old,
    /// The version that nodes run after a completed rollout.
    New,
}

/// The fingerprints that identify the version a node runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionFingerprints {
    /// The fingerprint of the old program or settings file.
    pub old: u64,
    /// The fingerprint of the new program or settings file.
    pub new: u64,
}

impl VersionFingerprints {
    /// Returns the version that has this fingerprint, or `None` if neither has.
    pub fn version_of(&self, fingerprint: u64) -> Option<Version> {
        match fingerprint {
            _ if fingerprint == self.new => Some(Version::New),
            _ if fingerprint == self.old => Some(Version::Old),
            _ => None,
        }
    }

    /// Returns the fingerprint of a version.
    pub fn of(&self, version: Version) -> u64 {
        match version {
            Version::Old => self.old,
            Version::New => self.new,
        }
    }
}
