//! Reconnect backoff and connection rate limit. Does no I/O and reads no clock: callers pass the time in and wait out the
//! returned delay.
//!
//! When a fleet restarts, every controller reconnects to it at once, without coordination. Each delay is therefore drawn
//! uniformly between 0 and a bound that doubles (exponential backoff with full jitter), a connection that breaks soon after it
//! was established counts as a failure, and the number of connections per second is limited for each controller. First
//! connections (one for each invoker and incarnation) and retries have separate budgets: a starting controller has to reach
//! its fleet within about a second, and unresponsive invokers must not delay connections to the others.

use saltdrum::interface::{MILLISECOND, SECOND, Ticks};

/// Longest delay of the first connection to a new invoker. Spreads the connections of controllers that learn of it at once.
const FIRST_DELAY_MAX: Ticks = 20 * MILLISECOND;
/// Upper bound of the delay after the first failure.
const BACKOFF_BASE: Ticks = 100 * MILLISECOND;
/// Upper bound of the delay after many failures.
const BACKOFF_MAX: Ticks = 5 * SECOND;
/// A connection that was up for this long does not count as a consecutive failure when it breaks.
const STABLE_AFTER: Ticks = 3 * SECOND;
/// Connections that may be started at once.
const MAX_CONNECT_BURST: f64 = 128.0;
/// First connections per second. Each costs a controller less than 0.1 ms, a tenth of its time at most.
const FIRST_PER_SECOND: f64 = 1_000.0;
/// Lower bound of the retries per second.
const MIN_RETRIES_PER_SECOND: f64 = 64.0;
/// Retries per second for each connection: enough to retry all of them within about `BACKOFF_MAX`.
const RETRIES_PER_CONNECTION_AND_SECOND: f64 = 0.25;

/// Tracks the consecutive failures of one connection and computes its reconnect delay.
#[derive(Clone, Debug, Default)]
pub struct ReconnectBackoff {
    failures: u32,
    up_since: Option<Ticks>,
}

impl ReconnectBackoff {
    /// Draws the delay before the next connection attempt.
    pub fn next_delay(&self, rng: &mut fastrand::Rng) -> Ticks {
        let bound = match self.failures {
            0 => FIRST_DELAY_MAX,
            failures => BACKOFF_MAX.min(BACKOFF_BASE << (failures - 1).min(16)),
        };
        rng.u64(0..=bound)
    }

    /// Whether the last connection attempt, or the connection it established, failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Records that the connection was established.
    pub fn connected(&mut self, now: Ticks) {
        self.up_since = Some(now);
    }

    /// Records that the connection attempt failed, or that the established connection was lost.
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

    /// Forgets earlier failures, which do not apply once the invoker has restarted.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

/// A token bucket whose balance may become negative: the caller then has to wait until it is refilled.
#[derive(Clone, Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Ticks,
}

impl TokenBucket {
    fn reserve(&mut self, now: Ticks, per_second: f64) -> Ticks {
        let refill = now.saturating_sub(self.refilled_at) as f64 * per_second / SECOND as f64;
        self.tokens = (self.tokens + refill).min(MAX_CONNECT_BURST) - 1.0;
        self.refilled_at = self.refilled_at.max(now);
        (-self.tokens / per_second * SECOND as f64).max(0.0) as Ticks
    }
}

/// Limits how many connections a controller starts per second, over all invokers.
#[derive(Clone, Debug)]
pub struct ConnectBudget {
    first: TokenBucket,
    retries: TokenBucket,
}

impl ConnectBudget {
    /// Creates a budget with both buckets full.
    pub fn new(now: Ticks) -> Self {
        let full = TokenBucket {
            tokens: MAX_CONNECT_BURST,
            refilled_at: now,
        };
        Self {
            first: full.clone(),
            retries: full,
        }
    }

    /// Reserves a connection that has not failed before. Returns the delay before it may start.
    pub fn reserve_first(&mut self, now: Ticks) -> Ticks {
        self.first.reserve(now, FIRST_PER_SECOND)
    }

    /// Reserves a retry for a controller with `connections` invoker connections. Returns the delay before it may start.
    pub fn reserve_retry(&mut self, now: Ticks, connections: usize) -> Ticks {
        self.retries.reserve(
            now,
            MIN_RETRIES_PER_SECOND.max(RETRIES_PER_CONNECTION_AND_SECOND * connections as f64),
        )
    }
}

#[cfg(test)]
mod tests;
