//! `config`: the control plane that the node subscribes to.

use super::hosts::Hosts;
use super::FirstLines;
use crate::diagnostic::{line_error, FileError, LineError};
use crate::directive::{self, Section};
use crate::settings::ConfigAgent;
use crate::units;
use crate::values::{absolute_path, whole_number};

/// A node that knows fewer relays is without any as soon as one fails.
const MIN_RELAYS: usize = 2;
/// Fewer bytes a second would not carry heartbeats and changes.
const MIN_BYTES_PER_SECOND: u64 = 1024;
/// The most quotas that a node may cache at a time.
const MAX_TENANTS: usize = 1_000_000;

#[derive(Default)]
pub(super) struct ConfigAgentParser {
    agent: ConfigAgent,
}

impl ConfigAgentParser {
    /// `config NAME WORD`.
    pub fn directive(&mut self, name: &str, word: &str, hosts: &Hosts) -> Result<(), LineError> {
        let agent = &mut self.agent;
        match name {
            "relay" => {
                let address = hosts.socket_address(word)?;
                if agent.relays.contains(&address) {
                    return line_error(format!("{address} stands here already"), "name each relay once");
                }
                agent.relays.push(address);
            }
            "scope" => {
                if agent.scopes.iter().any(|scope| scope == word) {
                    return line_error(format!("scope {word} stands here already"), "name each scope once");
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

    /// Checks these directives together.
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

    /// The settings, if a relay is named.
    pub fn finish(self) -> Option<ConfigAgent> {
        self.has_relays().then_some(self.agent)
    }
}

fn bytes_per_second(word: &str) -> Result<u64, LineError> {
    let bytes = units::bytes(word).filter(|bytes| MIN_BYTES_PER_SECOND <= *bytes);
    bytes.ok_or_else(|| {
        LineError::new(format!("{word} is no budget"), "write bytes a second from 1k on, such as 26k")
    })
}
