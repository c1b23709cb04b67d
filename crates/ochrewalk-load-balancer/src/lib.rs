//! Load balancing for hundreds of processes that each see little of the load and exchange nothing: which endpoint an
//! upstream call goes to.
//!
//! The crate does no I/O and reads no clock. Its caller makes the calls and reports how each ended; [`LoadBalancer`] says
//! where the next one goes. The same seed and the same sequence of events bring the same choices.
//!
//! # Guarantees
//!
//! * A call goes to a listed endpoint only, and to one that accepts calls, unless it is the probe of an ejected one.
//! * With [`Subsetting::Deterministic`] each endpoint is in the subsets of as many nodes as any other, to fractions.
//! * The probes of all nodes together stay at about a tenth of an endpoint's normal load (at most 0.175 of it where nodes have
//!   few calls), and are at most one in five calls of a node. Only idempotent calls are probes as long as any endpoint accepts
//!   calls.
//! * An endpoint keeps its slot as long as it is listed or a call is under way there.
//!
//! # States of an endpoint
//!
//! | state | in the operators' table | gets | ends with |
//! | --- | --- | --- | --- |
//! | accepting | `in` | its full share | failures in a row, or removal |
//! | accepting, in slow start | `joining` when new, `back` after an ejection | from a tenth of its share up to all of it | the end of slow start, failures in a row, or removal |
//! | suspect | `suspect` | with the default policy no calls while others accept them | the end of the unanswered call |
//! | ejected | `out` | no calls until its ejection time ends; then probes | a probe, an answer to an earlier call, or removal |
//! | probing | `trying` | no call but the one probe | the end of the probe, or removal |
//! | removed | `leaving` | no calls | the end of its last call, or being listed again |
//!
//! [`EndpointHealth`] lists the transitions. If less than half of a subset accepts calls, the
//! load balancer is in panic mode: endpoints that were ejected for failed calls are used all the same, those that could not
//! be connected to are not.
//!
//! # Left to the caller
//!
//! * Connections, time-outs and retries; a retry names the endpoint to avoid.
//! * Reporting each call that starts and its end, once each.
//! * Telling which calls are idempotent.
//!
//! ```
//! use ochrewalk_load_balancer::{BalancingConfig, Endpoint, Idempotency, LoadBalancer};
//! let mut balancer = LoadBalancer::new(BalancingConfig::default(), 7);
//! balancer.set_endpoints(0, &[Endpoint::new(11), Endpoint::new(22), Endpoint::new(33)]);
//! let mut round: Vec<usize> =
//!     (0..3).map(|_| balancer.pick(0, Idempotency::Idempotent, None).unwrap()).collect();
//! round.sort();
//! assert_eq!(round, [0, 1, 2], "each once, in an order drawn from the seed");
//! ```

#![warn(missing_docs)]

mod call;
mod config;
mod endpoint_state;
mod health;
mod latency_histogram;
mod learned_weight;
mod load_balancer;
mod policy;
mod probe;
mod probe_schedule;
mod state;
mod status;
mod subset;
mod subset_multiplier;
mod zone_overflow;

pub use call::{CallOutcome, Idempotency};
pub use config::{BalancingConfig, Endpoint};
pub use endpoint_state::EndpointState;
pub use health::{EjectionCause, EndpointHealth, OutlierEjection};
pub use latency_histogram::LatencyHistogram;
pub use load_balancer::LoadBalancer;
pub use policy::BalancingPolicy;
pub use state::BalancerState;
pub use status::EndpointStatus;
pub use subset::{assign_subset, AssignedEndpoint, Candidate, SubsetAssignment, Subsetting};
pub use subset_multiplier::SubsetMultiplier;
