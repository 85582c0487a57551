//! Slopes of figures over sizes.

use serde::Serialize;

/// `y = intercept + slope * x`, and beside it `y ~ x^exponent`.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Fit {
    pub slope: f64,
    #[serde(rename = "at_nothing")]
    pub intercept: f64,
    /// Of the straight line through the logarithms; none where a figure is not above 0.
    pub exponent: Option<f64>,
    /// How far the line is off a point at most, as a share of the largest figure.
    pub residual: f64,
}

fn line(points: &[(f64, f64)]) -> Option<(f64, f64)> {
    let n = points.len() as f64;
    let (mx, my) = (
        points.iter().map(|p| p.0).sum::<f64>() / n,
        points.iter().map(|p| p.1).sum::<f64>() / n,
    );
    let spread = points.iter().map(|p| (p.0 - mx).powi(2)).sum::<f64>();
    let slope = points.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum::<f64>() / spread;
    (points.len() > 1 && spread > 0.0).then_some((slope, my - slope * mx))
}

/// Least squares through figures by size; none for fewer than two sizes.
pub fn fit(points: &[(f64, f64)]) -> Option<Fit> {
    let (slope, intercept) = line(points)?;
    let largest = points
        .iter()
        .map(|p| p.1.abs())
        .fold(f64::MIN_POSITIVE, f64::max);
    let off = points
        .iter()
        .map(|p| (p.1 - intercept - slope * p.0).abs())
        .fold(0.0, f64::max);
    let logs: Vec<(f64, f64)> = points
        .iter()
        .filter(|p| p.0 > 0.0 && p.1 > 0.0)
        .map(|p| (p.0.ln(), p.1.ln()))
        .collect();
    let exponent = if logs.len() == points.len() {
        line(&logs).map(|l| l.0)
    } else {
        None
    };
    Some(Fit {
        slope,
        intercept,
        exponent,
        residual: off / largest,
    })
}
