//! Decides how a place belongs: new ones and those that come back are warmed, those that fail are left out for pauses that
//! double and vary by a quarter either way, then tried by one call at a time. A place that keeps coming and going
//! goes on with its longer pauses, as it heals only by staying.

/// When a place is left out, and for how long, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutlierEjection {
    /// Failures in a row.
    pub consecutive_failures: u32,
    pub base_ejection_us: u64,
    pub max_ejection_us: u64,
    /// How long a place that is new or came back takes to its whole share.
    pub slow_start_us: u64,
}

/// Why a place is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionCause {
    /// No connection could be made: it proves that nothing runs there.
    ConnectFailed,
    /// Calls to it failed, or had no answer in time: that may be our side, or a link.
    CallsFailed,
}

impl EjectionCause {
    pub fn description(self) -> &'static str {
        match self {
            EjectionCause::ConnectFailed => "could not be reached",
            EjectionCause::CallsFailed => "calls failed",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Accepting {
        failures: u32,
    },
    Ejected {
        until_us: u64,
        cause: EjectionCause,
    },
    /// One call is on its way to tell.
    Probing {
        call: u64,
        cause: EjectionCause,
    },
    /// It is on no list any more; what is under way there ends.
    Removed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointHealth {
    ejection: OutlierEjection,
    state: State,
    since_us: u64,
    /// It takes its whole share from then on.
    slow_start_ends_us: u64,
    was_ejected: bool,
    next_ejection_us: u64,
}

/// How far a pause varies, as a share of it in all.
const JITTER: f64 = 0.5;
/// The share that a place begins with: enough to be heard of, idempotent to a cold one.
const INITIAL_FACTOR: f64 = 0.1;

impl EndpointHealth {
    /// One of the first list, which has its whole share at once, as there is nothing to warm it beside.
    pub fn initial(ejection: OutlierEjection, now_us: u64) -> EndpointHealth {
        EndpointHealth {
            ejection,
            state: State::Accepting { failures: 0 },
            since_us: now_us,
            slow_start_ends_us: now_us,
            was_ejected: false,
            next_ejection_us: ejection.base_ejection_us,
        }
    }

    /// One that came to a list that was there.
    pub fn added(ejection: OutlierEjection, now_us: u64) -> EndpointHealth {
        EndpointHealth {
            slow_start_ends_us: now_us + ejection.slow_start_us,
            ..EndpointHealth::initial(ejection, now_us)
        }
    }

    /// Whether it takes calls without more ado.
    pub fn accepts_calls(&self) -> bool {
        matches!(self.state, State::Accepting { .. })
    }

    /// Its share of what it would take when warm, from 0 to 1.
    pub fn slow_start_factor(&self, now_us: u64) -> f64 {
        let left_us = self.slow_start_ends_us.saturating_sub(now_us);
        if left_us == 0 {
            return 1.0;
        }
        INITIAL_FACTOR + (1.0 - INITIAL_FACTOR) * (1.0 - left_us as f64 / self.ejection.slow_start_us as f64)
    }

    /// When one call may try it, while it is left out.
    pub fn ejected_until_us(&self) -> Option<u64> {
        match self.state {
            State::Ejected { until_us, .. } => Some(until_us),
            _ => None,
        }
    }

    /// Why it takes nothing, if so.
    pub fn ejection_cause(&self) -> Option<EjectionCause> {
        match self.state {
            State::Ejected { cause, .. } | State::Probing { cause, .. } => Some(cause),
            State::Accepting { .. } | State::Removed => None,
        }
    }

    pub fn is_removed(&self) -> bool {
        self.state == State::Removed
    }

    /// A call is given to it; while it is left out and due this is its trial.
    pub fn call_started(&mut self, call: u64, now_us: u64) {
        if let State::Ejected { until_us, cause } = self.state {
            if now_us >= until_us {
                self.enter(State::Probing { call, cause }, now_us);
            }
        }
    }

    /// An answer came from it.
    pub fn succeeded(&mut self, now_us: u64) {
        match self.state {
            State::Accepting { .. } => {
                self.state = State::Accepting { failures: 0 };
                // It has stayed for as long as it could have been out: it is as good as new.
                if now_us >= self.since_us + self.ejection.max_ejection_us {
                    self.next_ejection_us = self.ejection.base_ejection_us;
                }
            }
            State::Ejected { .. } | State::Probing { .. } => {
                self.enter(State::Accepting { failures: 0 }, now_us);
                self.slow_start_ends_us = now_us + self.ejection.slow_start_us;
                self.was_ejected = true;
            }
            State::Removed => {}
        }
    }

    /// The endpoint came back that long before its probe was answered: its ramp began then.
    pub fn backdate_slow_start(&mut self, by_us: u64) {
        self.slow_start_ends_us = self.slow_start_ends_us.saturating_sub(by_us);
    }

    /// The call of a trial ended without telling anything, so that another may tell.
    pub fn probe_ended(&mut self, call: u64, now_us: u64) {
        if let State::Probing { call: probe, cause } = self.state {
            if probe == call {
                self.enter(State::Ejected { until_us: now_us, cause }, now_us);
            }
        }
    }

    /// It could not be reached, or failed a call.
    pub fn failed(&mut self, now_us: u64, cause: EjectionCause, rng: &mut fastrand::Rng) {
        match self.state {
            State::Removed => return,
            State::Accepting { failures } if failures + 1 < self.ejection.consecutive_failures => {
                return self.state = State::Accepting { failures: failures + 1 };
            }
            // What was under way when it was left out ends now: that tells nothing new.
            State::Ejected { until_us, .. } if now_us < until_us => return,
            State::Accepting { .. } | State::Ejected { .. } | State::Probing { .. } => {}
        }
        let ejection_us = self.next_ejection_us as f64 * (1.0 - JITTER / 2.0 + JITTER * rng.f64());
        self.next_ejection_us = (self.next_ejection_us * 2).min(self.ejection.max_ejection_us);
        self.enter(State::Ejected { until_us: now_us + ejection_us as u64, cause }, now_us);
    }

    /// It is on the list no more.
    pub fn remove(&mut self, now_us: u64) {
        if !self.is_removed() {
            self.enter(State::Removed, now_us);
        }
    }

    /// It is on the list again before it was gone.
    pub fn added_again(&mut self, now_us: u64) {
        if self.is_removed() {
            *self = EndpointHealth {
                next_ejection_us: self.next_ejection_us,
                ..EndpointHealth::added(self.ejection, now_us)
            };
        }
    }

    /// Its state in a word, for operators.
    pub fn status(&self, now_us: u64) -> &'static str {
        match self.state {
            State::Accepting { .. } if now_us >= self.slow_start_ends_us => "in",
            State::Accepting { .. } if self.was_ejected => "back",
            State::Accepting { .. } => "joining",
            State::Ejected { .. } => "out",
            State::Probing { .. } => "trying",
            State::Removed => "leaving",
        }
    }

    pub fn since_us(&self) -> u64 {
        self.since_us
    }

    fn enter(&mut self, state: State, now_us: u64) {
        (self.state, self.since_us) = (state, now_us);
    }
}
