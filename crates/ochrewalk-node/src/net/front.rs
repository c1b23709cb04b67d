//! How any front takes connections in: one loop for every protocol, with room looked for before each.

use super::link::{accept, adopt};
use crate::close_reason::is_out_of_resources;
use may::net::{TcpListener, TcpStream};
use socket2::SockRef;
use std::net::{IpAddr, Shutdown};
use std::sync::Arc;
use std::time::Duration;

/// Connections that may be ending beyond a table's bound, to make room; and how often, and how long, a new one
/// waits for their ends.
pub const ENDING: usize = 8;
const ROOM_TRIES: u32 = 20;
const ROOM_WAIT: Duration = Duration::from_millis(1);
/// No descriptor is free: others may be soon.
const NO_ROOM: Duration = Duration::from_millis(50);

pub trait Front: Send + Sync + 'static {
    /// What its log lines are marked by.
    const PART: &'static str;

    /// A second descriptor of the listener, for whoever shuts it; accepting ends when it is taken.
    fn keep_listener(&self, listener: std::net::TcpListener);

    /// Takes that descriptor back, for good.
    fn take_listener(&self) -> Option<std::net::TcpListener>;

    /// Whether the listener was shut.
    fn is_shut(&self) -> bool;

    /// Whether that address may connect.
    fn may_connect(&self, _from: IpAddr) -> bool {
        true
    }

    /// How many connections there may be.
    fn most(&self) -> usize;

    /// Whether one more connection may be served now.
    fn make_room(&self) -> bool;

    /// Serves a connection in a coroutine of its own.
    fn welcome(self: &Arc<Self>, stream: TcpStream);
}

/// Nothing more is accepted: who comes now is refused, which proves that nothing ran. Who came before is still served.
/// Guards against a reset of those that the system has accepted for us and we have not looked at.
pub fn shut<F: Front>(front: &Arc<F>) {
    let Some(listener) = front.take_listener() else { return };
    for _ in 0..front.most() {
        let Ok((stream, from)) = listener.accept() else { break };
        if front.may_connect(from.ip()) && front.make_room() && stream.set_nonblocking(true).is_ok() {
            front.welcome(adopt(stream.into()));
        }
    }
    let _ = SockRef::from(&listener).shutdown(Shutdown::Both);
}

/// Accepts until the listener is shut.
pub fn accept_all<F: Front>(front: &Arc<F>, listener: &TcpListener) {
    let part = F::PART;
    match listener.inner().try_clone() {
        Ok(second) => front.keep_listener(second),
        Err(err) => tracing::error!(part, "cannot clone the listener: {err}"),
    }
    loop {
        let accepted = accept(listener);
        if accepted.is_err() && front.is_shut() {
            return;
        }
        match accepted {
            Ok((_, from)) if !front.may_connect(from.ip()) => {
                tracing::warn!(part, "{} may not connect", from.ip());
            }
            Ok((stream, _)) => {
                let room = (0..ROOM_TRIES).any(|tried| {
                    if tried > 0 {
                        may::coroutine::sleep(ROOM_WAIT);
                    }
                    front.make_room()
                });
                if room {
                    front.welcome(stream);
                } else {
                    tracing::warn!(part, "{} connections open, none idle: a new one is closed", front.most());
                }
            }
            Err(err) => {
                tracing::warn!(part, "cannot accept: {err}");
                may::coroutine::sleep(if is_out_of_resources(&err) {
                    NO_ROOM
                } else {
                    Duration::from_millis(1)
                });
            }
        }
    }
}
