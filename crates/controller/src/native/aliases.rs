//! Resolves names of the registry: an alias becomes a version here, before the policy sees an invocation.

use saltdrum::interface::{FunctionId, MILLISECOND, Ticks};
use saltdrum_registry::follow::{FollowConfig, RegistryUpdate};
use saltdrum_registry::rollout::Tally;
use saltdrum_registry::state::RegistryState;
use saltdrum_registry::version_pin::{
    PinRequest, PinnedVersion, ResolveError, StagedRollout, VersionPins, function_id,
    function_name, offered,
};
use serde_json::json;
use std::collections::BTreeMap;
use tracing::debug;

/// Where the registry is, and for how long a client's calls are pinned to a version.
#[derive(Clone, Debug)]
pub struct AliasConfig {
    /// The registry, and what is kept of it on disk.
    pub registry: FollowConfig,
    /// How long a version stays pinned.
    pub pin_duration: Ticks,
    /// Unix time in milliseconds when the controller's clock reads 0. Clocks of controllers have to agree within the pinning
    /// time; where they do not, pins end early, and never with another version.
    pub epoch_ms: u64,
}

/// Staged rollouts whose results are counted at a time.
const MAX_STAGES: usize = 256;

/// Results of a staged rollout, as counted here and as reported to the registry.
#[derive(Default)]
struct StageResults {
    counted: Tally,
    reported: Tally,
}

/// What is known of the registry, and the versions that clients are pinned to.
pub(crate) struct AliasResolver {
    registry: RegistryState,
    pins: VersionPins,
    epoch_ms: u64,
    last_heard: Option<Ticks>,
    /// Why the registry's last answer was not applied.
    refused: Option<String>,
    stages: BTreeMap<StagedRollout, StageResults>,
}

/// The version that an invocation runs, for the wire and the policy.
pub(crate) struct ResolvedVersion {
    pub function: FunctionId,
    pub name: String,
    pub memory_mb: f64,
    pub concurrency_limit: f64,
    pub fixed: PinnedVersion,
}

impl AliasResolver {
    /// Knows nothing of the registry yet.
    pub(crate) fn new(config: &AliasConfig) -> Self {
        Self {
            registry: RegistryState::default(),
            pins: VersionPins::new(config.pin_duration / MILLISECOND),
            epoch_ms: config.epoch_ms,
            last_heard: None,
            refused: None,
            stages: BTreeMap::new(),
        }
    }

    /// The version that a name stands for now, or that the client is pinned to.
    pub(crate) fn resolve(
        &mut self,
        now: Ticks,
        tenant: &str,
        trigger: &str,
        name: &str,
        said: &PinRequest,
    ) -> Result<ResolvedVersion, ResolveError> {
        let fixed = self.pins.fix(
            &self.registry,
            self.epoch_ms + now / MILLISECOND,
            tenant,
            name,
            said,
        )?;
        let full_name = function_name(&fixed.model, &fixed.version);
        let Some(version) = offered(&self.registry, &fixed) else {
            return Err(ResolveError::Unknown(full_name));
        };
        if !version
            .trigger_types
            .iter()
            .any(|offered| offered == trigger)
        {
            return Err(ResolveError::Unknown(format!(
                "{full_name} for trigger '{trigger}'"
            )));
        }
        Ok(ResolvedVersion {
            function: function_id(&fixed.model, &fixed.version),
            name: full_name,
            memory_mb: version.memory_mb as f64,
            concurrency_limit: f64::from(version.lanes),
            fixed,
        })
    }

    /// Counts the end of an attempt on one side of a staged rollout.
    pub(crate) fn count(&mut self, staged: &StagedRollout, is_success: bool) {
        let key = StagedRollout {
            new: true,
            ..staged.clone()
        };
        if self.stages.len() >= MAX_STAGES && !self.stages.contains_key(&key) {
            return;
        }
        let tally = &mut self.stages.entry(key).or_default().counted;
        let count = match (staged.new, is_success) {
            (true, true) => &mut tally.new_well,
            (true, false) => &mut tally.new_erred,
            (false, true) => &mut tally.old_well,
            (false, false) => &mut tally.old_erred,
        };
        *count += 1;
    }

    /// Applies what was heard of the registry.
    pub(crate) fn apply(&mut self, now: Ticks, heard: RegistryUpdate) {
        match heard {
            RegistryUpdate::Changed(head) => {
                debug!(revision = head.revision(), "registry updated");
                self.registry = head.state;
                self.refused = None;
                self.last_heard = Some(now);
                let registry = &self.registry;
                self.stages.retain(|stage, _| {
                    let alias = registry.alias(&stage.space, &stage.alias);
                    alias.is_some_and(|a| a.changed == stage.changed && a.stage.is_some())
                });
            }
            RegistryUpdate::Unchanged => {
                self.refused = None;
                self.last_heard = Some(now);
            }
            RegistryUpdate::Rejected(reason) => self.refused = Some(reason),
        }
    }

    /// Results that the registry does not know yet.
    pub(crate) fn unreported(&self) -> Vec<(StagedRollout, Tally)> {
        let changed = self
            .stages
            .iter()
            .filter(|(_, results)| results.counted != results.reported);
        changed
            .map(|(stage, results)| (stage.clone(), results.counted))
            .collect()
    }

    /// The registry has taken these results.
    pub(crate) fn mark_reported(&mut self, reported: &[(StagedRollout, Tally)]) {
        for (stage, tally) in reported {
            if let Some(results) = self.stages.get_mut(stage) {
                results.reported = *tally;
            }
        }
    }

    /// For the controller's status, as JSON.
    pub(crate) fn status(&self, now: Ticks) -> serde_json::Value {
        json!({"revision": self.registry.revision, "heard_ms_ago": self.last_heard.map(|at| now.saturating_sub(at) / MILLISECOND),
            "refused": self.refused, "passages": self.pins.remembered()})
    }
}
