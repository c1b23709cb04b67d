//! Probes of the first choice among the relays: connections, opened while another relay serves, that test its health.

use super::CONNECT_TIMEOUT_US;
use crate::connection::Connection;
use crate::frame::MAX_SUBSCRIBER_FRAME;
use mio::{Registry, Token};
use ochrewalk_distribution::ProbeResult;
use std::io;
use std::net::SocketAddr;

/// A probe in progress.
#[derive(Debug)]
pub(super) struct Probe {
    connection: Connection,
    deadline_us: u64,
}

impl Probe {
    /// Begins to connect to `address`.
    pub(super) fn begin(
        address: SocketAddr,
        token: Token,
        registry: &Registry,
        now_us: u64,
    ) -> io::Result<Probe> {
        let connection = Connection::connect(address, token, registry, MAX_SUBSCRIBER_FRAME)?;
        Ok(Probe { connection, deadline_us: now_us + CONNECT_TIMEOUT_US })
    }

    /// Returns the time at which the probe finds the relay unhealthy if no event occurs before, in microseconds.
    pub(super) fn deadline_us(&self) -> u64 {
        self.deadline_us
    }

    /// Returns the result of the probe, or `None` while it is in progress.
    pub(super) fn result(&mut self, now_us: u64) -> Option<ProbeResult> {
        // An established connection has no data to read yet; a read returns the error of a refused connection.
        let has_nothing_to_read = matches!(self.connection.receive(|_| ()), Ok(false));
        if has_nothing_to_read && self.connection.is_established() {
            return Some(ProbeResult::Healthy);
        }
        let is_unhealthy = now_us >= self.deadline_us || self.connection.is_broken();
        is_unhealthy.then_some(ProbeResult::Unhealthy)
    }

    /// Removes the connection from the event loop and closes it.
    pub(super) fn close(self, registry: &Registry) {
        self.connection.deregister(registry);
    }
}
