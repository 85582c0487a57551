//! An accrual failure detector. Each coordinator computes a level of suspicion from a member's missing heartbeats; the level
//! that a majority of coordinators reaches counts. Suspected members count as out of service.

use std::collections::VecDeque;

/// Maximum number of heartbeat intervals kept.
const MAX_INTERVALS: usize = 64;
/// Minimum standard deviation assumed, in ticks of 100 us, to allow for the scheduling delay of a thread.
const MIN_DEVIATION_TICKS: f64 = 200.0;

/// The recent heartbeat arrivals of one member at one coordinator. Times are ticks of 100 us.
#[derive(Clone, Debug)]
pub struct ArrivalWindow {
    last_arrival: u64,
    intervals: VecDeque<f64>,
    /// The interval that the member announced.
    announced_interval: f64,
    /// The coordinator was paused since the last heartbeat, so the interval to the next one is not recorded.
    skip_next_interval: bool,
}

impl ArrivalWindow {
    /// Creates a window that starts now, for heartbeats announced every `announced_interval` ticks.
    pub fn new(now: u64, announced_interval: u64) -> Self {
        Self {
            last_arrival: now,
            intervals: VecDeque::new(),
            announced_interval: announced_interval as f64,
            skip_next_interval: false,
        }
    }

    /// Records the arrival of a heartbeat.
    pub fn record_heartbeat(&mut self, now: u64) {
        if !std::mem::take(&mut self.skip_next_interval) {
            self.intervals
                .push_back(now.saturating_sub(self.last_arrival) as f64);
        }
        if self.intervals.len() > MAX_INTERVALS {
            self.intervals.pop_front();
        }
        self.last_arrival = now;
    }

    /// Restarts the measurement after this coordinator was paused: missing heartbeats count from now on.
    pub fn reset_after_pause(&mut self, now: u64) {
        (self.last_arrival, self.skip_next_interval) = (self.last_arrival.max(now), true);
    }

    /// Time since the last heartbeat arrived.
    pub fn elapsed(&self, now: u64) -> u64 {
        now.saturating_sub(self.last_arrival)
    }

    /// The level of suspicion: minus the decimal logarithm of the probability of a gap at least as long as the current one
    /// (phi accrual; Hayashibara et al. 2004). It uses the logistic distribution instead of the normal one: its far tail is
    /// heavier, so members are suspected later.
    pub fn level(&self, now: u64) -> f64 {
        let count = self.intervals.len() as f64;
        // The announced interval is weighted like 8 measured ones, so that the first few measurements do not dominate.
        let (prior, weight) = (self.announced_interval, 8.0);
        let mean = (self.intervals.iter().sum::<f64>() + prior * weight) / (count + weight);
        let squares = self
            .intervals
            .iter()
            .map(|interval| (interval - mean).powi(2))
            .sum::<f64>();
        let deviation = ((squares + (prior / 4.0).powi(2) * weight) / (count + weight)).sqrt();
        let standardized_gap =
            (self.elapsed(now) as f64 - mean) / deviation.max(MIN_DEVIATION_TICKS);
        // The argument of the logistic distribution with the same standard deviation.
        let exponent = standardized_gap * std::f64::consts::PI / 3f64.sqrt();
        // log10(1 + e^exponent), without overflow.
        if exponent > 30.0 {
            exponent / std::f64::consts::LN_10
        } else {
            exponent.exp().ln_1p() / std::f64::consts::LN_10
        }
    }
}

/// The level of suspicion that one coordinator reports for a member. `None`: unknown, because the coordinator has not received
/// heartbeats for long enough, or lost so many members at once that its own connectivity is the likely fault.
pub type SuspicionReport = Option<f64>;

/// The level that a majority of all coordinators reaches or exceeds; `None` if fewer than a majority report one.
pub fn majority_level(
    coordinators: usize,
    reports: impl Iterator<Item = SuspicionReport>,
) -> Option<f64> {
    let mut levels: Vec<f64> = reports.flatten().collect();
    levels.sort_by(|a, b| b.total_cmp(a));
    levels.get(coordinators / 2).copied()
}

/// Whether a coordinator to which this many members are unreachable at once must assume that it is itself isolated.
pub fn is_isolated(unreachable: usize, members: usize) -> bool {
    members >= 3 && unreachable * 2 > members
}
