//! Latency histograms, which can be merged across runs.

use hdrhistogram::Histogram;
use saltdrum::interface::{MILLISECOND, Ticks};

/// A histogram of latencies in tenths of a millisecond, with three significant digits. It resizes as needed.
#[derive(Clone, Debug)]
pub struct Latencies(Histogram<u64>);

impl Default for Latencies {
    fn default() -> Self {
        Self(Histogram::new(3).expect("three digits are allowed"))
    }
}

impl Latencies {
    /// Adds one latency.
    pub fn record(&mut self, latency: Ticks) {
        // The histogram's lowest value is 1.
        self.0 += latency.max(1);
    }

    /// Adds all latencies recorded in `other`.
    pub fn merge(&mut self, other: &Self) {
        self.0 += &other.0;
    }

    /// Number of recorded latencies.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// A quantile in milliseconds; NaN when the histogram is empty.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        if self.0.is_empty() {
            return f64::NAN;
        }
        self.0.value_at_quantile(quantile) as f64 / MILLISECOND as f64
    }

    /// Upper bounds of the buckets in milliseconds, each with the number of latencies up to it, for plots.
    pub fn cumulative_counts(&self) -> Vec<(f64, u64)> {
        let mut sum = 0;
        let bucket = |v: hdrhistogram::iterators::IterationValue<u64>| {
            sum += v.count_at_value();
            (v.value_iterated_to() as f64 / MILLISECOND as f64, sum)
        };
        self.0.iter_recorded().map(bucket).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn merged_histograms_equal_one_histogram() {
        let (mut first, mut second, mut whole) = (
            Latencies::default(),
            Latencies::default(),
            Latencies::default(),
        );
        let mut rng = fastrand::Rng::with_seed(2);
        for n in 0..20_000 {
            let latency = (10.0_f64.powf(rng.f64() * 7.0)) as Ticks;
            whole.record(latency);
            if n % 3 == 0 {
                first.record(latency)
            } else {
                second.record(latency)
            }
        }
        // Histograms of different lengths, and an empty one.
        second.record(900_000_000);
        whole.record(900_000_000);
        first.merge(&second);
        first.merge(&Latencies::default());
        assert_eq!(first.cumulative_counts(), whole.cumulative_counts());
        assert!(
            (first.quantile_ms(1.0) / 90_000_000.0 - 1.0).abs() < 1e-3 && first.count() == 20_001
        );
        assert!(Latencies::default().quantile_ms(0.5).is_nan());
    }
}
