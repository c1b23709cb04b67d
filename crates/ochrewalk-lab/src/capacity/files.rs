//! Reads slopes and a size, and writes the page made of them.

use super::page::render;
use super::size::FleetSize;
use crate::slopes::model::SlopeSet;
use serde::de::DeserializeOwned;
use std::path::{Path, PathBuf};

/// Why no page was written.
#[derive(Debug, thiserror::Error)]
pub enum CapacityError {
    #[error("{path}: {source}")]
    Io { path: PathBuf, source: std::io::Error },
    #[error("{path}: {source}")]
    Json { path: PathBuf, source: serde_json::Error },
}

/// The page of these two files.
pub fn page_of(slopes: &Path, size: &Path) -> Result<String, CapacityError> {
    let slopes: SlopeSet = read(slopes)?;
    let size: FleetSize = read(size)?;
    Ok(render(&slopes, &size))
}

/// Writes the page of two files to a third.
pub fn write_page(slopes: &Path, size: &Path, out: &Path) -> Result<(), CapacityError> {
    let page = page_of(slopes, size)?;
    std::fs::write(out, page).map_err(|source| CapacityError::Io { path: out.into(), source })
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<T, CapacityError> {
    let text =
        std::fs::read_to_string(path).map_err(|source| CapacityError::Io { path: path.into(), source })?;
    serde_json::from_str(&text).map_err(|source| CapacityError::Json { path: path.into(), source })
}
