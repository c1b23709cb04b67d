//! The record on disk: a small file that is replaced as a whole, and a second file that is locked while a controller runs.

use super::error::RolloutError;
use super::plan::lock_path;
use ochrewalk_operator_config::RolloutPlan;
use ochrewalk_rollout::RolloutRecord;
use rustix::fs::{flock, FlockOperation};
use std::fs::File;
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};

/// The record of a plan, locked until this value is dropped.
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

    /// Loads the record. Returns none where the rollout has not begun.
    ///
    /// # Errors
    /// The file cannot be read, or is not a valid record.
    pub fn load(&self) -> Result<Option<RolloutRecord>, RolloutError> {
        match std::fs::read(&self.path) {
            Ok(bytes) => RolloutRecord::decode(&bytes)
                .map(Some)
                .map_err(|source| RolloutError::Record { path: self.path.clone(), source }),
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
            Err(source) => Err(RolloutError::File { path: self.path.clone(), source }),
        }
    }

    /// Replaces the record. The new record is on disk when this returns; a crash leaves either the previous or the new record
    /// complete.
    ///
    /// # Errors
    /// The file, or its folder, cannot be written.
    pub fn save(&self, record: &RolloutRecord) -> Result<(), RolloutError> {
        self.replace(&record.encode())
            .map_err(|source| RolloutError::File { path: self.path.clone(), source })
    }

    fn replace(&self, bytes: &[u8]) -> std::io::Result<()> {
        let temporary = self.path.with_extension("fresh");
        let mut file = File::create(&temporary)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        std::fs::rename(&temporary, &self.path)?;
        let folder = self.path.parent().unwrap_or(Path::new("/"));
        File::open(folder)?.sync_all()
    }
}
