//! Fits lines and power laws to figures by size.

use serde::Serialize;

/// A linear fit `y = intercept + slope * x`, and the exponent of a power-law fit `y ~ x^exponent`.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Fit {
    pub slope: f64,
    #[serde(rename = "at_nothing")]
    pub intercept: f64,
    /// Slope of the line through the logarithms; none if a figure is not above 0.
    pub exponent: Option<f64>,
    /// Largest distance of a point from the line, as a share of the largest figure.
    pub residual: f64,
}

/// Slope and intercept by least squares.
fn fit_line(points: &[(f64, f64)]) -> Option<(f64, f64)> {
    let count = points.len() as f64;
    let (mean_x, mean_y) = (
        points.iter().map(|p| p.0).sum::<f64>() / count,
        points.iter().map(|p| p.1).sum::<f64>() / count,
    );
    let variance = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum::<f64>();
    let slope = points
        .iter()
        .map(|p| (p.0 - mean_x) * (p.1 - mean_y))
        .sum::<f64>()
        / variance;
    (points.len() > 1 && variance > 0.0).then_some((slope, mean_y - slope * mean_x))
}

/// Fits (size, figure) points by least squares; none for fewer than two sizes.
pub fn fit(points: &[(f64, f64)]) -> Option<Fit> {
    let (slope, intercept) = fit_line(points)?;
    let largest = points
        .iter()
        .map(|p| p.1.abs())
        .fold(f64::MIN_POSITIVE, f64::max);
    let max_distance = points
        .iter()
        .map(|p| (p.1 - intercept - slope * p.0).abs())
        .fold(0.0, f64::max);
    let logs: Vec<(f64, f64)> = points
        .iter()
        .filter(|p| p.0 > 0.0 && p.1 > 0.0)
        .map(|p| (p.0.ln(), p.1.ln()))
        .collect();
    let exponent = if logs.len() == points.len() {
        fit_line(&logs).map(|l| l.0)
    } else {
        None
    };
    Some(Fit {
        slope,
        intercept,
        exponent,
        residual: max_distance / largest,
    })
}
