//! The files that a node goes by, read and checked together.

use crate::handover::fingerprint::fingerprint_of_file;
use ochrewalk::deployment::Placement;
use ochrewalk::host::{Effect, Upstream};
use ochrewalk_operator_config::{MethodContext, NodeContext, OperatorConfig};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The files that a node goes by: the platform's, and the operators' own where there is one.
#[derive(Clone, Debug)]
pub struct Files {
    pub node: PathBuf,
    pub operators: Option<PathBuf>,
}

impl Files {
    /// Reads and checks both. A message has a line for each fault.
    pub fn read(&self) -> Result<(Placement, OperatorConfig), String> {
        let placement = Placement::read_file(&self.node).map_err(|error| error.to_string())?;
        let operators = self.operators.as_deref().map(|file| read_operators(file, &placement)).transpose()?;
        Ok((placement, operators.unwrap_or_default()))
    }

    /// A digest of what cannot change while a node runs: of two programs that have the same one may follow the other.
    pub(super) fn digest(&self, operators: &OperatorConfig) -> Result<u64, String> {
        let mut print = SipHasher13::new();
        let text = std::fs::read(&self.node).map_err(|err| format!("{}: {err}", self.node.display()))?;
        Placement::write_restart_only_settings(&text, &mut HashWriter(&mut print))
            .map_err(|error| error.to_string())?;
        // Programs that hashed it as one string ended it so: they have the same digest.
        print.write_u8(0xff);
        operators.restart_only_settings().hash(&mut print);
        Ok(print.finish())
    }

    /// The operators' own as it stands there, and its print.
    pub(super) fn operators_text(&self) -> (String, u64) {
        let text = self.operators.as_ref().and_then(|file| std::fs::read_to_string(file).ok());
        let print = self.operators.as_ref().and_then(|file| fingerprint_of_file(file).ok());
        (text.unwrap_or_default(), print.unwrap_or(0))
    }
}

/// Hashes what is written to it.
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
    let mut operators = ochrewalk_operator_config::parse(&text, &name, &node)
        .map_err(|found| found.iter().map(|d| d.to_string()).collect::<Vec<_>>().join("\n"))?;
    let secret = |at: &Path| {
        let text =
            std::fs::read_to_string(at).map_err(|err| format!("{name}: secret {}: {err}", at.display()))?;
        let secret = text.trim_end_matches(['\r', '\n']).to_string().into_bytes();
        if secret.is_empty() {
            return Err(format!("{name}: secret {} is empty; write the secret there", at.display()));
        }
        Ok(secret)
    };
    if let Some(listener) = &mut operators.ajp_listener {
        if let Some(at) = &listener.secret_file {
            listener.rules.secret = Some(secret(at)?);
        }
    }
    if let Some(upstream) = &mut operators.ajp_upstream {
        if let Some(at) = &upstream.secret_file {
            upstream.secret = Some(secret(at)?);
        }
    }
    Ok(operators)
}
