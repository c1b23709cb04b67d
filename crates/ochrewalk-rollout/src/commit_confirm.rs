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
    Steady,
    OnTrial {
        lease_us: u64,
        until_us: u64,
    },
    /// It goes back; the next try is then, unless one is under way.
    Returning {
        tried: u32,
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
/// let mut trial = CommitConfirm::default();
/// trial.began(0, 5_000_000);
/// trial.heard(4_000_000, 7, 7);
/// assert_eq!(trial.due(8_999_999), RevertAction::None);
/// assert_eq!(trial.due(9_000_000), RevertAction::HandOver);
/// trial.returned(9_100_000, true);
/// assert!(!trial.is_on() && trial.due(99_000_000) == RevertAction::None);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct CommitConfirm {
    state: State,
}

impl CommitConfirm {
    /// What it runs now is on trial, for so long after each word of the conductor's.
    pub fn began(&mut self, now_us: u64, lease_us: u64) {
        self.state = State::OnTrial { lease_us, until_us: now_us + lease_us };
    }

    /// What it runs now is for good, or is what it ran before.
    pub fn is_for_good(&mut self) {
        self.state = State::Steady;
    }

    /// A conductor asked how the node stands. One with a lower number than the highest known conducts nothing here, and
    /// a node that goes back already goes on doing so.
    pub fn heard(&mut self, now_us: u64, conductor: u64, highest: u64) {
        if let (State::OnTrial { lease_us, until_us }, true) = (&mut self.state, conductor >= highest) {
            *until_us = now_us + *lease_us;
        }
    }

    /// Time has passed: what is to be done now. What is said to be done is under way until [`CommitConfirm::returned`].
    pub fn due(&mut self, now_us: u64) -> RevertAction {
        let tried = match self.state {
            State::OnTrial { until_us, .. } if now_us >= until_us => 0,
            State::Returning { tried, next_us: Some(next_us) } if now_us >= next_us => tried,
            _ => return RevertAction::None,
        };
        self.state = State::Returning { tried: tried + 1, next_us: None };
        if tried < MAX_ATTEMPTS {
            RevertAction::HandOver
        } else {
            RevertAction::Restart
        }
    }

    /// What was to be done has come to its end, or could not be begun.
    pub fn returned(&mut self, now_us: u64, is_done: bool) {
        if let State::Returning { tried, .. } = self.state {
            self.state = match is_done {
                true => State::Steady,
                false => State::Returning { tried, next_us: Some(now_us + RETRY_INTERVAL_US) },
            };
        }
    }

    /// Until when it does nothing by itself.
    pub fn next_us(&self) -> Option<u64> {
        match self.state {
            State::OnTrial { until_us, .. } => Some(until_us),
            State::Returning { next_us, .. } => next_us,
            State::Steady => None,
        }
    }

    /// Whether it runs what is on trial, also while it goes back.
    pub fn is_on(&self) -> bool {
        self.state != State::Steady
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LEASE: u64 = 5_000_000;

    fn on_trial() -> CommitConfirm {
        let mut trial = CommitConfirm::default();
        trial.began(0, LEASE);
        trial
    }

    #[test]
    fn only_whoever_conducts_keeps_it_on_trial_and_a_word_on_the_way_back_changes_nothing() {
        for (conductor, highest, until_us) in
            [(7, 7, 4_000_000 + LEASE), (9, 7, 4_000_000 + LEASE), (6, 7, LEASE), (0, 7, LEASE)]
        {
            let mut trial = on_trial();
            trial.heard(4_000_000, conductor, highest);
            assert_eq!(trial.next_us(), Some(until_us), "{conductor} where {highest} is known");
        }
        let mut trial = on_trial();
        assert_eq!(trial.due(LEASE), RevertAction::HandOver);
        trial.heard(LEASE + 1, 7, 7);
        assert!(trial.is_on() && trial.next_us().is_none());
        // A process that was stopped for an hour goes back at once when it wakes.
        assert_eq!(on_trial().due(3_600_000_000), RevertAction::HandOver);
    }

    #[test]
    fn going_back_is_tried_three_times_and_then_it_is_begun_anew_until_it_comes_about() {
        let mut trial = on_trial();
        let mut now_us = LEASE;
        for wanted in [
            RevertAction::HandOver,
            RevertAction::HandOver,
            RevertAction::HandOver,
            RevertAction::Restart,
            RevertAction::Restart,
        ] {
            assert_eq!(trial.due(now_us), wanted);
            assert_eq!(trial.due(now_us + 60_000_000), RevertAction::None, "one try at a time");
            trial.returned(now_us, false);
            assert_eq!(trial.due(now_us), RevertAction::None, "not at once");
            now_us = trial.next_us().unwrap();
        }
        assert_eq!(trial.due(now_us), RevertAction::Restart);
        trial.returned(now_us, true);
        assert!(!trial.is_on());
    }

    #[test]
    fn what_is_for_good_stays_and_a_late_word_of_its_return_means_nothing() {
        let mut trial = on_trial();
        trial.is_for_good();
        assert_eq!((trial.due(u64::MAX), trial.next_us()), (RevertAction::None, None));
        trial.returned(1, false);
        assert!(!trial.is_on());
        // On trial again while it goes back: the later order counts.
        let mut trial = on_trial();
        trial.due(LEASE);
        trial.began(LEASE + 1, LEASE);
        trial.returned(LEASE + 2, true);
        assert_eq!(trial.next_us(), Some(2 * LEASE + 1));
    }
}
