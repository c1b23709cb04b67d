//! Decides the resources for a size by a measured line, how far they are extrapolated, and whether they are within a
//! budget.

use crate::slopes::model::{Slope, SlopeSet};

/// A quantity to be estimated: the value of a line at a size, times a factor.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    pub role: &'static str,
    /// The description of the quantity, such as `memory for all routes`.
    pub what: String,
    pub unit: Unit,
    /// The name of the slope from which the value is computed.
    pub slope: &'static str,
    pub size: f64,
    /// The factor of the line's value, such as the rate of changes for a cost per change.
    pub factor: f64,
    /// Whether the intercept, which is the value at size zero, is included.
    pub has_intercept: bool,
    /// The largest allowed value, if the operators set a budget.
    pub budget: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    Bytes,
    BytesPerSecond,
    CoreShare,
    Seconds,
    Descriptors,
}

/// The estimate for a demand.
#[derive(Clone, Debug, PartialEq)]
pub struct Estimate {
    pub value: f64,
    /// The largest deviation of a measured point from the line, times the same factor.
    pub residual: f64,
    pub r_squared: f64,
    pub largest_measured: f64,
    /// The size divided by the largest measured size; the value is extrapolated above 1.
    pub extrapolation: f64,
    /// The estimate divided by the budget; the budget is exceeded above 1.
    pub of_budget: Option<f64>,
}

/// Estimates a demand, or returns `None` if its slope was not measured.
pub fn estimate(demand: &Demand, slopes: &SlopeSet) -> Option<Estimate> {
    slopes.get(demand.slope).map(|slope| by_line(demand, slope))
}

fn by_line(demand: &Demand, slope: &Slope) -> Estimate {
    let intercept = if demand.has_intercept { slope.fit.intercept } else { 0.0 };
    let value = (intercept + slope.fit.slope * demand.size) * demand.factor;
    Estimate {
        value,
        residual: slope.fit.largest_deviation * demand.factor,
        r_squared: slope.fit.r_squared,
        largest_measured: slope.largest_size,
        extrapolation: demand.size / slope.largest_size,
        of_budget: demand.budget.map(|budget| value / budget),
    }
}

/// Sorts estimates by the share of their budget, the largest first, as these fail first. Estimates without a budget
/// come last.
pub fn by_what_fails_first(estimates: &mut [(Demand, Estimate)]) {
    let part = |estimate: &Estimate| estimate.of_budget.unwrap_or(f64::NEG_INFINITY);
    estimates.sort_by(|(_, left), (_, right)| part(right).total_cmp(&part(left)));
}
