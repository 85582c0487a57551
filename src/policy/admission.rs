//! Admission: how long a wait is acceptable, and the rejection of invocations that cannot finish in time.

use super::DispatchPolicy;
use super::invocations::InvocationState;
use crate::interface::{Actions, InvocationId, Ticks};

/// Time before the client timeout by which the final response is sent.
pub(super) const DEADLINE_MARGIN: Ticks = 10 * crate::interface::MILLISECOND;
/// A rejected client may retry after the latency objective divided by this.
const RETRY_AFTER_DIVISOR: Ticks = 8;
/// Acceptable wait of an invocation of zero billed value, as a share of that of the highest billed value.
const MIN_WAIT_SHARE: f64 = 0.5;

impl DispatchPolicy {
    /// Longest acceptable wait, in ticks. It increases with the billed value, so that in an overload the invocations of
    /// the lowest value are rejected first.
    pub(super) fn acceptable_wait(&self, state: &InvocationState) -> f64 {
        let settings = &self.triggers[state.request.trigger].settings;
        let values = self
            .triggers
            .iter()
            .map(|trigger| trigger.settings.billed_value);
        let highest_value = values.fold(1e-9, f64::max);
        let remaining = settings
            .latency_objective
            .saturating_sub(self.now - state.arrived_at) as f64;
        remaining
            * (MIN_WAIT_SHARE + (1.0 - MIN_WAIT_SHARE) * settings.billed_value / highest_value)
    }

    /// Sends the final response of an invocation immediately: a throttle with a `retry_after` of at least `load_time`
    /// if a retry by the client is safe (rule 2), and an error otherwise.
    pub(super) fn reject(&mut self, id: InvocationId, load_time: Ticks, actions: &mut dyn Actions) {
        let state = self
            .invocations
            .get(&id)
            .filter(|state| !state.is_finished && state.in_flight.is_none());
        let Some(state) = state else {
            return;
        };
        if self.retry_is_safe(state, None, self.now) {
            actions.throttle(id, self.retry_after(state.request.trigger, load_time));
        } else {
            actions.error(id);
        }
        self.finish(id, actions);
    }

    /// When a rejected client may retry: after `load_time` at the earliest; 0: not specified.
    pub(super) fn retry_after(&self, trigger: usize, load_time: Ticks) -> Ticks {
        let settings = &self.triggers[trigger].settings;
        let wait = load_time.max(settings.latency_objective / RETRY_AFTER_DIVISOR);
        let longest = self.deployment.max_retry_after;
        longest.map_or(0, |longest| wait.min(longest))
    }
}
