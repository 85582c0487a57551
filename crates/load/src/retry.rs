//! Whether a client tries again, and when.

use saltdrum::interface::{Effect, KeyScope, Ticks, TriggerType};

/// How a try ended, as the client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Nothing was sent: there was nobody to send it to.
    Unsent,
    /// Sent, and no answer came.
    Unknown,
    Succeeded,
    /// With when to come back.
    Throttled(Ticks),
    Errored,
}

/// What a client does after a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    Stop,
    RetryAfter(Ticks),
}

/// A client's patience.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Further tries.
    pub retries: u32,
    /// About so long before the first of them, and twice as long before each next.
    pub backoff: Ticks,
}

impl RetryPolicy {
    /// After try `attempt`, from 0, of an invocation that began `ago`. Nothing that may have had its effect is done
    /// twice.
    pub fn decide(
        &self,
        trigger: &TriggerType,
        attempt: u32,
        ago: Ticks,
        end: AttemptOutcome,
        chance: f64,
    ) -> RetryDecision {
        if attempt >= self.retries || end == AttemptOutcome::Succeeded {
            return RetryDecision::Stop;
        }
        let backoff = self.backoff << attempt.min(6);
        let mut wait = backoff / 2 + (chance.clamp(0.0, 1.0) * backoff as f64) as Ticks;
        match (end, trigger.effect) {
            (AttemptOutcome::Throttled(come_back), _) => wait = wait.max(come_back),
            (AttemptOutcome::Unsent, _) | (_, Effect::Idempotent) => {}
            // Repeats are dropped by all only where all know the token, and for as long as they do.
            (AttemptOutcome::Unknown, Effect::IdempotencyKey)
                if trigger.key_scope == KeyScope::All =>
            {
                if ago + wait > trigger.idempotency_window / 2 {
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

    fn then(
        effect: Effect,
        scope: KeyScope,
        attempt: u32,
        ago: Ticks,
        end: AttemptOutcome,
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
        .decide(&trigger, attempt, ago, end, 0.5)
    }

    #[test]
    fn nothing_is_done_twice_that_may_have_been_done() {
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
        for (effect, scope, end, want) in cases {
            assert_eq!(
                then(effect, scope, 0, 0, end),
                want,
                "{effect:?} {scope:?} {end:?}"
            );
        }
    }

    #[test]
    fn patience_ends_and_tokens_grow_old() {
        assert_eq!(
            then(
                Effect::Idempotent,
                KeyScope::All,
                1,
                0,
                AttemptOutcome::Errored
            ),
            RetryDecision::RetryAfter(2_000)
        );
        assert_eq!(
            then(
                Effect::Idempotent,
                KeyScope::All,
                2,
                0,
                AttemptOutcome::Errored
            ),
            RetryDecision::Stop
        );
        assert_eq!(
            then(
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
