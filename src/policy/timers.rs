//! Timers, and the clock that events bring along.

use super::health::HEALTH_CHECK_INTERVAL;
use super::{Continuation, DispatchPolicy};
use crate::interface::{Actions, Ticks};
use std::collections::BTreeMap;

/// A gap between two events as long as this means that the controller's process was stopped: its timers fire more often.
const STOP_THRESHOLD: Ticks = 4 * HEALTH_CHECK_INTERVAL;

/// Timers that have not fired.
#[derive(Default)]
pub(super) struct Timers {
    pending: BTreeMap<u64, Continuation>,
    last_token: u64,
}

impl DispatchPolicy {
    /// A timer that was set through [`Actions::set_timer`] has come due.
    pub fn timer_fired(&mut self, now: Ticks, token: u64, actions: &mut dyn Actions) {
        self.advance_clock(now);
        if let Some(continuation) = self.timers.pending.remove(&token) {
            continuation(self, actions);
        }
    }

    /// Runs `continuation` at `at`.
    pub(super) fn schedule(
        &mut self,
        at: Ticks,
        actions: &mut dyn Actions,
        continuation: Continuation,
    ) {
        self.timers.last_token += 1;
        self.timers
            .pending
            .insert(self.timers.last_token, continuation);
        actions.set_timer(at, self.timers.last_token);
    }

    /// Each event begins with this. After a stop of the process, silence and lateness do not count for the time that it was
    /// stopped.
    pub(super) fn advance_clock(&mut self, now: Ticks) {
        let elapsed = now.saturating_sub(self.now);
        if elapsed > STOP_THRESHOLD {
            self.resumed_at = now;
            for invoker in self.invokers.values_mut() {
                invoker.last_heard = (invoker.last_heard + elapsed).min(now);
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
    }
}
