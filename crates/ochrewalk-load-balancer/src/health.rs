//! Ejection and slow start of one endpoint. A failing endpoint is ejected for a time that doubles with each ejection, with
//! a jitter of 25 % in either direction, and is then probed by one call at a time. An endpoint that was added or readmitted
//! goes through slow start. An endpoint that fails again after each readmission keeps its long ejection times: only
//! accepting calls for the maximum ejection time resets them.

use crate::status::EndpointStatus;

/// The conditions and the duration of ejections. All times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutlierEjection {
    /// The number of consecutive failures that eject an endpoint; at least 1.
    pub consecutive_failures: u32,
    /// The duration of the first ejection, before jitter.
    pub base_ejection_us: u64,
    /// The maximum duration of an ejection, before jitter.
    pub max_ejection_us: u64,
    /// The duration of slow start, after which a new or readmitted endpoint gets its full share.
    pub slow_start_us: u64,
}

/// The reason for an ejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionCause {
    /// No connection could be established: proof that nothing serves at the address.
    ConnectFailed,
    /// Calls failed or were not answered in time: the fault may be in the endpoint, in this node or in the network.
    CallsFailed,
}

impl EjectionCause {
    /// Returns the cause as logs and the operators' table show it.
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
    /// The probe that decides whether the endpoint is readmitted is in flight.
    Probing {
        call: u64,
        cause: EjectionCause,
    },
    /// The endpoint is no longer listed; calls in flight there still end.
    Removed,
}

/// The state machine of one endpoint.
///
/// | state | event | next state |
/// | --- | --- | --- |
/// | accepting | the last of [`OutlierEjection::consecutive_failures`] consecutive failures | ejected |
/// | accepting | any other failure, or a reply | accepting |
/// | ejected | a call starts after the ejection time | probing |
/// | ejected | a reply to an earlier call | accepting, with slow start |
/// | ejected | a failure before the ejection time ends | ejected, unchanged |
/// | ejected | a failure after the ejection time | ejected, for a longer time |
/// | probing | a reply to the probe or to an earlier call | accepting, with slow start |
/// | probing | the probe or an earlier call fails | ejected, for a longer time |
/// | probing | the probe ends inconclusively | ejected, and may be probed immediately |
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

/// The width of the jitter, from the shortest to the longest ejection time, as a share of the time before jitter.
const JITTER: f64 = 0.5;
/// The factor at the beginning of slow start: enough calls to learn from, and few enough not to harm a cold endpoint.
const INITIAL_SLOW_START_FACTOR: f64 = 0.1;

impl EndpointHealth {
    /// Creates the state of an endpoint of the first list: without slow start, as no other endpoint could take the load in
    /// that time.
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

    /// Creates the state of an endpoint that was added to a list with others: with slow start.
    pub fn added(settings: OutlierEjection, now_us: u64) -> EndpointHealth {
        let slow_start_ends_us = now_us + settings.slow_start_us;
        EndpointHealth { slow_start_ends_us, ..EndpointHealth::initial(settings, now_us) }
    }

    /// Whether the endpoint accepts calls, panic mode not taken into account.
    pub fn accepts_calls(&self) -> bool {
        matches!(self.state, State::Accepting { .. })
    }

    /// The part of its full share that the endpoint gets now, from 0.1 at the beginning of slow start to 1.
    pub fn slow_start_factor(&self, now_us: u64) -> f64 {
        let left_us = self.slow_start_ends_us.saturating_sub(now_us);
        if left_us == 0 {
            return 1.0;
        }
        INITIAL_SLOW_START_FACTOR
            + (1.0 - INITIAL_SLOW_START_FACTOR) * (1.0 - left_us as f64 / self.settings.slow_start_us as f64)
    }

    /// The time from which an ejected endpoint may be probed, in microseconds; `None` in any other state.
    pub fn ejected_until_us(&self) -> Option<u64> {
        match self.state {
            State::Ejected { until_us, .. } => Some(until_us),
            State::Accepting { .. } | State::Probing { .. } | State::Removed => None,
        }
    }

    /// The reason for which the endpoint is ejected or probed; `None` in any other state.
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

    /// Records the start of a call. If the endpoint is ejected and its ejection time is over, the call is its probe.
    pub fn call_started(&mut self, call: u64, now_us: u64) {
        if let State::Ejected { until_us, cause } = self.state {
            if now_us >= until_us {
                self.enter(State::Probing { call, cause }, now_us);
            }
        }
    }

    /// Records a reply from the endpoint.
    pub fn succeeded(&mut self, now_us: u64) {
        match self.state {
            State::Accepting { .. } => {
                self.state = State::Accepting { failures: 0 };
                // The endpoint has accepted calls for at least the maximum ejection time.
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

    /// Moves the beginning of slow start back by that many microseconds: the estimated time for which the endpoint had
    /// already recovered when its probe was answered.
    pub fn backdate_slow_start(&mut self, by_us: u64) {
        self.slow_start_ends_us = self.slow_start_ends_us.saturating_sub(by_us);
    }

    /// Records the end of a call. If the call was the probe, the endpoint may be probed again immediately, unless an outcome
    /// is recorded next.
    pub fn probe_ended(&mut self, call: u64, now_us: u64) {
        if let State::Probing { call: probe, cause } = self.state {
            if probe == call {
                self.enter(State::Ejected { until_us: now_us, cause }, now_us);
            }
        }
    }

    /// Records a failed connection or a failed call.
    pub fn failed(&mut self, now_us: u64, cause: EjectionCause, rng: &mut fastrand::Rng) {
        match self.state {
            State::Removed => return,
            State::Accepting { failures } if failures + 1 < self.settings.consecutive_failures => {
                return self.state = State::Accepting { failures: failures + 1 };
            }
            // A call that was in flight at the ejection gives no new evidence when it fails.
            State::Ejected { until_us, .. } if now_us < until_us => return,
            State::Accepting { .. } | State::Ejected { .. } | State::Probing { .. } => {}
        }
        let ejection_us = self.next_ejection_us as f64 * (1.0 - JITTER / 2.0 + JITTER * rng.f64());
        self.next_ejection_us = (self.next_ejection_us * 2).min(self.settings.max_ejection_us);
        self.enter(State::Ejected { until_us: now_us + ejection_us as u64, cause }, now_us);
    }

    /// Records that the endpoint is no longer listed.
    pub fn remove(&mut self, now_us: u64) {
        if !self.is_removed() {
            self.enter(State::Removed, now_us);
        }
    }

    /// Records that the endpoint is listed. A removed endpoint starts again, with slow start and with the ejection time that
    /// it had reached.
    pub fn added_again(&mut self, now_us: u64) {
        if self.is_removed() {
            let next_ejection_us = self.next_ejection_us;
            *self = EndpointHealth { next_ejection_us, ..EndpointHealth::added(self.settings, now_us) };
        }
    }

    /// Returns the state as shown to operators.
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

    /// The time at which the endpoint entered its state, in microseconds.
    pub fn since_us(&self) -> u64 {
        self.since_us
    }

    fn enter(&mut self, state: State, now_us: u64) {
        (self.state, self.since_us) = (state, now_us);
    }
}
