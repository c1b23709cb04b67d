//! Decides which connection is closed for a new one when the limit on connections is reached. Each listener has a separate
//! limit, so that one listener cannot take the capacity of another.

/// The state of a connection that matters for the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    pub number: u64,
    /// Whether the connection has been asked to close and is still open.
    pub going: bool,
    /// The connection with the lowest priority is closed first; `None` if a response is due on the connection, which is
    /// never closed for another.
    pub worth: Option<Worth>,
}

/// The priority of a connection without a due response. A connection that has sent a valid message has a higher priority than
/// any that has not; among equals, the one used last has the higher priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Worth {
    pub good: bool,
    pub used_us: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The new connection is accepted.
    Room,
    /// The new connection is accepted, and this one is asked to close.
    RoomFor(u64),
    /// The new connection is not accepted yet; this one is asked to close first.
    Ask(u64),
    /// The new connection is not accepted: no connection may be closed, or the maximum number is closing already.
    Full,
}

/// Decides on one new connection. Up to `max_connections` may be open, and up to `max_closing` more that have been asked to
/// close. A connection that is asked to close stays open if it turns out to have complete requests unread.
pub fn look(max_connections: usize, max_closing: usize, connections: &[Standing]) -> Verdict {
    let closing = connections.iter().filter(|connection| connection.going).count();
    let staying = connections.len() - closing;
    if staying < max_connections && connections.len() < max_connections + max_closing {
        return Verdict::Room;
    }
    if closing >= max_closing {
        return Verdict::Full;
    }
    let evictable =
        connections.iter().filter(|open| !open.going).filter_map(|open| Some((open.worth?, open.number)));
    match evictable.min() {
        None => Verdict::Full,
        Some((_, number)) if staying > max_connections => Verdict::Ask(number),
        Some((_, number)) => Verdict::RoomFor(number),
    }
}
