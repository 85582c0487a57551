//! Converts the start times of invokers from Unix time to the controller's own clock.
//!
//! The wall clock may be stepped, by seconds or an hour, while the monotonic clock continues. A start time is that of
//! the wall clock when the invoker started, whose offset may differ from that when the start time is received.

use saltdrum::interface::{MILLISECOND, Ticks};
use std::collections::VecDeque;
use std::rc::Rc;

/// Milliseconds since the Unix epoch, by the wall clock.
pub type WallClock = Rc<dyn Fn() -> u64>;

/// Number of offsets of the wall clock that are remembered.
const OFFSETS_MAX: usize = 16;
/// Offsets that differ by at most this are one offset that drifts.
const DRIFT_MAX: i64 = 50 * MILLISECOND as i64;

/// Past offsets of the wall clock: its time, in tenths of a millisecond, when the controller's clock was 0.
pub(crate) struct WallClockHistory(VecDeque<i64>);

impl WallClockHistory {
    /// Creates a history with the current time of the wall clock.
    pub fn new(unix_ms: u64, now: Ticks) -> Self {
        Self([offset(unix_ms, now)].into())
    }

    /// Records the current time of the wall clock.
    pub fn observe(&mut self, unix_ms: u64, now: Ticks) {
        let offset = offset(unix_ms, now);
        match self.0.back_mut() {
            Some(last) if (offset - *last).abs() <= DRIFT_MAX => *last = offset,
            _ => self.0.push_back(offset),
        }
        if self.0.len() > OFFSETS_MAX {
            self.0.pop_front();
        }
    }

    /// Converts a start time in Unix milliseconds. Of the conversions by the remembered offsets it returns the latest
    /// that is not in the future, or `now` if there is none. An invoker that is assumed colder than it is receives less
    /// work for a while, but a cold invoker that is assumed warm collapses.
    pub fn start_time(&self, unix_ms: u64, now: Ticks) -> Ticks {
        let tenths = (unix_ms * MILLISECOND) as i64;
        let past = self
            .0
            .iter()
            .map(|offset| tenths - offset)
            .filter(|at| *at <= now as i64);
        past.max().map_or(now, |at| at.max(0) as Ticks)
    }
}

fn offset(unix_ms: u64, now: Ticks) -> i64 {
    (unix_ms * MILLISECOND) as i64 - now as i64
}

#[cfg(test)]
mod tests;
