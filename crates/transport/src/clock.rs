use saltdrum::interface::Ticks;
use std::time::Duration;
use tokio::time::Instant;

/// tokio's clock as whole tenths of a millisecond since an origin, which need not be this process's start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    ahead: Duration,
    /// In millionths.
    fast: i64,
}

/// An invoker may be older than the clock: its start must still have a time.
const BEFORE: Duration = Duration::from_secs(3_600);

impl Clock {
    /// A clock that reads one hour now, so that what started within the hour before has a time on it too.
    pub fn start() -> Self {
        Self::from(Instant::now())
    }

    pub fn from(origin: Instant) -> Self {
        Self {
            origin,
            ahead: Duration::ZERO,
            fast: 0,
        }
    }

    /// A clock that is ahead of this one by so much now and gains so many millionths, or loses them.
    pub fn skewed(self, ahead: Duration, fast: i64) -> Self {
        Self {
            ahead,
            fast,
            ..self
        }
    }

    /// What this clock makes of a span of true time, or the other way round.
    fn stretched(span: Duration, from: i64, to: i64) -> Duration {
        let nanos =
            span.as_nanos() as i128 * i128::from(1_000_000 + to) / i128::from(1_000_000 + from);
        Duration::from_nanos(nanos.max(0) as u64)
    }

    pub fn now(&self) -> Ticks {
        let elapsed = self.origin.elapsed();
        let elapsed = if self.fast == 0 {
            elapsed
        } else {
            Self::stretched(elapsed, 0, self.fast)
        };
        tenths(BEFORE + self.ahead + elapsed)
    }

    /// The instant at which the clock reads `at`, rounded up to what timers can do.
    pub fn instant(&self, at: Ticks) -> Instant {
        let span =
            Duration::from_micros(at.saturating_mul(100)).saturating_sub(BEFORE + self.ahead);
        self.origin
            + if self.fast == 0 {
                span
            } else {
                Self::stretched(span, self.fast, 0)
            }
    }

    pub async fn sleep_until(&self, at: Ticks) {
        tokio::time::sleep_until(self.instant(at)).await;
    }
}

pub(crate) fn tenths(span: Duration) -> Ticks {
    (span.as_micros() / 100) as Ticks
}
