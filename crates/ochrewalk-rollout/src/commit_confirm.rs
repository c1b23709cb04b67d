//! Decides, at a node, how long an unconfirmed change stays: as long as the node hears of the controller, and no longer, unless
//! the change is confirmed. A node that is cut off from its controller reverts by itself, so that it is never left with a
//! change that nobody watches.

use crate::fence::ControllerNumber;

/// What an unconfirmed change needs now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RevertAction {
    /// Nothing.
    None,
    /// What runs has to hand over to what ran before.
    HandOver,
    /// The hand-over has failed too often: what runs is ended, and what ran before is started.
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
    /// The node reverts; the next attempt is then, unless one is under way.
    Reverting {
        attempts: u32,
        next_us: Option<u64>,
    },
}

/// So many attempts to hand over are made before the node is restarted.
const MAX_HAND_OVER_ATTEMPTS: u32 = 3;
/// The time between two attempts.
const RETRY_INTERVAL_US: u64 = 1_000_000;

/// A node's commit-confirmed change, if it has one. Times are microseconds of a monotonic clock: a step of the calendar neither
/// shortens the lease nor makes it endless.
///
/// | state | event | next state |
/// | --- | --- | --- |
/// | confirmed | `start` | unconfirmed, until the lease has passed |
/// | unconfirmed | `renew` by the current controller | unconfirmed, for another lease |
/// | unconfirmed | `confirm` | confirmed |
/// | unconfirmed | `next_action` after the deadline: hand over | reverting |
/// | reverting | `revert_succeeded` | confirmed, with what ran before |
/// | reverting | `revert_failed` | reverting; a second later `next_action` says what to do, from the fourth time on a restart |
/// | reverting | `start`, `confirm` | as above: the later command counts |
///
/// ```
/// use ochrewalk_rollout::{CommitConfirm, ControllerNumber, RevertAction};
/// let mut change = CommitConfirm::default();
/// change.start(0, 5_000_000);
/// change.renew(4_000_000, ControllerNumber(7), ControllerNumber(7));
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
    /// What the node runs now is unconfirmed: it stays for `lease_us` after each time that the controller is heard.
    pub fn start(&mut self, now_us: u64, lease_us: u64) {
        self.state = State::Unconfirmed { lease_us, deadline_us: now_us + lease_us };
    }

    /// What the node runs now stays for good.
    pub fn confirm(&mut self) {
        self.state = State::Confirmed;
    }

    /// A controller has polled the node. One with a lower number than the highest known has been replaced and renews nothing;
    /// a node that reverts already goes on doing so.
    pub fn renew(&mut self, now_us: u64, controller: ControllerNumber, highest: ControllerNumber) {
        if let (State::Unconfirmed { lease_us, deadline_us }, true) = (&mut self.state, controller >= highest)
        {
            *deadline_us = now_us + *lease_us;
        }
    }

    /// What has to be done at this time. An action is under way from then on, until [`CommitConfirm::revert_succeeded`] or
    /// [`CommitConfirm::revert_failed`].
    pub fn next_action(&mut self, now_us: u64) -> RevertAction {
        let attempts = match self.state {
            State::Unconfirmed { deadline_us, .. } if now_us >= deadline_us => 0,
            State::Reverting { attempts, next_us: Some(next_us) } if now_us >= next_us => attempts,
            _ => return RevertAction::None,
        };
        self.state = State::Reverting { attempts: attempts + 1, next_us: None };
        if attempts < MAX_HAND_OVER_ATTEMPTS {
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

    /// Until when nothing has to be done; none where nothing will be until the next event.
    pub fn next_us(&self) -> Option<u64> {
        match self.state {
            State::Unconfirmed { deadline_us, .. } => Some(deadline_us),
            State::Reverting { next_us, .. } => next_us,
            State::Confirmed => None,
        }
    }

    /// Whether the node runs an unconfirmed change, also while it reverts.
    pub fn is_pending(&self) -> bool {
        self.state != State::Confirmed
    }
}
