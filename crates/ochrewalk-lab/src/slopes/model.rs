//! What a set of measured slopes holds, as it stands in its JSON file.

use serde::{Deserialize, Serialize};

/// One measurement: a size, and what it took.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    pub size: f64,
    pub value: f64,
}

/// A fitted line, and how far the points lie from it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    pub intercept: f64,
    pub slope: f64,
    /// In the unit of the values.
    pub largest_deviation: f64,
    pub r_squared: f64,
}

/// What one more of something costs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// Its name in the file, as in `node-memory-by-routes`.
    pub name: String,
    /// What grows, as in `routes`.
    pub size_unit: String,
    /// What is measured, as in `bytes`.
    pub value_unit: String,
    pub points: Vec<Point>,
    pub fit: Fit,
    pub largest_size: f64,
    /// The command that measured it.
    pub command: String,
    /// What the figures mean beyond the units, and what limits them.
    pub note: String,
}

/// What the measurements ran on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    pub cores: usize,
    /// Load averages over 1, 5 and 15 minutes, before the first measurement and after the last.
    pub load_before: String,
    pub load_after: String,
    /// How much a busy machine disturbs the figures.
    pub note: String,
}

/// All slopes of one or several runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlopeSet {
    pub machine: Machine,
    pub slopes: Vec<Slope>,
    /// Measurements that failed in that run, each with the reason.
    pub failed: Vec<String>,
}

impl SlopeSet {
    /// The slope of that name, if it was measured.
    pub fn get(&self, name: &str) -> Option<&Slope> {
        self.slopes.iter().find(|slope| slope.name == name)
    }
}
