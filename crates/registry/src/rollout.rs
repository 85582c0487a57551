//! Decides when a staged rollout ends, by the results of the new and the old version that controllers have counted.

use crate::state::Stage;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Outcomes of dispatches that one incarnation of a controller has counted so far. Dispatches that never ran are not
/// counted, failed loads are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tally {
    /// Answers of the new version that succeeded.
    #[serde(rename = "new_well")]
    pub new_succeeded: u64,
    /// Answers of the new version that failed.
    #[serde(rename = "new_erred")]
    pub new_failed: u64,
    /// Answers of the old version that succeeded.
    #[serde(rename = "old_well")]
    pub old_succeeded: u64,
    /// Answers of the old version that failed.
    #[serde(rename = "old_erred")]
    pub old_failed: u64,
}

/// Results of one rollout. Each controller reports its total, so that a repeated report is counted once.
#[derive(Clone, Debug, Default)]
pub struct Tallies {
    /// By controller and incarnation.
    totals: BTreeMap<(u32, u64), Tally>,
}

/// What the results decide about a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// More answers are needed.
    Undecided,
    /// The rollout succeeded.
    Complete,
    /// The rollout failed. Shares of answers that failed:
    Abort {
        /// Of the new version.
        new: f64,
        /// Of the old version.
        old: f64,
    },
}

/// Standard deviations above the bound that stop a rollout early: by chance about one in a thousand in a normal
/// distribution.
const EARLY_ABORT_SIGMAS: f64 = 3.0;
/// Failed answers that an early stop needs; fewer are not significant.
const MIN_FAILURES_TO_ABORT: u64 = 5;

impl Tallies {
    /// Records a controller's totals. Totals only grow, so that a delayed older report changes nothing.
    pub fn record(&mut self, controller: u32, incarnation: u64, tally: Tally) {
        let known = self.totals.entry((controller, incarnation)).or_default();
        let max = |a: u64, b: u64| a.max(b);
        *known = Tally {
            new_succeeded: max(known.new_succeeded, tally.new_succeeded),
            new_failed: max(known.new_failed, tally.new_failed),
            old_succeeded: max(known.old_succeeded, tally.old_succeeded),
            old_failed: max(known.old_failed, tally.old_failed),
        };
    }

    /// Sum of all controllers' totals.
    pub fn sum(&self) -> Tally {
        self.totals
            .values()
            .fold(Tally::default(), |sum, tally| Tally {
                new_succeeded: sum.new_succeeded.saturating_add(tally.new_succeeded),
                new_failed: sum.new_failed.saturating_add(tally.new_failed),
                old_succeeded: sum.old_succeeded.saturating_add(tally.old_succeeded),
                old_failed: sum.old_failed.saturating_add(tally.old_failed),
            })
    }

    /// Whether the rollout ends, and how.
    pub fn verdict(&self, stage: &Stage) -> Verdict {
        let sum = self.sum();
        let failure_rate = |failed: u64, succeeded: u64| {
            failed as f64 / (failed.saturating_add(succeeded)).max(1) as f64
        };
        let answers = sum.new_succeeded.saturating_add(sum.new_failed);
        let (new, old) = (
            failure_rate(sum.new_failed, sum.new_succeeded),
            failure_rate(sum.old_failed, sum.old_succeeded),
        );
        let bound = old + f64::from(stage.errors_per_mille) / 1_000.0;
        let deviation = (bound.clamp(0.001, 0.999) * (1.0 - bound.clamp(0.001, 0.999))
            / answers.max(1) as f64)
            .sqrt();
        // Before enough answers are in, only a significant excess of failures stops the rollout; after that, the plain rate
        // decides.
        let is_early_abort =
            sum.new_failed >= MIN_FAILURES_TO_ABORT && new > bound + EARLY_ABORT_SIGMAS * deviation;
        match answers >= stage.answers {
            _ if is_early_abort => Verdict::Abort { new, old },
            true if new > bound => Verdict::Abort { new, old },
            true => Verdict::Complete,
            false => Verdict::Undecided,
        }
    }
}
