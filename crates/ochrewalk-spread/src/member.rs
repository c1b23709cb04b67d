//! Decides how a place belongs: new ones and those that come back are warmed, those that fail are left out for pauses that
//! double and vary by a quarter either way, then tried by one call at a time. A place that keeps coming and going
//! goes on with its longer pauses, as it heals only by staying.

/// When a place is left out, and for how long, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving {
    /// Failures in a row.
    pub after: u32,
    pub first_us: u64,
    pub most_us: u64,
    /// How long a place that is new or came back takes to its whole share.
    pub warm_us: u64,
}

/// Why a place is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No connection could be made: it proves that nothing runs there.
    Unreached,
    /// Calls to it failed, or had no answer in time: that may be our side, or a link.
    Failing,
}

impl Cause {
    pub fn word(self) -> &'static str {
        match self {
            Cause::Unreached => "could not be reached",
            Cause::Failing => "calls failed",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Taking {
        failures: u32,
    },
    Out {
        until_us: u64,
        cause: Cause,
    },
    /// One call is on its way to tell.
    Trial {
        call: u64,
        cause: Cause,
    },
    /// It is on no list any more; what is under way there ends.
    Leaving,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    leaving: Leaving,
    state: State,
    since_us: u64,
    /// It takes its whole share from then on.
    warm_at_us: u64,
    was_out: bool,
    next_pause_us: u64,
}

/// How far a pause varies, as a share of it in all.
const JITTER: f64 = 0.5;
/// The share that a place begins with: enough to be heard of, harmless to a cold one.
const FIRST_SHARE: f64 = 0.1;

impl Member {
    /// One of the first list, which has its whole share at once, as there is nothing to warm it beside.
    pub fn first(leaving: Leaving, now_us: u64) -> Member {
        Member {
            leaving,
            state: State::Taking { failures: 0 },
            since_us: now_us,
            warm_at_us: now_us,
            was_out: false,
            next_pause_us: leaving.first_us,
        }
    }

    /// One that came to a list that was there.
    pub fn joining(leaving: Leaving, now_us: u64) -> Member {
        Member { warm_at_us: now_us + leaving.warm_us, ..Member::first(leaving, now_us) }
    }

    /// Whether it takes calls without more ado.
    pub fn takes(&self) -> bool {
        matches!(self.state, State::Taking { .. })
    }

    /// Its share of what it would take when warm, from 0 to 1.
    pub fn warmth(&self, now_us: u64) -> f64 {
        let left_us = self.warm_at_us.saturating_sub(now_us);
        if left_us == 0 {
            return 1.0;
        }
        FIRST_SHARE + (1.0 - FIRST_SHARE) * (1.0 - left_us as f64 / self.leaving.warm_us as f64)
    }

    /// When one call may try it, while it is left out.
    pub fn out_until_us(&self) -> Option<u64> {
        match self.state {
            State::Out { until_us, .. } => Some(until_us),
            _ => None,
        }
    }

    /// Why it takes nothing, if so.
    pub fn cause(&self) -> Option<Cause> {
        match self.state {
            State::Out { cause, .. } | State::Trial { cause, .. } => Some(cause),
            State::Taking { .. } | State::Leaving => None,
        }
    }

    pub fn is_leaving(&self) -> bool {
        self.state == State::Leaving
    }

    /// A call is given to it; while it is left out and due this is its trial.
    pub fn given(&mut self, call: u64, now_us: u64) {
        if let State::Out { until_us, cause } = self.state {
            if now_us >= until_us {
                self.enter(State::Trial { call, cause }, now_us);
            }
        }
    }

    /// An answer came from it.
    pub fn did_well(&mut self, now_us: u64) {
        match self.state {
            State::Taking { .. } => {
                self.state = State::Taking { failures: 0 };
                // It has stayed for as long as it could have been out: it is as good as new.
                if now_us >= self.since_us + self.leaving.most_us {
                    self.next_pause_us = self.leaving.first_us;
                }
            }
            State::Out { .. } | State::Trial { .. } => {
                self.enter(State::Taking { failures: 0 }, now_us);
                self.warm_at_us = now_us + self.leaving.warm_us;
                self.was_out = true;
            }
            State::Leaving => {}
        }
    }

    /// The endpoint came back that long before its probe was answered: its ramp began then.
    pub fn begin_ramp_earlier(&mut self, by_us: u64) {
        self.warm_at_us = self.warm_at_us.saturating_sub(by_us);
    }

    /// The call of a trial ended without telling anything, so that another may tell.
    pub fn trial_is_over(&mut self, call: u64, now_us: u64) {
        if let State::Trial { call: trial, cause } = self.state {
            if trial == call {
                self.enter(State::Out { until_us: now_us, cause }, now_us);
            }
        }
    }

    /// It could not be reached, or failed a call.
    pub fn failed(&mut self, now_us: u64, cause: Cause, rng: &mut fastrand::Rng) {
        match self.state {
            State::Leaving => return,
            State::Taking { failures } if failures + 1 < self.leaving.after => {
                return self.state = State::Taking { failures: failures + 1 };
            }
            // What was under way when it was left out ends now: that tells nothing new.
            State::Out { until_us, .. } if now_us < until_us => return,
            State::Taking { .. } | State::Out { .. } | State::Trial { .. } => {}
        }
        let varied_us = self.next_pause_us as f64 * (1.0 - JITTER / 2.0 + JITTER * rng.f64());
        self.next_pause_us = (self.next_pause_us * 2).min(self.leaving.most_us);
        self.enter(State::Out { until_us: now_us + varied_us as u64, cause }, now_us);
    }

    /// It is on the list no more.
    pub fn leave(&mut self, now_us: u64) {
        if !self.is_leaving() {
            self.enter(State::Leaving, now_us);
        }
    }

    /// It is on the list again before it was gone.
    pub fn come_again(&mut self, now_us: u64) {
        if self.is_leaving() {
            *self = Member { next_pause_us: self.next_pause_us, ..Member::joining(self.leaving, now_us) };
        }
    }

    /// Its state in a word, for operators.
    pub fn word(&self, now_us: u64) -> &'static str {
        match self.state {
            State::Taking { .. } if now_us >= self.warm_at_us => "in",
            State::Taking { .. } if self.was_out => "back",
            State::Taking { .. } => "joining",
            State::Out { .. } => "out",
            State::Trial { .. } => "trying",
            State::Leaving => "leaving",
        }
    }

    pub fn since_us(&self) -> u64 {
        self.since_us
    }

    fn enter(&mut self, state: State, now_us: u64) {
        (self.state, self.since_us) = (state, now_us);
    }
}
