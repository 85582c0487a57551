//! Whether the generator itself kept up. A run that it bent does not count.

use saltdrum::interface::{MILLISECOND, Ticks};
use serde::Serialize;

/// An invocation sent so much after its time was sent late: timers are good for a millisecond, threads for a few.
const LATE: Ticks = 20 * MILLISECOND;
/// Late ones that a run may have, in parts of all.
const LATE_SHARE: f64 = 0.001;
/// No single one may be later than this, and the thread may not stand still for longer.
const MOST: Ticks = 200 * MILLISECOND;

/// What the generator did late.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Lag {
    pub sent: u64,
    pub late: u64,
    /// In tenths of a millisecond.
    pub worst: Ticks,
    /// Longest time for which the generator's thread stood still, in tenths of a millisecond.
    #[serde(rename = "stood")]
    pub longest_stall: Ticks,
}

/// Whether a run counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum Verdict {
    #[serde(rename = "Counts")]
    Valid,
    /// With the reason in words.
    GeneratorFellBehind(String),
}

impl Lag {
    /// An invocation was handed to its connection.
    pub fn record_send(&mut self, intended: Ticks, at: Ticks) {
        let lag = at.saturating_sub(intended);
        self.sent += 1;
        self.late += u64::from(lag > LATE);
        self.worst = self.worst.max(lag);
    }

    pub fn record_stall(&mut self, span: Ticks) {
        self.longest_stall = self.longest_stall.max(span);
    }

    pub fn verdict(&self) -> Verdict {
        let ms = |t: Ticks| t as f64 / MILLISECOND as f64;
        if self.longest_stall > MOST {
            return Verdict::GeneratorFellBehind(format!(
                "it stood still for {:.0} ms",
                ms(self.longest_stall)
            ));
        }
        if self.worst > MOST {
            return Verdict::GeneratorFellBehind(format!(
                "it sent one {:.0} ms late",
                ms(self.worst)
            ));
        }
        if self.late as f64 > LATE_SHARE * self.sent as f64 {
            let why = format!(
                "it sent {} of {} over {:.0} ms late",
                self.late,
                self.sent,
                ms(LATE)
            );
            return Verdict::GeneratorFellBehind(why);
        }
        Verdict::Valid
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_few_late_ones_are_let_pass_and_many_are_not() {
        let mut lag = Lag::default();
        (0..10_000).for_each(|at| lag.record_send(at, at + 10));
        (0..10).for_each(|at| lag.record_send(at, at + LATE + 1));
        assert_eq!(lag.verdict(), Verdict::Valid);
        lag.record_send(0, LATE + 1);
        assert!(
            matches!(lag.verdict(), Verdict::GeneratorFellBehind(why) if why.contains("11 of 10011"))
        );
    }

    #[test]
    fn one_long_stop_is_enough() {
        let mut lag = Lag::default();
        (0..10_000).for_each(|at| lag.record_send(at, at));
        lag.record_stall(MOST + 1);
        assert!(
            matches!(lag.verdict(), Verdict::GeneratorFellBehind(why) if why.contains("stood still"))
        );
        let mut lag = Lag::default();
        lag.record_send(5, 6 + MOST);
        assert!(
            matches!(lag.verdict(), Verdict::GeneratorFellBehind(why) if why.contains("sent one 200 ms"))
        );
    }
}
