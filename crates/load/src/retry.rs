//! The retry policy of clients.

use saltdrum::interface::{Effect, KeyScope, Ticks, TriggerType};

/// How an attempt ended, as seen by the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Nothing was sent, because no controller was reachable.
    Unsent,
    /// Sent, but no response arrived.
    Unknown,
    Succeeded,
    /// With the retry-after time.
    Throttled(Ticks),
    Errored,
}

/// What a client does after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    Stop,
    RetryAfter(Ticks),
}

/// How often and when a client retries.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Largest number of retries.
    pub retries: u32,
    /// Mean delay before the first retry; it doubles with each further one.
    pub backoff: Ticks,
}

impl RetryPolicy {
    /// Decides after attempt `attempt`, counted from 0, of an invocation that started `elapsed` ago. An invocation that
    /// may have had its effect is not repeated unless that is safe. `jitter` is a random number from 0 to 1.
    pub fn decide(
        &self,
        trigger: &TriggerType,
        attempt: u32,
        elapsed: Ticks,
        outcome: AttemptOutcome,
        jitter: f64,
    ) -> RetryDecision {
        if attempt >= self.retries || outcome == AttemptOutcome::Succeeded {
            return RetryDecision::Stop;
        }
        let backoff = self.backoff << attempt.min(6);
        let mut wait = backoff / 2 + (jitter.clamp(0.0, 1.0) * backoff as f64) as Ticks;
        match (outcome, trigger.effect) {
            (AttemptOutcome::Throttled(retry_after), _) => wait = wait.max(retry_after),
            (AttemptOutcome::Unsent, _) | (_, Effect::Idempotent) => {}
            // A repeat is deduplicated only if all cells share the idempotency keys, and only within the idempotency
            // window.
            (AttemptOutcome::Unknown, Effect::IdempotencyKey)
                if trigger.key_scope == KeyScope::All =>
            {
                if elapsed + wait > trigger.idempotency_window / 2 {
                    return RetryDecision::Stop;
                }
            }
            _ => return RetryDecision::Stop,
        }
        RetryDecision::RetryAfter(wait)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn decide(
        effect: Effect,
        scope: KeyScope,
        attempt: u32,
        elapsed: Ticks,
        outcome: AttemptOutcome,
    ) -> RetryDecision {
        let trigger = TriggerType {
            effect,
            key_scope: scope,
            idempotency_window: 40_000,
            latency_objective: 10_000,
            client_timeout: 40_000,
            billed_value: 1.0,
            late_value_share: 0.0,
        };
        RetryPolicy {
            retries: 2,
            backoff: 1_000,
        }
        .decide(&trigger, attempt, elapsed, outcome, 0.5)
    }

    #[test]
    fn does_not_retry_effects_that_may_have_happened() {
        use AttemptOutcome::*;
        use RetryDecision::*;
        let cases = [
            (
                Effect::Idempotent,
                KeyScope::All,
                Unknown,
                RetryAfter(1_000),
            ),
            (
                Effect::Idempotent,
                KeyScope::All,
                Errored,
                RetryAfter(1_000),
            ),
            (Effect::NonIdempotent, KeyScope::All, Unknown, Stop),
            (Effect::NonIdempotent, KeyScope::All, Errored, Stop),
            (
                Effect::NonIdempotent,
                KeyScope::All,
                Throttled(3_000),
                RetryAfter(3_000),
            ),
            (
                Effect::NonIdempotent,
                KeyScope::All,
                Unsent,
                RetryAfter(1_000),
            ),
            (Effect::IdempotencyKey, KeyScope::Cell, Unknown, Stop),
            (
                Effect::IdempotencyKey,
                KeyScope::All,
                Unknown,
                RetryAfter(1_000),
            ),
            (Effect::IdempotencyKey, KeyScope::All, Errored, Stop),
            (Effect::Idempotent, KeyScope::All, Succeeded, Stop),
        ];
        for (effect, scope, outcome, expected) in cases {
            assert_eq!(
                decide(effect, scope, 0, 0, outcome),
                expected,
                "{effect:?} {scope:?} {outcome:?}"
            );
        }
    }

    #[test]
    fn stops_after_the_last_retry_and_when_the_idempotency_window_runs_out() {
        assert_eq!(
            decide(
                Effect::Idempotent,
                KeyScope::All,
                1,
                0,
                AttemptOutcome::Errored
            ),
            RetryDecision::RetryAfter(2_000)
        );
        assert_eq!(
            decide(
                Effect::Idempotent,
                KeyScope::All,
                2,
                0,
                AttemptOutcome::Errored
            ),
            RetryDecision::Stop
        );
        assert_eq!(
            decide(
                Effect::IdempotencyKey,
                KeyScope::All,
                0,
                19_500,
                AttemptOutcome::Unknown
            ),
            RetryDecision::Stop
        );
    }
}
