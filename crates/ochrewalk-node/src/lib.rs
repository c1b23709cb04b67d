//! The parts of a node that connect the admission controller with real sockets: ingress protocols, the executor,
//! upstreams, hand-over to a new process, configuration and rollout. See docs/architecture.md.

pub mod clock;
pub mod close_reason;
pub mod configuration;
pub mod coordinator;
pub mod handover;
pub mod idempotency_keys;
pub mod interfaces;
pub mod logger;
pub mod method_counters;
pub mod net;
pub mod node;
pub mod panics;
pub mod recent_runs;
pub mod request_state;
pub mod request_task;
pub mod rollout;
pub mod shared_state;
pub mod signals;
pub mod wire;
