//! What a node has in force, kept in a file for its next start: written whole beside the old one and renamed, with a
//! checksum. One that is damaged is refused, so that the node begins from nothing rather than from something wrong.

use crate::records::StoredSnapshot;
use prost::Message;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// What a file begins with: its kind, and the version of its form.
const MAGIC: &[u8; 8] = b"OCHRCFG1";
/// Behind the magic word stands the CRC-32 of the rest.
const HEADER_BYTES: usize = MAGIC.len() + 4;

/// Why a snapshot is not taken up.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    #[error("{path}: {source}")]
    Io { path: PathBuf, source: io::Error },
    #[error("{0}: no snapshot of this version")]
    OtherForm(PathBuf),
    #[error("{0}: the checksum is wrong")]
    Damaged(PathBuf),
    #[error("{path}: the snapshot of node {node}")]
    OtherNode { path: PathBuf, node: String },
}

/// Writes the snapshot in place of what stands there.
pub fn write(path: &Path, snapshot: &StoredSnapshot) -> io::Result<()> {
    let encoded = snapshot.encode_to_vec();
    let mut beside = path.as_os_str().to_owned();
    beside.push(".new");
    let beside = PathBuf::from(beside);
    let mut file = std::fs::File::create(&beside)?;
    file.write_all(MAGIC)?;
    file.write_all(&crc32fast::hash(&encoded).to_be_bytes())?;
    file.write_all(&encoded)?;
    file.sync_data()?;
    std::fs::rename(&beside, path)
}

/// Reads the snapshot of `node`; none where there is no file.
pub fn read(path: &Path, node: &str) -> Result<Option<StoredSnapshot>, SnapshotError> {
    let bytes = match std::fs::read(path) {
        Ok(bytes) => bytes,
        Err(err) if err.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(source) => return Err(SnapshotError::Io { path: path.into(), source }),
    };
    if bytes.len() < HEADER_BYTES || !bytes.starts_with(MAGIC) {
        return Err(SnapshotError::OtherForm(path.into()));
    }
    let (header, encoded) = bytes.split_at(HEADER_BYTES);
    if header[MAGIC.len()..] != crc32fast::hash(encoded).to_be_bytes() {
        return Err(SnapshotError::Damaged(path.into()));
    }
    let snapshot = StoredSnapshot::decode(encoded).map_err(|_| SnapshotError::Damaged(path.into()))?;
    if snapshot.node != node {
        return Err(SnapshotError::OtherNode { path: path.into(), node: snapshot.node });
    }
    Ok(Some(snapshot))
}
