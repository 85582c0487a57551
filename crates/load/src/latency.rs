//! Latencies of many invocations, and of many runs together.

use hdrhistogram::Histogram;
use saltdrum::interface::{MILLISECOND, Ticks};

/// Counts of latencies in tenths of a millisecond, to three digits. Grows as far as it must.
#[derive(Clone, Debug)]
pub struct Latencies(Histogram<u64>);

impl Default for Latencies {
    fn default() -> Self {
        Self(Histogram::new(3).expect("three digits are allowed"))
    }
}

impl Latencies {
    pub fn record(&mut self, took: Ticks) {
        // A zero would be out of what a histogram holds.
        self.0 += took.max(1);
    }

    /// As if all that `other` holds had been added here.
    pub fn merge(&mut self, other: &Self) {
        self.0 += &other.0;
    }

    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// In milliseconds; of nothing it is not a number.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        if self.0.is_empty() {
            return f64::NAN;
        }
        self.0.value_at_quantile(quantile) as f64 / MILLISECOND as f64
    }

    /// Bounds in milliseconds and counts up to each, for plots.
    pub fn cumulative_counts(&self) -> Vec<(f64, u64)> {
        let mut sum = 0;
        let step = |v: hdrhistogram::iterators::IterationValue<u64>| {
            sum += v.count_at_value();
            (v.value_iterated_to() as f64 / MILLISECOND as f64, sum)
        };
        self.0.iter_recorded().map(step).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn merged_runs_are_one_run() {
        let (mut a, mut b, mut whole) = (
            Latencies::default(),
            Latencies::default(),
            Latencies::default(),
        );
        let mut rng = fastrand::Rng::with_seed(2);
        for n in 0..20_000 {
            let took = (10.0_f64.powf(rng.f64() * 7.0)) as Ticks;
            whole.record(took);
            if n % 3 == 0 {
                a.record(took)
            } else {
                b.record(took)
            }
        }
        // Of unlike lengths, and one that holds nothing.
        b.record(900_000_000);
        whole.record(900_000_000);
        a.merge(&b);
        a.merge(&Latencies::default());
        assert_eq!(a.cumulative_counts(), whole.cumulative_counts());
        assert!((a.quantile_ms(1.0) / 90_000_000.0 - 1.0).abs() < 1e-3 && a.count() == 20_001);
        assert!(Latencies::default().quantile_ms(0.5).is_nan());
    }
}
