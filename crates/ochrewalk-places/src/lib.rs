//! Decides where each call below goes: to which of several places, on which connection, after which proof; when a
//! place is left out and how it is tried again; and whether a call may be written a second time.
//!
//! No sockets and no clock: whoever carries the connections tells [`Places`] what happened, and it acts by [`Wire`].
//! A call is one of two kinds. One that may happen `again` can be written a second time after a connection broke under
//! it, within a budget. Any other is only ever written on a connection just made or just proven, and never a second
//! time; of a call of which no byte was written it is certain that it never ran, so that any kind may be moved then.

mod budget;
mod health;

pub use budget::Budget;
pub use health::{Health, Leaving};

use std::collections::{BTreeMap, VecDeque};

/// Numbers that the carrier knows connections and calls by; never used twice.
pub type LinkId = u64;
pub type CallId = u64;

/// What is asked of whoever carries the connections.
pub trait Wire {
    /// Makes a connection to that place.
    fn connect(&mut self, link: LinkId, place: usize);
    /// Writes the call there, after a ping was answered where it is to be proven.
    fn write(&mut self, link: LinkId, call: CallId, prove: bool);
    /// The call's end: what became of it goes to whoever placed it, once.
    fn settle(&mut self, call: CallId, end: Settled);
    /// Lets a connection go.
    fn close(&mut self, link: LinkId);
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settled {
    /// The answer that was just read is its own.
    Replied,
    /// No byte of it was written.
    Unsent,
    /// Its connection ended after it was written, for the reason just told.
    Broken,
}

/// What a whole answer said of its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// The place does its work, whatever it made of the call.
    Well,
    /// It could not do it in time.
    Late,
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// It was never made.
    NotMade,
    /// It was made, and no byte of a call was written on it that was not answered. Kept connections end so in the
    /// ordinary run of things.
    Unwritten,
    /// A ping on it was not answered in time.
    Silent,
    /// A byte of a call may have been written.
    Written,
}

/// How many connections there may be and how long they stand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    pub most_links: usize,
    /// A connection used within this time needs no proof for a call that may happen again.
    pub trust_us: u64,
    /// A connection that carries nothing is let go after this time.
    pub keep_us: u64,
}

/// How often one call may be placed anew, whatever the budget: guards against one that goes round for ever.
const MOST_TRIES: u32 = 4;
/// How far one answer moves the mean time of its place.
const MEAN_PACE: f64 = 1.0 / 8.0;
/// A place not heard of yet counts as this fast, so that new ones get their share at once.
const UNKNOWN_US: f64 = 1_000.0;

struct Place {
    health: Health,
    /// Calls given to it that have not ended.
    in_hand: usize,
    mean_us: f64,
}

struct Link {
    place: usize,
    made: bool,
    call: Option<CallId>,
    used_us: u64,
}

struct Call {
    again: bool,
    until_us: u64,
    placed_us: u64,
    tries: u32,
    /// Where it failed last: elsewhere is better.
    avoid: Option<usize>,
    /// It goes on a new connection only, as a kept one failed it.
    fresh: bool,
    link: Option<LinkId>,
}

pub struct Places {
    bounds: Bounds,
    of: Vec<Place>,
    links: BTreeMap<LinkId, Link>,
    calls: BTreeMap<CallId, Call>,
    /// Calls that wait for a connection, oldest first.
    waiting: VecDeque<CallId>,
    budget: Budget,
    rng: fastrand::Rng,
    next_link: LinkId,
}

impl Places {
    /// `count` places, numbered from 0.
    pub fn new(count: usize, bounds: Bounds, leaving: Leaving, repeats: f64, seed: u64) -> Places {
        let place = || Place { health: Health::new(leaving), in_hand: 0, mean_us: UNKNOWN_US };
        Places {
            bounds,
            of: (0..count).map(|_| place()).collect(),
            links: BTreeMap::new(),
            calls: BTreeMap::new(),
            waiting: VecDeque::new(),
            budget: Budget::new(repeats),
            rng: fastrand::Rng::with_seed(seed),
            next_link: 0,
        }
    }

    /// A call is to be placed, and is of use until then.
    pub fn call(&mut self, now_us: u64, call: CallId, again: bool, until_us: u64, wire: &mut impl Wire) {
        self.budget.earn();
        let new =
            Call { again, until_us, placed_us: now_us, tries: 0, avoid: None, fresh: false, link: None };
        self.calls.insert(call, new);
        self.place(now_us, call, wire);
    }

    /// Nobody waits for the call any more. Nothing is settled; an answer still to come is nobody's.
    pub fn give_up(&mut self, now_us: u64, call: CallId, wire: &mut impl Wire) {
        let Some(gone) = self.calls.remove(&call) else { return };
        self.waiting.retain(|waits| *waits != call);
        let Some(link) = gone.link else { return };
        if let Some(Link { place, made, .. }) = self.links.get(&link) {
            let (place, made) = (*place, *made);
            self.of[place].in_hand -= 1;
            self.of[place].health.trial_is_over(call, now_us);
            // It waited all its time there: that tells of the place as an answer would.
            if made && now_us >= gone.until_us {
                self.of[place].health.failed(now_us, &mut self.rng);
            }
            if made {
                // Whether a byte of it was written only the carrier knows; whatever comes there now is not to be
                // taken for another call's.
                self.links.remove(&link);
                wire.close(link);
            } else if let Some(link) = self.links.get_mut(&link) {
                link.call = None;
            }
        }
        self.serve_waiting(now_us, wire);
    }

    /// A connection is there.
    pub fn made(&mut self, now_us: u64, link: LinkId, wire: &mut impl Wire) {
        let Some(of) = self.links.get_mut(&link) else { return wire.close(link) };
        (of.made, of.used_us) = (true, now_us);
        match of.call {
            Some(call) => wire.write(link, call, false),
            None => self.serve_waiting(now_us, wire),
        }
    }

    /// A whole answer to the call on it came. `reuse`: the connection may carry another.
    pub fn replied(&mut self, now_us: u64, link: LinkId, said: Said, reuse: bool, wire: &mut impl Wire) {
        let Some(of) = self.links.get_mut(&link) else { return };
        let (place, call) = (of.place, of.call.take());
        of.used_us = now_us;
        if !reuse {
            self.links.remove(&link);
            wire.close(link);
        }
        if let Some((call, ended)) = call.and_then(|call| Some((call, self.calls.remove(&call)?))) {
            let at = &mut self.of[place];
            at.in_hand -= 1;
            match said {
                Said::Well => at.health.did_well(),
                Said::Late => at.health.failed(now_us, &mut self.rng),
            }
            let took_us = now_us.saturating_sub(ended.placed_us) as f64;
            at.mean_us += (took_us - at.mean_us) * MEAN_PACE;
            wire.settle(call, Settled::Replied);
        }
        self.serve_waiting(now_us, wire);
    }

    /// A connection ended, and with it whatever was on it.
    pub fn ended(&mut self, now_us: u64, link: LinkId, how: Ended, wire: &mut impl Wire) {
        let Some(Link { place, call, made, .. }) = self.links.remove(&link) else { return };
        let at = &mut self.of[place];
        // A kept connection that was forgotten tells nothing of its place.
        let tells = how != Ended::Unwritten;
        if let Some(call) = call {
            at.in_hand -= 1;
            at.health.trial_is_over(call, now_us);
        }
        if tells {
            at.health.failed(now_us, &mut self.rng);
        }
        let Some(call) = call else { return self.serve_waiting(now_us, wire) };
        let Some(of) = self.calls.get_mut(&call) else { return };
        of.link = None;
        of.tries += 1;
        of.avoid = tells.then_some(place);
        of.fresh = made;
        let written = how == Ended::Written;
        let in_time = now_us < of.until_us && of.tries < MOST_TRIES;
        let goes_again = if written {
            // The one place that decides on a second writing.
            of.again && in_time && self.budget.spend()
        } else {
            in_time
        };
        if goes_again {
            self.place(now_us, call, wire);
        } else {
            self.calls.remove(&call);
            wire.settle(call, if written { Settled::Broken } else { Settled::Unsent });
        }
        self.serve_waiting(now_us, wire);
    }

    /// Time has passed: calls that waited too long end, and so do connections that carry nothing.
    pub fn tick(&mut self, now_us: u64, wire: &mut impl Wire) {
        while let Some(at) = self.waiting.iter().position(|call| self.calls[call].until_us <= now_us) {
            let call = self.waiting.remove(at).expect("just seen");
            self.calls.remove(&call);
            wire.settle(call, Settled::Unsent);
        }
        let idle = |l: &Link| l.made && l.call.is_none() && now_us >= l.used_us + self.bounds.keep_us;
        let old: Vec<LinkId> = self.links.iter().filter(|(_, l)| idle(l)).map(|(id, _)| *id).collect();
        for link in old {
            self.links.remove(&link);
            wire.close(link);
        }
        self.serve_waiting(now_us, wire);
    }

    /// How each place stands, for operators.
    pub fn standing(&self) -> impl Iterator<Item = (&Health, usize)> {
        self.of.iter().map(|place| (&place.health, place.in_hand))
    }

    pub fn links(&self) -> usize {
        self.links.len()
    }

    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Gives a call a connection, lets it wait for one, or ends it where no place takes it.
    fn place(&mut self, now_us: u64, call: CallId, wire: &mut impl Wire) {
        let of = &self.calls[&call];
        let (again, fresh, avoid) = (of.again, of.fresh, of.avoid);
        let Some(place) = self.pick(now_us, again, avoid) else {
            self.calls.remove(&call);
            return wire.settle(call, Settled::Unsent);
        };
        // The one used last first, so that the others go as idle.
        let kept = self.links.iter().filter(|(_, l)| l.place == place && l.made && l.call.is_none());
        let newest = kept.max_by_key(|(_, l)| l.used_us).map(|(id, _)| *id).filter(|_| !fresh);
        let link = match newest {
            Some(link) => link,
            None if self.make_room() => {
                let idle = self.links.iter().filter(|(_, l)| l.made && l.call.is_none());
                if self.links.len() >= self.bounds.most_links {
                    let oldest =
                        idle.min_by_key(|(_, l)| l.used_us).map(|(id, _)| *id).expect("room was seen");
                    self.links.remove(&oldest);
                    wire.close(oldest);
                }
                self.next_link += 1;
                self.links.insert(self.next_link, Link { place, made: false, call: None, used_us: now_us });
                self.next_link
            }
            None => return self.waiting.push_back(call),
        };
        self.of[place].in_hand += 1;
        self.of[place].health.given(call, now_us);
        self.calls.get_mut(&call).expect("placed").link = Some(link);
        let of = self.links.get_mut(&link).expect("chosen");
        of.call = Some(call);
        if !of.made {
            return wire.connect(link, place);
        }
        // Guards against a connection that was forgotten at the other side.
        let prove = !again || now_us >= of.used_us + self.bounds.trust_us;
        of.used_us = now_us;
        wire.write(link, call, prove);
    }

    /// Whether one more connection may be made, if need be in the place of one that carries nothing.
    fn make_room(&self) -> bool {
        self.links.len() < self.bounds.most_links || self.links.values().any(|l| l.made && l.call.is_none())
    }

    /// The place for a call: one that is due for a trial where the call is harmless, else the one that would be
    /// done first by its own pace. None where all are left out.
    fn pick(&mut self, now_us: u64, again: bool, avoid: Option<usize>) -> Option<usize> {
        let others = self.of.len() > 1;
        let due = |at: &usize| self.of[*at].health.is_due(now_us) && !(others && Some(*at) == avoid);
        let due = (0..self.of.len()).find(due);
        let cost = |at: &usize| (self.of[*at].in_hand + 1) as f64 * self.of[*at].mean_us;
        let taking = |at: &usize| self.of[*at].health.takes();
        let best = |without: Option<usize>| {
            (0..self.of.len())
                .filter(|at| taking(at) && Some(*at) != without)
                .min_by(|a, b| cost(a).total_cmp(&cost(b)))
        };
        let usual = best(avoid).or_else(|| best(None));
        if again {
            due.or(usual)
        } else {
            usual.or(due)
        }
    }

    fn serve_waiting(&mut self, now_us: u64, wire: &mut impl Wire) {
        while self.make_room() {
            let Some(call) = self.waiting.pop_front() else { return };
            self.place(now_us, call, wire);
            // It waits again, behind the others: nothing more can be done now.
            if self.waiting.back() == Some(&call) {
                let call = self.waiting.pop_back().expect("just seen");
                return self.waiting.push_front(call);
            }
        }
    }
}
