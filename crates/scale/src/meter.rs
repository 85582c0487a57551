//! CPU time and memory as accounted by the operating system.

use hdrhistogram::Histogram;
use rustix::time::{ClockId, clock_gettime};
use serde::Serialize;

/// CPU time of this thread, in ns.
pub fn thread_cpu_ns() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}

/// Resident memory of this process in bytes, as reported by Linux; 0 where it is not available.
pub fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix("VmRSS:"))
        .unwrap_or_default();
    line.trim()
        .trim_end_matches(" kB")
        .parse::<u64>()
        .unwrap_or(0)
        * 1_024
}

/// Durations of the policy's calls of one kind (turns).
pub struct TurnHistogram {
    durations: Histogram<u64>,
    pub total_ns: u64,
}

impl Default for TurnHistogram {
    fn default() -> Self {
        // Up to a minute, with three significant digits.
        let durations =
            Histogram::new_with_bounds(1, 60_000_000_000, 3).expect("valid histogram bounds");
        Self {
            durations,
            total_ns: 0,
        }
    }
}

/// A summary of the turns of one kind.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TurnSummary {
    pub turns: u64,
    pub total_ms: f64,
    pub p99_ms: f64,
    pub longest_ms: f64,
}

impl TurnHistogram {
    /// Adds a turn of `ns` nanoseconds.
    pub fn record(&mut self, ns: u64) {
        self.total_ns += ns;
        self.durations.saturating_record(ns.max(1));
    }

    /// Summarises the recorded turns.
    pub fn summary(&self) -> TurnSummary {
        let ms = |ns: u64| ns as f64 / 1e6;
        TurnSummary {
            turns: self.durations.len(),
            total_ms: ms(self.total_ns),
            p99_ms: ms(self.durations.value_at_quantile(0.99)),
            longest_ms: if self.durations.is_empty() {
                0.0
            } else {
                ms(self.durations.max())
            },
        }
    }
}
