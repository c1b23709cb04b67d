//! Decides whose connection makes room for another, where a table of connections is full. Each front has a table of
//! its own, so that none can take the room of the others.

/// How a connection stands when room is looked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    pub number: u64,
    /// It was asked to go, and has not gone yet.
    pub going: bool,
    /// Less goes first; `None` where an answer is owed on it.
    pub worth: Option<Worth>,
}

/// What a connection that is owed nothing is worth: one that has said something useful more than any that has not,
/// and then the one used last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Worth {
    pub good: bool,
    pub used_us: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// One more may come in.
    Room,
    /// One more may come in, and this one is asked to go.
    RoomFor(u64),
    /// Not yet: this one is asked to go first.
    Ask(u64),
    /// Nobody can go, or enough are going already.
    Full,
}

/// Looks for room for one more, `most` at a time and up to `ending` beyond that which are about to go. One that is
/// asked to go may turn out to have whole requests unread, and stay.
pub fn look(most: usize, ending: usize, all: &[Standing]) -> Verdict {
    let going = all.iter().filter(|s| s.going).count();
    let staying = all.len() - going;
    if staying < most && all.len() < most + ending {
        return Verdict::Room;
    }
    if going >= ending {
        return Verdict::Full;
    }
    let may_go = all.iter().filter(|s| !s.going).filter_map(|s| Some((s.worth?, s.number)));
    match may_go.min() {
        None => Verdict::Full,
        Some((_, number)) if staying > most => Verdict::Ask(number),
        Some((_, number)) => Verdict::RoomFor(number),
    }
}
