//! Ejection and slow start of one endpoint. An endpoint that fails is ejected for a time that doubles with each ejection
//! and varies by a quarter either way, then probed by one call at a time. One that was added or readmitted starts slowly. An
//! endpoint that keeps failing after each readmission keeps its long ejection times: only staying up resets them.

use crate::status::EndpointStatus;

/// When an endpoint is ejected, and for how long. All times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutlierEjection {
    /// How many failures in a row eject an endpoint; at least 1.
    pub consecutive_failures: u32,
    /// How long the first ejection lasts, before its random variation.
    pub base_ejection_us: u64,
    /// The longest that an ejection lasts, before its random variation.
    pub max_ejection_us: u64,
    /// How long a new or readmitted endpoint takes to its full share.
    pub slow_start_us: u64,
}

/// Why an endpoint is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionCause {
    /// No connection could be made: proof that nothing serves there.
    ConnectFailed,
    /// Calls failed or were not answered in time: the fault may be this node's, or a link's.
    CallsFailed,
}

impl EjectionCause {
    /// The cause as logs and the operators' table have it.
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
    /// One call is under way that decides whether the endpoint is readmitted.
    Probing {
        call: u64,
        cause: EjectionCause,
    },
    /// The endpoint is no longer listed; calls that are under way there end.
    Removed,
}

/// The state machine of one endpoint.
///
/// | state | event | next state |
/// | --- | --- | --- |
/// | accepting | a failure that is the last of [`OutlierEjection::consecutive_failures`] in a row | ejected |
/// | accepting | any other failure, or an answer | accepting |
/// | ejected | a call starts after the ejection time | probing |
/// | ejected | an answer to an earlier call | accepting, with slow start |
/// | ejected | a failure before the ejection time ends | ejected, as before |
/// | ejected | a failure after the ejection time | ejected, for longer |
/// | probing | an answer to the probe or to an earlier call | accepting, with slow start |
/// | probing | the probe or an earlier call fails | ejected, for longer |
/// | probing | the probe ends inconclusively | ejected, and to be probed at once |
/// | any | the endpoint is no longer listed | removed |
/// | removed | the endpoint is listed again | accepting, with slow start |
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointHealth {
    settings: OutlierEjection,
    state: State,
    since_us: u64,
    slow_start_ends_us: u64,
    was_ejected: bool,
    next_ejection_us: u64,
}

/// How far an ejection time varies, as a share of it, from its shortest to its longest.
const JITTER: f64 = 0.5;
/// The slow start factor at the start: enough calls to learn from, harmless to a cold endpoint.
const INITIAL_FACTOR: f64 = 0.1;

impl EndpointHealth {
    /// An endpoint of the first list: without slow start, as no other endpoint could take the load meanwhile.
    pub fn initial(settings: OutlierEjection, now_us: u64) -> EndpointHealth {
        EndpointHealth {
            settings,
            state: State::Accepting { failures: 0 },
            since_us: now_us,
            slow_start_ends_us: now_us,
            was_ejected: false,
            next_ejection_us: settings.base_ejection_us,
        }
    }

    /// An endpoint that was added to a list with others: with slow start.
    pub fn added(settings: OutlierEjection, now_us: u64) -> EndpointHealth {
        let slow_start_ends_us = now_us + settings.slow_start_us;
        EndpointHealth { slow_start_ends_us, ..EndpointHealth::initial(settings, now_us) }
    }

    /// Whether the endpoint gets calls, as far as its own state goes.
    pub fn accepts_calls(&self) -> bool {
        matches!(self.state, State::Accepting { .. })
    }

    /// Which part of its full share the endpoint gets now: from 0.1 at the beginning of a slow start to 1.
    pub fn slow_start_factor(&self, now_us: u64) -> f64 {
        let left_us = self.slow_start_ends_us.saturating_sub(now_us);
        if left_us == 0 {
            return 1.0;
        }
        INITIAL_FACTOR + (1.0 - INITIAL_FACTOR) * (1.0 - left_us as f64 / self.settings.slow_start_us as f64)
    }

    /// When an ejected endpoint may be probed; none in any other state.
    pub fn ejected_until_us(&self) -> Option<u64> {
        match self.state {
            State::Ejected { until_us, .. } => Some(until_us),
            State::Accepting { .. } | State::Probing { .. } | State::Removed => None,
        }
    }

    /// Why the endpoint is ejected or probed; none in any other state.
    pub fn ejection_cause(&self) -> Option<EjectionCause> {
        match self.state {
            State::Ejected { cause, .. } | State::Probing { cause, .. } => Some(cause),
            State::Accepting { .. } | State::Removed => None,
        }
    }

    /// Whether the endpoint is no longer listed.
    pub fn is_removed(&self) -> bool {
        self.state == State::Removed
    }

    /// A call starts at the endpoint. If the endpoint is ejected and its ejection time is over, the call is its probe.
    pub fn call_started(&mut self, call: u64, now_us: u64) {
        if let State::Ejected { until_us, cause } = self.state {
            if now_us >= until_us {
                self.enter(State::Probing { call, cause }, now_us);
            }
        }
    }

    /// The endpoint answered.
    pub fn succeeded(&mut self, now_us: u64) {
        match self.state {
            State::Accepting { .. } => {
                self.state = State::Accepting { failures: 0 };
                // It has stayed up for as long as it could have been ejected.
                if now_us >= self.since_us + self.settings.max_ejection_us {
                    self.next_ejection_us = self.settings.base_ejection_us;
                }
            }
            State::Ejected { .. } | State::Probing { .. } => {
                self.enter(State::Accepting { failures: 0 }, now_us);
                self.slow_start_ends_us = now_us + self.settings.slow_start_us;
                self.was_ejected = true;
            }
            State::Removed => {}
        }
    }

    /// The endpoint served again that many microseconds before its probe was answered: its slow start began then.
    pub fn backdate_slow_start(&mut self, by_us: u64) {
        self.slow_start_ends_us = self.slow_start_ends_us.saturating_sub(by_us);
    }

    /// A call ended. If it was the probe, and nothing else is known of its outcome, the endpoint may be probed again at once.
    pub fn probe_ended(&mut self, call: u64, now_us: u64) {
        if let State::Probing { call: probe, cause } = self.state {
            if probe == call {
                self.enter(State::Ejected { until_us: now_us, cause }, now_us);
            }
        }
    }

    /// A connection to the endpoint could not be made, or a call failed.
    pub fn failed(&mut self, now_us: u64, cause: EjectionCause, rng: &mut fastrand::Rng) {
        match self.state {
            State::Removed => return,
            State::Accepting { failures } if failures + 1 < self.settings.consecutive_failures => {
                return self.state = State::Accepting { failures: failures + 1 };
            }
            // The end of a call that was under way at the ejection says nothing new.
            State::Ejected { until_us, .. } if now_us < until_us => return,
            State::Accepting { .. } | State::Ejected { .. } | State::Probing { .. } => {}
        }
        let ejection_us = self.next_ejection_us as f64 * (1.0 - JITTER / 2.0 + JITTER * rng.f64());
        self.next_ejection_us = (self.next_ejection_us * 2).min(self.settings.max_ejection_us);
        self.enter(State::Ejected { until_us: now_us + ejection_us as u64, cause }, now_us);
    }

    /// The endpoint is no longer listed.
    pub fn remove(&mut self, now_us: u64) {
        if !self.is_removed() {
            self.enter(State::Removed, now_us);
        }
    }

    /// The endpoint is listed: if it was removed, it starts again, slowly and with the ejection times that it had reached.
    pub fn added_again(&mut self, now_us: u64) {
        if self.is_removed() {
            let next_ejection_us = self.next_ejection_us;
            *self = EndpointHealth { next_ejection_us, ..EndpointHealth::added(self.settings, now_us) };
        }
    }

    /// The state as operators see it.
    pub fn status(&self, now_us: u64) -> EndpointStatus {
        match self.state {
            State::Accepting { .. } if now_us >= self.slow_start_ends_us => EndpointStatus::Accepting,
            State::Accepting { .. } if self.was_ejected => EndpointStatus::Readmitted,
            State::Accepting { .. } => EndpointStatus::Added,
            State::Ejected { .. } => EndpointStatus::Ejected,
            State::Probing { .. } => EndpointStatus::Probing,
            State::Removed => EndpointStatus::Removed,
        }
    }

    /// When the endpoint entered its state, in microseconds.
    pub fn since_us(&self) -> u64 {
        self.since_us
    }

    fn enter(&mut self, state: State, now_us: u64) {
        (self.state, self.since_us) = (state, now_us);
    }
}
