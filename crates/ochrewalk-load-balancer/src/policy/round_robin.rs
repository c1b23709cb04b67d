//! Weighted round robin: each endpoint gets at most one call per round, in proportion to its share. A fraction of a call is
//! credited to the endpoint for later rounds.
//!
//! With a lookahead of several turns, the endpoint with the shortest expected wait among them is called first. Latencies
//! thus change only the order within a round and not the number of calls, so that nodes that see the same latencies do not
//! all move to the same endpoint at the same time.

use super::{Pick, Policy};

/// The number of turns that the latency-aware policy considers.
pub(super) const LOOKAHEAD: usize = 4;
/// The expected wait, in median latencies, above which an endpoint is postponed to the next round, at most once.
const POSTPONE_FACTOR: f64 = 6.0;
/// The maximum number of passes of a choice over the remaining turns; a round may start between them.
const MAX_PASSES: usize = 3;
/// The lower bound of the largest share as a divisor, for the case that all shares are close to 0.
const MIN_LARGEST_SHARE: f64 = 1e-6;

/// An endpoint's turn in the current round.
#[derive(Clone, Copy, Debug)]
struct Turn {
    slot: usize,
    /// Whether the turn remains from an earlier round; it is then not postponed again.
    is_postponed: bool,
}

/// The best turn found so far.
#[derive(Clone, Copy, Debug)]
struct BestTurn {
    index: usize,
    wait_us: f64,
}

#[derive(Debug, Default)]
pub(super) struct RoundRobin {
    lookahead: usize,
    /// The remaining turns of the round; the last element comes next.
    turns: Vec<Turn>,
    /// The order of the subset in each round, shuffled once per subset. The order is the same in all rounds, so that the calls
    /// of an endpoint are as far apart as possible.
    order: Vec<usize>,
    /// The fraction of a call that remains from the endpoint's share in earlier rounds, by slot.
    credit: Vec<f64>,
    /// The number of further turns that suspect endpoints may lose in this round, at first half of all its turns. If more
    /// endpoints seem suspect, the cause is probably on this node (a timer fired late, or its network link failed), and the
    /// remaining endpoints must not be overloaded.
    skips_left: usize,
}

impl RoundRobin {
    pub(super) fn new(lookahead: usize) -> RoundRobin {
        RoundRobin { lookahead, ..RoundRobin::default() }
    }

    /// Starts the next round; the remaining turns of the current one come last in it.
    fn start_round(&mut self, pick: &Pick<'_>, rng: &mut fastrand::Rng) {
        while self.credit.len() < pick.state.endpoints.len() {
            // A random start: otherwise all nodes would begin with the same endpoints.
            self.credit.push(rng.f64());
        }
        if self.order.is_empty() {
            self.order.clone_from(&pick.state.subset);
            rng.shuffle(&mut self.order);
        }
        // The largest share counts as a complete call: otherwise rounds would be empty if all shares are small.
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

    /// Whether the next round may start before this one ends: only near its end, so that no endpoint is postponed for a long
    /// time.
    fn may_start_next_round(&self) -> bool {
        self.turns.len() * 2 < self.order.len()
    }

    fn looks_ahead(&self) -> bool {
        self.lookahead > 1
    }

    /// Returns the turn with the shortest expected wait among the next few. Endpoints that accept no calls and suspect
    /// endpoints lose their turn.
    fn best_turn(&mut self, pick: &Pick<'_>) -> Option<BestTurn> {
        let mut best: Option<BestTurn> = None;
        let (mut index, mut considered) = (self.turns.len(), 0);
        while index > 0 && considered < self.lookahead {
            index -= 1;
            let slot = self.turns[index].slot;
            if self.loses_turn(pick, slot) {
                self.turns.remove(index);
                // The best turn so far has a higher index than the removed one, and moves down by 1.
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
        for _ in 0..MAX_PASSES {
            match self.best_turn(pick) {
                // All turns considered have a long expected wait: the next round starts, once.
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
