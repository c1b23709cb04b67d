//! The file of a node: its name, addresses, limits and deployment settings.

use super::fields::{FieldError, Parts};
use super::Deployment;
use crate::json::{self, Object};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The name of the file's outermost object in errors.
pub(super) const MESSAGE: &str = "config";
const MIN_MEMORY_MB: u64 = 16;
const MIN_DESCRIPTORS: usize = 64;

/// The reason why a node's file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum NodeFileError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A key is missing or out of range.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The error, which names the key.
        source: FieldError,
    },
}

/// The contents of a node's file: its identity, addresses, limits and deployment settings.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The node's name in the directory.
    pub name: String,
    /// The address that the node listens on for clients.
    pub listen: SocketAddr,
    /// The address of the executor.
    pub executor: SocketAddr,
    /// The address of the directory.
    pub directory: SocketAddr,
    /// The address that upstream calls go to; absent in the last tier, whose servers make no calls.
    pub upstream: Option<SocketAddr>,
    /// The seed of the random number generator, different at each start.
    pub seed: u64,
    /// The time from SIGTERM to the end of the process, in milliseconds.
    pub stop_ms: u64,
    /// The memory limit of the process, in MB.
    pub memory_mb: u64,
    /// The limit on file descriptors of the process.
    pub descriptors: usize,
    /// The settings of the deployment.
    pub deployment: Deployment,
}

impl Placement {
    /// Reads the text of a node's file.
    ///
    /// ```
    /// let error = ochrewalk::deployment::Placement::read(br#"{"name":"n1","limits":[]}"#).unwrap_err();
    /// assert_eq!(error.to_string(), "config: field limits is missing or not an object");
    /// ```
    ///
    /// # Errors
    /// Names the first key that is missing or out of range.
    pub fn read(text: &[u8]) -> Result<Placement, FieldError> {
        let not_json = |source| FieldError::not_json(MESSAGE, source);
        let text = json::check(text).map_err(not_json)?;
        let object = Object::read(text, &["settings"]).map_err(not_json)?;
        let parts = Parts::new(MESSAGE, object);
        let file = parts.fields();
        let name = file.text("name")?.to_string();
        if !is_valid_name(&name) {
            return Err(file.invalid("name", "made of letters, digits, '-', '_' and '.'"));
        }
        let limits = file.object("limits")?;
        limits.above("cores", 0.0)?;
        let placement = Placement {
            name,
            listen: file.address("listen")?,
            executor: file.address("executor")?,
            directory: file.address("lookup")?,
            upstream: file.optional_address("store")?,
            seed: u64::from_str_radix(file.text("seed")?, 16)
                .map_err(|_| file.invalid("seed", "up to 16 hex digits"))?,
            stop_ms: file.positive("stop_ms")?,
            memory_mb: limits.positive("memory_mb")?,
            descriptors: limits.positive("sockets")? as usize,
            deployment: Deployment::read("config settings", parts.object_text("settings")?)?,
        };
        if placement.memory_mb < MIN_MEMORY_MB {
            return Err(limits.invalid("memory_mb", "16 or more"));
        }
        if placement.descriptors < MIN_DESCRIPTORS {
            return Err(limits.invalid("sockets", "64 or more"));
        }
        Ok(placement)
    }

    /// Reads a node's file.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read, or names the first key that is missing or out of range.
    pub fn read_file(file: &Path) -> Result<Placement, NodeFileError> {
        let path = || file.to_path_buf();
        let text =
            std::fs::read(file).map_err(|source| NodeFileError::Unreadable { path: path(), source })?;
        Placement::read(&text).map_err(|source| NodeFileError::Invalid { path: path(), source })
    }

    /// Applies the values of a newer file that may change while the node runs: the addresses of its peers and
    /// `stop_ms`. Returns the keys that have changed but apply only from the next start. A difference in `seed` is
    /// ignored, as every file has a new seed.
    pub fn apply_reload(&mut self, newer: &Placement) -> Vec<&'static str> {
        let limits = (self.memory_mb, self.descriptors);
        let comparisons = [
            ("name", self.name == newer.name),
            ("listen", self.listen == newer.listen),
            ("limits", limits == (newer.memory_mb, newer.descriptors)),
            ("settings", self.deployment == newer.deployment),
            ("store", self.upstream.is_some() == newer.upstream.is_some()),
        ];
        self.executor = newer.executor;
        self.directory = newer.directory;
        self.stop_ms = newer.stop_ms;
        // A tier that makes upstream calls continues to do so, and the last tier continues to make none.
        self.upstream = self.upstream.map(|current| newer.upstream.unwrap_or(current));
        comparisons.into_iter().filter(|(_, is_unchanged)| !is_unchanged).map(|(key, _)| key).collect()
    }
}

fn is_valid_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    !name.is_empty() && name.chars().all(is_allowed)
}
