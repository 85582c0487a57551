//! A circuit breaker for loads. Two consecutive load failures at different invokers indicate a failure of the store,
//! which serves all loads. The breaker then opens for a while. Afterwards it is half-open, with one trial load at a
//! time, until a load succeeds.

use crate::interface::{InvokerId, MILLISECOND, Ticks};

/// How long the breaker stays open after a load failed, or after a trial load began.
const OPEN_TIME: Ticks = 500 * MILLISECOND;

/// The state of the circuit breaker.
#[derive(Default)]
pub(super) struct LoadBreaker {
    /// The breaker is open until this time and half-open afterwards; 0: closed.
    open_until: Ticks,
    /// The invoker at which the last load failed; none if it succeeded.
    failed_at: Option<InvokerId>,
}

impl LoadBreaker {
    /// Records that a load begins. In the half-open state it is the trial load, and no other load may begin for a
    /// while.
    pub(super) fn load_began(&mut self, now: Ticks) {
        if self.open_until > 0 {
            self.open_until = now + OPEN_TIME;
        }
    }

    /// Records that a load succeeded, and closes the breaker.
    pub(super) fn load_succeeded(&mut self) {
        *self = Self::default();
    }

    /// Records that a load failed at an invoker, possibly because of the store.
    pub(super) fn load_failed(&mut self, now: Ticks, invoker: InvokerId) {
        let failed_elsewhere = self.failed_at.is_some_and(|other| other != invoker);
        let must_open = self.open_until > 0 || failed_elsewhere;
        self.open_until = if must_open { now + OPEN_TIME } else { 0 };
        self.failed_at = Some(invoker);
    }

    /// Whether loads are blocked.
    pub(super) fn is_open(&self, now: Ticks) -> bool {
        now < self.open_until
    }

    /// How long loads remain blocked.
    pub(super) fn remaining(&self, now: Ticks) -> Ticks {
        self.open_until.saturating_sub(now)
    }
}
