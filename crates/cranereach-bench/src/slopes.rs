//! How the cost of an operation grows with one dimension of a deployment's size.
//!
//! Each cost is measured at four sizes or more that span about a factor of ten or
//! more, and a line is fitted to it. The largest residual is given as a fraction of the
//! largest value. [`core_decisions`] measures the decision logic in `cranereach_core`,
//! [`gateway`] and [`accounts`] the decisions of a gateway, [`contents`] what a gateway does with
//! the bytes of responses, [`connections`] the memory of callers' connections, and [`system`] whole
//! deployments.

pub mod accounts;
pub mod connections;
pub mod contents;
pub mod core_decisions;
mod fixtures;
pub mod gateway;
pub mod system;

use serde::Serialize;

/// A cost measured at one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// Size at which the cost was measured.
    pub count: f64,
    /// Measured cost.
    pub value: f64,
}

/// A line fitted to measured costs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Slope {
    /// Operation or quantity that was measured.
    pub name: &'static str,
    /// Dimension that was varied.
    pub per: &'static str,
    /// Unit of the cost.
    pub unit: &'static str,
    /// Cost at size zero, by the fit.
    pub base: f64,
    /// Cost added per unit of size, by the fit.
    pub slope: f64,
    /// Largest absolute residual of the fit, as a fraction of the largest cost.
    pub residual_ratio: f64,
    /// Measured points.
    pub points: Vec<Point>,
}

/// Fits a line by least squares.
///
/// ```
/// use cranereach_bench::slopes::{fit, Point};
///
/// let points = [1.0, 2.0, 10.0].map(|count| Point { count, value: 5.0 + 3.0 * count });
/// let slope = fit("x", "thing", "us", points.to_vec());
/// assert!((slope.slope - 3.0).abs() < 1e-9);
/// ```
pub fn fit(name: &'static str, per: &'static str, unit: &'static str, points: Vec<Point>) -> Slope {
    let points_count = points.len() as f64;
    let mean_count = points.iter().map(|point| point.count).sum::<f64>() / points_count;
    let mean_value = points.iter().map(|point| point.value).sum::<f64>() / points_count;
    let covariance: f64 = points
        .iter()
        .map(|point| (point.count - mean_count) * (point.value - mean_value))
        .sum();
    let variance: f64 = points
        .iter()
        .map(|point| (point.count - mean_count).powi(2))
        .sum();
    let slope = if variance > 0.0 {
        covariance / variance
    } else {
        0.0
    };
    let base = mean_value - slope * mean_count;
    let largest_value = points
        .iter()
        .map(|point| point.value.abs())
        .fold(f64::MIN_POSITIVE, f64::max);
    let largest_residual = points
        .iter()
        .map(|point| (point.value - base - slope * point.count).abs())
        .fold(0.0, f64::max);
    Slope {
        name,
        per,
        unit,
        base,
        slope,
        residual_ratio: largest_residual / largest_value,
        points,
    }
}
