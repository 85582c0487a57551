//! Resolves registry aliases to versions, before the policy sees an invocation.

use saltdrum::interface::{FunctionId, MILLISECOND, Ticks};
use saltdrum_registry::follow::{FollowConfig, RegistryUpdate};
use saltdrum_registry::rollout::Tally;
use saltdrum_registry::state::RegistryState;
use saltdrum_registry::version_pin::{
    PinRequest, PinnedVersion, ResolveError, StagedRollout, VersionPins, function_id,
    function_name, pinned_version,
};
use serde_json::json;
use std::collections::BTreeMap;
use tracing::debug;

/// Configuration of the registry connection and of version pinning.
#[derive(Clone, Debug)]
pub struct AliasConfig {
    /// The registry connection and the local copy on disk.
    pub registry: FollowConfig,
    /// How long a client's calls stay pinned to a version.
    pub pin_duration: Ticks,
    /// Unix time in milliseconds at which the controller's clock reads 0. The clocks of controllers have to agree to within the
    /// pin duration; where they do not, pins expire early, but never switch to another version.
    pub epoch_ms: u64,
}

/// Upper bound of the staged rollouts whose results are counted at the same time.
const MAX_STAGED_ROLLOUTS: usize = 256;

/// Results of a staged rollout: as counted by this controller, and as last reported to the registry.
#[derive(Default)]
struct RolloutResults {
    counted: Tally,
    reported: Tally,
}

/// The known state of the registry, and the versions to which clients are pinned.
pub(crate) struct AliasResolver {
    registry: RegistryState,
    pins: VersionPins,
    epoch_ms: u64,
    last_update_at: Option<Ticks>,
    /// The reason why the last update of the registry was not applied, if it was not.
    rejection_reason: Option<String>,
    rollouts: BTreeMap<StagedRollout, RolloutResults>,
}

/// The version that an invocation runs, with the properties that the policy and the wire protocol need.
pub(crate) struct ResolvedVersion {
    pub function: FunctionId,
    pub name: String,
    pub memory_mb: f64,
    pub concurrency_limit: f64,
    pub pin: PinnedVersion,
}

impl AliasResolver {
    /// Creates a resolver without any registry state.
    pub(crate) fn new(config: &AliasConfig) -> Self {
        Self {
            registry: RegistryState::default(),
            pins: VersionPins::new(config.pin_duration / MILLISECOND),
            epoch_ms: config.epoch_ms,
            last_update_at: None,
            rejection_reason: None,
            rollouts: BTreeMap::new(),
        }
    }

    /// Resolves a name to the version that the client is pinned to, or else to the current version.
    pub(crate) fn resolve(
        &mut self,
        now: Ticks,
        tenant: &str,
        trigger: &str,
        name: &str,
        pin_request: &PinRequest,
    ) -> Result<ResolvedVersion, ResolveError> {
        let pin = self.pins.resolve(
            &self.registry,
            self.epoch_ms + now / MILLISECOND,
            tenant,
            name,
            pin_request,
        )?;
        let full_name = function_name(&pin.model, &pin.version);
        let Some(version) = pinned_version(&self.registry, &pin) else {
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
            function: function_id(&pin.model, &pin.version),
            name: full_name,
            memory_mb: version.memory_mb as f64,
            concurrency_limit: f64::from(version.lanes),
            pin,
        })
    }

    /// Counts the result of an attempt that ran the old or new version of a staged rollout.
    pub(crate) fn count_result(&mut self, staged: &StagedRollout, is_success: bool) {
        let key = StagedRollout {
            is_new_version: true,
            ..staged.clone()
        };
        if self.rollouts.len() >= MAX_STAGED_ROLLOUTS && !self.rollouts.contains_key(&key) {
            return;
        }
        let tally = &mut self.rollouts.entry(key).or_default().counted;
        let count = match (staged.is_new_version, is_success) {
            (true, true) => &mut tally.new_succeeded,
            (true, false) => &mut tally.new_failed,
            (false, true) => &mut tally.old_succeeded,
            (false, false) => &mut tally.old_failed,
        };
        *count += 1;
    }

    /// Applies an update of the registry.
    pub(crate) fn apply(&mut self, now: Ticks, update: RegistryUpdate) {
        match update {
            RegistryUpdate::Changed(head) => {
                debug!(revision = head.revision(), "registry updated");
                self.registry = head.state;
                self.rejection_reason = None;
                self.last_update_at = Some(now);
                let registry = &self.registry;
                self.rollouts.retain(|rollout, _| {
                    let alias = registry.alias(&rollout.namespace, &rollout.alias);
                    alias.is_some_and(|alias| {
                        alias.changed == rollout.alias_revision && alias.stage.is_some()
                    })
                });
            }
            RegistryUpdate::Unchanged => {
                self.rejection_reason = None;
                self.last_update_at = Some(now);
            }
            RegistryUpdate::Rejected(reason) => self.rejection_reason = Some(reason),
        }
    }

    /// Returns the results that have changed since the last report to the registry.
    pub(crate) fn unreported(&self) -> Vec<(StagedRollout, Tally)> {
        let changed = self
            .rollouts
            .iter()
            .filter(|(_, results)| results.counted != results.reported);
        changed
            .map(|(rollout, results)| (rollout.clone(), results.counted))
            .collect()
    }

    /// Marks results as received by the registry.
    pub(crate) fn mark_reported(&mut self, reported: &[(StagedRollout, Tally)]) {
        for (rollout, tally) in reported {
            if let Some(results) = self.rollouts.get_mut(rollout) {
                results.reported = *tally;
            }
        }
    }

    /// Returns the resolver's part of the controller's status as JSON.
    pub(crate) fn status(&self, now: Ticks) -> serde_json::Value {
        json!({"revision": self.registry.revision, "heard_ms_ago": self.last_update_at.map(|at| now.saturating_sub(at) / MILLISECOND),
            "refused": self.rejection_reason, "passages": self.pins.pin_count()})
    }
}
