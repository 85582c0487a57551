//! Which version an invocation runs: names become versions here, before anything is decided about it.
//!
//! Controllers share nothing and may be at different revisions, so the version travels with the client: the first answer
//! of a passage names it and until when it holds, and the client hands both back. A version that was handed back is used
//! or refused, never replaced.

use crate::names::{Name, Namespace};
use crate::state::{Alias, RegistryState, Revision, Stage, Standing, Version};
use std::collections::BTreeMap;

/// What an invocation says of its passage.
#[derive(Clone, Debug, Default)]
pub struct PinRequest<'a> {
    pub passage: Option<&'a str>,
    /// As the answer before gave it: `MODEL@VERSION`.
    pub version: Option<&'a str>,
    /// Milliseconds since 1970, as the answer before gave it.
    pub until_ms: Option<u64>,
}

/// What an invocation runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PinnedVersion {
    pub model: Name,
    pub version: Name,
    /// The passage may not go on with it later than this.
    pub until_ms: u64,
    /// Where the alias is being moved in a stage: which one, and which side this is on.
    pub staged: Option<StagedRollout>,
}

/// A side of a stage, for counting how it does.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StagedRollout {
    pub space: Namespace,
    pub alias: Name,
    /// Revision at which the stage began.
    pub changed: Revision,
    pub new: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResolveError {
    #[error("'{0}': not one of this deployment, no alias and no MODEL@VERSION of the registry")]
    Unknown(String),
    #[error("version '{0}' was withdrawn: begin the passage anew")]
    Withdrawn(String),
    #[error("version '{version}' is not one of '{name}'")]
    OtherModel { version: String, name: String },
    #[error("the passage with version '{0}' is over: begin a new one")]
    Expired(String),
    #[error("passage: 1 to {MOST_BYTES} bytes are expected")]
    InvalidPin,
}

const MOST_BYTES: usize = 128;
/// VersionPins that are remembered here, for clients that do not hand the version back.
const REMEMBERED_MOST: usize = 50_000;
/// A clock that runs ahead elsewhere may have made an end that seems too far: it is cut to this many lengths.
const LENGTHS_MOST: u64 = 2;

type Key = (String, String, String);

/// VersionPins that began here. Bounded; the oldest is forgotten first.
pub struct VersionPins {
    lasts_ms: u64,
    begun: BTreeMap<Key, PinnedVersion>,
    by_end: BTreeMap<(u64, u64), Key>,
    ends: BTreeMap<Key, (u64, u64)>,
    count: u64,
}

impl VersionPins {
    /// How long a passage may last.
    pub fn new(lasts_ms: u64) -> Self {
        let (begun, by_end, ends, count) = Default::default();
        Self {
            lasts_ms,
            begun,
            by_end,
            ends,
            count,
        }
    }

    /// Fixes the version of one invocation.
    pub fn fix(
        &mut self,
        state: &RegistryState,
        now_ms: u64,
        tenant: &str,
        name: &str,
        said: &PinRequest,
    ) -> Result<PinnedVersion, ResolveError> {
        if said
            .passage
            .is_some_and(|p| p.is_empty() || p.len() > MOST_BYTES)
        {
            return Err(ResolveError::InvalidPin);
        }
        if let Some(version) = said.version {
            let fixed = self.handed_back(state, now_ms, tenant, name, version, said.until_ms)?;
            // Whoever forgets to hand it back the next time is kept to it here, at least.
            if let Some(passage) = said.passage {
                let key = (tenant.to_owned(), name.to_owned(), passage.to_owned());
                let same =
                    |f: &PinnedVersion| f.version == fixed.version && f.until_ms == fixed.until_ms;
                if !self.begun.get(&key).is_some_and(same) {
                    self.remember(key, &fixed);
                }
            }
            return Ok(fixed);
        }
        let Some(passage) = said.passage else {
            return self.begins(state, now_ms, tenant, name, None);
        };
        let key = (tenant.to_owned(), name.to_owned(), passage.to_owned());
        if let Some(fixed) = self.begun.get(&key).filter(|f| now_ms < f.until_ms) {
            usable(state, &fixed.model, &fixed.version)?;
            return Ok(fixed.clone());
        }
        let fixed = self.begins(state, now_ms, tenant, name, Some(passage))?;
        self.remember(key, &fixed);
        Ok(fixed)
    }

    fn handed_back(
        &self,
        state: &RegistryState,
        now_ms: u64,
        tenant: &str,
        name: &str,
        handed: &str,
        until_ms: Option<u64>,
    ) -> Result<PinnedVersion, ResolveError> {
        let (model, version) =
            direct(handed).ok_or_else(|| ResolveError::Unknown(handed.to_owned()))?;
        // The name may have moved on, or gone; what must fit is the model.
        let alias = named(state, tenant, name);
        let of_it = match &alias {
            Some((_, _, alias)) => alias.model == model,
            None => direct(name).is_some_and(|(m, v)| m == model && v == version),
        };
        if !of_it {
            return Err(ResolveError::OtherModel {
                version: handed.to_owned(),
                name: name.to_owned(),
            });
        }
        let most = now_ms + LENGTHS_MOST * self.lasts_ms;
        let until_ms = until_ms.unwrap_or(now_ms + self.lasts_ms).min(most);
        if now_ms >= until_ms {
            return Err(ResolveError::Expired(handed.to_owned()));
        }
        usable(state, &model, &version)?;
        let staged = alias.and_then(|(space, name, alias)| {
            let new = alias.stage.as_ref().is_some_and(|s| s.to == version);
            let side = alias.stage.is_some() && (new || version == alias.version);
            side.then_some(StagedRollout {
                space,
                alias: name,
                changed: alias.changed,
                new,
            })
        });
        Ok(PinnedVersion {
            model,
            version,
            until_ms,
            staged,
        })
    }

    fn begins(
        &self,
        state: &RegistryState,
        now_ms: u64,
        tenant: &str,
        name: &str,
        passage: Option<&str>,
    ) -> Result<PinnedVersion, ResolveError> {
        let until_ms = now_ms + self.lasts_ms;
        if let Some((space, name, alias)) = named(state, tenant, name) {
            // Whoever says no passage stays with the old version: nothing would hold it to the new one.
            let drawn =
                |stage: &Stage| passage.is_some_and(|p| draw(&alias.model, p) < stage.per_mille);
            let new = alias.stage.as_ref().filter(|stage| drawn(stage));
            let version = new.map_or(&alias.version, |stage| &stage.to);
            usable(state, &alias.model, version)?;
            let side = StagedRollout {
                space,
                alias: name,
                changed: alias.changed,
                new: new.is_some(),
            };
            let staged = alias.stage.is_some().then_some(side);
            return Ok(PinnedVersion {
                model: alias.model.clone(),
                version: version.clone(),
                until_ms,
                staged,
            });
        }
        let (model, version) =
            direct(name).ok_or_else(|| ResolveError::Unknown(name.to_owned()))?;
        usable(state, &model, &version)?;
        Ok(PinnedVersion {
            model,
            version,
            until_ms,
            staged: None,
        })
    }

    fn remember(&mut self, key: Key, fixed: &PinnedVersion) {
        self.forget(&key);
        while self.begun.len() >= REMEMBERED_MOST {
            let Some((_, oldest)) = self.by_end.pop_first() else {
                break;
            };
            self.begun.remove(&oldest);
            self.ends.remove(&oldest);
        }
        self.count += 1;
        let end = (fixed.until_ms, self.count);
        self.by_end.insert(end, key.clone());
        self.ends.insert(key.clone(), end);
        self.begun.insert(key, fixed.clone());
    }

    fn forget(&mut self, key: &Key) {
        if let Some(end) = self.ends.remove(key) {
            self.by_end.remove(&end);
            self.begun.remove(key);
        }
    }

    pub fn remembered(&self) -> usize {
        self.begun.len()
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

fn usable(state: &RegistryState, model: &Name, version: &Name) -> Result<(), ResolveError> {
    let told = || format!("{model}@{version}");
    match state.version(model, version) {
        Some(held) if held.standing == Standing::Offered => Ok(()),
        Some(_) => Err(ResolveError::Withdrawn(told())),
        None if state.gone.contains(&(model.clone(), version.clone())) => {
            Err(ResolveError::Withdrawn(told()))
        }
        None => Err(ResolveError::Unknown(told())),
    }
}

/// The same passage draws the same, whichever controller it comes to. 0 to 999.
fn draw(model: &Name, passage: &str) -> u16 {
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
    let told = format!("{model}@{version}");
    // Small numbers are those of the deployment's own functions.
    u64::from_le_bytes(
        *blake3::hash(told.as_bytes())
            .as_bytes()
            .first_chunk()
            .expect("32 bytes"),
    ) | 1 << 63
}

/// As the wire names it.
pub fn function_name(model: &Name, version: &Name) -> String {
    format!("{model}@{version}")
}

/// A version for use: what the decisions are told of it.
pub fn offered<'a>(state: &'a RegistryState, fixed: &PinnedVersion) -> Option<&'a Version> {
    state
        .version(&fixed.model, &fixed.version)
        .map(|h| &h.version)
}
