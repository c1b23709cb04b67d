//! Decides whether a place takes calls: left out after so many failures in a row, for pauses that double and vary by a
//! quarter either way, so that many nodes do not come back at once; then tried by one call at a time.

/// When a place is left out, and for how long, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving {
    /// Failures in a row.
    pub after: u32,
    pub first_us: u64,
    pub most_us: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Taking {
        failures: u32,
    },
    /// Left out until then, and for so long the next time.
    Out {
        until_us: u64,
        next_us: u64,
    },
    /// One call is on its way to tell.
    Trial {
        call: u64,
        next_us: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Health {
    leaving: Leaving,
    state: State,
}

/// How far a pause varies, as a share of it in all.
const JITTER: f64 = 0.5;

impl Health {
    pub fn new(leaving: Leaving) -> Health {
        Health { leaving, state: State::Taking { failures: 0 } }
    }

    /// Whether it takes calls without more ado.
    pub fn takes(&self) -> bool {
        matches!(self.state, State::Taking { .. })
    }

    /// Whether it was left out for long enough to be tried by one call.
    pub fn is_due(&self, now_us: u64) -> bool {
        matches!(self.state, State::Out { until_us, .. } if now_us >= until_us)
    }

    /// A call is given to it; while it is left out this is its trial.
    pub fn given(&mut self, call: u64, now_us: u64) {
        if let (State::Out { next_us, .. }, true) = (self.state, self.is_due(now_us)) {
            self.state = State::Trial { call, next_us };
        }
    }

    /// An answer came from it.
    pub fn did_well(&mut self) {
        self.state = State::Taking { failures: 0 };
    }

    /// The call of a trial ended without telling anything, so that another may tell.
    pub fn trial_is_over(&mut self, call: u64, now_us: u64) {
        if let State::Trial { call: trial, next_us } = self.state {
            if trial == call {
                self.state = State::Out { until_us: now_us, next_us };
            }
        }
    }

    /// It could not be reached, or failed a call.
    pub fn failed(&mut self, now_us: u64, rng: &mut fastrand::Rng) {
        let pause_us = match self.state {
            State::Taking { failures } if failures + 1 < self.leaving.after => {
                return self.state = State::Taking { failures: failures + 1 };
            }
            State::Taking { .. } => self.leaving.first_us,
            // What was under way when it was left out ends now: that tells nothing new.
            State::Out { until_us, .. } if now_us < until_us => return,
            State::Out { next_us, .. } | State::Trial { next_us, .. } => next_us,
        };
        let varied_us = pause_us as f64 * (1.0 - JITTER / 2.0 + JITTER * rng.f64());
        let next_us = (pause_us * 2).min(self.leaving.most_us);
        self.state = State::Out { until_us: now_us + varied_us as u64, next_us };
    }

    /// Until when it is left out, for operators.
    pub fn out_until_us(&self) -> Option<u64> {
        match self.state {
            State::Out { until_us, .. } => Some(until_us),
            _ => None,
        }
    }
}
