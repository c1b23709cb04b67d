//! Parses `ajp` directives, which set the AJP listener, the peers that may connect, and the mapping of requests to
//! methods.

use super::hosts::Hosts;
use super::{FirstLines, NodeContext};
use crate::diagnostic::{line_error, FileError, LineError};
use crate::directive::{self, nearest, Section};
use crate::settings::AjpListener;
use crate::values::{
    check_http_method, check_route_repeatable, packet_bytes, time_us, uri_path, whole_number,
    PATTERN_SUGGESTION,
};
use ipnet::IpNet;
use ochrewalk_ingress::allowed_peers::AllowedPeers;
use ochrewalk_ingress::request_evaluation::HeaderNames;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// The placeholder address of a listener that is not configured; it is never opened.
const UNCONFIGURED: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// The minimum number of connections: fewer connections are not enough for a load balancer in front of the node.
const MIN_CONNECTIONS: usize = 4;
/// The upper bound on the listener's connections is the node's number of descriptors divided by this.
const MIN_DESCRIPTORS_PER_CONNECTION: usize = 4;
const MIN_IDLE_US: u64 = 100_000;
const MAX_IDLE_US: u64 = 3_600_000_000;

/// A rule for the peers of a network.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PeerRule {
    Allow,
    Deny,
}

pub(super) struct AjpListenerParser<'a> {
    node: &'a NodeContext<'a>,
    listen: Option<SocketAddr>,
    listener: AjpListener,
    /// Positions of the node's methods by name, filled when the first route is parsed.
    method_positions: HashMap<&'a str, usize>,
}

impl<'a> AjpListenerParser<'a> {
    pub fn new(node: &'a NodeContext<'a>) -> AjpListenerParser<'a> {
        AjpListenerParser {
            node,
            listen: None,
            listener: AjpListener::with_defaults(UNCONFIGURED, node.descriptors),
            method_positions: HashMap::new(),
        }
    }

    /// Applies `ajp NAME ARGUMENTS`.
    pub fn directive(&mut self, name: &str, arguments: &[String], hosts: &Hosts) -> Result<(), LineError> {
        let word = &arguments[0];
        let listener = &mut self.listener;
        let max_connections = self.node.descriptors / MIN_DESCRIPTORS_PER_CONNECTION;
        match name {
            "listen" => self.listen = Some(hosts.socket_address(word)?),
            "allow" => add_peers(&mut listener.allowed_peers, word, PeerRule::Allow)?,
            "deny" => add_peers(&mut listener.allowed_peers, word, PeerRule::Deny)?,
            "secret" => listener.rules.secret = Some(word.clone().into_bytes()),
            "secret-file" => listener.secret_file = Some(PathBuf::from(word)),
            "packet" => listener.max_packet_bytes = packet_bytes(word)?,
            "connections" => {
                listener.max_connections = whole_number(word, MIN_CONNECTIONS, max_connections)?;
            }
            "idle" => listener.idle_timeout_us = time_us(word, MIN_IDLE_US, MAX_IDLE_US)?,
            "memory" => {
                listener.rules.default_memory_kb = Some(memory_kb(word, listener.rules.memory_limit_kb)?)
            }
            "health" => listener.rules.health = Some(uri_path(word)?),
            "header" => set_header(&mut listener.rules.headers, word, &arguments[1])?,
            "route" => self.add_route(word, &arguments[1], &arguments[2])?,
            _ => return Err(directive::unknown(Section::Ajp.name(), name)),
        }
        Ok(())
    }

    /// Applies `ajp route HTTP-METHOD PATH METHOD`.
    fn add_route(&mut self, http_method: &str, path: &str, method: &str) -> Result<(), LineError> {
        check_http_method(http_method)?;
        let position = self.method_position(method)?;
        check_route_repeatable(http_method, method, self.node.methods[position].is_idempotent)?;
        let added = self.listener.rules.routes.add(http_method, path, position);
        added.map_err(|problem| LineError::new(problem.to_string(), PATTERN_SUGGESTION))
    }

    fn method_position(&mut self, method: &str) -> Result<usize, LineError> {
        let node = self.node;
        let names = || node.methods.iter().map(|method| method.name.as_str());
        if self.method_positions.is_empty() {
            self.method_positions.extend(names().zip(0..));
        }
        if let Some(position) = self.method_positions.get(method) {
            return Ok(*position);
        }
        let suggestion = match nearest(method, names()) {
            Some(near) => format!("did you mean {near}?"),
            None => format!("write one of {}", names().collect::<Vec<_>>().join(", ")),
        };
        line_error(format!("{method} is no method here"), suggestion)
    }

    /// Checks the directives of this section together. A file without routes is valid if it names relays, as the control
    /// plane may supply the routes.
    pub fn check(&self, lines: &FirstLines, has_relays: bool) -> Result<(), FileError> {
        if let (Some(line), None) = (lines.of_section(Section::Ajp), self.listen) {
            let suggestion = "add a line such as: ajp listen 127.0.0.1:8009";
            return Err(FileError::new(line, "no AJP listener is configured", suggestion));
        }
        if let Some(line) = lines.of("ajp listen") {
            if self.listener.rules.routes.is_empty() && !has_relays {
                let suggestion = "add a line such as: ajp route POST /sales METHOD";
                return Err(FileError::new(line, "no request can be accepted without a route", suggestion));
            }
            if self.listener.allowed_peers.is_empty() {
                let suggestion = "add a line such as: ajp allow 127.0.0.0/8";
                return Err(FileError::new(line, "no peer may connect", suggestion));
            }
        }
        lines.check_one_secret(Section::Ajp)
    }

    /// Returns the listener if one is configured.
    pub fn finish(self) -> Option<AjpListener> {
        self.listen.map(|listen| AjpListener { listen, ..self.listener })
    }
}

fn memory_kb(word: &str, max_kb: f64) -> Result<f64, LineError> {
    let kb = word.parse::<f64>().ok().filter(|kb| *kb > 0.0 && *kb < max_kb);
    kb.ok_or_else(|| {
        let suggestion = format!("write a number above 0 and under {max_kb} without a unit");
        LineError::new(format!("{word} is not a size in KB"), suggestion)
    })
}

fn add_peers(allowed_peers: &mut AllowedPeers, text: &str, rule: PeerRule) -> Result<(), LineError> {
    let network = text.parse::<IpNet>().or_else(|_| text.parse::<IpAddr>().map(IpNet::from));
    let Ok(network) = network else {
        return line_error(format!("{text} is not a network"), "write one such as 10.1.0.0/16 or fd00::/8");
    };
    let is_allowed = rule == PeerRule::Allow;
    match allowed_peers.insert(network, is_allowed) {
        Some(before) if before != is_allowed => {
            line_error(format!("{text} is both allowed and denied"), "keep one of the two")
        }
        _ => Ok(()),
    }
}

fn set_header(headers: &mut HeaderNames, which: &str, name: &str) -> Result<(), LineError> {
    if !name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-') || name.is_empty() {
        return line_error(format!("{name} is not a header name"), "write letters, digits and '-'");
    }
    let header = match which {
        "id" => &mut headers.id,
        "token" => &mut headers.token,
        "left" => &mut headers.time_left,
        "memory" => &mut headers.memory,
        "tenant" => headers.tenant.get_or_insert_default(),
        _ => return line_error(format!("no header for {which}"), "write id, token, left, memory or tenant"),
    };
    *header = name.to_ascii_lowercase();
    Ok(())
}
