//! Concurrency limits for upstream calls, by pool of methods: limits that adapt as the upstream slows down and recovers, idle
//! capacity that is lent to other pools, and a reserve that guarantees some calls to selected pools.
//!
//! The crate does no I/O and reads no clock. The caller invokes [`ConcurrencyLimits::try_acquire`] before each upstream call
//! and reports the outcome of each. The same sequence of events produces the same decisions.
//!
//! # Guarantees
//!
//! * A pool is never refused a call within its own limit, nor one within the reserve if it may use that.
//! * The reserve is never lent to other pools.
//! * A pool without a call in flight may start one call per second, however full all pools are.
//! * A limit stays within the bounds of its [`PoolConfig`].
//!
//! # Admission
//!
//! | call | admitted |
//! | --- | --- |
//! | within the pool's own limit | always |
//! | within the unused reserve | if the pool may use the reserve |
//! | beyond both | if all pools together stay within the sum of their limits less the unused reserve, and no other pool was refused within the last 200 ms |
//! | the pool's first within a second, with none in flight | always |
//!
//! Limits are adjusted once per [`PERIOD_US`] by the [`LimitAlgorithm`].
//!
//! # Responsibilities of the caller
//!
//! * Reporting the end of each admitted call, exactly once.
//! * Calling [`ConcurrencyLimits::tick`] at least once per period.
//!
//! ```
//! use ochrewalk_concurrency_limits::{ConcurrencyLimits, LimitAlgorithm, LimitsConfig, PoolConfig};
//! let pool = |initial, uses_reserve| PoolConfig { initial, min: 1, max: 100, uses_reserve };
//! let pools = vec![pool(2, true), pool(4, false)];
//! let config = LimitsConfig { algorithm: LimitAlgorithm::Integral, pools, reserve: 2 };
//! let mut limits = ConcurrencyLimits::new(0, &config);
//! // The second pool has its own limit of four; the reserve is never lent.
//! assert_eq!((0..9).filter(|_| limits.try_acquire(0, 1)).count(), 4);
//! assert!(limits.try_acquire(0, 0) && limits.try_acquire(0, 0));
//! ```

#![warn(missing_docs)]

mod adaptive_limit;
mod baseline_latency;
mod concurrency_limits;
mod config;
mod pool;
mod shared_capacity;

pub use adaptive_limit::{AdaptiveLimit, LimitAlgorithm, PeriodSample};
pub use baseline_latency::BaselineLatency;
pub use concurrency_limits::{ConcurrencyLimits, LimitChange, PERIOD_US};
pub use config::{LimitsConfig, PoolConfig};
pub use shared_capacity::{PoolUsage, SharedCapacity};
