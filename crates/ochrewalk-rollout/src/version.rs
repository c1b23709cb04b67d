//! Which of a rollout's two versions a node runs.

/// Which of the two programs, or of the two files of settings, that a rollout is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Version {
    /// What nodes run before the rollout.
    Old,
    /// What nodes are to run after it.
    New,
}

/// The fingerprints by which a node's version is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionFingerprints {
    /// The fingerprint of the old program or file of settings.
    pub old: u64,
    /// The fingerprint of the new one.
    pub new: u64,
}

impl VersionFingerprints {
    /// The version that has this fingerprint; none where it is neither of the two.
    pub fn version_of(&self, fingerprint: u64) -> Option<Version> {
        match fingerprint {
            _ if fingerprint == self.new => Some(Version::New),
            _ if fingerprint == self.old => Some(Version::Old),
            _ => None,
        }
    }

    /// The fingerprint of that version.
    pub fn of(&self, version: Version) -> u64 {
        match version {
            Version::Old => self.old,
            Version::New => self.new,
        }
    }
}
