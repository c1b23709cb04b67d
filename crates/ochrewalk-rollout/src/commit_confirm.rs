//! Decides, at a node, how long it stays on trial with what it runs: as long as it hears of whoever conducts the change,
//! and no longer, unless it is told that it is for good. A node that is cut off from its conductor goes back by itself,
//! so that it is never stuck between.

/// When something is to be done about a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RevertAction {
    None,
    /// What ran before is to take over from what is on trial.
    HandOver,
    /// That has failed again and again: what is on trial is ended, and what ran before is begun anew.
    Restart,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum State {
    #[default]
    Confirmed,
    Unconfirmed {
        lease_us: u64,
        deadline_us: u64,
    },
    /// It goes back; the next try is then, unless one is under way.
    Reverting {
        attempts: u32,
        next_us: Option<u64>,
    },
}

/// So often it is handed back before it is begun anew, so far apart.
const MAX_ATTEMPTS: u32 = 3;
const RETRY_INTERVAL_US: u64 = 1_000_000;

/// A node's trial, if it is on one. Times are monotonic: a step of the calendar neither shortens a trial nor makes it
/// endless.
///
/// ```
/// use ochrewalk_rollout::{RevertAction, CommitConfirm};
/// let mut change = CommitConfirm::default();
/// change.start(0, 5_000_000);
/// change.renew(4_000_000, 7, 7);
/// assert_eq!(change.next_action(8_999_999), RevertAction::None);
/// assert_eq!(change.next_action(9_000_000), RevertAction::HandOver);
/// change.revert_succeeded();
/// assert!(!change.is_pending() && change.next_action(99_000_000) == RevertAction::None);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct CommitConfirm {
    state: State,
}

impl CommitConfirm {
    /// What it runs now is on trial, for so long after each word of the conductor's.
    pub fn start(&mut self, now_us: u64, lease_us: u64) {
        self.state = State::Unconfirmed { lease_us, deadline_us: now_us + lease_us };
    }

    /// What it runs now is for good, or is what it ran before.
    pub fn confirm(&mut self) {
        self.state = State::Confirmed;
    }

    /// A conductor asked how the node stands. One with a lower number than the highest known conducts nothing here, and
    /// a node that goes back already goes on doing so.
    pub fn renew(&mut self, now_us: u64, controller: u64, highest: u64) {
        if let (State::Unconfirmed { lease_us, deadline_us }, true) = (&mut self.state, controller >= highest)
        {
            *deadline_us = now_us + *lease_us;
        }
    }

    /// Time has passed: what is to be done now. What is said to be done is under way until [`CommitConfirm::revert_succeeded`]
    /// or [`CommitConfirm::revert_failed`].
    pub fn next_action(&mut self, now_us: u64) -> RevertAction {
        let attempts = match self.state {
            State::Unconfirmed { deadline_us, .. } if now_us >= deadline_us => 0,
            State::Reverting { attempts, next_us: Some(next_us) } if now_us >= next_us => attempts,
            _ => return RevertAction::None,
        };
        self.state = State::Reverting { attempts: attempts + 1, next_us: None };
        if attempts < MAX_ATTEMPTS {
            RevertAction::HandOver
        } else {
            RevertAction::Restart
        }
    }

    /// The action that was due is done: the node runs again what it ran before.
    pub fn revert_succeeded(&mut self) {
        if let State::Reverting { .. } = self.state {
            self.state = State::Confirmed;
        }
    }

    /// The action that was due failed, or could not be begun.
    pub fn revert_failed(&mut self, now_us: u64) {
        if let State::Reverting { attempts, .. } = self.state {
            self.state = State::Reverting { attempts, next_us: Some(now_us + RETRY_INTERVAL_US) };
        }
    }

    /// Until when it does nothing by itself.
    pub fn next_us(&self) -> Option<u64> {
        match self.state {
            State::Unconfirmed { deadline_us, .. } => Some(deadline_us),
            State::Reverting { next_us, .. } => next_us,
            State::Confirmed => None,
        }
    }

    /// Whether it runs what is on trial, also while it goes back.
    pub fn is_pending(&self) -> bool {
        self.state != State::Confirmed
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LEASE: u64 = 5_000_000;

    fn unconfirmed() -> CommitConfirm {
        let mut change = CommitConfirm::default();
        change.start(0, LEASE);
        change
    }

    #[test]
    fn only_whoever_conducts_keeps_it_on_trial_and_a_word_on_the_way_back_changes_nothing() {
        for (controller, highest, deadline_us) in
            [(7, 7, 4_000_000 + LEASE), (9, 7, 4_000_000 + LEASE), (6, 7, LEASE), (0, 7, LEASE)]
        {
            let mut change = unconfirmed();
            change.renew(4_000_000, controller, highest);
            assert_eq!(change.next_us(), Some(deadline_us), "{controller} where {highest} is known");
        }
        let mut change = unconfirmed();
        assert_eq!(change.next_action(LEASE), RevertAction::HandOver);
        change.renew(LEASE + 1, 7, 7);
        assert!(change.is_pending() && change.next_us().is_none());
        // A process that was stopped for an hour goes back at once when it wakes.
        assert_eq!(unconfirmed().next_action(3_600_000_000), RevertAction::HandOver);
    }

    #[test]
    fn going_back_is_tried_three_times_and_then_it_is_begun_anew_until_it_comes_about() {
        let mut change = unconfirmed();
        let mut now_us = LEASE;
        for wanted in [
            RevertAction::HandOver,
            RevertAction::HandOver,
            RevertAction::HandOver,
            RevertAction::Restart,
            RevertAction::Restart,
        ] {
            assert_eq!(change.next_action(now_us), wanted);
            assert_eq!(change.next_action(now_us + 60_000_000), RevertAction::None, "one try at a time");
            change.revert_failed(now_us);
            assert_eq!(change.next_action(now_us), RevertAction::None, "not at once");
            now_us = change.next_us().unwrap();
        }
        assert_eq!(change.next_action(now_us), RevertAction::Restart);
        change.revert_succeeded();
        assert!(!change.is_pending());
    }

    #[test]
    fn what_is_for_good_stays_and_a_late_word_of_its_return_means_nothing() {
        let mut change = unconfirmed();
        change.confirm();
        assert_eq!((change.next_action(u64::MAX), change.next_us()), (RevertAction::None, None));
        change.revert_failed(1);
        assert!(!change.is_pending());
        // On trial again while it goes back: the later order counts.
        let mut change = unconfirmed();
        change.next_action(LEASE);
        change.start(LEASE + 1, LEASE);
        change.revert_succeeded();
        assert_eq!(change.next_us(), Some(2 * LEASE + 1));
    }
}
