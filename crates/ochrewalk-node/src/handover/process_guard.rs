//! Decides which of two programs that serve may act, and which of them may be ended: the supervisor's part without
//! processes and sockets. One may act at the most; one is ended at the most in an attempt, and only while neither acts,
//! as the other may be the last one alive.

/// Numbers of programs, never used twice.
pub type Number = u64;

#[derive(Debug, Default)]
pub struct ProcessGuard {
    /// Who may act; nobody while state passes from one to the other.
    acts: Option<Number>,
    attempt: Option<Attempt>,
}

/// An upgrade that is under way.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    from: Number,
    to: Number,
    ended_one: bool,
}

/// What a program asks before it does it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessAction {
    /// To stand still: nobody acts from then on.
    Still,
    /// To go on, or to begin.
    Act,
}

impl ProcessGuard {
    /// The first program was started.
    pub fn first(&mut self, number: Number) {
        self.acts = Some(number);
    }

    /// Who would hand over, if an attempt may begin now.
    ///
    /// ```
    /// use ochrewalk_node::handover::process_guard::{ProcessGuard, ProcessAction};
    /// let mut process_guard = ProcessGuard::default();
    /// process_guard.first(1);
    /// assert_eq!(process_guard.giver(), Some(1));
    /// process_guard.begin(1, 2);
    /// assert_eq!(process_guard.giver(), None, "one at a time");
    /// assert!(!process_guard.may(2, ProcessAction::Act) && process_guard.end_other(1).is_none(), "the first one acts");
    /// assert!(process_guard.may(1, ProcessAction::Still));
    /// assert_eq!([process_guard.end_other(1), process_guard.end_other(2)], [Some(2), None], "one of them at the most");
    /// assert!(process_guard.may(1, ProcessAction::Act) && !process_guard.may(2, ProcessAction::Act));
    /// assert_eq!(process_guard.over(), Some(2), "nothing is left of an attempt that failed");
    /// assert!(process_guard.ended(1), "the node's end is that of the one that acted");
    /// assert!(!process_guard.ended(2));
    /// ```
    pub fn giver(&self) -> Option<Number> {
        self.acts.filter(|_| self.attempt.is_none())
    }

    /// Who acts now.
    pub fn acting(&self) -> Option<Number> {
        self.acts
    }

    pub fn begin(&mut self, from: Number, to: Number) {
        self.attempt = Some(Attempt { from, to, ended_one: false });
    }

    /// Whether a program may do what it asks for.
    pub fn may(&mut self, number: Number, action: ProcessAction) -> bool {
        let may = self.acts.is_none_or(|acts| acts == number);
        if may {
            self.acts = if action == ProcessAction::Still { None } else { Some(number) };
        }
        may
    }

    /// A program wants the other one ended: which that is, if it may be.
    pub fn end_other(&mut self, number: Number) -> Option<Number> {
        let attempt = self.attempt.as_mut().filter(|a| !a.ended_one && self.acts.is_none())?;
        attempt.ended_one = true;
        Some(if number == attempt.from { attempt.to } else { attempt.from })
    }

    /// A program has ended; whether it was the one that acted.
    pub fn ended(&mut self, number: Number) -> bool {
        let acted = self.acts == Some(number);
        if acted {
            self.acts = None;
        }
        acted
    }

    /// Whether it is the program that hands over in an attempt under way.
    pub fn is_giver(&self, number: Number) -> bool {
        self.attempt.is_some_and(|a| a.from == number)
    }

    /// The attempt is over: who is to be ended, as the one before goes on.
    pub fn over(&mut self) -> Option<Number> {
        let attempt = self.attempt.take()?;
        (self.acts == Some(attempt.from)).then_some(attempt.to)
    }
}
