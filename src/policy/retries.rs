//! Retries: when a further attempt cannot repeat an effect (rule 2), and when an attempt in flight is cancelled for a
//! retry.

use super::DispatchPolicy;
use super::invocations::InvocationState;
use crate::interface::{Actions, Effect, InvocationId, InvokerId, KeyScope, SECOND, Ticks};

/// An attempt is cancelled only if a retry remains safe for at least this time.
const RETRY_LEAD_TIME: Ticks = SECOND;

impl DispatchPolicy {
    /// Whether a further attempt at `target` at time `at` cannot repeat an effect. If `target` is none, the invoker is
    /// not known: the client retries after a rejection.
    pub(super) fn retry_is_safe(
        &self,
        state: &InvocationState,
        target: Option<InvokerId>,
        at: Ticks,
    ) -> bool {
        let Some(earlier) = state.earliest_possible_run() else {
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

    /// Cancels the attempt in flight if attempts remain and a retry is safe. The end of the cancelled attempt leads to
    /// the retry.
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
