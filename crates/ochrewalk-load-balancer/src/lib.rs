//! Load balancing of upstream calls over many endpoints, for hundreds of processes that each see a small part of the load
//! and do not communicate with one another.
//!
//! The crate does no I/O and reads no clock. Its caller makes the calls and reports the outcome of each; [`LoadBalancer`]
//! chooses the endpoint of the next one. The same seed and the same sequence of events produce the same choices.
//!
//! # Guarantees
//!
//! * A call goes only to a listed endpoint that accepts calls, unless the call is the probe of an ejected endpoint.
//! * With [`Subsetting::Deterministic`] all endpoints are in the subsets of equally many nodes, fractions included.
//! * The probes of all nodes together amount to about a tenth of an endpoint's normal load (at most 0.175 of it if nodes
//!   make few calls), and to at most one in five calls of a node. Only idempotent calls are used as probes while any
//!   endpoint accepts calls.
//! * An endpoint keeps its slot as long as it is listed or a call is in flight there.
//!
//! # States of an endpoint
//!
//! | state | name in the operators' table | calls | ends with |
//! | --- | --- | --- | --- |
//! | accepting | `in` | full share | consecutive failures, or removal |
//! | accepting, in slow start | `joining` when new, `back` after an ejection | from a tenth of its share up to its full share | the end of slow start, consecutive failures, or removal |
//! | suspect | `suspect` | with the default policy none while others accept calls | the end of the unanswered call |
//! | ejected | `out` | none until its ejection time ends; then probes | a probe, a reply to an earlier call, or removal |
//! | probing | `trying` | only the one probe | the end of the probe, or removal |
//! | removed | `leaving` | none | the end of its last call, or its return to the list |
//!
//! [`EndpointHealth`] lists the transitions. If less than half of a subset accepts calls, the load balancer is in panic
//! mode: endpoints that were ejected because calls failed are used nevertheless, those to which connections failed are not.
//!
//! # Responsibilities of the caller
//!
//! * Connections, timeouts and retries; a retry passes the endpoint to avoid.
//! * Reporting the start and the end of each call, exactly once each.
//! * Stating whether a call is idempotent.
//!
//! ```
//! use ochrewalk_load_balancer::{BalancingConfig, Endpoint, Idempotency, LoadBalancer};
//! let mut balancer = LoadBalancer::new(BalancingConfig::default(), 7);
//! balancer.set_endpoints(0, &[Endpoint::new(11), Endpoint::new(22), Endpoint::new(33)]);
//! let mut round: Vec<usize> =
//!     (0..3).map(|_| balancer.pick(0, Idempotency::Idempotent, None).unwrap()).collect();
//! round.sort();
//! assert_eq!(round, [0, 1, 2], "each endpoint once, in an order that follows from the seed");
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
