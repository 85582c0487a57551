//! A clock in ticks, based on tokio's clock.

use saltdrum::interface::Ticks;
use std::time::Duration;
use tokio::time::Instant;

/// Reads tokio's clock in [`Ticks`], relative to an origin that may differ from the start of this process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    ahead: Duration,
    /// Drift relative to true time, in parts per million.
    drift_ppm: i64,
}

/// Reading of the clock at its origin, so that an invoker that started up to one hour earlier still has a start time.
const READING_AT_ORIGIN: Duration = Duration::from_secs(3_600);

impl Clock {
    /// Creates a clock whose origin is now. It reads one hour, so that start times within the hour before can be expressed.
    pub fn start() -> Self {
        Self::with_origin(Instant::now())
    }

    /// Creates a clock that reads one hour at `origin`.
    pub fn with_origin(origin: Instant) -> Self {
        Self {
            origin,
            ahead: Duration::ZERO,
            drift_ppm: 0,
        }
    }

    /// Returns a clock that is ahead of this one by `ahead` and runs fast by `drift_ppm` parts per million (negative: slow).
    pub fn skewed(self, ahead: Duration, drift_ppm: i64) -> Self {
        Self {
            ahead,
            drift_ppm,
            ..self
        }
    }

    /// Converts a span measured by a clock with drift `from_ppm` to a clock with drift `to_ppm`.
    fn convert_span(span: Duration, from_ppm: i64, to_ppm: i64) -> Duration {
        let nanos = span.as_nanos() as i128 * i128::from(1_000_000 + to_ppm)
            / i128::from(1_000_000 + from_ppm);
        Duration::from_nanos(nanos.max(0) as u64)
    }

    /// Returns the current reading.
    pub fn now(&self) -> Ticks {
        let elapsed = self.origin.elapsed();
        let elapsed = if self.drift_ppm == 0 {
            elapsed
        } else {
            Self::convert_span(elapsed, 0, self.drift_ppm)
        };
        ticks_of(READING_AT_ORIGIN + self.ahead + elapsed)
    }

    /// Returns the instant at which the clock reads `at`.
    pub fn instant(&self, at: Ticks) -> Instant {
        let span = Duration::from_micros(at.saturating_mul(100))
            .saturating_sub(READING_AT_ORIGIN + self.ahead);
        self.origin
            + if self.drift_ppm == 0 {
                span
            } else {
                Self::convert_span(span, self.drift_ppm, 0)
            }
    }

    /// Sleeps until the clock reads `at`.
    pub async fn sleep_until(&self, at: Ticks) {
        tokio::time::sleep_until(self.instant(at)).await;
    }
}

pub(crate) fn ticks_of(span: Duration) -> Ticks {
    (span.as_micros() / 100) as Ticks
}
