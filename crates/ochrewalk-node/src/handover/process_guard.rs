//! Decides which of two children may act, and which of them may be killed. The supervisor applies these decisions to its
//! processes; this module has no processes and sockets.
//!
//! At most one child may act. In one attempt at most one child is killed, and only while neither acts, as the other
//! child may be the last one that is alive.

use std::fmt;

/// Identifies a child of the supervisor. No two children ever share one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChildId(pub u64);

impl fmt::Display for ChildId {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// The right to act, and the attempt under way.
#[derive(Debug, Default)]
pub struct ProcessGuard {
    /// The child that may act; none while the state passes from one child to the other.
    acting: Option<ChildId>,
    attempt: Option<Attempt>,
}

/// A hand-over under way.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    predecessor: ChildId,
    successor: ChildId,
    has_killed: bool,
}

/// The action for which a child requests permission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessAction {
    /// Pause: no child acts from then on.
    Pause,
    /// Act: resume, or start.
    Act,
}

impl ProcessGuard {
    /// Gives the right to act to a child that was started while no other one ran.
    pub fn started_alone(&mut self, child: ChildId) {
        self.acting = Some(child);
    }

    /// Returns the child that would be the predecessor of an attempt; none while an attempt is under way or no child acts.
    ///
    /// ```
    /// use ochrewalk_node::handover::process_guard::{ChildId, ProcessAction, ProcessGuard};
    /// let (first, second) = (ChildId(1), ChildId(2));
    /// let mut guard = ProcessGuard::default();
    /// guard.started_alone(first);
    /// assert_eq!(guard.available_predecessor(), Some(first));
    /// guard.begin_attempt(first, second);
    /// assert_eq!(guard.available_predecessor(), None, "one attempt at a time");
    /// assert!(!guard.allow(second, ProcessAction::Act) && guard.allow_kill(first).is_none(), "the first one acts");
    /// assert!(guard.allow(first, ProcessAction::Pause));
    /// assert_eq!([guard.allow_kill(first), guard.allow_kill(second)], [Some(second), None], "at most one is killed");
    /// assert!(guard.allow(first, ProcessAction::Act) && !guard.allow(second, ProcessAction::Act));
    /// assert_eq!(guard.end_attempt(), Some(second), "nothing is left of an attempt that failed");
    /// assert!(guard.child_ended(first), "the node's end is that of the child that acted");
    /// assert!(!guard.child_ended(second));
    /// ```
    pub fn available_predecessor(&self) -> Option<ChildId> {
        self.acting.filter(|_| self.attempt.is_none())
    }

    /// Returns the child that acts.
    pub fn acting(&self) -> Option<ChildId> {
        self.acting
    }

    /// Records that an attempt begins.
    pub fn begin_attempt(&mut self, predecessor: ChildId, successor: ChildId) {
        self.attempt = Some(Attempt { predecessor, successor, has_killed: false });
    }

    /// Decides whether a child may perform an action. If so, the action counts as performed.
    pub fn allow(&mut self, child: ChildId, action: ProcessAction) -> bool {
        let is_allowed = self.acting.is_none_or(|acting| acting == child);
        if is_allowed {
            self.acting = match action {
                ProcessAction::Pause => None,
                ProcessAction::Act => Some(child),
            };
        }
        is_allowed
    }

    /// Decides whether a child may have its peer in the attempt killed. Returns the peer if so.
    pub fn allow_kill(&mut self, child: ChildId) -> Option<ChildId> {
        let no_child_acts = self.acting.is_none();
        let attempt = self.attempt.as_mut().filter(|attempt| !attempt.has_killed && no_child_acts)?;
        attempt.has_killed = true;
        Some(if child == attempt.predecessor { attempt.successor } else { attempt.predecessor })
    }

    /// Records that a child has ended. Returns whether that child acted.
    pub fn child_ended(&mut self, child: ChildId) -> bool {
        let acted = self.acting == Some(child);
        if acted {
            self.acting = None;
        }
        acted
    }

    /// Whether a child is the predecessor of the attempt under way.
    pub fn is_predecessor(&self, child: ChildId) -> bool {
        self.attempt.is_some_and(|attempt| attempt.predecessor == child)
    }

    /// Records that the attempt has ended. Returns the successor, which is to be killed, if the predecessor still acts.
    pub fn end_attempt(&mut self) -> Option<ChildId> {
        let attempt = self.attempt.take()?;
        (self.acting == Some(attempt.predecessor)).then_some(attempt.successor)
    }
}
