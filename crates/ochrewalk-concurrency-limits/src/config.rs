//! The operators' settings of concurrency limits.

use crate::adaptive_limit::LimitAlgorithm;

/// The settings of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolConfig {
    /// The initial limit.
    pub initial: u32,
    /// The minimum of the limit; at least 1.
    pub min: u32,
    /// The maximum of the limit.
    pub max: u32,
    /// Whether the pool may use the reserve; its limit then falls only after those of all other pools have fallen.
    pub uses_reserve: bool,
}

/// The settings of all pools.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitsConfig {
    /// The algorithm that adjusts the limits after each period.
    pub algorithm: LimitAlgorithm,
    /// The pools; each is identified by its index in this list.
    pub pools: Vec<PoolConfig>,
    /// The number of calls that are reserved for the pools that may use the reserve.
    pub reserve: u32,
}
