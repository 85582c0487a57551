//! How decisions follow what is seen: values that fade, and medians and means told from the faster half.

use crate::port::{SECOND, Tenths};

/// Least step, as a share, by which a value follows what is seen.
const LEARN: f64 = 0.05;
/// Deciles of what is seen that are followed, and how far apart, in standard deviations of its logarithm, they lie.
const LOW_DECILE: f64 = 0.3;
const MEDIAN: f64 = 0.5;
const DECILES_APART: f64 = 0.524;
/// Bounds of that standard deviation.
const SIGMA_LEAST: f64 = 0.2;
const SIGMA_MOST: f64 = 1.0;

/// A mean told from the faster half alone: a jam, which one of many does not see, stretches the slower.
#[derive(Clone, Default)]
pub(super) struct Timed {
    /// The third decile.
    low: f64,
    /// The median; the mean is that of the log-normal law with both.
    mid: f64,
    /// How many values were seen.
    pub seen: f64,
}

impl Timed {
    /// Before anything is seen.
    pub fn new(guess: f64) -> Self {
        Self {
            low: 0.5 * guess,
            mid: 0.8 * guess,
            seen: 0.0,
        }
    }

    /// One more value is seen.
    pub fn learn(&mut self, value: f64) {
        self.seen += 1.0;
        let step = (2.0 / (self.seen + 1.0)).max(LEARN);
        self.low *= (step * (LOW_DECILE - f64::from(value < self.low))).exp();
        self.mid *= (step * (MEDIAN - f64::from(value < self.mid))).exp();
    }

    /// The mean, as the faster half tells it.
    pub fn mean(&self) -> f64 {
        let sigma = ((self.mid / self.low).ln() / DECILES_APART).clamp(SIGMA_LEAST, SIGMA_MOST);
        self.mid * (0.5 * sigma * sigma).exp()
    }
}

/// What is left of a value after so long, where it fades over so many seconds.
pub(super) fn decay(dt: Tenths, span_s: f64) -> f64 {
    (-(dt as f64) / (span_s * SECOND as f64)).exp()
}

/// The median, followed in equal steps: hot spots move it little, an overload does.
pub(super) fn follow(median: f64, above: bool) -> f64 {
    (median * if above { 1.0 + LEARN } else { 1.0 - LEARN }).max(1.0)
}
