//! Reads slopes and a fleet size, and writes the capacity page.

use super::page::render;
use super::size::FleetSize;
use crate::slopes::model::SlopeSet;
use serde::de::DeserializeOwned;
use std::path::{Path, PathBuf};

/// An error that prevents the page from being written.
#[derive(Debug, thiserror::Error)]
pub enum CapacityError {
    #[error("{path}: {source}")]
    Io { path: PathBuf, source: std::io::Error },
    #[error("{path}: {source}")]
    Json { path: PathBuf, source: serde_json::Error },
}

/// Returns the page for a file of slopes and a file of a fleet size.
pub fn page_of(slopes: &Path, size: &Path) -> Result<String, CapacityError> {
    let slopes: SlopeSet = read(slopes)?;
    let size: FleetSize = read(size)?;
    Ok(render(&slopes, &size))
}

/// Writes the page for a file of slopes and a file of a fleet size to `out`.
pub fn write_page(slopes: &Path, size: &Path, out: &Path) -> Result<(), CapacityError> {
    let page = page_of(slopes, size)?;
    std::fs::write(out, page).map_err(|source| CapacityError::Io { path: out.into(), source })
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<T, CapacityError> {
    let text =
        std::fs::read_to_string(path).map_err(|source| CapacityError::Io { path: path.into(), source })?;
    serde_json::from_str(&text).map_err(|source| CapacityError::Json { path: path.into(), source })
}
