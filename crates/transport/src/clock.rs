//! A clock in ticks, on top of tokio's.

use saltdrum::interface::Ticks;
use std::time::Duration;
use tokio::time::Instant;

/// tokio's clock as [`Ticks`] since an origin, which need not be the start of this process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    ahead: Duration,
    /// Drift against true time, in millionths.
    drift_ppm: i64,
}

/// What the clock reads at its origin: an invoker that started within this time before it still has a start time.
const READING_AT_ORIGIN: Duration = Duration::from_secs(3_600);

impl Clock {
    /// A clock that reads one hour now, so that what started within the hour before has a time on it too.
    pub fn start() -> Self {
        Self::with_origin(Instant::now())
    }

    /// A clock that reads one hour at `origin`.
    pub fn with_origin(origin: Instant) -> Self {
        Self {
            origin,
            ahead: Duration::ZERO,
            drift_ppm: 0,
        }
    }

    /// A clock that is ahead of this one by `ahead` now and gains `drift_ppm` millionths (negative: loses them).
    pub fn skewed(self, ahead: Duration, drift_ppm: i64) -> Self {
        Self {
            ahead,
            drift_ppm,
            ..self
        }
    }

    /// What this clock makes of a span of true time, or the other way round.
    fn stretched(span: Duration, from: i64, to: i64) -> Duration {
        let nanos =
            span.as_nanos() as i128 * i128::from(1_000_000 + to) / i128::from(1_000_000 + from);
        Duration::from_nanos(nanos.max(0) as u64)
    }

    /// The present reading.
    pub fn now(&self) -> Ticks {
        let elapsed = self.origin.elapsed();
        let elapsed = if self.drift_ppm == 0 {
            elapsed
        } else {
            Self::stretched(elapsed, 0, self.drift_ppm)
        };
        ticks(READING_AT_ORIGIN + self.ahead + elapsed)
    }

    /// The instant at which the clock reads `at`, rounded up to what timers can do.
    pub fn instant(&self, at: Ticks) -> Instant {
        let span = Duration::from_micros(at.saturating_mul(100))
            .saturating_sub(READING_AT_ORIGIN + self.ahead);
        self.origin
            + if self.drift_ppm == 0 {
                span
            } else {
                Self::stretched(span, self.drift_ppm, 0)
            }
    }

    /// Sleeps until the clock reads `at`.
    pub async fn sleep_until(&self, at: Ticks) {
        tokio::time::sleep_until(self.instant(at)).await;
    }
}

pub(crate) fn ticks(span: Duration) -> Ticks {
    (span.as_micros() / 100) as Ticks
}
