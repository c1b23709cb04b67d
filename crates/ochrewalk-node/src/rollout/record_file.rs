//! The record on disk: one small file, replaced as a whole, and one beside it that is locked while a controller runs.

use super::error::RolloutError;
use super::plan::lock_path;
use ochrewalk_operator_config::RolloutPlan;
use ochrewalk_rollout::RolloutRecord;
use rustix::fs::{flock, FlockOperation};
use std::fs::File;
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};

/// The record of a plan, locked for as long as this lives.
#[derive(Debug)]
pub struct RecordFile {
    path: PathBuf,
    _lock: File,
}

impl RecordFile {
    /// Takes the lock of the plan's record.
    ///
    /// # Errors
    /// Another controller holds the lock, or its file cannot be created.
    pub fn lock(plan: &RolloutPlan) -> Result<RecordFile, RolloutError> {
        let path = lock_path(plan);
        let lock = File::create(&path).map_err(|source| RolloutError::File { path: path.clone(), source })?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive)
            .map_err(|source| RolloutError::AnotherController { lock: path, source })?;
        Ok(RecordFile { path: plan.record.clone(), _lock: lock })
    }

    /// The record; none where the rollout has not begun.
    ///
    /// # Errors
    /// The file cannot be read, or is no record.
    pub fn load(&self) -> Result<Option<RolloutRecord>, RolloutError> {
        match std::fs::read(&self.path) {
            Ok(bytes) => RolloutRecord::decode(&bytes)
                .map(Some)
                .map_err(|source| RolloutError::Record { path: self.path.clone(), source }),
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
            Err(source) => Err(RolloutError::File { path: self.path.clone(), source }),
        }
    }

    /// Replaces the record. It is on disk when this returns; a crash leaves the former one or this one, complete.
    ///
    /// # Errors
    /// The file, or its folder, cannot be written.
    pub fn save(&self, record: &RolloutRecord) -> Result<(), RolloutError> {
        self.replace(&record.encode())
            .map_err(|source| RolloutError::File { path: self.path.clone(), source })
    }

    fn replace(&self, bytes: &[u8]) -> std::io::Result<()> {
        let fresh = self.path.with_extension("fresh");
        let mut file = File::create(&fresh)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        std::fs::rename(&fresh, &self.path)?;
        let folder = self.path.parent().unwrap_or(Path::new("/"));
        File::open(folder)?.sync_all()
    }
}
