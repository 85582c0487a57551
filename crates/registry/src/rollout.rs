//! When a staged move ends: by what controllers have counted of the new version's answers and the old one's.

use crate::state::Stage;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Ends of dispatches so far, by one life of one controller. Those that never ran are not counted, loads that failed are.
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

/// Of one stage. Each controller tells its whole count, so that what is told twice counts once.
#[derive(Clone, Debug, Default)]
pub struct Tallies {
    of: BTreeMap<(u32, u64), Tally>,
}

/// What the results say of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// More answers are needed.
    Undecided,
    /// The rollout succeeded.
    Complete,
    /// Shares of answers that erred.
    Abort {
        /// Of the new version.
        new: f64,
        /// Of the old version.
        old: f64,
    },
}

/// How sure it must be before a stage is stopped early: of the normal distribution, about one in a thousand by chance.
const SURE: f64 = 3.0;
/// Fewer erring answers prove nothing.
const ERRED_LEAST: u64 = 5;

impl Tallies {
    /// Counts only grow: a message that was overtaken by a later one changes nothing.
    pub fn record(&mut self, controller: u32, incarnation: u64, tally: Tally) {
        let known = self.of.entry((controller, incarnation)).or_default();
        let most = |a: u64, b: u64| a.max(b);
        *known = Tally {
            new_succeeded: most(known.new_succeeded, tally.new_succeeded),
            new_failed: most(known.new_failed, tally.new_failed),
            old_succeeded: most(known.old_succeeded, tally.old_succeeded),
            old_failed: most(known.old_failed, tally.old_failed),
        };
    }

    /// Results of all controllers.
    pub fn sum(&self) -> Tally {
        self.of.values().fold(Tally::default(), |s, t| Tally {
            new_succeeded: s.new_succeeded.saturating_add(t.new_succeeded),
            new_failed: s.new_failed.saturating_add(t.new_failed),
            old_succeeded: s.old_succeeded.saturating_add(t.old_succeeded),
            old_failed: s.old_failed.saturating_add(t.old_failed),
        })
    }

    /// Whether the rollout ends, and how.
    pub fn verdict(&self, stage: &Stage) -> Verdict {
        let sum = self.sum();
        let share =
            |erred: u64, well: u64| erred as f64 / (erred.saturating_add(well)).max(1) as f64;
        let answers = sum.new_succeeded.saturating_add(sum.new_failed);
        let (new, old) = (
            share(sum.new_failed, sum.new_succeeded),
            share(sum.old_failed, sum.old_succeeded),
        );
        let bound = old + f64::from(stage.errors_per_mille) / 1_000.0;
        let spread = (bound.clamp(0.001, 0.999) * (1.0 - bound.clamp(0.001, 0.999))
            / answers.max(1) as f64)
            .sqrt();
        // Before the answers waited for are in, only what chance would not do stops it; then the count as it is.
        let early = sum.new_failed >= ERRED_LEAST && new > bound + SURE * spread;
        match answers >= stage.answers {
            _ if early => Verdict::Abort { new, old },
            true if new > bound => Verdict::Abort { new, old },
            true => Verdict::Complete,
            false => Verdict::Undecided,
        }
    }
}
