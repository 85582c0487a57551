//! Measures whether the generator sent invocations on time. A run with a late generator is invalid.

use saltdrum::interface::{MILLISECOND, Ticks};
use serde::Serialize;

/// An invocation sent later than this counts as late. Timers are accurate to a millisecond, thread wake-ups to a few.
const LATE_LIMIT: Ticks = 20 * MILLISECOND;
/// Largest share of late invocations in a valid run.
const MAX_LATE_SHARE: f64 = 0.001;
/// Longest delay of a single invocation and longest stall of the generator's thread in a valid run.
const MAX_DELAY: Ticks = 200 * MILLISECOND;

/// Send delays and stalls of the generator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Lag {
    pub sent: u64,
    /// Invocations sent later than [`LATE_LIMIT`].
    pub late: u64,
    /// Longest send delay, in tenths of a millisecond.
    pub worst: Ticks,
    /// Longest stall of the generator's thread, in tenths of a millisecond.
    #[serde(rename = "stood")]
    pub longest_stall: Ticks,
}

/// Whether the results of a run are valid.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum Verdict {
    #[serde(rename = "Counts")]
    Valid,
    /// With the reason as text.
    GeneratorFellBehind(String),
}

impl Lag {
    /// Records an invocation queued on its connection at `at`.
    pub fn record_send(&mut self, intended: Ticks, at: Ticks) {
        let lag = at.saturating_sub(intended);
        self.sent += 1;
        self.late += u64::from(lag > LATE_LIMIT);
        self.worst = self.worst.max(lag);
    }

    /// Records a stall of the generator's thread.
    pub fn record_stall(&mut self, span: Ticks) {
        self.longest_stall = self.longest_stall.max(span);
    }

    /// Whether the generator was on time.
    pub fn verdict(&self) -> Verdict {
        let ms = |t: Ticks| t as f64 / MILLISECOND as f64;
        if self.longest_stall > MAX_DELAY {
            return Verdict::GeneratorFellBehind(format!(
                "its thread stalled for {:.0} ms",
                ms(self.longest_stall)
            ));
        }
        if self.worst > MAX_DELAY {
            return Verdict::GeneratorFellBehind(format!(
                "it sent an invocation {:.0} ms late",
                ms(self.worst)
            ));
        }
        if self.late as f64 > MAX_LATE_SHARE * self.sent as f64 {
            let reason = format!(
                "it sent {} of {} invocations more than {:.0} ms late",
                self.late,
                self.sent,
                ms(LATE_LIMIT)
            );
            return Verdict::GeneratorFellBehind(reason);
        }
        Verdict::Valid
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn accepts_late_invocations_up_to_the_allowed_share() {
        let mut lag = Lag::default();
        (0..10_000).for_each(|at| lag.record_send(at, at + 10));
        (0..10).for_each(|at| lag.record_send(at, at + LATE_LIMIT + 1));
        assert_eq!(lag.verdict(), Verdict::Valid);
        lag.record_send(0, LATE_LIMIT + 1);
        assert!(
            matches!(lag.verdict(), Verdict::GeneratorFellBehind(reason) if reason.contains("11 of 10011"))
        );
    }

    #[test]
    fn rejects_run_with_one_long_stall_or_delay() {
        let mut lag = Lag::default();
        (0..10_000).for_each(|at| lag.record_send(at, at));
        lag.record_stall(MAX_DELAY + 1);
        assert!(
            matches!(lag.verdict(), Verdict::GeneratorFellBehind(reason) if reason.contains("thread stalled"))
        );
        let mut lag = Lag::default();
        lag.record_send(5, 6 + MAX_DELAY);
        assert!(
            matches!(lag.verdict(), Verdict::GeneratorFellBehind(reason) if reason.contains("sent an invocation 200 ms"))
        );
    }
}
