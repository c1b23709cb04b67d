//! Decides which connection is closed for a new one when the limit on connections is reached. Each listener has a
//! separate limit, so that one listener cannot take the capacity of another.

/// The state of a connection that matters for the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionUsage {
    pub number: u64,
    /// Whether the connection has been asked to close and is still open.
    pub is_closing: bool,
    /// The connection with the lowest priority is closed first; `None` if a response is due on the connection, which is
    /// never closed for another.
    pub priority: Option<RetentionPriority>,
}

/// The priority of a connection without a due response. A proven connection has a higher priority than any that is not;
/// among equals, the one used last has the higher priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RetentionPriority {
    /// Whether the connection has been useful, such as by a valid message or an RPC that has run.
    pub is_proven: bool,
    pub last_used_us: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetDecision {
    /// The new connection is accepted.
    Accept,
    /// The new connection is accepted, and this one is asked to close.
    AcceptAndClose(u64),
    /// The new connection is not accepted yet; this one is asked to close first.
    CloseFirst(u64),
    /// The new connection is not accepted: no connection may be closed, or the maximum number is closing already.
    Reject,
}

/// Decides on one new connection. Up to `max_connections` may be open, and up to `max_closing` more that have been
/// asked to close. A connection that is asked to close stays open if it turns out to have complete requests unread.
pub fn decide(max_connections: usize, max_closing: usize, connections: &[ConnectionUsage]) -> BudgetDecision {
    let closing = connections.iter().filter(|connection| connection.is_closing).count();
    let staying = connections.len() - closing;
    if staying < max_connections && connections.len() < max_connections + max_closing {
        return BudgetDecision::Accept;
    }
    if closing >= max_closing {
        return BudgetDecision::Reject;
    }
    let evictable = connections
        .iter()
        .filter(|open| !open.is_closing)
        .filter_map(|open| Some((open.priority?, open.number)));
    match evictable.min() {
        None => BudgetDecision::Reject,
        Some((_, number)) if staying > max_connections => BudgetDecision::CloseFirst(number),
        Some((_, number)) => BudgetDecision::AcceptAndClose(number),
    }
}
