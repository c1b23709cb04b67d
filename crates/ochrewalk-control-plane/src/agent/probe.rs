//! A connection to the first choice among the relays, made while another one serves, to see whether it is healthy.

use super::CONNECT_TIMEOUT_US;
use crate::connection::Connection;
use crate::frame::MAX_SUBSCRIBER_FRAME;
use mio::{Registry, Token};
use ochrewalk_distribution::ProbeResult;
use std::io;
use std::net::SocketAddr;

/// One probe under way.
#[derive(Debug)]
pub(super) struct Probe {
    connection: Connection,
    until_us: u64,
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
        Ok(Probe { connection, until_us: now_us + CONNECT_TIMEOUT_US })
    }

    /// When it is unhealthy if nothing happens until then, in microseconds.
    pub(super) fn until_us(&self) -> u64 {
        self.until_us
    }

    /// What it found; none while it is under way.
    pub(super) fn result(&mut self, now_us: u64) -> Option<ProbeResult> {
        // Nothing can be read from an established connection yet; one that was refused says so when it is read.
        let has_nothing_to_read = matches!(self.connection.receive(|_| ()), Ok(false));
        if has_nothing_to_read && self.connection.is_established() {
            return Some(ProbeResult::Healthy);
        }
        let is_over = now_us >= self.until_us || self.connection.is_broken();
        is_over.then_some(ProbeResult::Unhealthy)
    }

    /// Takes the connection out of the event loop and closes it.
    pub(super) fn close(self, registry: &Registry) {
        self.connection.deregister(registry);
    }
}
