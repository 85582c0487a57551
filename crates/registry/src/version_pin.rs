//! Which version an invocation runs: a name becomes a version here, before the policy sees the invocation.
//!
//! A client pins a version under a name of its own; in the protocol this is a passage. Controllers share nothing and may be
//! at different revisions, so the version travels with the client: the first answer names it and until when it holds, and
//! the client sends both back. A version that was sent back is used or rejected, never replaced.

use crate::names::{Name, Namespace};
use crate::state::{Alias, RegistryState, Revision, Stage, Standing, Version};
use std::collections::BTreeMap;

/// What an invocation asks for.
#[derive(Clone, Debug, Default)]
pub struct PinRequest<'a> {
    /// The client's name for its pin.
    pub passage: Option<&'a str>,
    /// As the answer before gave it: `MODEL@VERSION`.
    pub version: Option<&'a str>,
    /// Milliseconds since 1970, as the answer before gave it.
    pub until_ms: Option<u64>,
}

/// What an invocation runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PinnedVersion {
    /// The model.
    pub model: Name,
    /// The version.
    pub version: Name,
    /// Unix time in milliseconds when the pin ends.
    pub until_ms: u64,
    /// Where the alias is being moved in a stage: which one, and which rollout_side this is on.
    pub staged: Option<StagedRollout>,
}

/// A rollout_side of a stage, for counting how it does.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StagedRollout {
    /// Namespace of the alias.
    pub namespace: Namespace,
    /// The alias.
    pub alias: Name,
    /// Revision at which the stage began.
    pub alias_revision: Revision,
    /// Of the new version.
    pub is_new_version: bool,
}

/// Why an invocation gets no version.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResolveError {
    /// There is no such version or alias.
    #[error("'{0}': not one of this deployment, no alias and no MODEL@VERSION of the registry")]
    Unknown(String),
    /// The version was withdrawn.
    #[error("version '{0}' was withdrawn: begin the passage anew")]
    Withdrawn(String),
    /// The version is of another model than the alias.
    #[error("version '{version}' is not one of '{name}'")]
    OtherModel {
        /// The version.
        version: String,
        /// The version's name.
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
/// VersionPins that are remembered here, for clients that do not hand the version back.
const MAX_REMEMBERED: usize = 50_000;
/// A clock that runs ahead elsewhere may have made an end that seems too far: it is cut to this many lengths.
const MAX_LENGTHS: u64 = 2;

type Key = (String, String, String);

/// VersionPins that began here. Bounded; the oldest is forgotten first.
pub struct VersionPins {
    duration_ms: u64,
    pins: BTreeMap<Key, PinnedVersion>,
    by_end: BTreeMap<(u64, u64), Key>,
    ends: BTreeMap<Key, (u64, u64)>,
    count: u64,
}

impl VersionPins {
    /// `duration_ms`: how long a pin holds, in milliseconds.
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
            .is_some_and(|p| p.is_empty() || p.len() > MAX_PIN_NAME_BYTES)
        {
            return Err(ResolveError::InvalidPin);
        }
        if let Some(version) = request.version {
            let pinned = self.resume(state, now_ms, tenant, name, version, request.until_ms)?;
            // A client that does not send it back the next time is kept to it here.
            if let Some(passage) = request.passage {
                let key = (tenant.to_owned(), name.to_owned(), passage.to_owned());
                let same = |f: &PinnedVersion| {
                    f.version == pinned.version && f.until_ms == pinned.until_ms
                };
                if !self.pins.get(&key).is_some_and(same) {
                    self.remember(key, &pinned);
                }
            }
            return Ok(pinned);
        }
        let Some(passage) = request.passage else {
            return self.start(state, now_ms, tenant, name, None);
        };
        let key = (tenant.to_owned(), name.to_owned(), passage.to_owned());
        if let Some(pinned) = self.pins.get(&key).filter(|f| now_ms < f.until_ms) {
            check_usable(state, &pinned.model, &pinned.version)?;
            return Ok(pinned.clone());
        }
        let pinned = self.start(state, now_ms, tenant, name, Some(passage))?;
        self.remember(key, &pinned);
        Ok(pinned)
    }

    fn resume(
        &self,
        state: &RegistryState,
        now_ms: u64,
        tenant: &str,
        name: &str,
        requested: &str,
        until_ms: Option<u64>,
    ) -> Result<PinnedVersion, ResolveError> {
        let (model, version) =
            direct(requested).ok_or_else(|| ResolveError::Unknown(requested.to_owned()))?;
        // The name may have moved on, or gone; what must fit is the model.
        let alias = named(state, tenant, name);
        let of_it = match &alias {
            Some((_, _, alias)) => alias.model == model,
            None => direct(name).is_some_and(|(m, v)| m == model && v == version),
        };
        if !of_it {
            return Err(ResolveError::OtherModel {
                version: requested.to_owned(),
                name: name.to_owned(),
            });
        }
        let latest_ms = now_ms + MAX_LENGTHS * self.duration_ms;
        let until_ms = until_ms.unwrap_or(now_ms + self.duration_ms).min(latest_ms);
        if now_ms >= until_ms {
            return Err(ResolveError::Expired(requested.to_owned()));
        }
        check_usable(state, &model, &version)?;
        let staged = alias.and_then(|(space, name, alias)| {
            let new = alias.stage.as_ref().is_some_and(|s| s.to == version);
            let rollout_side = alias.stage.is_some() && (new || version == alias.version);
            rollout_side.then_some(StagedRollout {
                namespace: space,
                alias: name,
                alias_revision: alias.changed,
                is_new_version: new,
            })
        });
        Ok(PinnedVersion {
            model,
            version,
            until_ms,
            staged,
        })
    }

    fn start(
        &self,
        state: &RegistryState,
        now_ms: u64,
        tenant: &str,
        name: &str,
        passage: Option<&str>,
    ) -> Result<PinnedVersion, ResolveError> {
        let until_ms = now_ms + self.duration_ms;
        if let Some((space, name, alias)) = named(state, tenant, name) {
            // Without a pin the old version is used: nothing would hold the client to the new one.
            let drawn = |stage: &Stage| {
                passage.is_some_and(|p| draw_per_mille(&alias.model, p) < stage.per_mille)
            };
            let new = alias.stage.as_ref().filter(|stage| drawn(stage));
            let version = new.map_or(&alias.version, |stage| &stage.to);
            check_usable(state, &alias.model, version)?;
            let rollout_side = StagedRollout {
                namespace: space,
                alias: name,
                alias_revision: alias.changed,
                is_new_version: new.is_some(),
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
            direct(name).ok_or_else(|| ResolveError::Unknown(name.to_owned()))?;
        check_usable(state, &model, &version)?;
        Ok(PinnedVersion {
            model,
            version,
            until_ms,
            staged: None,
        })
    }

    fn remember(&mut self, key: Key, pinned: &PinnedVersion) {
        self.forget(&key);
        while self.pins.len() >= MAX_REMEMBERED {
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

    fn forget(&mut self, key: &Key) {
        if let Some(end) = self.ends.remove(key) {
            self.by_end.remove(&end);
            self.pins.remove(key);
        }
    }

    /// Pins that are remembered.
    pub fn pin_count(&self) -> usize {
        self.pins.len()
    }
}

/// A tenant's own alias goes before one that all see.
fn named<'a>(
    state: &'a RegistryState,
    tenant: &str,
    name: &str,
) -> Option<(Namespace, Name, &'a Alias)> {
    let name: Name = name.parse().ok()?;
    let in_space = |space: Namespace| {
        let alias = state.alias(&space, &name)?;
        Some((space, name.clone(), alias))
    };
    let own = tenant
        .parse()
        .ok()
        .and_then(|t| in_space(Namespace::Tenant(t)));
    own.or_else(|| in_space(Namespace::All))
}

fn direct(name: &str) -> Option<(Name, Name)> {
    let (model, version) = name.split_once('@')?;
    Some((model.parse().ok()?, version.parse().ok()?))
}

fn check_usable(state: &RegistryState, model: &Name, version: &Name) -> Result<(), ResolveError> {
    let full_name = || format!("{model}@{version}");
    match state.version(model, version) {
        Some(held) if held.standing == Standing::Offered => Ok(()),
        Some(_) => Err(ResolveError::Withdrawn(full_name())),
        None if state.deleted.contains(&(model.clone(), version.clone())) => {
            Err(ResolveError::Withdrawn(full_name()))
        }
        None => Err(ResolveError::Unknown(full_name())),
    }
}

/// A number from 0 to 999, the same for a pin at each controller.
fn draw_per_mille(model: &Name, passage: &str) -> u16 {
    let mut hash = blake3::Hasher::new();
    hash.update(model.to_string().as_bytes())
        .update(b"\0")
        .update(passage.as_bytes());
    let bytes = hash.finalize();
    let first = u64::from_le_bytes(*bytes.as_bytes().first_chunk().expect("32 bytes"));
    (first % 1_000) as u16
}

/// What a version is called on the wire between controllers and invokers, and so to the decisions.
pub fn function_id(model: &Name, version: &Name) -> u64 {
    let full_name = format!("{model}@{version}");
    // Small numbers are those of the deployment's own functions.
    u64::from_le_bytes(
        *blake3::hash(full_name.as_bytes())
            .as_bytes()
            .first_chunk()
            .expect("32 bytes"),
    ) | 1 << 63
}

/// As the wire names it.
pub fn function_name(model: &Name, version: &Name) -> String {
    format!("{model}@{version}")
}

/// A version for use: what the policy needs to know of it.
pub fn pinned_version<'a>(state: &'a RegistryState, pinned: &PinnedVersion) -> Option<&'a Version> {
    state
        .version(&pinned.model, &pinned.version)
        .map(|h| &h.version)
}
