//! The state in force at a node, persisted in a file for the next start. The file contains a snapshot and each later
//! update, every record with its length and checksum. Reading stops at a record that is torn or damaged: the updates
//! before it form an older state, from which the node continues by differences, and the records after it are ignored.
//! Once the updates are larger than the snapshot, a new file is written under a temporary name and renamed.

use crate::records::StoredUpdate;
use ochrewalk_distribution::messages::{Position, Resource, ResourceName};
use ochrewalk_distribution::CompleteUpdate;
use prost::Message;
use std::fs::File;
use std::io::{self, Seek, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The first bytes of a file: the file type, and the version of the format.
const MAGIC: &[u8; 8] = b"OCHRCFG1";
/// The size of a record header: the length and the CRC-32 of the record, four bytes each, most significant byte first.
const RECORD_HEADER_BYTES: usize = 8;
/// The size up to which updates are appended even if they are larger than the snapshot before them.
const MIN_REWRITE_BYTES: u64 = 64 * 1024;

/// The reason why a file is not used.
#[derive(Debug, thiserror::Error)]
pub enum StateFileError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Io {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file is not a state file, or has another version.
    #[error("{0}: no state of this version")]
    UnknownFormat(PathBuf),
    /// The file belongs to another node.
    #[error("{path}: the state file belongs to node {node}")]
    OtherNode {
        /// The path of the file.
        path: PathBuf,
        /// The name of that node.
        node: String,
    },
}

/// A record of a state file.
#[derive(Clone, Debug, PartialEq)]
pub enum PersistedStep {
    /// An update that was applied.
    Update(CompleteUpdate),
    /// The names that were no longer watched from this record on.
    Forgotten(Vec<ResourceName>),
}

/// The content of a state file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistedState {
    /// All records, oldest first; the first record is a snapshot.
    pub steps: Vec<PersistedStep>,
    /// The time at which the last record was written, in milliseconds of Unix time.
    pub unix_ms: u64,
    /// The number of bytes at the end of the file that do not form a complete record.
    pub damaged_bytes: u64,
}

/// The state file of a running node.
#[derive(Debug)]
pub struct StateFile {
    path: PathBuf,
    node: String,
    file: Option<File>,
    snapshot_bytes: u64,
    appended_bytes: u64,
}

impl StateFile {
    /// Reads the file at `path`, if it exists. Nothing is written before the first snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, has another version, or belongs to another node.
    pub fn open(path: &Path, node: &str) -> Result<(StateFile, PersistedState), StateFileError> {
        let state = match std::fs::read(path) {
            Ok(bytes) => decode_state(path, node, &bytes)?,
            Err(err) if err.kind() == io::ErrorKind::NotFound => PersistedState::default(),
            Err(source) => return Err(StateFileError::Io { path: path.into(), source }),
        };
        Ok((StateFile::new(path, node), state))
    }

    /// Creates a state file whose previous content, if any, is replaced with the first snapshot.
    pub fn new(path: &Path, node: &str) -> StateFile {
        let (path, node) = (path.to_path_buf(), node.to_string());
        StateFile { path, node, file: None, snapshot_bytes: 0, appended_bytes: 0 }
    }

    /// Whether a snapshot has to be written next, because none was written yet or the updates are larger than the last
    /// one.
    pub fn needs_snapshot(&self) -> bool {
        self.file.is_none() || self.appended_bytes > self.snapshot_bytes.max(MIN_REWRITE_BYTES)
    }

    /// Writes the complete state in force, and replaces the existing file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written; the previous file still exists.
    pub fn write_snapshot<'a>(
        &mut self,
        position: Position,
        resources: impl Iterator<Item = &'a Resource>,
        absent: Vec<ResourceName>,
        unix_ms: u64,
    ) -> io::Result<()> {
        let resources = resources.cloned().collect();
        let stored = StoredUpdate {
            position,
            is_snapshot: true,
            resources,
            absent,
            node: self.node.clone(),
            unix_ms,
            forgotten: Vec::new(),
        };
        let mut temporary = self.path.as_os_str().to_owned();
        temporary.push(".new");
        let temporary = PathBuf::from(temporary);
        let mut file = File::create(&temporary)?;
        file.write_all(MAGIC)?;
        self.snapshot_bytes = write_record(&mut file, &stored)?;
        file.sync_data()?;
        std::fs::rename(&temporary, &self.path)?;
        self.file = Some(file);
        self.appended_bytes = 0;
        Ok(())
    }

    /// Appends an update that was applied. Does nothing before the first snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the record cannot be written. The caller writes a snapshot next.
    pub fn append(&mut self, update: &CompleteUpdate, unix_ms: u64) -> io::Result<()> {
        self.append_record(&StoredUpdate {
            position: update.position,
            is_snapshot: update.is_snapshot,
            resources: update.resources.iter().map(|resource| (**resource).clone()).collect(),
            absent: update.absent.clone(),
            node: self.node.clone(),
            unix_ms,
            forgotten: Vec::new(),
        })
    }

    /// Appends a record of names that are no longer watched. Does nothing before the first snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the record cannot be written. The caller writes a snapshot next.
    pub fn append_forgotten(
        &mut self,
        position: Position,
        forgotten: Vec<ResourceName>,
        unix_ms: u64,
    ) -> io::Result<()> {
        let node = self.node.clone();
        self.append_record(&StoredUpdate { position, node, unix_ms, forgotten, ..StoredUpdate::default() })
    }

    fn append_record(&mut self, stored: &StoredUpdate) -> io::Result<()> {
        let Some(file) = &mut self.file else { return Ok(()) };
        let end = file.stream_position()?;
        let written = write_record(file, stored).and_then(|bytes| file.sync_data().map(|()| bytes));
        match written {
            Ok(bytes) => {
                self.appended_bytes += bytes;
                Ok(())
            }
            Err(err) => {
                // A half-written record would hide all records after it, so that a snapshot has to be written next.
                let _ = file.set_len(end);
                self.file = None;
                Err(err)
            }
        }
    }
}

fn write_record(file: &mut File, stored: &StoredUpdate) -> io::Result<u64> {
    let encoded = stored.encode_to_vec();
    let length = u32::try_from(encoded.len()).map_err(|_| io::Error::from(io::ErrorKind::FileTooLarge))?;
    let mut record = Vec::with_capacity(RECORD_HEADER_BYTES + encoded.len());
    record.extend_from_slice(&length.to_be_bytes());
    record.extend_from_slice(&crc32fast::hash(&encoded).to_be_bytes());
    record.extend_from_slice(&encoded);
    file.write_all(&record)?;
    Ok(record.len() as u64)
}

fn decode_state(path: &Path, node: &str, bytes: &[u8]) -> Result<PersistedState, StateFileError> {
    let Some(mut rest) = bytes.strip_prefix(MAGIC) else {
        return Err(StateFileError::UnknownFormat(path.into()));
    };
    let mut state = PersistedState::default();
    while let Some((stored, after)) = next_record(rest) {
        if stored.node != node {
            return Err(StateFileError::OtherNode { path: path.into(), node: stored.node });
        }
        state.unix_ms = stored.unix_ms;
        state.steps.push(PersistedStep::from(stored));
        rest = after;
    }
    state.damaged_bytes = rest.len() as u64;
    Ok(state)
}

impl From<StoredUpdate> for PersistedStep {
    fn from(stored: StoredUpdate) -> PersistedStep {
        if !stored.forgotten.is_empty() {
            return PersistedStep::Forgotten(stored.forgotten);
        }
        PersistedStep::Update(CompleteUpdate {
            position: stored.position,
            is_snapshot: stored.is_snapshot,
            resources: stored.resources.into_iter().map(Arc::new).collect(),
            absent: stored.absent,
            horizon: 0,
        })
    }
}

fn next_record(bytes: &[u8]) -> Option<(StoredUpdate, &[u8])> {
    let (header, rest) = bytes.split_at_checked(RECORD_HEADER_BYTES)?;
    let (length, checksum) = header.split_at(4);
    let length = u32::from_be_bytes(length.try_into().ok()?) as usize;
    let (encoded, rest) = rest.split_at_checked(length)?;
    if crc32fast::hash(encoded).to_be_bytes() != checksum {
        return None;
    }
    Some((StoredUpdate::decode(encoded).ok()?, rest))
}
