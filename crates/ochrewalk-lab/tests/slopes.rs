//! Tests the fit of lines to known points, the errors of the fit, and the merge of repeated measurements.

use ochrewalk_lab::slopes::fit::{fit, FitError};
use ochrewalk_lab::slopes::merge;
use ochrewalk_lab::slopes::model::{Fit, Machine, Point, Slope, SlopeSet};

fn points(of: &[(f64, f64)]) -> Vec<Point> {
    of.iter().map(|(size, value)| Point { size: *size, value: *value }).collect()
}

fn is_close(left: f64, right: f64) -> bool {
    (left - right).abs() < 1e-9
}

#[test]
fn points_on_a_line_are_fitted_without_deviation() {
    let fit = fit(&points(&[(1.0, 12.0), (2.0, 14.0), (5.0, 20.0), (10.0, 30.0)])).unwrap();
    assert!(is_close(fit.slope, 2.0) && is_close(fit.intercept, 10.0), "{fit:?}");
    assert!(is_close(fit.largest_deviation, 0.0) && is_close(fit.r_squared, 1.0), "{fit:?}");
}

#[test]
fn the_largest_deviation_and_r_squared_measure_the_distance_of_points_from_the_line() {
    // Computed by hand: both means are 2.5, the line is 1 + 0.6 x, and the second point is 1.2 below the line.
    let fit = fit(&points(&[(1.0, 2.0), (2.0, 1.0), (3.0, 4.0), (4.0, 3.0)])).unwrap();
    assert!(is_close(fit.slope, 0.6) && is_close(fit.intercept, 1.0), "{fit:?}");
    assert!(is_close(fit.largest_deviation, 1.2) && is_close(fit.r_squared, 0.36), "{fit:?}");
}

#[test]
fn equal_values_are_fitted_by_a_horizontal_line() {
    let fit = fit(&points(&[(1.0, 7.0), (2.0, 7.0), (3.0, 7.0)])).unwrap();
    assert!(is_close(fit.slope, 0.0) && is_close(fit.intercept, 7.0) && is_close(fit.r_squared, 1.0));
}

#[test]
fn too_few_points_and_points_of_one_size_are_rejected() {
    assert_eq!(fit(&points(&[(1.0, 1.0), (2.0, 2.0)])), Err(FitError::TooFewPoints { count: 2 }));
    assert_eq!(fit(&points(&[(1.0, 1.0), (1.0, 2.0), (1.0, 3.0)])), Err(FitError::OneSize));
}

fn set(slopes: &[(&str, f64)], failed: &[&str], load: &str) -> SlopeSet {
    let slope = |(name, slope): &(&str, f64)| Slope {
        name: (*name).into(),
        size_unit: "things".into(),
        value_unit: "units".into(),
        points: Vec::new(),
        fit: Fit { intercept: 0.0, slope: *slope, largest_deviation: 0.0, r_squared: 1.0 },
        largest_size: 1.0,
        command: format!("ochrewalk-lab slopes --only {name}"),
        note: String::new(),
    };
    SlopeSet {
        machine: Machine { cores: 1, load_before: load.into(), load_after: load.into(), note: String::new() },
        slopes: slopes.iter().map(slope).collect(),
        failed: failed.iter().map(|failed| failed.to_string()).collect(),
    }
}

#[test]
fn a_repeated_measurement_replaces_its_slope_and_removes_its_failure() {
    let earlier = set(&[("routes", 1.0), ("tenants", 2.0)], &["keys: it ended", "rpcs: it ended"], "1");
    let newer = set(&[("routes", 3.0), ("keys", 4.0)], &["tenants: refused"], "9");
    let merged = merge(earlier, newer);
    let slope = |name: &str| merged.get(name).map(|slope| slope.fit.slope);
    assert_eq!((slope("routes"), slope("tenants"), slope("keys")), (Some(3.0), Some(2.0), Some(4.0)));
    assert_eq!(merged.failed, ["rpcs: it ended", "tenants: refused"]);
    // The merged set has the load before the first measurement and after the last one.
    assert_eq!((merged.machine.load_before.as_str(), merged.machine.load_after.as_str()), ("1", "9"));
}
