//! The data model of measured slopes, as stored in their JSON file.

use serde::{Deserialize, Serialize};

/// A measured value at one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    pub size: f64,
    pub value: f64,
}

/// A fitted line, and its deviation from the points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    pub intercept: f64,
    pub slope: f64,
    /// The largest deviation of a point from the line, in the unit of the values.
    pub largest_deviation: f64,
    pub r_squared: f64,
}

/// The cost of each additional unit of a quantity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// The name in the file, such as `node-memory-by-routes`.
    pub name: String,
    /// The unit of the sizes, such as `routes`.
    pub size_unit: String,
    /// The unit of the values, such as `bytes`.
    pub value_unit: String,
    pub points: Vec<Point>,
    pub fit: Fit,
    pub largest_size: f64,
    /// The command that ran the measurement.
    pub command: String,
    /// Conditions and limits of the measurement.
    pub note: String,
}

/// The machine on which the measurements ran.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    pub cores: usize,
    /// Load averages over 1, 5 and 15 minutes before the first measurement.
    pub load_before: String,
    /// Load averages over 1, 5 and 15 minutes after the last measurement.
    pub load_after: String,
    /// The influence of other load on the measured values.
    pub note: String,
}

/// All slopes of one or several runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlopeSet {
    pub machine: Machine,
    pub slopes: Vec<Slope>,
    /// The measurements that failed, each with the reason.
    pub failed: Vec<String>,
}

impl SlopeSet {
    /// Returns the slope with this name, if it was measured.
    pub fn get(&self, name: &str) -> Option<&Slope> {
        self.slopes.iter().find(|slope| slope.name == name)
    }
}
