//! Processor time and memory by the system's own accounting.

use hdrhistogram::Histogram;
use rustix::time::{ClockId, clock_gettime};
use serde::Serialize;

/// Processor time of this thread, in ns.
pub fn thread_cpu_ns() -> u64 {
    let t = clock_gettime(ClockId::ThreadCPUTime);
    t.tv_sec as u64 * 1_000_000_000 + t.tv_nsec as u64
}

/// Memory of this process that is in the machine's, in bytes, as Linux tells it; 0 where it does not.
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

/// EventLoopClock of one kind: how many, how long in all and each.
pub struct EventLoopClock {
    all: Histogram<u64>,
    pub total_ns: u64,
}

impl Default for EventLoopClock {
    fn default() -> Self {
        // Up to a minute, to three digits.
        let all = Histogram::new_with_bounds(1, 60_000_000_000, 3).expect("bounds that hold");
        Self { all, total_ns: 0 }
    }
}

/// Of one kind of turn.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TurnsTold {
    pub turns: u64,
    pub total_ms: f64,
    pub p99_ms: f64,
    pub longest_ms: f64,
}

impl EventLoopClock {
    pub fn note(&mut self, ns: u64) {
        self.total_ns += ns;
        self.all.saturating_record(ns.max(1));
    }

    pub fn told(&self) -> TurnsTold {
        let ms = |ns: u64| ns as f64 / 1e6;
        TurnsTold {
            turns: self.all.len(),
            total_ms: ms(self.total_ns),
            p99_ms: ms(self.all.value_at_quantile(0.99)),
            longest_ms: if self.all.is_empty() {
                0.0
            } else {
                ms(self.all.max())
            },
        }
    }
}
