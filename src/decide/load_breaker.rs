//! A circuit breaker round loads. Two loads that fail in a row at different invokers are not theirs: the store is down, and
//! fails loads everywhere. Then it is open for a while, and half open after, until a load succeeds: one goes out at a time.

use crate::port::{InvokerId, MILLI, Tenths};

/// It is open for so long after a load began or failed.
const OPEN_FOR: Tenths = 500 * MILLI;

#[derive(Default)]
pub(super) struct LoadBreaker {
    /// It is open until then, half open after; closed at 0.
    open_until: Tenths,
    /// Where the last load failed, if it did.
    failed_at: Option<InvokerId>,
}

impl LoadBreaker {
    /// A load begins. Where the breaker is half open it is the trial: no other goes out for a while.
    pub fn began(&mut self, now: Tenths) {
        if self.open_until > 0 {
            self.open_until = now + OPEN_FOR;
        }
    }

    /// A load succeeded: the store is up.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// A load failed at this invoker, and that may be the store's doing.
    pub fn failed(&mut self, now: Tenths, invoker: InvokerId) {
        let elsewhere = self.failed_at.is_some_and(|other| other != invoker);
        self.open_until = if self.open_until > 0 || elsewhere {
            now + OPEN_FOR
        } else {
            0
        };
        self.failed_at = Some(invoker);
    }

    /// Whether no load may begin.
    pub fn is_open(&self, now: Tenths) -> bool {
        now < self.open_until
    }

    /// How long no load may begin.
    pub fn open_for(&self, now: Tenths) -> Tenths {
        self.open_until.saturating_sub(now)
    }
}
