//! Admission: how long a wait is worth it, and the rejection of what cannot be answered in time.

use super::DispatchPolicy;
use super::invocations::InvocationState;
use crate::interface::{Actions, InvocationId, Ticks};

/// The final answer is given this long before the client gives up.
pub(super) const DEADLINE_MARGIN: Ticks = 10 * crate::interface::MILLISECOND;
/// A rejected client may retry after this fraction of the latency objective.
const RETRY_AFTER_DIVISOR: Ticks = 8;
/// Invocations of the least billed value wait this share of the time that those of the highest wait.
const MIN_PATIENCE: f64 = 0.5;

impl DispatchPolicy {
    /// How long, in ticks, a wait is still worth it: in an overload the least billed value is rejected first.
    pub(super) fn patience(&self, state: &InvocationState) -> f64 {
        let settings = &self.triggers[state.request.trigger].settings;
        let values = self
            .triggers
            .iter()
            .map(|trigger| trigger.settings.billed_value);
        let highest_value = values.fold(1e-9, f64::max);
        let remaining = settings
            .latency_objective
            .saturating_sub(self.now - state.arrived_at) as f64;
        remaining * (MIN_PATIENCE + (1.0 - MIN_PATIENCE) * settings.billed_value / highest_value)
    }

    /// Gives the final answer at once: the client may retry where that is safe, after `load_time` where a load is under way.
    pub(super) fn reject(&mut self, id: InvocationId, load_time: Ticks, actions: &mut dyn Actions) {
        let state = self
            .invocations
            .get(&id)
            .filter(|state| !state.is_finished && state.in_flight.is_none());
        let Some(state) = state else {
            return;
        };
        if self.retry_is_safe(state, None, self.now) {
            let settings = &self.triggers[state.request.trigger].settings;
            let wait = load_time.max(settings.latency_objective / RETRY_AFTER_DIVISOR);
            let retry_after = self
                .deployment
                .max_retry_after
                .map_or(0, |longest| wait.min(longest));
            actions.throttle(id, retry_after);
        } else {
            actions.error(id);
        }
        self.finish(id);
    }
}
