//! Decides which line fits measured points best, by least squares, and how far the points deviate from it.

use super::model::{Fit, Point};
use statrs::statistics::Statistics;

/// The smallest number of points to which a line is fitted, as any two points lie on a line.
const MIN_POINTS: usize = 3;

/// An error of a fit.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FitError {
    #[error("{count} points, at least {MIN_POINTS} are needed")]
    TooFewPoints { count: usize },
    #[error("all points have the same size")]
    OneSize,
}

/// Fits a line to the points. If all values are equal, the line has no deviation and R² is 1.
pub fn fit(points: &[Point]) -> Result<Fit, FitError> {
    if points.len() < MIN_POINTS {
        return Err(FitError::TooFewPoints { count: points.len() });
    }
    let sizes: Vec<f64> = points.iter().map(|point| point.size).collect();
    let values: Vec<f64> = points.iter().map(|point| point.value).collect();
    let size_variance = sizes.as_slice().variance();
    if size_variance == 0.0 {
        return Err(FitError::OneSize);
    }
    let covariance = sizes.as_slice().covariance(values.as_slice());
    let value_variance = values.as_slice().variance();
    let slope = covariance / size_variance;
    let intercept = values.as_slice().mean() - slope * sizes.as_slice().mean();
    let deviation = |point: &Point| (point.value - intercept - slope * point.size).abs();
    let largest_deviation = points.iter().map(deviation).fold(0.0, f64::max);
    let r_squared =
        if value_variance == 0.0 { 1.0 } else { covariance * covariance / (size_variance * value_variance) };
    Ok(Fit { intercept, slope, largest_deviation, r_squared })
}
