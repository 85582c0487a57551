//! Backoff and rate limit of reconnecting. No I/O and no clock: times come in, delays go out.
//!
//! A fleet that restarts is connected to by every controller at once, and none knows of the others. So every delay is drawn
//! between nothing and a bound that doubles (exponential backoff with full jitter), a connection that broke soon after it was
//! made counts as failed, and one controller makes only so many connections a second. First connections, of which there is one
//! for each invoker and incarnation, and retries have a budget each: a controller that starts must know its fleet in a second
//! or so, and invokers that do not answer must not keep it from the rest.

use saltdrum::interface::{MILLISECOND, SECOND, Ticks};

/// Longest delay of the first connection to a new invoker: spread a little, as all controllers hear of it at once.
const FIRST_DELAY_MAX: Ticks = 20 * MILLISECOND;
/// Bound of the delay after the first failure.
const BACKOFF_BASE: Ticks = 100 * MILLISECOND;
/// Bound of the delay after many failures.
const BACKOFF_MAX: Ticks = 5 * SECOND;
/// A connection that stood for this long did not fail.
const STABLE_AFTER: Ticks = 3 * SECOND;
/// Connections that may be made at once.
const BURST: f64 = 128.0;
/// First connections a second. Each costs a controller under 0.1 ms: a tenth of its time at most.
const FIRST_PER_SECOND: f64 = 1_000.0;
/// Retries a second at least.
const MIN_RETRIES_PER_SECOND: f64 = 64.0;
/// Retries a second for each connection: enough to retry all of them within about the longest delay.
const RETRIES_PER_CONNECTION_AND_SECOND: f64 = 0.25;

/// The failures of one connection.
#[derive(Clone, Debug, Default)]
pub struct ReconnectBackoff {
    failures: u32,
    up_since: Option<Ticks>,
}

impl ReconnectBackoff {
    /// Draws the delay before the next try.
    pub fn next_delay(&self, rng: &mut fastrand::Rng) -> Ticks {
        let bound = match self.failures {
            0 => FIRST_DELAY_MAX,
            failures => BACKOFF_MAX.min(BACKOFF_BASE << (failures - 1).min(16)),
        };
        rng.u64(0..=bound)
    }

    /// Whether the last try, or the connection it made, failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// The connection was made.
    pub fn connected(&mut self, now: Ticks) {
        self.up_since = Some(now);
    }

    /// The try failed, or the connection it made is lost.
    pub fn disconnected(&mut self, now: Ticks) {
        let was_stable = self
            .up_since
            .take()
            .is_some_and(|since| now >= since + STABLE_AFTER);
        self.failures = if was_stable {
            1
        } else {
            self.failures.saturating_add(1)
        };
    }

    /// The invoker has restarted: earlier failures say nothing of it.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

/// A token bucket: a burst, and so many a second. Takes more than it has, at the price of a delay.
#[derive(Clone, Debug)]
struct TokenBucket {
    tokens: f64,
    at: Ticks,
}

impl TokenBucket {
    fn take(&mut self, now: Ticks, per_second: f64) -> Ticks {
        let refill = now.saturating_sub(self.at) as f64 * per_second / SECOND as f64;
        self.tokens = (self.tokens + refill).min(BURST) - 1.0;
        self.at = self.at.max(now);
        (-self.tokens / per_second * SECOND as f64).max(0.0) as Ticks
    }
}

/// Limits how many connections a controller makes a second, over all invokers.
#[derive(Clone, Debug)]
pub struct ConnectBudget {
    first: TokenBucket,
    retries: TokenBucket,
}

impl ConnectBudget {
    /// Full budgets.
    pub fn new(now: Ticks) -> Self {
        let full = TokenBucket {
            tokens: BURST,
            at: now,
        };
        Self {
            first: full.clone(),
            retries: full,
        }
    }

    /// Takes a connection that has not failed before; gives how long to wait with it.
    pub fn reserve_first(&mut self, now: Ticks) -> Ticks {
        self.first.take(now, FIRST_PER_SECOND)
    }

    /// Takes a retry, of a controller with so many connections; gives how long to wait with it.
    pub fn reserve_retry(&mut self, now: Ticks, connections: usize) -> Ticks {
        self.retries.take(
            now,
            MIN_RETRIES_PER_SECOND.max(RETRIES_PER_CONNECTION_AND_SECOND * connections as f64),
        )
    }
}

#[cfg(test)]
mod tests;
