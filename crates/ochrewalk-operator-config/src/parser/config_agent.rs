//! Parses `config` directives, which set the node's subscription to the control plane.

use super::hosts::Hosts;
use super::FirstLines;
use crate::diagnostic::{line_error, FileError, LineError};
use crate::directive::{self, Section};
use crate::settings::ConfigAgent;
use crate::units;
use crate::values::{absolute_path, whole_number};

/// The minimum number of relays: a node with a single relay would have no relay left after one failure.
const MIN_RELAYS: usize = 2;
/// The minimum bandwidth: fewer bytes per second could not carry heartbeats and changes.
const MIN_BYTES_PER_SECOND: u64 = 1024;
/// The upper bound on the number of quotas that a node caches.
const MAX_TENANTS: usize = 1_000_000;

#[derive(Default)]
pub(super) struct ConfigAgentParser {
    agent: ConfigAgent,
}

impl ConfigAgentParser {
    /// Applies `config NAME WORD`.
    pub fn directive(&mut self, name: &str, word: &str, hosts: &Hosts) -> Result<(), LineError> {
        let agent = &mut self.agent;
        match name {
            "relay" => {
                let address = hosts.socket_address(word)?;
                if agent.relays.contains(&address) {
                    return line_error(format!("{address} is already named"), "name each relay once");
                }
                agent.relays.push(address);
            }
            "scope" => {
                if agent.scopes.iter().any(|scope| scope == word) {
                    return line_error(format!("scope {word} is already named"), "name each scope once");
                }
                agent.scopes.push(word.into());
            }
            "region" => agent.region = word.into(),
            "snapshot" => agent.snapshot = Some(absolute_path(word)?),
            "budget" => agent.bytes_per_second = bytes_per_second(word)?,
            "tenants" => agent.max_tenants = whole_number(word, 1, MAX_TENANTS)?,
            _ => return Err(directive::unknown(Section::Config.name(), name)),
        }
        Ok(())
    }

    /// Whether the file names a relay.
    pub fn has_relays(&self) -> bool {
        !self.agent.relays.is_empty()
    }

    /// Checks the directives of this section together.
    pub fn check(&self, lines: &FirstLines) -> Result<(), FileError> {
        let Some(line) = lines.of_section(Section::Config) else { return Ok(()) };
        if self.agent.relays.len() < MIN_RELAYS {
            let suggestion = "name two relays or more: config relay ADDRESS:PORT";
            let problem = "one relay that fails would leave the node without any";
            return Err(FileError::new(line, problem, suggestion));
        }
        if self.agent.region.is_empty() {
            return Err(FileError::new(line, "no region is named", "add a line: config region NAME"));
        }
        Ok(())
    }

    /// Returns the settings if a relay is named.
    pub fn finish(self) -> Option<ConfigAgent> {
        self.has_relays().then_some(self.agent)
    }
}

fn bytes_per_second(word: &str) -> Result<u64, LineError> {
    let bytes = units::bytes(word).filter(|bytes| MIN_BYTES_PER_SECOND <= *bytes);
    bytes.ok_or_else(|| {
        LineError::new(format!("{word} is not a budget"), "write bytes a second from 1k on, such as 26k")
    })
}
