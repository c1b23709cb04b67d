//! Listeners: the accept loop that the ingress of each protocol shares, which ensures capacity before it serves a
//! connection.

use super::buffered_connection::{accept, stream_from_descriptor};
use crate::close_reason::is_out_of_resources;
use may::net::{TcpListener, TcpStream};
use socket2::SockRef;
use std::net::{IpAddr, Shutdown};
use std::sync::Arc;
use std::time::Duration;

/// The number of connections that may be closing, to release capacity, beyond the limit of connections.
pub const MAX_CLOSING: usize = 8;
/// The number of times that capacity is requested for a new connection.
const CAPACITY_ATTEMPTS: u32 = 20;
/// The delay between two such attempts.
const CAPACITY_RETRY_DELAY: Duration = Duration::from_millis(1);
/// The delay after the system has run out of descriptors or memory, until some may be free again.
const EXHAUSTION_DELAY: Duration = Duration::from_millis(50);

/// The ingress of one protocol, as the accept loop uses it.
pub trait ConnectionListener: Send + Sync + 'static {
    /// The value of the field `part` in log lines.
    const PART: &'static str;

    /// Stores a second descriptor of the listener, with which [`close_listener`] closes it. The accept loop ends after
    /// that descriptor has been taken.
    fn store_listener(&self, listener: std::net::TcpListener);

    /// Removes and returns that descriptor.
    fn take_listener(&self) -> Option<std::net::TcpListener>;

    /// Whether the listener has been closed.
    fn is_closed(&self) -> bool;

    /// Whether a peer at that address may connect.
    fn may_connect(&self, _from: IpAddr) -> bool {
        true
    }

    /// The maximum number of connections.
    fn max_connections(&self) -> usize;

    /// Whether one more connection may be served now. May close an idle connection to release its capacity.
    fn ensure_capacity(&self) -> bool;

    /// Serves a connection in a new coroutine.
    fn serve_connection(self: &Arc<Self>, stream: TcpStream);
}

/// Closes the listener. Later connection attempts are refused, which proves to the client that nothing ran. Connections
/// that the system has already accepted are served first, as they would otherwise be reset.
pub fn close_listener<F: ConnectionListener>(ingress: &Arc<F>) {
    let Some(listener) = ingress.take_listener() else { return };
    for _ in 0..ingress.max_connections() {
        let Ok((stream, from)) = listener.accept() else { break };
        if ingress.may_connect(from.ip()) && ingress.ensure_capacity() && stream.set_nonblocking(true).is_ok()
        {
            ingress.serve_connection(stream_from_descriptor(stream.into()));
        }
    }
    let _ = SockRef::from(&listener).shutdown(Shutdown::Both);
}

/// Accepts connections until the listener is closed.
pub fn accept_connections<F: ConnectionListener>(ingress: &Arc<F>, listener: &TcpListener) {
    let part = F::PART;
    match listener.inner().try_clone() {
        Ok(second) => ingress.store_listener(second),
        Err(err) => tracing::error!(part, "failed to duplicate the listener's descriptor: {err}"),
    }
    loop {
        let accepted = accept(listener);
        if accepted.is_err() && ingress.is_closed() {
            return;
        }
        match accepted {
            Ok((_, from)) if !ingress.may_connect(from.ip()) => {
                tracing::warn!(part, "connection from {} rejected: the address is not allowed", from.ip());
            }
            Ok((stream, _)) => {
                let has_capacity = (0..CAPACITY_ATTEMPTS).any(|attempt| {
                    if attempt > 0 {
                        may::coroutine::sleep(CAPACITY_RETRY_DELAY);
                    }
                    ingress.ensure_capacity()
                });
                if has_capacity {
                    ingress.serve_connection(stream);
                } else {
                    tracing::warn!(
                        part,
                        "new connection closed: {} connections are open and none is idle",
                        ingress.max_connections()
                    );
                }
            }
            Err(err) => {
                tracing::warn!(part, "failed to accept a connection: {err}");
                may::coroutine::sleep(if is_out_of_resources(&err) {
                    EXHAUSTION_DELAY
                } else {
                    Duration::from_millis(1)
                });
            }
        }
    }
}
