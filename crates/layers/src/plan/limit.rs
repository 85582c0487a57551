//! Adaptive limit on the requests that one invoker has in flight at one source. Each invoker adapts on its own, from
//! refusals and slow responses; no state is shared.

use saltdrum::interface::{MILLISECOND, Ticks};

/// Refusals and slow responses within this time belong to the same overload and shrink the window once.
const SAME_OVERLOAD_PERIOD: Ticks = 100 * MILLISECOND;
/// A response this many times slower than the fastest seen indicates overload before the source refuses.
const SLOWDOWN_FACTOR: f64 = 4.0;

/// Window growth near the threshold, as a factor of the growth below it.
const GROWTH_NEAR_THRESHOLD: f64 = 0.03;

/// A congestion window: grows by one per window of successful requests, halves on a refusal, and shrinks by a tenth on a
/// slow response.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    window: f64,
    min_window: f64,
    max_window: f64,
    /// The window at the last refusal. Near and above it the window grows slowly.
    threshold: f64,
    in_flight: usize,
    shrunk_at: Option<Ticks>,
    closed_until: Ticks,
    /// Least time per KiB seen. Rises by 2% per response, so that one unusually fast response does not count for ever.
    fastest_pace: Option<f64>,
}

impl ConcurrencyLimit {
    /// Starts with this window and never grows beyond `max_window`.
    pub fn new(initial_window: f64, max_window: f64) -> Self {
        Self {
            window: initial_window,
            min_window: 1.0,
            max_window,
            threshold: f64::INFINITY,
            in_flight: 0,
            shrunk_at: None,
            closed_until: 0,
            fastest_pace: None,
        }
    }

    /// Whether another request may be sent now.
    pub fn has_capacity(&self, now: Ticks) -> bool {
        now >= self.closed_until
            && (self.in_flight as f64) < self.window.floor().max(self.min_window)
    }

    /// When requests are allowed again, if a refusal closed the source.
    pub fn reopens_at(&self, now: Ticks) -> Option<Ticks> {
        (now < self.closed_until).then_some(self.closed_until)
    }

    /// Counts a request that was sent.
    pub fn request_sent(&mut self) {
        self.in_flight += 1;
    }

    /// Counts the end of a request that indicates nothing about load.
    pub fn request_ended(&mut self) {
        debug_assert!(self.in_flight > 0, "more requests ended than were sent");
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Counts a successful request and adjusts the window by its duration.
    pub fn request_succeeded(&mut self, now: Ticks, duration: Ticks, bytes: u64) {
        self.request_ended();
        let pace = duration as f64 / (bytes as f64 / 1_024.0).max(1.0);
        let fastest_pace = self
            .fastest_pace
            .map_or(pace, |previous| (previous * 1.02).min(pace));
        self.fastest_pace = Some(fastest_pace);
        if pace > SLOWDOWN_FACTOR * fastest_pace {
            self.shrink(now, 0.9);
        } else {
            let step = if self.window + 1.0 >= self.threshold {
                GROWTH_NEAR_THRESHOLD
            } else {
                1.0
            };
            self.window = (self.window + step / self.window).min(self.max_window);
        }
    }

    /// Counts a refused request and closes the source for `retry_after`.
    pub fn request_refused(&mut self, now: Ticks, retry_after: Ticks) {
        self.request_ended();
        self.closed_until = self.closed_until.max(now + retry_after);
        if self
            .shrunk_at
            .is_none_or(|at| now >= at + SAME_OVERLOAD_PERIOD)
        {
            self.threshold = self.window;
            self.shrink(now, 0.5);
        }
    }

    fn shrink(&mut self, now: Ticks, factor: f64) {
        if self
            .shrunk_at
            .is_none_or(|at| now >= at + SAME_OVERLOAD_PERIOD)
        {
            self.window = (self.window * factor).max(self.min_window);
            self.shrunk_at = Some(now);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Six clients without shared state send to a source that serves 12 requests at a time and refuses the rest.
    #[test]
    fn clients_share_a_source_evenly_with_few_refusals() {
        let (capacity, mut rng) = (12usize, fastrand::Rng::with_seed(1));
        let mut limits = vec![ConcurrencyLimit::new(4.0, 64.0); 6];
        let mut in_service: Vec<(Ticks, usize)> = Vec::new();
        let (mut served, mut refused) = (vec![0u32; 6], 0u32);
        for now in (0..600_000).step_by(10) {
            in_service.retain(|(until, client)| {
                let over = *until <= now;
                if over {
                    limits[*client].request_succeeded(now, 500, 1 << 20);
                    served[*client] += 1;
                }
                !over
            });
            for offset in 0..limits.len() {
                // A random start, so that no client is always the first to see free capacity.
                let client = (offset + rng.usize(..6)) % limits.len();
                while limits[client].has_capacity(now) {
                    limits[client].request_sent();
                    if in_service.len() < capacity {
                        in_service.push((now + rng.u64(400..600), client));
                    } else {
                        refused += 1;
                        limits[client].request_refused(now, rng.u64(200..400));
                    }
                }
            }
        }
        let total: u32 = served.iter().sum();
        let capacity_total = 600_000 / 500 * capacity as u32;
        assert!(
            total * 10 > capacity_total * 7,
            "{total} of {capacity_total} served"
        );
        assert!(refused * 3 < total, "{refused} refused, {total} served");
        assert!(
            served.iter().min().unwrap() * 3 > *served.iter().max().unwrap(),
            "{served:?}"
        );
    }

    #[test]
    fn one_overload_halves_the_window_once_and_retry_after_is_respected() {
        let mut limit = ConcurrencyLimit::new(8.0, 64.0);
        (0..8).for_each(|_| limit.request_sent());
        (0..8).for_each(|_| limit.request_refused(1_000, 700));
        assert!(!limit.has_capacity(1_699) && limit.reopens_at(1_699) == Some(1_700));
        (0..4).for_each(|_| {
            assert!(limit.has_capacity(1_700));
            limit.request_sent();
        });
        assert!(!limit.has_capacity(1_700), "half of eight");
        let mut limit = ConcurrencyLimit::new(8.0, 64.0);
        (0..8).for_each(|_| limit.request_sent());
        limit.request_refused(1_000, 0);
        (0..3).for_each(|_| limit.request_succeeded(1_000, 100, 1 << 20));
        assert!(
            !limit.has_capacity(1_000),
            "half of eight, and four are still in flight"
        );
        limit.request_succeeded(1_000, 100, 1 << 20);
        assert!(limit.has_capacity(1_000));
    }
}
