//! Parses `below` directives, which set upstream calls over AJP: the endpoints, the connections to them, and load
//! balancing.

use super::hosts::Hosts;
use super::FirstLines;
use crate::diagnostic::{line_error, FileError, LineError};
use crate::directive::{self, Section};
use crate::settings::{AjpUpstream, UpstreamEndpoint};
use crate::values::{packet_bytes, share, socket_path, time_us, uri_path, weight, whole_number};
use ochrewalk_load_balancer::{BalancingPolicy, Subsetting};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The default number of endpoints that a numbered node calls. With five, some remain after the loss of half of them,
/// and at one or two calls per second each endpoint replies every few seconds, so that its state stays current.
const DEFAULT_SUBSET_SIZE: usize = 5;
/// The upper bound on upstream connections is the node's number of descriptors divided by this.
const MIN_DESCRIPTORS_PER_CONNECTION: usize = 4;

const MILLISECOND_US: u64 = 1_000;
const SECOND_US: u64 = 1_000_000;
const HOUR_US: u64 = 3_600 * SECOND_US;

/// The value that a directive set for one endpoint, with the line of the directive.
struct WithLine<T> {
    line: usize,
    value: T,
}

/// The position of this node among all nodes that call the same endpoints.
#[derive(Clone, Copy)]
struct NodeNumber {
    number: usize,
    count: usize,
}

pub(super) struct AjpUpstreamParser {
    upstream: AjpUpstream,
    max_connections: usize,
    weights: BTreeMap<SocketAddr, WithLine<f64>>,
    zones: BTreeMap<SocketAddr, WithLine<String>>,
    local_zone: Option<String>,
    subset_size: Option<usize>,
    node_number: Option<NodeNumber>,
}

impl AjpUpstreamParser {
    pub fn new(descriptors: usize) -> AjpUpstreamParser {
        AjpUpstreamParser {
            upstream: AjpUpstream::with_defaults(descriptors),
            max_connections: descriptors / MIN_DESCRIPTORS_PER_CONNECTION,
            weights: BTreeMap::new(),
            zones: BTreeMap::new(),
            local_zone: None,
            subset_size: None,
            node_number: None,
        }
    }

    /// Applies `below NAME ARGUMENTS`.
    pub fn directive(
        &mut self,
        line: usize,
        name: &str,
        arguments: &[String],
        hosts: &Hosts,
    ) -> Result<(), LineError> {
        match name {
            "ajp" | "weight" | "zone" => self.endpoint_directive(line, name, arguments, hosts),
            "here" | "reach" | "number" => self.subset_directive(name, arguments),
            "leave-out" | "pause" | "repeats" | "way" | "warm" | "status" => {
                self.balancing_directive(name, arguments)
            }
            _ => self.connection_directive(name, &arguments[0]),
        }
    }

    fn endpoint_directive(
        &mut self,
        line: usize,
        name: &str,
        arguments: &[String],
        hosts: &Hosts,
    ) -> Result<(), LineError> {
        let word = &arguments[0];
        match name {
            "ajp" => {
                let address = hosts.socket_address(word)?;
                if self.has_endpoint(address) {
                    return line_error(format!("{address} is already named"), "name each endpoint once");
                }
                let endpoint = UpstreamEndpoint { address, weight: 1.0, is_in_local_zone: true };
                self.upstream.endpoints.push(endpoint);
            }
            "weight" => {
                let value = weight(&arguments[1])?;
                let address = hosts.socket_address(word)?;
                let before = self.weights.insert(address, WithLine { line, value });
                check_first(address, "weight", before.as_ref())?;
            }
            _ => {
                let address = hosts.socket_address(word)?;
                let before = self.zones.insert(address, WithLine { line, value: arguments[1].clone() });
                check_first(address, "zone", before.as_ref())?;
            }
        }
        Ok(())
    }

    fn subset_directive(&mut self, name: &str, arguments: &[String]) -> Result<(), LineError> {
        let word = &arguments[0];
        match name {
            "here" => self.local_zone = Some(word.clone()),
            "reach" => self.subset_size = Some(whole_number(word, 2, 10_000)?),
            _ => {
                let count = whole_number(&arguments[1], 1, 1_000_000)?;
                let number = whole_number(word, 0, count - 1)?;
                self.node_number = Some(NodeNumber { number, count });
            }
        }
        Ok(())
    }

    fn balancing_directive(&mut self, name: &str, arguments: &[String]) -> Result<(), LineError> {
        let word = &arguments[0];
        let balancing = &mut self.upstream.balancing;
        let ejection = &mut balancing.ejection;
        match name {
            "leave-out" => ejection.consecutive_failures = whole_number(word, 1, 1_000)? as u32,
            "pause" => {
                ejection.base_ejection_us = time_us(word, MILLISECOND_US, 60 * SECOND_US)?;
                ejection.max_ejection_us = time_us(&arguments[1], MILLISECOND_US, HOUR_US)?;
                if ejection.max_ejection_us < ejection.base_ejection_us {
                    return line_error(
                        "the longest pause is shorter than the first",
                        "write the shorter one first",
                    );
                }
            }
            "warm" => ejection.slow_start_us = time_us(word, 0, 600 * SECOND_US)?,
            "way" => balancing.policy = balancing_policy(word)?,
            "repeats" => self.upstream.retry_budget = share(word)?,
            _ => self.upstream.status_socket = Some(socket_path(word)?),
        }
        Ok(())
    }

    fn connection_directive(&mut self, name: &str, word: &str) -> Result<(), LineError> {
        let upstream = &mut self.upstream;
        match name {
            "name" => upstream.server_name = word.into(),
            "uri" => upstream.uri = uri_path(word)?,
            "secret" => upstream.secret = Some(word.into()),
            "secret-file" => upstream.secret_file = Some(PathBuf::from(word)),
            "packet" => upstream.max_packet_bytes = packet_bytes(word)?,
            "connections" => upstream.max_connections = whole_number(word, 1, self.max_connections)?,
            "connect" => upstream.connect_timeout_us = time_us(word, MILLISECOND_US, 10 * SECOND_US)?,
            "pong" => upstream.ping_timeout_us = time_us(word, MILLISECOND_US, 10 * SECOND_US)?,
            "reply" => upstream.reply_timeout_us = time_us(word, MILLISECOND_US, 60 * SECOND_US)?,
            "trust" => upstream.ping_after_idle_us = time_us(word, 0, 60 * SECOND_US)?,
            "keep" => upstream.max_idle_us = time_us(word, MILLISECOND_US, HOUR_US)?,
            _ => return Err(directive::unknown(Section::Upstream.name(), name)),
        }
        Ok(())
    }

    fn has_endpoint(&self, address: SocketAddr) -> bool {
        self.upstream.endpoints.iter().any(|endpoint| endpoint.address == address)
    }

    /// Checks the directives of this section together, and against the node's file.
    pub fn check(&self, lines: &FirstLines, has_upstream: bool) -> Result<(), FileError> {
        lines.check_one_secret(Section::Upstream)?;
        if let (Some(line), true) = (lines.of_section(Section::Upstream), self.upstream.endpoints.is_empty())
        {
            let suggestion = "add a line such as: below ajp ledger.example.org:8009";
            return Err(FileError::new(line, "no upstream endpoint is named", suggestion));
        }
        if let (Some(line), false) = (lines.of("below ajp"), has_upstream) {
            let suggestion = "set \"below\" there or remove this line";
            return Err(FileError::new(line, "the node's file enables no upstream calls", suggestion));
        }
        Ok(())
    }

    /// Returns the settings if an endpoint is named, with the weights and zones of the endpoints and the subset applied.
    pub fn finish(mut self) -> Result<Option<AjpUpstream>, FileError> {
        self.check_endpoints_named()?;
        self.check_local_zone()?;
        for endpoint in &mut self.upstream.endpoints {
            let zone = self.zones.get(&endpoint.address).map(|zone| &zone.value);
            endpoint.weight = self.weights.get(&endpoint.address).map_or(1.0, |weight| weight.value);
            // An endpoint without a zone counts as local, as nothing shows that it is in another zone.
            endpoint.is_in_local_zone = match (&self.local_zone, zone) {
                (Some(local), Some(zone)) => local == zone,
                _ => true,
            };
        }
        self.upstream.balancing.subsetting = self.subset();
        self.upstream.zone = self.local_zone;
        Ok((!self.upstream.endpoints.is_empty()).then_some(self.upstream))
    }

    /// Checks that weights and zones are set only for endpoints that the file names.
    fn check_endpoints_named(&self) -> Result<(), FileError> {
        let weights = self.weights.iter().map(|(address, weight)| (address, weight.line));
        let zones = self.zones.iter().map(|(address, zone)| (address, zone.line));
        match weights.chain(zones).find(|(address, _)| !self.has_endpoint(**address)) {
            None => Ok(()),
            Some((address, line)) => Err(FileError::new(
                line,
                format!("no upstream endpoint has the address {address}"),
                format!("add a line: below ajp {address}"),
            )),
        }
    }

    /// Checks that the zone of this node is set if zones of endpoints are, as they are only compared with it.
    fn check_local_zone(&self) -> Result<(), FileError> {
        let first_zone = self.zones.values().map(|zone| zone.line).min();
        match (&self.local_zone, first_zone) {
            (None, Some(line)) => Err(FileError::new(
                line,
                "zones are named, but not this node's",
                "add a line: below here ZONE",
            )),
            _ => Ok(()),
        }
    }

    /// Returns the rule that selects the endpoints that this node calls.
    fn subset(&self) -> Subsetting {
        match (self.node_number, self.subset_size) {
            (Some(NodeNumber { number, count }), size) => Subsetting::Deterministic {
                size: size.unwrap_or(DEFAULT_SUBSET_SIZE),
                node: number,
                node_count: count,
            },
            (None, Some(size)) => Subsetting::Random { size },
            (None, None) => Subsetting::All,
        }
    }
}

fn check_first<T>(address: SocketAddr, what: &str, before: Option<&WithLine<T>>) -> Result<(), LineError> {
    match before {
        None => Ok(()),
        Some(WithLine { line, .. }) => {
            line_error(format!("{address} has a {what} on line {line}"), "keep one of the two")
        }
    }
}

fn balancing_policy(word: &str) -> Result<BalancingPolicy, LineError> {
    BalancingPolicy::from_name(word).ok_or_else(|| {
        let known: Vec<&str> = BalancingPolicy::ALL.into_iter().map(BalancingPolicy::name).collect();
        LineError::new(
            format!("{word} is not a balancing policy"),
            format!("write one of {}", known.join(", ")),
        )
    })
}
