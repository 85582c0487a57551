//! What the registry knows, and which changes are valid. No I/O, no clock.

use crate::names::{Name, Namespace};
use imbl::{OrdMap, OrdSet};
use saltdrum_layers::Digest;
use serde::{Deserialize, Serialize};

/// Counts changes; never goes back. 0: nothing was ever changed.
pub type Revision = u64;

/// One version of a model; immutable once pushed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Digest of the manifest that lists its chunks.
    #[serde(with = "crate::names::digest")]
    pub manifest: Digest,
    /// Sum of its chunks, uncompressed.
    pub bytes: u64,
    /// Memory of one instance.
    pub memory_mb: u64,
    /// Concurrency limit of one instance.
    pub lanes: u32,
    /// Types of triggers that may invoke it.
    pub trigger_types: Vec<String>,
}

/// Whether a version may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// May be named by aliases and used.
    Offered,
    /// Nobody may use it any more, whoever holds it; its name is never used again.
    Withdrawn,
}

/// A staged rollout: a move that is tried on a share of version pins first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// The version that is tried.
    pub to: Name,
    /// Of a thousand new pins, so many get it.
    pub per_mille: u16,
    /// How many more of a thousand answers may fail than with the old version.
    pub errors_per_mille: u16,
    /// Answers of the new version that are needed for success.
    pub answers: u64,
}

/// A name that stands for a version of a model, and may be moved.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Alias {
    /// The model, which never changes.
    pub model: Name,
    /// The version it stands for.
    pub version: Name,
    /// The version it stood for before, for a roll back.
    #[serde(rename = "before")]
    pub previous: Option<Name>,
    /// The rollout under way.
    pub stage: Option<Stage>,
    /// Revision at which it last changed: what a move is compared with.
    pub changed: Revision,
}

/// A version and what became of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// As it was pushed.
    pub version: Version,
    /// Whether it may be used.
    pub standing: Standing,
    /// Revision of its push.
    pub pushed: Revision,
}

/// A change of the state, as a caller requests it and as the history keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Change {
    /// Adds a version.
    Push {
        /// The model.
        model: Name,
        /// The version's name.
        name: Name,
        /// The version.
        version: Version,
    },
    /// Forbids the use of a version.
    Withdraw {
        /// The model.
        model: Name,
        /// The version's name.
        name: Name,
    },
    /// Only what no alias names.
    Delete {
        /// The model.
        model: Name,
        /// The version's name.
        name: Name,
    },
    /// Moves an alias, or makes it where `expect` is 0. With a stage, it goes on standing for what it did and a share of
    /// passages begin with the new one.
    Move {
        /// Namespace of the alias.
        space: Namespace,
        /// The alias.
        alias: Name,
        /// The model.
        model: Name,
        /// The version.
        version: Name,
        /// Revision at which the caller saw the alias; it has to be still there.
        expect: Revision,
        /// Present: the move is tried on a share of pins first.
        stage: Option<Stage>,
    },
    /// Ends a stage: all passages begin with the new version, or none.
    EndStage {
        /// Namespace of the alias.
        space: Namespace,
        /// The alias.
        alias: Name,
        /// Revision at which the caller saw the alias; it has to be still there.
        expect: Revision,
        /// Whether the new version succeeded.
        #[serde(rename = "well")]
        is_success: bool,
        /// The reason.
        why: String,
    },
    /// Moves an alias back to the version before, or gives its rollout up.
    RollBack {
        /// Namespace of the alias.
        space: Namespace,
        /// The alias.
        alias: Name,
        /// Revision at which the caller saw the alias; it has to be still there.
        expect: Revision,
    },
    /// Removes an alias.
    DropAlias {
        /// Namespace of the alias.
        space: Namespace,
        /// The alias.
        alias: Name,
        /// Revision at which the caller saw the alias; it has to be still there.
        expect: Revision,
    },
    /// Adds a key.
    AddKey {
        /// Identifier of the key.
        id: Name,
        /// What the key permits.
        role: Role,
        /// Hash, in hexadecimal.
        hash: String,
    },
    /// Removes a key.
    WithdrawKey {
        /// Identifier of the key.
        id: Name,
    },
    /// The state came from a backup; whoever obeyed revisions up to `over` is told to obey this one.
    Restored {
        /// Revision that the restored history goes over.
        over: Revision,
    },
}

/// What a key permits; each role includes those above it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Reads and follows.
    Reader,
    /// Also pushes versions.
    Publisher,
    /// Also moves aliases, withdraws and deletes.
    Mover,
    /// Also hands keys out, restores and collects.
    Owner,
}

/// What is kept of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// What it permits.
    pub role: Role,
    /// Hash of the key's text, in hexadecimal.
    pub hash: String,
}

/// Why a change is rejected. Nothing has changed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// It is not known.
    #[error("{what} '{name}' is not known")]
    NotFound {
        /// Kind of the thing.
        what: &'static str,
        /// The version's name.
        name: String,
    },
    /// The name is taken by another version.
    #[error(
        "model '{model}' has a version '{name}' already, with manifest {has}: a version never changes"
    )]
    VersionExists {
        /// The model.
        model: Name,
        /// The version's name.
        name: Name,
        /// What there is.
        has: Digest,
    },
    /// Another change came first.
    #[error("alias '{alias}' is at revision {at}, {expected} was expected: someone else moved it")]
    AliasChanged {
        /// The alias.
        alias: Name,
        /// Where it is, or was expected to be.
        at: Revision,
        /// What the caller expected.
        expected: Revision,
    },
    /// The version may not be used.
    #[error("version '{name}' of model '{model}' was withdrawn")]
    VersionWithdrawn {
        /// The model.
        model: Name,
        /// The version's name.
        name: Name,
    },
    /// An alias names the version.
    #[error("version '{name}' of model '{model}' is named by alias '{alias}' of {space}")]
    VersionInUse {
        /// The model.
        model: Name,
        /// The version's name.
        name: Name,
        /// The alias.
        alias: Name,
        /// Namespace of the alias.
        space: String,
    },
    /// An alias stays with its model.
    #[error(
        "alias '{alias}' stands for model '{has}': a move to model '{asked}' needs another alias"
    )]
    ModelMismatch {
        /// The alias.
        alias: Name,
        /// What there is.
        has: Name,
        /// What was requested.
        asked: Name,
    },
    /// There is nothing to roll back to.
    #[error("alias '{0}' has nothing to go back to")]
    NoPreviousVersion(Name),
    /// No rollout is under way.
    #[error("alias '{0}' has no stage to end")]
    NoRollout(Name),
    /// A value is out of bounds.
    #[error("{place}: {why}")]
    InvalidValue {
        /// Where it was found.
        place: &'static str,
        /// The reason.
        why: String,
    },
    /// The identifier is taken.
    #[error("key '{0}' is there already")]
    KeyExists(Name),
    /// Without it no key could be added.
    #[error("key '{0}' is the last owner's: no one could hand out another")]
    LastOwner(Name),
    /// The revision to go over is below the history's, or too high.
    #[error("a restored book must go over revision {at} at least, {over} was said")]
    RestoreBelowHead {
        /// Revision that the restored history goes over.
        over: Revision,
        /// Where it is, or was expected to be.
        at: Revision,
    },
    /// Revisions are exhausted.
    #[error("no such change: revision {0} is above all there can be")]
    RevisionTooHigh(Revision),
}

/// All that is known as of a revision. Cheap to clone: clones share what is equal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryState {
    /// Changes so far, and jumps after restores.
    pub revision: Revision,
    /// By model and version.
    #[serde(with = "crate::names::pairs")]
    pub versions: OrdMap<(Name, Name), VersionRecord>,
    /// Names of versions that were deleted: a version's name never comes to mean another.
    #[serde(rename = "gone")]
    pub deleted: OrdSet<(Name, Name)>,
    /// By namespace and alias.
    #[serde(with = "crate::names::pairs")]
    pub aliases: OrdMap<(Namespace, Name), Alias>,
    /// By identifier.
    pub keys: OrdMap<Name, Key>,
}

/// Bounds on what may be pushed, so that one mistake can't exhaust the fleet or the registry.
const MAX_LANES: u32 = 1_024;
const MAX_MEMORY_MB: u64 = 1 << 20;
const MAX_BYTES: u64 = 1 << 42;
const MAX_TRIGGER_TYPES: usize = 32;
/// Highest revision. Leaves room for a jump over what a lost registry may have given out.
pub const MAX_REVISION: Revision = 1 << 53;

impl Version {
    fn check(&self) -> Result<(), ChangeError> {
        let bad = |place, why: String| Err(ChangeError::InvalidValue { place, why });
        if !(1..=MAX_LANES).contains(&self.lanes) {
            return bad(
                "lanes",
                format!("{}: 1 to {MAX_LANES} are expected", self.lanes),
            );
        }
        if !(1..=MAX_MEMORY_MB).contains(&self.memory_mb) {
            return bad(
                "memory_mb",
                format!("{}: 1 to {MAX_MEMORY_MB} are expected", self.memory_mb),
            );
        }
        if !(1..=MAX_BYTES).contains(&self.bytes) {
            return bad(
                "bytes",
                format!("{}: 1 to {MAX_BYTES} are expected", self.bytes),
            );
        }
        let n = self.trigger_types.len();
        if !(1..=MAX_TRIGGER_TYPES).contains(&n) || self.trigger_types.iter().any(|t| t.len() > 64)
        {
            return bad(
                "trigger_types",
                format!("{n} of them: 1 to {MAX_TRIGGER_TYPES} short ones are expected"),
            );
        }
        Ok(())
    }
}

impl Stage {
    fn check(&self) -> Result<(), ChangeError> {
        if !(1..1_000).contains(&self.per_mille)
            || self.errors_per_mille > 1_000
            || self.answers == 0
        {
            let why =
                "1 to 999 of a thousand passages, up to 1000 errors, at least one answer are expected".into();
            return Err(ChangeError::InvalidValue {
                place: "stage",
                why,
            });
        }
        Ok(())
    }
}

impl RegistryState {
    /// A version that was pushed and not deleted.
    pub fn version(&self, model: &Name, name: &Name) -> Option<&VersionRecord> {
        self.versions.get(&(model.clone(), name.clone()))
    }

    /// An alias of a namespace.
    pub fn alias(&self, namespace: &Namespace, alias: &Name) -> Option<&Alias> {
        self.aliases.get(&(namespace.clone(), alias.clone()))
    }

    fn offered(&self, model: &Name, name: &Name) -> Result<(), ChangeError> {
        let record = self
            .version(model, name)
            .ok_or_else(|| unknown_version(model, name))?;
        match record.standing {
            Standing::Offered => Ok(()),
            Standing::Withdrawn => Err(ChangeError::VersionWithdrawn {
                model: model.clone(),
                name: name.clone(),
            }),
        }
    }

    /// The alias, where it is still at the revision that the caller expects.
    fn expected_alias(
        &self,
        namespace: &Namespace,
        alias: &Name,
        expected: Revision,
    ) -> Result<Alias, ChangeError> {
        let found = self.alias(namespace, alias).cloned();
        let found = found.ok_or_else(|| unknown_alias(alias))?;
        if found.changed == expected {
            return Ok(found);
        }
        Err(ChangeError::AliasChanged {
            alias: alias.clone(),
            at: found.changed,
            expected,
        })
    }

    /// The state with the change, or why it is rejected. The one place where anything changes: replays go through it as well.
    pub fn with_change(&self, change: &Change) -> Result<RegistryState, ChangeError> {
        let revision = self.revision + 1;
        if revision > MAX_REVISION {
            return Err(ChangeError::RevisionTooHigh(revision));
        }
        let mut next = RegistryState {
            revision,
            ..self.clone()
        };
        next.apply(change)?;
        Ok(next)
    }

    /// Changes a state whose revision is already that of the change.
    fn apply(&mut self, change: &Change) -> Result<(), ChangeError> {
        match change {
            Change::Push {
                model,
                name,
                version,
            } => self.push(model, name, version),
            Change::Withdraw { model, name } => self.withdraw(model, name),
            Change::Delete { model, name } => self.delete(model, name),
            Change::Move {
                space,
                alias,
                model,
                version,
                expect,
                stage,
            } => self.move_alias(space, alias, model, version, *expect, stage.as_ref()),
            Change::EndStage {
                space,
                alias,
                expect,
                is_success: well,
                ..
            } => self.end_stage(space, alias, *expect, *well),
            Change::RollBack {
                space,
                alias,
                expect,
            } => self.roll_back(space, alias, *expect),
            Change::DropAlias {
                space,
                alias,
                expect,
            } => {
                self.expected_alias(space, alias, *expect)?;
                self.aliases.remove(&(space.clone(), alias.clone()));
                Ok(())
            }
            Change::AddKey { id, role, hash } => self.add_key(id, *role, hash),
            Change::WithdrawKey { id } => self.withdraw_key(id),
            Change::Restored { over } => self.restore_over(*over),
        }
    }

    fn push(&mut self, model: &Name, name: &Name, version: &Version) -> Result<(), ChangeError> {
        version.check()?;
        let key = (model.clone(), name.clone());
        if self.deleted.contains(&key) {
            return Err(ChangeError::VersionWithdrawn {
                model: model.clone(),
                name: name.clone(),
            });
        }
        if let Some(existing) = self.versions.get(&key) {
            return Err(ChangeError::VersionExists {
                model: model.clone(),
                name: name.clone(),
                has: existing.version.manifest,
            });
        }
        let record = VersionRecord {
            version: version.clone(),
            standing: Standing::Offered,
            pushed: self.revision,
        };
        self.versions.insert(key, record);
        Ok(())
    }

    fn withdraw(&mut self, model: &Name, name: &Name) -> Result<(), ChangeError> {
        self.offered(model, name)?;
        let record = self.versions.get_mut(&(model.clone(), name.clone()));
        record.expect("it was looked up").standing = Standing::Withdrawn;
        Ok(())
    }

    fn delete(&mut self, model: &Name, name: &Name) -> Result<(), ChangeError> {
        let key = (model.clone(), name.clone());
        if !self.versions.contains_key(&key) {
            return Err(unknown_version(model, name));
        }
        if let Some((namespace, alias)) = self.alias_using(model, name) {
            return Err(ChangeError::VersionInUse {
                model: model.clone(),
                name: name.clone(),
                alias,
                space: namespace.describe(),
            });
        }
        self.versions.remove(&key);
        self.deleted.insert(key);
        Ok(())
    }

    fn move_alias(
        &mut self,
        namespace: &Namespace,
        alias: &Name,
        model: &Name,
        version: &Name,
        expected: Revision,
        stage: Option<&Stage>,
    ) -> Result<(), ChangeError> {
        self.offered(model, version)?;
        let moved = match self.alias(namespace, alias) {
            None if expected != 0 || stage.is_some() => return Err(unknown_alias(alias)),
            None => self.new_alias(model, version),
            Some(_) => {
                let current = self.expected_alias(namespace, alias, expected)?;
                self.moved_alias(current, alias, model, version, stage)?
            }
        };
        self.set_alias(namespace, alias, moved);
        Ok(())
    }

    fn new_alias(&self, model: &Name, version: &Name) -> Alias {
        Alias {
            model: model.clone(),
            version: version.clone(),
            previous: None,
            stage: None,
            changed: self.revision,
        }
    }

    /// The alias after a move: at once, or with a stage that tries the version first.
    fn moved_alias(
        &self,
        current: Alias,
        alias: &Name,
        model: &Name,
        version: &Name,
        stage: Option<&Stage>,
    ) -> Result<Alias, ChangeError> {
        if current.model != *model {
            return Err(ChangeError::ModelMismatch {
                alias: alias.clone(),
                has: current.model,
                asked: model.clone(),
            });
        }
        let Some(stage) = stage else {
            return Ok(self.with_version(current, version.clone()));
        };
        stage.check()?;
        if stage.to != *version {
            return Err(ChangeError::InvalidValue {
                place: "stage",
                why: format!("to '{}': the move says '{version}'", stage.to),
            });
        }
        Ok(Alias {
            stage: Some(stage.clone()),
            changed: self.revision,
            ..current
        })
    }

    /// The alias with another version, and without a stage.
    fn with_version(&self, current: Alias, version: Name) -> Alias {
        Alias {
            version,
            previous: Some(current.version),
            stage: None,
            changed: self.revision,
            model: current.model,
        }
    }

    /// The alias as it was before its stage.
    fn without_stage(&self, current: Alias) -> Alias {
        Alias {
            stage: None,
            changed: self.revision,
            ..current
        }
    }

    fn end_stage(
        &mut self,
        namespace: &Namespace,
        alias: &Name,
        expected: Revision,
        is_success: bool,
    ) -> Result<(), ChangeError> {
        let current = self.expected_alias(namespace, alias, expected)?;
        let Some(stage) = current.stage.clone() else {
            return Err(ChangeError::NoRollout(alias.clone()));
        };
        let next = if is_success {
            self.offered(&current.model, &stage.to)?;
            self.with_version(current, stage.to)
        } else {
            self.without_stage(current)
        };
        self.set_alias(namespace, alias, next);
        Ok(())
    }

    fn roll_back(
        &mut self,
        namespace: &Namespace,
        alias: &Name,
        expected: Revision,
    ) -> Result<(), ChangeError> {
        let current = self.expected_alias(namespace, alias, expected)?;
        // A stage is a move under way: to roll it back is to give it up.
        let next = if current.stage.is_some() {
            self.without_stage(current)
        } else {
            let Some(previous) = current.previous.clone() else {
                return Err(ChangeError::NoPreviousVersion(alias.clone()));
            };
            self.offered(&current.model, &previous)?;
            self.with_version(current, previous)
        };
        self.set_alias(namespace, alias, next);
        Ok(())
    }

    fn set_alias(&mut self, namespace: &Namespace, alias: &Name, value: Alias) {
        self.aliases
            .insert((namespace.clone(), alias.clone()), value);
    }

    fn add_key(&mut self, id: &Name, role: Role, hash: &str) -> Result<(), ChangeError> {
        if self.keys.contains_key(id) {
            return Err(ChangeError::KeyExists(id.clone()));
        }
        let hash = hash.to_owned();
        self.keys.insert(id.clone(), Key { role, hash });
        Ok(())
    }

    fn withdraw_key(&mut self, id: &Name) -> Result<(), ChangeError> {
        let Some(key) = self.keys.get(id) else {
            return Err(ChangeError::NotFound {
                what: "key",
                name: id.to_string(),
            });
        };
        let is_owner = |key: &&Key| key.role == Role::Owner;
        if is_owner(&key) && self.keys.values().filter(is_owner).count() == 1 {
            return Err(ChangeError::LastOwner(id.clone()));
        }
        self.keys.remove(id);
        Ok(())
    }

    /// Goes over all revisions that may have been given out after the backup.
    fn restore_over(&mut self, over: Revision) -> Result<(), ChangeError> {
        let before = self.revision - 1;
        if over < before || over >= MAX_REVISION {
            return Err(ChangeError::RestoreBelowHead { over, at: before });
        }
        self.revision = over + 1;
        Ok(())
    }

    /// An alias that stands for the version, would go back to it, or tries it.
    pub fn alias_using(&self, model: &Name, name: &Name) -> Option<(Namespace, Name)> {
        let names = |a: &Alias| {
            let tried = a.stage.as_ref().map(|s| &s.to);
            a.model == *model
                && [Some(&a.version), a.previous.as_ref(), tried].contains(&Some(name))
        };
        self.aliases
            .iter()
            .find(|(_, a)| names(a))
            .map(|(key, _)| key.clone())
    }

    /// Manifests that something may still ask for.
    pub fn manifests(&self) -> OrdSet<Digest> {
        self.versions.values().map(|h| h.version.manifest).collect()
    }
}

fn unknown_version(model: &Name, name: &Name) -> ChangeError {
    ChangeError::NotFound {
        what: "version",
        name: format!("{model}@{name}"),
    }
}

fn unknown_alias(alias: &Name) -> ChangeError {
    ChangeError::NotFound {
        what: "alias",
        name: alias.to_string(),
    }
}

impl Change {
    /// The least role that may ask for it.
    pub fn required_role(&self) -> Role {
        match self {
            Self::Push { .. } => Role::Publisher,
            Self::Withdraw { .. }
            | Self::Delete { .. }
            | Self::Move { .. }
            | Self::EndStage { .. }
            | Self::RollBack { .. }
            | Self::DropAlias { .. } => Role::Mover,
            Self::AddKey { .. } | Self::WithdrawKey { .. } | Self::Restored { .. } => Role::Owner,
        }
    }
}
