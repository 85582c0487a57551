//! ArrivalWindow: how unusual it is for one member on one line, and what several stewards make of it together. It tells only
//! that nobody knows; members that are suspected count as out.

use std::collections::VecDeque;

/// Timeouts between signs of life that are remembered.
const SPANS: usize = 64;
/// Two lines are never told apart by less than this, in tenths of a millisecond: a thread's turn.
const LEAST_DEVIATION: f64 = 200.0;

/// One member's signs of life, as one steward hears them. Times are tenths of a millisecond.
#[derive(Clone, Debug)]
pub struct ArrivalWindow {
    last: u64,
    spans: VecDeque<f64>,
    /// Of renewals, as the member promised them.
    promised: f64,
    /// Nobody listened since the last sign: the next one tells nothing of how long spans are.
    deaf: bool,
}

impl ArrivalWindow {
    pub fn new(now: u64, promised: u64) -> Self {
        Self {
            last: now,
            spans: VecDeque::new(),
            promised: promised as f64,
            deaf: false,
        }
    }

    pub fn heard(&mut self, now: u64) {
        if !std::mem::take(&mut self.deaf) {
            self.spans.push_back(now.saturating_sub(self.last) as f64);
        }
        if self.spans.len() > SPANS {
            self.spans.pop_front();
        }
        self.last = now;
    }

    /// This steward stood still: what came meanwhile it could not hear, and it begins to listen anew.
    pub fn was_deaf(&mut self, now: u64) {
        (self.last, self.deaf) = (self.last.max(now), true);
    }

    pub fn since(&self, now: u64) -> u64 {
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
        let y = (self.since(now) as f64 - mean) / deviation.max(LEAST_DEVIATION);
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

/// What one steward says of a member; `None`: it does not know, because it has not listened for long enough, or has lost so
/// many at once that the fault is more likely its own.
pub type Opinion = Option<f64>;

/// The level that a majority of all stewards reaches or exceeds; none where fewer have an opinion than that.
pub fn weighed(stewards: usize, opinions: impl Iterator<Item = Opinion>) -> Option<f64> {
    let mut known: Vec<f64> = opinions.flatten().collect();
    known.sort_by(|a, b| b.total_cmp(a));
    known.get(stewards / 2).copied()
}

/// Whether a steward that finds so many of its members silent at once should think itself deaf.
pub fn is_deaf(silent: usize, members: usize) -> bool {
    members >= 3 && silent * 2 > members
}
