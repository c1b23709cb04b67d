//! Decides, at a node, how long an unconfirmed change stays: as long as the node receives requests from the
//! controller, unless the change is confirmed. A node that is disconnected from its controller reverts
//! automatically, so that no node retains a change that no controller monitors.

use crate::fence::ControllerNumber;

/// The action that an unconfirmed change requires now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RevertAction {
    /// No action.
    None,
    /// The running process has to hand over to a process of the previous version.
    HandOver,
    /// The hand-over has failed too often: the running process is ended, and one of the previous version is
    /// started.
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
    /// The node reverts. `next_us` is the time of the next attempt, `None` while an attempt is in progress.
    Reverting {
        attempts: u32,
        next_us: Option<u64>,
    },
}

/// The number of hand-over attempts before the node is restarted.
const MAX_HAND_OVER_ATTEMPTS: u32 = 3;
/// The time between two attempts.
const RETRY_INTERVAL_US: u64 = 1_000_000;

/// A node's commit-confirmed change, if it has one. Times are microseconds of a monotonic clock, so that a
/// step of the system's calendar clock neither shortens the lease nor makes it endless.
///
/// | state | event | next state |
/// | --- | --- | --- |
/// | confirmed | `start` | unconfirmed, until the lease has passed |
/// | unconfirmed | `renew` by the current controller | unconfirmed, for another lease |
/// | unconfirmed | `confirm` | confirmed |
/// | unconfirmed | `next_action` after the deadline returns a hand-over | reverting |
/// | reverting | `revert_succeeded` | confirmed, with the previous version |
/// | reverting | `revert_failed` | reverting; a second later `next_action` returns the next attempt, from the fourth attempt on a restart |
/// | reverting | `start`, `confirm` | as above: the later command takes precedence |
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
    /// Marks the version that the node runs now as unconfirmed. The version stays for `lease_us` after each
    /// request of the controller.
    pub fn start(&mut self, now_us: u64, lease_us: u64) {
        self.state = State::Unconfirmed { lease_us, deadline_us: now_us + lease_us };
    }

    /// Makes the version that the node runs now permanent.
    pub fn confirm(&mut self) {
        self.state = State::Confirmed;
    }

    /// Renews the lease, because a controller has polled the node. A controller whose number is below the
    /// highest known one has been replaced and does not renew it. A node that is already reverting continues
    /// to revert.
    pub fn renew(&mut self, now_us: u64, controller: ControllerNumber, highest: ControllerNumber) {
        if let (State::Unconfirmed { lease_us, deadline_us }, true) = (&mut self.state, controller >= highest)
        {
            *deadline_us = now_us + *lease_us;
        }
    }

    /// Returns the action that is due at this time. The action is in progress from then until
    /// [`CommitConfirm::revert_succeeded`] or [`CommitConfirm::revert_failed`] is called.
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

    /// Records that the action has succeeded: the node runs the previous version again.
    pub fn revert_succeeded(&mut self) {
        if let State::Reverting { .. } = self.state {
            self.state = State::Confirmed;
        }
    }

    /// Records that the action has failed, or could not be started.
    pub fn revert_failed(&mut self, now_us: u64) {
        if let State::Reverting { attempts, .. } = self.state {
            self.state = State::Reverting { attempts, next_us: Some(now_us + RETRY_INTERVAL_US) };
        }
    }

    /// Returns the time until which no action is due; `None` if no action is due before the next event.
    pub fn next_us(&self) -> Option<u64> {
        match self.state {
            State::Unconfirmed { deadline_us, .. } => Some(deadline_us),
            State::Reverting { next_us, .. } => next_us,
            State::Confirmed => None,
        }
    }

    /// Whether the node runs an unconfirmed change, including while it reverts.
    pub fn is_pending(&self) -> bool {
        self.state != State::Confirmed
    }
}
