//! What operators set of concurrency limits.

use crate::adaptive_limit::LimitAlgorithm;

/// One pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolConfig {
    /// Its limit at the start.
    pub initial: u32,
    /// The least that its limit falls to; at least 1.
    pub min: u32,
    /// The most that its limit rises to.
    pub max: u32,
    /// Whether it may use the reserve; its limit then falls only once all others have.
    pub uses_reserve: bool,
}

/// All pools.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitsConfig {
    /// How limits follow what the periods show.
    pub algorithm: LimitAlgorithm,
    /// The pools; from here on each is known by its index.
    pub pools: Vec<PoolConfig>,
    /// How many calls are kept free for the pools that may use the reserve.
    pub reserve: u32,
}
