//! Reads and checks the files of a node: the platform's file and the operators' file.

use crate::handover::fingerprint::fingerprint_of_file;
use ochrewalk::deployment::Placement;
use ochrewalk::host::{Effect, Upstream};
use ochrewalk_operator_config::{MethodContext, NodeContext, OperatorConfig};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The paths of a node's files.
#[derive(Clone, Debug)]
pub struct Files {
    /// The platform's file.
    pub node: PathBuf,
    /// The operators' file, where there is one.
    pub operators: Option<PathBuf>,
}

impl Files {
    /// Reads and checks both files. Without an operators' file its settings have their defaults.
    ///
    /// # Errors
    ///
    /// A file cannot be read or has faults; the message has a line for each fault.
    pub fn read(&self) -> Result<(Placement, OperatorConfig), String> {
        let placement = Placement::read_file(&self.node).map_err(|error| error.to_string())?;
        let operators = self.operators.as_deref().map(|file| read_operators(file, &placement)).transpose()?;
        Ok((placement, operators.unwrap_or_default()))
    }

    /// Computes a digest of the settings that cannot change while a node runs. A process can take over from another one
    /// only if both have the same digest.
    pub(super) fn digest(&self, operators: &OperatorConfig) -> Result<u64, String> {
        let mut hasher = SipHasher13::new();
        let text = std::fs::read(&self.node).map_err(|err| format!("{}: {err}", self.node.display()))?;
        Placement::write_restart_only_settings(&text, &mut HashWriter(&mut hasher))
            .map_err(|error| error.to_string())?;
        // Earlier programs hashed the settings as one string, whose hash ends with this byte. The digest stays the same
        // as theirs.
        hasher.write_u8(0xff);
        operators.restart_only_settings().hash(&mut hasher);
        Ok(hasher.finish())
    }

    /// Returns the text of the operators' file and its fingerprint: an empty text and 0 where the file cannot be read.
    pub(super) fn operators_text(&self) -> (String, u64) {
        let text = self.operators.as_ref().and_then(|file| std::fs::read_to_string(file).ok());
        let fingerprint = self.operators.as_ref().and_then(|file| fingerprint_of_file(file).ok());
        (text.unwrap_or_default(), fingerprint.unwrap_or(0))
    }
}

/// A writer that feeds all bytes into a hasher.
pub(super) struct HashWriter<'a>(&'a mut SipHasher13);

impl Write for HashWriter<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Reads and checks an operators' file and the files of its secrets.
pub(super) fn read_operators(file: &Path, placement: &Placement) -> Result<OperatorConfig, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|err| format!("{name}: {err}"))?;
    let deployment = &placement.deployment;
    let methods: Vec<MethodContext> = deployment
        .method_names
        .iter()
        .zip(deployment.methods.iter())
        .map(|(name, method)| MethodContext {
            name: name.to_string(),
            is_idempotent: method.effect == Effect::Idempotent,
        })
        .collect();
    let has_upstream = deployment.upstream != Upstream::None;
    let node = NodeContext { methods: &methods, descriptors: placement.descriptors, has_upstream };
    let mut operators = ochrewalk_operator_config::parse(&text, &name, &node).map_err(|diagnostics| {
        diagnostics.iter().map(|diagnostic| diagnostic.to_string()).collect::<Vec<_>>().join("\n")
    })?;
    let read_secret = |path: &Path| {
        let text = std::fs::read_to_string(path)
            .map_err(|err| format!("{name}: secret {}: {err}", path.display()))?;
        let secret = text.trim_end_matches(['\r', '\n']).to_string().into_bytes();
        if secret.is_empty() {
            return Err(format!("{name}: secret {} is empty; write the secret there", path.display()));
        }
        Ok(secret)
    };
    if let Some(listener) = &mut operators.ajp_listener {
        if let Some(path) = &listener.secret_file {
            listener.rules.secret = Some(read_secret(path)?);
        }
    }
    if let Some(upstream) = &mut operators.ajp_upstream {
        if let Some(path) = &upstream.secret_file {
            upstream.secret = Some(read_secret(path)?);
        }
    }
    Ok(operators)
}
