//! Starts of invokers, told in Unix time, on the controller's own clock.
//!
//! The wall clock may be stepped, by seconds or an hour, while the monotonic clock runs on. A start is told by the wall clock
//! as it stood when the invoker started, which need not be how it stands when the start is heard of.

use saltdrum::interface::{MILLISECOND, Ticks};
use std::collections::VecDeque;
use std::rc::Rc;

/// Milliseconds since the Unix epoch, by the wall clock.
pub type WallClock = Rc<dyn Fn() -> u64>;

/// So many different settings of the wall clock are kept in mind.
const OFFSETS_MAX: usize = 16;
/// Settings that differ by less are one that drifts.
const DRIFT_MAX: i64 = 50 * MILLISECOND as i64;

/// How the wall clock has stood: what it read, in tenths of a millisecond, when the controller's clock read 0.
pub(crate) struct WallClockHistory(VecDeque<i64>);

impl WallClockHistory {
    /// The wall clock reads this at the start.
    pub fn new(unix_ms: u64, now: Ticks) -> Self {
        Self([origin(unix_ms, now)].into())
    }

    /// The wall clock reads this now.
    pub fn seen(&mut self, unix_ms: u64, now: Ticks) {
        let origin = origin(unix_ms, now);
        match self.0.back_mut() {
            Some(last) if (origin - *last).abs() <= DRIFT_MAX => *last = origin,
            _ => self.0.push_back(origin),
        }
        if self.0.len() > OFFSETS_MAX {
            self.0.pop_front();
        }
    }

    /// When an invoker started that says so in Unix time: of what the settings make of it the latest that is not to come, as
    /// who is taken for colder than it is gets less for a while, and who is taken for warm collapses. Now, if there is none.
    pub fn start(&self, unix_ms: u64, now: Ticks) -> Ticks {
        let tenths = (unix_ms * MILLISECOND) as i64;
        let past = self
            .0
            .iter()
            .map(|origin| tenths - origin)
            .filter(|at| *at <= now as i64);
        past.max().map_or(now, |at| at.max(0) as Ticks)
    }
}

fn origin(unix_ms: u64, now: Ticks) -> i64 {
    (unix_ms * MILLISECOND) as i64 - now as i64
}

#[cfg(test)]
mod tests;
