//! Retries: when another attempt can have no second effect (rule 2), and when an attempt in flight is given up for another.

use super::DispatchPolicy;
use super::invocations::InvocationState;
use crate::interface::{Actions, Effect, InvocationId, InvokerId, KeyScope, SECOND, Ticks};

/// An attempt is cancelled only where a retry would be safe for this long.
const RETRY_LEAD_TIME: Ticks = SECOND;

impl DispatchPolicy {
    /// Whether another attempt at `target` at time `at` (none: by the client, after a rejection) can have no second effect.
    pub(super) fn retry_is_safe(
        &self,
        state: &InvocationState,
        target: Option<InvokerId>,
        at: Ticks,
    ) -> bool {
        let Some(earlier) = state.attempt_that_may_have_run() else {
            return true;
        };
        let settings = &self.triggers[state.request.trigger].settings;
        match settings.effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => false,
            Effect::IdempotencyKey => {
                at < earlier.sent_at + settings.idempotency_window
                    && self.shares_key_scope(settings.key_scope, earlier.invoker, target)
            }
        }
    }

    /// Whether both invokers recognise each other's idempotency keys.
    fn shares_key_scope(
        &self,
        scope: KeyScope,
        earlier: InvokerId,
        target: Option<InvokerId>,
    ) -> bool {
        if scope == KeyScope::All {
            return true;
        }
        let Some(target) = target else {
            return false;
        };
        let (earlier, target) = (
            &self.invokers[&earlier].record,
            &self.invokers[&target].record,
        );
        match scope {
            KeyScope::All => true,
            KeyScope::Zone => earlier.zone == target.zone,
            KeyScope::Cell => earlier.cell == target.cell,
        }
    }

    /// Cancels the attempt in flight, whose end leads to the next, if an attempt is left and a retry is safe.
    pub(super) fn retry_elsewhere(&mut self, id: InvocationId, actions: &mut dyn Actions) {
        let state = &self.invocations[&id];
        let may_retry =
            self.deployment.may_cancel && state.attempts < self.deployment.attempt_limit;
        if !may_retry || !self.retry_is_safe(state, None, self.now + RETRY_LEAD_TIME) {
            return;
        }
        let Some(state) = self.invocations.get_mut(&id) else {
            return;
        };
        if let Some(attempt) = state
            .in_flight
            .as_mut()
            .filter(|attempt| !attempt.is_cancelled)
        {
            attempt.is_cancelled = true;
            actions.cancel(id, state.attempts - 1);
        }
    }
}
