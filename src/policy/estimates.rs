//! Online estimates: values that decay, and medians and means that are tracked from samples.

use crate::interface::{SECOND, Ticks};

/// Least step, as a share of the value, by which an estimate follows a sample.
const MIN_STEP: f64 = 0.05;
/// The quantiles that are tracked, and their distance in standard deviations of the sample's logarithm.
const LOW_QUANTILE: f64 = 0.3;
const MEDIAN_QUANTILE: f64 = 0.5;
const QUANTILE_DISTANCE: f64 = 0.524;
/// Bounds of the estimated standard deviation of the logarithm.
const MIN_SIGMA: f64 = 0.2;
const MAX_SIGMA: f64 = 1.0;

/// A mean estimated from the faster half of the samples: congestion, which a single controller cannot see, stretches only
/// the slower half. The samples are taken to follow a log-normal distribution.
#[derive(Clone, Default)]
pub(super) struct QuantileMean {
    /// Estimate of the third decile.
    low: f64,
    /// Estimate of the median.
    median: f64,
    /// Samples seen.
    pub samples: f64,
}

impl QuantileMean {
    /// An estimate before any sample.
    pub(super) fn new(initial: f64) -> Self {
        Self {
            low: 0.5 * initial,
            median: 0.8 * initial,
            samples: 0.0,
        }
    }

    /// Takes one more sample.
    pub(super) fn update(&mut self, sample: f64) {
        self.samples += 1.0;
        let step = (2.0 / (self.samples + 1.0)).max(MIN_STEP);
        self.low *= (step * (LOW_QUANTILE - f64::from(sample < self.low))).exp();
        self.median *= (step * (MEDIAN_QUANTILE - f64::from(sample < self.median))).exp();
    }

    /// Mean of the log-normal distribution with both quantiles.
    pub(super) fn mean(&self) -> f64 {
        let sigma = ((self.median / self.low).ln() / QUANTILE_DISTANCE).clamp(MIN_SIGMA, MAX_SIGMA);
        self.median * (0.5 * sigma * sigma).exp()
    }
}

/// A value and the time at which it was last right.
#[derive(Clone, Copy, Default)]
pub(super) struct TimedValue {
    pub value: f64,
    pub at: Ticks,
}

impl TimedValue {
    /// The value, decayed towards 0 since then.
    pub(super) fn decayed(&self, now: Ticks, time_constant_s: f64) -> f64 {
        self.value * decay(now - self.at, time_constant_s)
    }
}

/// The share of a value that is left after `elapsed` of exponential decay.
pub(super) fn decay(elapsed: Ticks, time_constant_s: f64) -> f64 {
    (-(elapsed as f64) / (time_constant_s * SECOND as f64)).exp()
}

/// Moves a median, at least 1, one equal step towards a sample: hot spots move it little, an overload does.
pub(super) fn step_median(median: f64, sample_is_above: bool) -> f64 {
    let factor = if sample_is_above {
        1.0 + MIN_STEP
    } else {
        1.0 - MIN_STEP
    };
    (median * factor).max(1.0)
}
