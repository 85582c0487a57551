//! Online estimates: values that decay over time, and medians and means tracked from samples.

use crate::interface::{SECOND, Ticks};

/// Minimum step, as a share of the value, by which an estimate follows a sample.
const MIN_STEP: f64 = 0.05;
/// The tracked quantiles, and their distance in standard deviations of the samples' logarithm.
const LOW_QUANTILE: f64 = 0.3;
const MEDIAN_QUANTILE: f64 = 0.5;
const QUANTILE_DISTANCE: f64 = 0.524;
/// Bounds of the estimated standard deviation of the logarithm.
const MIN_SIGMA: f64 = 0.2;
const MAX_SIGMA: f64 = 1.0;

/// A mean estimated from the third decile and the median, that is, the faster half of the samples: congestion, which a
/// single controller cannot observe directly, lengthens only the slower half. Samples are assumed to be log-normally
/// distributed.
#[derive(Clone, Default)]
pub(super) struct QuantileMean {
    /// Estimate of the third decile.
    low: f64,
    /// Estimate of the median.
    median: f64,
    /// Number of samples.
    pub samples: f64,
}

impl QuantileMean {
    /// The estimate before the first sample.
    pub(super) fn new(initial: f64) -> Self {
        Self {
            low: 0.5 * initial,
            median: 0.8 * initial,
            samples: 0.0,
        }
    }

    /// Updates the estimate with a sample.
    pub(super) fn update(&mut self, sample: f64) {
        self.samples += 1.0;
        let step = (2.0 / (self.samples + 1.0)).max(MIN_STEP);
        self.low *= (step * (LOW_QUANTILE - f64::from(sample < self.low))).exp();
        self.median *= (step * (MEDIAN_QUANTILE - f64::from(sample < self.median))).exp();
    }

    /// Mean of the log-normal distribution with both estimated quantiles.
    pub(super) fn mean(&self) -> f64 {
        let sigma = ((self.median / self.low).ln() / QUANTILE_DISTANCE).clamp(MIN_SIGMA, MAX_SIGMA);
        self.median * (0.5 * sigma * sigma).exp()
    }
}

/// A value and the time at which it was measured.
#[derive(Clone, Copy, Default)]
pub(super) struct TimedValue {
    pub value: f64,
    pub at: Ticks,
}

impl TimedValue {
    /// The value, decayed towards 0 since its measurement.
    pub(super) fn decayed(&self, now: Ticks, time_constant_s: f64) -> f64 {
        self.value * decay(now - self.at, time_constant_s)
    }
}

/// The share of a value that remains after exponential decay over `elapsed`.
pub(super) fn decay(elapsed: Ticks, time_constant_s: f64) -> f64 {
    (-(elapsed as f64) / (time_constant_s * SECOND as f64)).exp()
}

/// Moves a median, bounded below by 1, one step towards a sample. The step does not depend on the distance, so that a
/// few slow invokers move the median little, and an overload of the fleet moves it much.
pub(super) fn step_median(median: f64, sample_is_above: bool) -> f64 {
    let factor = if sample_is_above {
        1.0 + MIN_STEP
    } else {
        1.0 - MIN_STEP
    };
    (median * factor).max(1.0)
}
