//! Weighted round robin: each endpoint once a round, as far as its share goes. What an endpoint's share falls short of a
//! whole call is credited to it for the next round.
//!
//! With a lookahead of several turns, the endpoint with the shortest expected wait among them goes first. Latencies thus
//! move only the order within a round and not the number of calls, so that nodes that see the same latencies do not all
//! move to the same endpoint at once.

use super::{Pick, Policy};

/// How many turns ahead the latency-aware policy looks.
pub(super) const LOOKAHEAD: usize = 4;
/// An endpoint whose expected wait exceeds this many median latencies is postponed to the next round, once.
const POSTPONE_FACTOR: f64 = 6.0;
/// How often a choice tries again after it has started a round.
const MAX_ATTEMPTS: usize = 3;
/// Bounds the division where all shares are next to nothing.
const MIN_LARGEST_SHARE: f64 = 1e-6;

/// An endpoint's turn in the current round.
#[derive(Clone, Copy, Debug)]
struct Turn {
    slot: usize,
    /// It was left over from an earlier round: it is not postponed again.
    is_postponed: bool,
}

/// The turn that is the best so far.
#[derive(Clone, Copy, Debug)]
struct BestTurn {
    index: usize,
    wait_us: f64,
}

#[derive(Debug, Default)]
pub(super) struct RoundRobin {
    lookahead: usize,
    /// The turns that are left of the round; the last one comes next.
    turns: Vec<Turn>,
    /// The subset in the order of rounds, shuffled once per subset: the same from round to round, so that each endpoint's
    /// calls are as far apart as they can be.
    order: Vec<usize>,
    /// By slot: the part of a call that the endpoint's share has left over from earlier rounds.
    credit: Vec<f64>,
    /// How many more suspect endpoints may lose their turn in this round: half of them at first. If more seem suspect, the
    /// likely cause is on this node (its clock woke late, or its own link failed), and the remaining endpoints must not
    /// be overloaded.
    skips_left: usize,
}

impl RoundRobin {
    pub(super) fn new(lookahead: usize) -> RoundRobin {
        RoundRobin { lookahead, ..RoundRobin::default() }
    }

    /// Starts the next round. Turns that are left over come last in it.
    fn start_round(&mut self, pick: &Pick<'_>, rng: &mut fastrand::Rng) {
        while self.credit.len() < pick.state.endpoints.len() {
            // A random start, else all nodes would begin with the same endpoints.
            self.credit.push(rng.f64());
        }
        if self.order.is_empty() {
            self.order.clone_from(&pick.state.subset);
            rng.shuffle(&mut self.order);
        }
        // The largest share counts as a whole call, else rounds would be empty where all shares are small.
        let shares = pick.state.subset.iter().map(|slot| pick.share(*slot));
        let largest = shares.fold(0.0, f64::max).max(MIN_LARGEST_SHARE);
        // In reverse, as turns are taken from the end.
        for slot in self.order.iter().rev() {
            let credit = &mut self.credit[*slot];
            *credit += pick.share(*slot) / largest;
            if *credit >= 1.0 {
                *credit -= 1.0;
                self.turns.push(Turn { slot: *slot, is_postponed: false });
            }
        }
        self.skips_left = self.turns.len() / 2;
    }

    /// Whether the next round may start before this one is over: near its end only, so that no endpoint is postponed for
    /// long.
    fn may_start_next_round(&self) -> bool {
        self.turns.len() * 2 < self.order.len()
    }

    fn looks_ahead(&self) -> bool {
        self.lookahead > 1
    }

    /// The turn with the shortest expected wait among the next few. Endpoints that accept no calls, and suspect ones, lose
    /// their turn.
    fn best_turn(&mut self, pick: &Pick<'_>) -> Option<BestTurn> {
        let mut best: Option<BestTurn> = None;
        let (mut index, mut considered) = (self.turns.len(), 0);
        while index > 0 && considered < self.lookahead {
            index -= 1;
            let slot = self.turns[index].slot;
            if self.loses_turn(pick, slot) {
                self.turns.remove(index);
                // What was found so far stands behind the removed turn.
                best = best.map(|best| BestTurn { index: best.index - 1, ..best });
            } else if Some(slot) != pick.avoid {
                considered += 1;
                let wait_us =
                    if self.looks_ahead() { pick.state.expected_wait_us(slot, pick.now_us) } else { 0.0 };
                if best.is_none_or(|best| wait_us < best.wait_us) {
                    best = Some(BestTurn { index, wait_us });
                }
            }
        }
        best
    }

    fn loses_turn(&mut self, pick: &Pick<'_>, slot: usize) -> bool {
        let is_skipped =
            self.looks_ahead() && self.skips_left > 0 && pick.state.is_suspect(slot, pick.now_us);
        if is_skipped {
            self.skips_left -= 1;
        }
        is_skipped || !pick.state.accepts_calls(slot)
    }
}

impl Policy for RoundRobin {
    fn choose(&mut self, pick: &Pick<'_>, rng: &mut fastrand::Rng) -> Option<usize> {
        let postpone_above_us = POSTPONE_FACTOR * pick.state.latencies.median_us();
        for _ in 0..MAX_ATTEMPTS {
            match self.best_turn(pick) {
                // All turns that are left would wait long: the next round starts, once.
                Some(best)
                    if best.wait_us > postpone_above_us
                        && !self.turns[best.index].is_postponed
                        && self.may_start_next_round() =>
                {
                    self.turns.iter_mut().for_each(|turn| turn.is_postponed = true);
                    self.start_round(pick, rng);
                }
                Some(best) => return Some(self.turns.remove(best.index).slot),
                None => self.start_round(pick, rng),
            }
        }
        // The only endpoint is the one to avoid, or all shares are small.
        rng.choice(pick.candidates())
    }

    fn subset_changed(&mut self) {
        self.turns.clear();
        self.order.clear();
    }
}
