//! An accrual failure detector: how unusual a member's silence is to one coordinator, and how a majority of coordinators
//! weighs it. Members that are suspected count as out.

use std::collections::VecDeque;

/// Intervals between heartbeats that are remembered.
const SPANS: usize = 64;
/// Least standard deviation that is assumed, in ticks of 100 us: the scheduling delay of a thread.
const LEAST_DEVIATION: f64 = 200.0;

/// One member's heartbeats, as one coordinator receives them. Times are ticks of 100 us.
#[derive(Clone, Debug)]
pub struct ArrivalWindow {
    last: u64,
    spans: VecDeque<f64>,
    /// The interval that the member promised.
    promised: f64,
    /// The coordinator was paused since the last heartbeat: the next one says nothing of how long intervals are.
    deaf: bool,
}

impl ArrivalWindow {
    /// A window that opens now, for heartbeats promised each `promised` ticks.
    pub fn new(now: u64, promised: u64) -> Self {
        Self {
            last: now,
            spans: VecDeque::new(),
            promised: promised as f64,
            deaf: false,
        }
    }

    /// A heartbeat arrived.
    pub fn record_heartbeat(&mut self, now: u64) {
        if !std::mem::take(&mut self.deaf) {
            self.spans.push_back(now.saturating_sub(self.last) as f64);
        }
        if self.spans.len() > SPANS {
            self.spans.pop_front();
        }
        self.last = now;
    }

    /// This coordinator was paused: silence counts from now on.
    pub fn reset_after_pause(&mut self, now: u64) {
        (self.last, self.deaf) = (self.last.max(now), true);
    }

    /// How long ago the last heartbeat arrived.
    pub fn elapsed(&self, now: u64) -> u64 {
        now.saturating_sub(self.last)
    }

    /// Minus the logarithm, to ten, of how often a silence as long as this one, or longer, would be usual (Hayashibara and
    /// others, 2004, with the logistic curve in place of the normal one, whose far tail it exceeds: it accuses later).
    pub fn level(&self, now: u64) -> f64 {
        let n = self.spans.len() as f64;
        // The promised span counts as so many heard ones, so that the first few do not decide alone.
        let (prior, weight) = (self.promised, 8.0);
        let mean = (self.spans.iter().sum::<f64>() + prior * weight) / (n + weight);
        let squares = self.spans.iter().map(|s| (s - mean).powi(2)).sum::<f64>();
        let deviation = ((squares + (prior / 4.0).powi(2) * weight) / (n + weight)).sqrt();
        let y = (self.elapsed(now) as f64 - mean) / deviation.max(LEAST_DEVIATION);
        // The logistic curve of the same spread.
        let x = y * std::f64::consts::PI / 3f64.sqrt();
        // log10(1 + e^x), without running over.
        if x > 30.0 {
            x / std::f64::consts::LN_10
        } else {
            x.exp().ln_1p() / std::f64::consts::LN_10
        }
    }
}

/// The level of suspicion that one coordinator reports for a member; `None`: it does not know, because it has not listened
/// for long enough, or has lost so many members at once that the fault is more likely its own.
pub type SuspicionReport = Option<f64>;

/// The level that a majority of all coordinators reaches or exceeds; none where fewer than that report one.
pub fn majority_level(
    stewards: usize,
    opinions: impl Iterator<Item = SuspicionReport>,
) -> Option<f64> {
    let mut known: Vec<f64> = opinions.flatten().collect();
    known.sort_by(|a, b| b.total_cmp(a));
    known.get(stewards / 2).copied()
}

/// Whether a coordinator that finds so many members silent at once should take itself to be cut off.
pub fn is_isolated(silent: usize, members: usize) -> bool {
    members >= 3 && silent * 2 > members
}
