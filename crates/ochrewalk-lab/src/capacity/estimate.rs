//! Decides what a size takes by a measured line, how far that is extrapolated, and whether it is within a budget.

use crate::slopes::model::{Slope, SlopeSet};

/// What is to be estimated: a value of a line at a size, times a factor.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    pub role: &'static str,
    /// What is counted, as in `memory for all routes`.
    pub what: String,
    pub unit: Unit,
    /// The slope that it comes from, by its name.
    pub slope: &'static str,
    pub size: f64,
    /// Applied to the line's value, as for changes a second times the cost of a change.
    pub factor: f64,
    /// Whether the intercept counts: what there is without any.
    pub has_intercept: bool,
    /// The most that it may be, where the operators gave a budget.
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

/// What a demand comes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Estimate {
    pub value: f64,
    /// Half of the band within which all measured points lay, times the same factor.
    pub residual: f64,
    pub r_squared: f64,
    pub largest_measured: f64,
    /// The size over the largest measured; above 1 it is extrapolated.
    pub extrapolation: f64,
    /// The estimate over the budget; above 1 it doesn't fit.
    pub of_budget: Option<f64>,
}

/// None where there is no such slope: it was not measured.
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

/// The order of what fails first: what takes the largest part of its budget leads, what has none comes last.
pub fn by_what_fails_first(estimates: &mut [(Demand, Estimate)]) {
    let part = |estimate: &Estimate| estimate.of_budget.unwrap_or(f64::NEG_INFINITY);
    estimates.sort_by(|(_, left), (_, right)| part(right).total_cmp(&part(left)));
}
