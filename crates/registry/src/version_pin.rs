//! Resolves the name in an invocation to a version, before the policy sees the invocation.
//!
//! A client pins a version under a name of its own; the protocol calls this a passage. Controllers share no state and may
//! be at different revisions, so the client carries the version: the first response names it and when the pin ends, and the
//! client sends both back. A version that was sent back is used or rejected, never replaced.

use crate::names::{Name, Namespace};
use crate::state::{Alias, RegistryState, Revision, Stage, Standing, Version};
use std::collections::BTreeMap;

/// The version that an invocation requests.
#[derive(Clone, Debug, Default)]
pub struct PinRequest<'a> {
    /// The client's name for the pin.
    pub passage: Option<&'a str>,
    /// The version as the previous response returned it: `MODEL@VERSION`.
    pub version: Option<&'a str>,
    /// Unix time in milliseconds when the pin ends, as the previous response returned it.
    pub until_ms: Option<u64>,
}

/// The version that an invocation runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PinnedVersion {
    /// The model.
    pub model: Name,
    /// The version.
    pub version: Name,
    /// Unix time in milliseconds when the pin ends.
    pub until_ms: u64,
    /// The staged rollout of the alias, if one is in progress.
    pub staged: Option<StagedRollout>,
}

/// One side of a staged rollout, whose results are counted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StagedRollout {
    /// Namespace of the alias.
    pub namespace: Namespace,
    /// The alias.
    pub alias: Name,
    /// Revision of the alias at which the rollout started.
    pub alias_revision: Revision,
    /// Whether this is the new version.
    pub is_new_version: bool,
}

/// Why a name can't be resolved to a version.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResolveError {
    /// The version or alias does not exist.
    #[error("'{0}': not one of this deployment, no alias and no MODEL@VERSION of the registry")]
    Unknown(String),
    /// The version was withdrawn.
    #[error("version '{0}' was withdrawn: begin the passage anew")]
    Withdrawn(String),
    /// The version belongs to another model than the alias.
    #[error("version '{version}' is not one of '{name}'")]
    OtherModel {
        /// The version.
        version: String,
        /// The name in the invocation.
        name: String,
    },
    /// The pin has ended.
    #[error("the passage with version '{0}' is over: begin a new one")]
    Expired(String),
    /// The pin's name is empty or too long.
    #[error("passage: 1 to {MAX_PIN_NAME_BYTES} bytes are expected")]
    InvalidPin,
}

const MAX_PIN_NAME_BYTES: usize = 128;
/// Pins that are stored here for clients that do not send the version back.
const MAX_STORED_PINS: usize = 50_000;
/// The end of a pin is limited to this many pin durations from now, because the clock of the controller that set it may
/// run ahead.
const MAX_PIN_DURATIONS: u64 = 2;

/// Tenant, name in the invocation, and the client's name for the pin.
type PinKey = (String, String, String);

/// The pins that this controller knows. Bounded; the pin that ends first is removed first.
pub struct VersionPins {
    duration_ms: u64,
    pins: BTreeMap<PinKey, PinnedVersion>,
    /// Keys by the end of the pin and its number.
    by_end: BTreeMap<(u64, u64), PinKey>,
    /// The inverse of `by_end`.
    ends: BTreeMap<PinKey, (u64, u64)>,
    /// Numbers the pins, so that keys of `by_end` are unique.
    count: u64,
}

impl VersionPins {
    /// `duration_ms`: how long a pin is valid, in milliseconds.
    pub fn new(duration_ms: u64) -> Self {
        let (pins, by_end, ends, count) = Default::default();
        Self {
            duration_ms,
            pins,
            by_end,
            ends,
            count,
        }
    }

    /// Resolves the version of one invocation.
    pub fn resolve(
        &mut self,
        state: &RegistryState,
        now_ms: u64,
        tenant: &str,
        name: &str,
        request: &PinRequest,
    ) -> Result<PinnedVersion, ResolveError> {
        if request
            .passage
            .is_some_and(|passage| passage.is_empty() || passage.len() > MAX_PIN_NAME_BYTES)
        {
            return Err(ResolveError::InvalidPin);
        }
        if let Some(version) = request.version {
            let pinned =
                self.resolve_requested(state, now_ms, tenant, name, version, request.until_ms)?;
            // Stored in case the client does not send the version back the next time.
            if let Some(passage) = request.passage {
                let key = (tenant.to_owned(), name.to_owned(), passage.to_owned());
                let same = |stored: &PinnedVersion| {
                    stored.version == pinned.version && stored.until_ms == pinned.until_ms
                };
                if !self.pins.get(&key).is_some_and(same) {
                    self.store_pin(key, &pinned);
                }
            }
            return Ok(pinned);
        }
        let Some(passage) = request.passage else {
            return self.start_pin(state, now_ms, tenant, name, None);
        };
        let key = (tenant.to_owned(), name.to_owned(), passage.to_owned());
        if let Some(pinned) = self.pins.get(&key).filter(|pin| now_ms < pin.until_ms) {
            check_usable(state, &pinned.model, &pinned.version)?;
            return Ok(pinned.clone());
        }
        let pinned = self.start_pin(state, now_ms, tenant, name, Some(passage))?;
        self.store_pin(key, &pinned);
        Ok(pinned)
    }

    fn resolve_requested(
        &self,
        state: &RegistryState,
        now_ms: u64,
        tenant: &str,
        name: &str,
        requested: &str,
        until_ms: Option<u64>,
    ) -> Result<PinnedVersion, ResolveError> {
        let (model, version) = parse_full_name(requested)
            .ok_or_else(|| ResolveError::Unknown(requested.to_owned()))?;
        // The alias may have been moved or removed since; only the model must match.
        let alias = find_alias(state, tenant, name);
        let matches_name = match &alias {
            Some((_, _, alias)) => alias.model == model,
            None => parse_full_name(name).is_some_and(|(named_model, named_version)| {
                named_model == model && named_version == version
            }),
        };
        if !matches_name {
            return Err(ResolveError::OtherModel {
                version: requested.to_owned(),
                name: name.to_owned(),
            });
        }
        let latest_ms = now_ms + MAX_PIN_DURATIONS * self.duration_ms;
        let until_ms = until_ms.unwrap_or(now_ms + self.duration_ms).min(latest_ms);
        if now_ms >= until_ms {
            return Err(ResolveError::Expired(requested.to_owned()));
        }
        check_usable(state, &model, &version)?;
        let staged = alias.and_then(|(namespace, name, alias)| {
            let is_new_version = alias.stage.as_ref().is_some_and(|s| s.to == version);
            let is_in_rollout =
                alias.stage.is_some() && (is_new_version || version == alias.version);
            is_in_rollout.then_some(StagedRollout {
                namespace,
                alias: name,
                alias_revision: alias.changed,
                is_new_version,
            })
        });
        Ok(PinnedVersion {
            model,
            version,
            until_ms,
            staged,
        })
    }

    fn start_pin(
        &self,
        state: &RegistryState,
        now_ms: u64,
        tenant: &str,
        name: &str,
        passage: Option<&str>,
    ) -> Result<PinnedVersion, ResolveError> {
        let until_ms = now_ms + self.duration_ms;
        if let Some((namespace, name, alias)) = find_alias(state, tenant, name) {
            // Without a pin the old version is used, because nothing would keep the client on the new one.
            let is_selected = |stage: &Stage| {
                passage.is_some_and(|p| hash_per_mille(&alias.model, p) < stage.per_mille)
            };
            let selected = alias.stage.as_ref().filter(|stage| is_selected(stage));
            let version = selected.map_or(&alias.version, |stage| &stage.to);
            check_usable(state, &alias.model, version)?;
            let rollout_side = StagedRollout {
                namespace,
                alias: name,
                alias_revision: alias.changed,
                is_new_version: selected.is_some(),
            };
            let staged = alias.stage.is_some().then_some(rollout_side);
            return Ok(PinnedVersion {
                model: alias.model.clone(),
                version: version.clone(),
                until_ms,
                staged,
            });
        }
        let (model, version) =
            parse_full_name(name).ok_or_else(|| ResolveError::Unknown(name.to_owned()))?;
        check_usable(state, &model, &version)?;
        Ok(PinnedVersion {
            model,
            version,
            until_ms,
            staged: None,
        })
    }

    fn store_pin(&mut self, key: PinKey, pinned: &PinnedVersion) {
        self.remove_pin(&key);
        while self.pins.len() >= MAX_STORED_PINS {
            let Some((_, oldest)) = self.by_end.pop_first() else {
                break;
            };
            self.pins.remove(&oldest);
            self.ends.remove(&oldest);
        }
        self.count += 1;
        let end = (pinned.until_ms, self.count);
        self.by_end.insert(end, key.clone());
        self.ends.insert(key.clone(), end);
        self.pins.insert(key, pinned.clone());
    }

    fn remove_pin(&mut self, key: &PinKey) {
        if let Some(end) = self.ends.remove(key) {
            self.by_end.remove(&end);
            self.pins.remove(key);
        }
    }

    /// Number of pins that are stored.
    pub fn pin_count(&self) -> usize {
        self.pins.len()
    }
}

/// The alias of a name: a tenant's own alias takes precedence over one of all tenants.
fn find_alias<'a>(
    state: &'a RegistryState,
    tenant: &str,
    name: &str,
) -> Option<(Namespace, Name, &'a Alias)> {
    let name: Name = name.parse().ok()?;
    let in_namespace = |namespace: Namespace| {
        let alias = state.alias(&namespace, &name)?;
        Some((namespace, name.clone(), alias))
    };
    let own = tenant
        .parse()
        .ok()
        .and_then(|tenant| in_namespace(Namespace::Tenant(tenant)));
    own.or_else(|| in_namespace(Namespace::All))
}

fn parse_full_name(name: &str) -> Option<(Name, Name)> {
    let (model, version) = name.split_once('@')?;
    Some((model.parse().ok()?, version.parse().ok()?))
}

fn check_usable(state: &RegistryState, model: &Name, version: &Name) -> Result<(), ResolveError> {
    let full_name = || format!("{model}@{version}");
    match state.version(model, version) {
        Some(record) if record.standing == Standing::Offered => Ok(()),
        Some(_) => Err(ResolveError::Withdrawn(full_name())),
        None if state.deleted.contains(&(model.clone(), version.clone())) => {
            Err(ResolveError::Withdrawn(full_name()))
        }
        None => Err(ResolveError::Unknown(full_name())),
    }
}

/// A number from 0 to 999 that every controller computes alike for a pin.
fn hash_per_mille(model: &Name, passage: &str) -> u16 {
    let mut hash = blake3::Hasher::new();
    hash.update(model.to_string().as_bytes())
        .update(b"\0")
        .update(passage.as_bytes());
    let bytes = hash.finalize();
    let first = u64::from_le_bytes(*bytes.as_bytes().first_chunk().expect("32 bytes"));
    (first % 1_000) as u16
}

/// The function number of a version, on the wire between controllers and invokers and in the policy.
pub fn function_id(model: &Name, version: &Name) -> u64 {
    let full_name = format!("{model}@{version}");
    // The highest bit is set: small numbers belong to the functions of the deployment file.
    u64::from_le_bytes(
        *blake3::hash(full_name.as_bytes())
            .as_bytes()
            .first_chunk()
            .expect("32 bytes"),
    ) | 1 << 63
}

/// The function name of a version on the wire.
pub fn function_name(model: &Name, version: &Name) -> String {
    format!("{model}@{version}")
}

/// The pushed version that a pin refers to.
pub fn pinned_version<'a>(state: &'a RegistryState, pinned: &PinnedVersion) -> Option<&'a Version> {
    state
        .version(&pinned.model, &pinned.version)
        .map(|record| &record.version)
}
