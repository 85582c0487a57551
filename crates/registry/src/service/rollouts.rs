//! Results of staged rollouts, as controllers count them; a rollout ends here when they say so.

use super::errors::REJECTED;
use super::{Registry, RpcResult, params};
use crate::names::{Name, Namespace};
use crate::rollout::{Tallies, Verdict};
use crate::state::{Change, Revision, Role, Stage};
use serde_json::json;
use std::collections::BTreeMap;
use tracing::info;

/// By alias: the revision at which its rollout started, and its results.
pub(super) type RolloutTallies = BTreeMap<(Namespace, Name), (Revision, Tallies)>;

/// How a rollout ends. The reason goes into the history: its wording stays.
struct RolloutEnd {
    is_success: bool,
    reason: String,
}

impl RolloutEnd {
    /// None: more answers are needed.
    fn from_verdict(verdict: Verdict) -> Option<Self> {
        match verdict {
            Verdict::Undecided => None,
            Verdict::Complete => Some(Self {
                is_success: true,
                reason: "as many answers as were waited for, no more errors than allowed"
                    .to_owned(),
            }),
            Verdict::Abort { new, old } => Some(Self {
                is_success: false,
                reason: format!(
                    "{:.1}% of the new version's answers erred, {:.1}% of the old one's",
                    new * 100.0,
                    old * 100.0
                ),
            }),
        }
    }
}

impl Registry {
    /// Adds what a controller has counted of a rollout, and ends the rollout when the counts decide it.
    pub(super) async fn add_rollout_results(&self, who: &Name, report: params::Tells) -> RpcResult {
        let Some(stage) = self.current_stage(&report) else {
            return Ok(json!({"over": true}));
        };
        let verdict = self.add_tally(&report, &stage);
        let Some(end) = RolloutEnd::from_verdict(verdict) else {
            return Ok(json!({"over": false}));
        };
        let key = (report.namespace.clone(), report.alias.clone());
        self.rollout_tallies.borrow_mut().remove(&key);
        info!(alias = %report.alias, is_success = end.is_success, reason = end.reason, "rollout ended");
        let change = Change::EndStage {
            space: report.namespace,
            alias: report.alias,
            expect: report.alias_revision,
            is_success: end.is_success,
            why: end.reason,
        };
        // The registry decides this itself, in the name of whoever reported last.
        match self.submit(who, Role::Reader, change, None).await {
            Ok(_) => Ok(json!({"over": true})),
            Err(error) if error.code == REJECTED => Ok(json!({"over": true})),
            Err(error) => Err(error),
        }
    }

    /// The rollout that the report is of, where it is still under way.
    fn current_stage(&self, report: &params::Tells) -> Option<Stage> {
        let store = self.store.borrow();
        let alias = store.head().state.alias(&report.namespace, &report.alias)?;
        if alias.changed != report.alias_revision {
            return None;
        }
        alias.stage.clone()
    }

    fn add_tally(&self, report: &params::Tells, stage: &Stage) -> Verdict {
        let mut all = self.rollout_tallies.borrow_mut();
        let key = (report.namespace.clone(), report.alias.clone());
        let (revision, tallies) = all.entry(key).or_default();
        if *revision != report.alias_revision {
            *revision = report.alias_revision;
            *tallies = Tallies::default();
        }
        tallies.record(report.controller, report.incarnation, report.tally);
        tallies.verdict(stage)
    }
}
