use saltdrum::port::Tenths;
use std::time::Duration;
use tokio::time::Instant;

/// tokio's clock as whole tenths of a millisecond since an origin, which need not be this process's start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

/// An invoker may be older than the clock: its start must still have a time.
const BEFORE: Duration = Duration::from_secs(3_600);

impl Clock {
    /// A clock that reads one hour now, so that what started within the hour before has a time on it too.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    pub fn from(origin: Instant) -> Self {
        Self { origin }
    }

    pub fn now(&self) -> Tenths {
        tenths(BEFORE + self.origin.elapsed())
    }

    /// The instant at which the clock reads `at`, rounded up to what timers can do.
    pub fn instant(&self, at: Tenths) -> Instant {
        self.origin + Duration::from_micros(at * 100).saturating_sub(BEFORE)
    }

    pub async fn sleep_until(&self, at: Tenths) {
        tokio::time::sleep_until(self.instant(at)).await;
    }
}

pub(crate) fn tenths(span: Duration) -> Tenths {
    (span.as_micros() / 100) as Tenths
}
