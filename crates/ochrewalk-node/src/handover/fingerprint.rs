//! Fingerprints of files, by which a rollout recognises the program and the settings that a node runs.

use std::io::Read;
use std::path::{Path, PathBuf};

/// The number of bytes that are read at once.
const CHUNK_BYTES: usize = 1 << 20;

/// The reason why a file may not be run or used.
#[derive(Debug, thiserror::Error)]
pub enum ContentError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the read.
        source: std::io::Error,
    },
    /// The content of the file has changed since its fingerprint was taken.
    #[error("{} is another file by now", path.display())]
    Changed {
        /// The file.
        path: PathBuf,
    },
}

/// Computes the fingerprint of a file: the length in bytes in the upper half, the CRC-32 of the content in the lower one.
///
/// # Errors
/// The file cannot be read.
pub fn fingerprint_of_file(file: &Path) -> std::io::Result<u64> {
    let mut file = std::fs::File::open(file)?;
    let (mut crc, mut length, mut chunk) = (crc32fast::Hasher::new(), 0u64, vec![0; CHUNK_BYTES]);
    loop {
        match file.read(&mut chunk)? {
            0 => return Ok(length << 32 | u64::from(crc.finalize())),
            count => {
                crc.update(&chunk[..count]);
                length += count as u64;
            }
        }
    }
}

/// Verifies that a file still has this fingerprint.
///
/// # Errors
/// The file cannot be read, or has another fingerprint.
pub fn verify_content(path: &Path, fingerprint: u64) -> Result<(), ContentError> {
    match fingerprint_of_file(path) {
        Err(source) => Err(ContentError::Unreadable { path: path.into(), source }),
        Ok(found) if found != fingerprint => Err(ContentError::Changed { path: path.into() }),
        Ok(_) => Ok(()),
    }
}
