//! How many calls below each pool of methods may have at once: limits that follow what lies below as it slows and recovers,
//! room that is lent while it is idle, and a reserve that keeps the cheapest calls going.
//!
//! No sockets and no clock. Whoever places calls asks [`ConcurrencyLimits::may`] before each, and tells what became of it.
//!
//! ```
//! use ochrewalk_pools::{LimitAlgorithm, LimitsConfig, ConcurrencyLimits, PoolConfig};
//! let pool = |initial, uses_reserve| PoolConfig { initial, min: 1, max: 100, uses_reserve };
//! let plan = LimitsConfig { algorithm: LimitAlgorithm::Integral, pools: vec![pool(2, true), pool(4, false)], reserve: 2 };
//! let mut pools = ConcurrencyLimits::new(0, plan);
//! // The second pool has its own four; the reserve is never lent.
//! assert_eq!((0..9).filter(|_| pools.try_acquire(0, 1)).count(), 4);
//! assert!(pools.try_acquire(0, 0) && pools.try_acquire(0, 0));
//! ```

mod adaptive_limit;
mod baseline_latency;
mod concurrency_limits;
mod shared_capacity;

pub use adaptive_limit::{AdaptiveLimit, LimitAlgorithm, PeriodSample, ALGORITHMS};
pub use baseline_latency::BaselineLatency;
pub use concurrency_limits::{ConcurrencyLimits, LimitChange, LimitsConfig, PoolConfig, PERIOD_US};
pub use shared_capacity::{PoolUsage, SharedCapacity};
