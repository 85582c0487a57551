//! Timers, and the clock, which advances with the time of each event.

use super::health::HEALTH_CHECK_INTERVAL;
use super::{Continuation, DispatchPolicy};
use crate::interface::{Actions, Ticks};
use std::collections::BTreeMap;

/// A longer gap between two events means that the controller's process was stalled, as its timers fire more often.
const STALL_THRESHOLD: Ticks = 4 * HEALTH_CHECK_INTERVAL;

/// Timers that have not fired.
#[derive(Default)]
pub(super) struct Timers {
    pending: BTreeMap<u64, Continuation>,
    last_token: u64,
}

impl Timers {
    /// Number of timers that have not fired.
    pub(super) fn len(&self) -> usize {
        self.pending.len()
    }
}

impl DispatchPolicy {
    /// Handles the expiry of a timer that was set through [`Actions::set_timer`].
    pub fn timer_fired(&mut self, now: Ticks, token: u64, actions: &mut dyn Actions) {
        self.advance_clock(now);
        if let Some(continuation) = self.timers.pending.remove(&token) {
            continuation(self, actions);
        }
    }

    /// Schedules `continuation` to run at `at`. Returns the token of the timer.
    pub(super) fn schedule(
        &mut self,
        at: Ticks,
        actions: &mut dyn Actions,
        continuation: Continuation,
    ) -> u64 {
        self.timers.last_token += 1;
        let token = self.timers.last_token;
        self.timers.pending.insert(token, continuation);
        actions.set_timer(at, token);
        token
    }

    /// Cancels a timer, if it has not fired.
    pub(super) fn cancel_timer(&mut self, token: u64, actions: &mut dyn Actions) {
        if self.timers.pending.remove(&token).is_some() {
            actions.cancel_timer(token);
        }
    }

    /// Advances the clock at the start of each event. After a stall of the process, the duration of the stall does not
    /// count as lateness of invokers.
    pub(super) fn advance_clock(&mut self, now: Ticks) {
        let elapsed = now.saturating_sub(self.now);
        if elapsed > STALL_THRESHOLD {
            self.resumed_at = now;
            for invoker in self.invokers.values_mut() {
                invoker.last_response_at = (invoker.last_response_at + elapsed).min(now);
            }
            for attempt in self
                .invocations
                .values_mut()
                .filter_map(|state| state.in_flight.as_mut())
            {
                attempt.due_at += elapsed;
            }
        }
        self.now = now;
        self.scans.begin_event();
    }
}
