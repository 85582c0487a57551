//! A circuit breaker around loads. Two loads that fail in a row at different invokers point at the store that all loads come
//! from. The breaker then opens for a while, and is half-open afterwards until a load succeeds: one load at a time.

use crate::interface::{InvokerId, MILLISECOND, Ticks};

/// How long the breaker stays open after a load began or failed.
const OPEN_TIME: Ticks = 500 * MILLISECOND;

/// The state of the circuit breaker.
#[derive(Default)]
pub(super) struct LoadBreaker {
    /// Open until then and half-open afterwards; 0: closed.
    open_until: Ticks,
    /// Where the last load failed, if the last load failed.
    failed_at: Option<InvokerId>,
}

impl LoadBreaker {
    /// A load begins. In the half-open state it is the trial: no other begins for a while.
    pub(super) fn load_began(&mut self, now: Ticks) {
        if self.open_until > 0 {
            self.open_until = now + OPEN_TIME;
        }
    }

    /// A load succeeded: the store works.
    pub(super) fn load_succeeded(&mut self) {
        *self = Self::default();
    }

    /// A load failed at this invoker, and the store may be the reason.
    pub(super) fn load_failed(&mut self, now: Ticks, invoker: InvokerId) {
        let failed_elsewhere = self.failed_at.is_some_and(|other| other != invoker);
        let opens = self.open_until > 0 || failed_elsewhere;
        self.open_until = if opens { now + OPEN_TIME } else { 0 };
        self.failed_at = Some(invoker);
    }

    /// Whether no load may begin.
    pub(super) fn is_open(&self, now: Ticks) -> bool {
        now < self.open_until
    }

    /// For how long no load may begin.
    pub(super) fn remaining(&self, now: Ticks) -> Ticks {
        self.open_until.saturating_sub(now)
    }
}
