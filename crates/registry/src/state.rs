//! The registry's state, and which changes of it are valid. No I/O, no clock.

use crate::names::{Name, Namespace};
use imbl::{OrdMap, OrdSet};
use saltdrum_layers::Digest;
use serde::{Deserialize, Serialize};

/// Number of the last change; never decreases. 0: there was no change yet.
pub type Revision = u64;

/// One version of a model; immutable once pushed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Digest of the manifest that lists its chunks.
    #[serde(with = "crate::names::digest")]
    pub manifest: Digest,
    /// Total uncompressed size of its chunks.
    pub bytes: u64,
    /// Memory that one instance needs.
    pub memory_mb: u64,
    /// Concurrency limit of one instance.
    pub lanes: u32,
    /// Trigger types that may invoke it.
    pub trigger_types: Vec<String>,
}

/// Whether a version may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// Aliases may refer to it and invocations may use it.
    Offered,
    /// Nobody may use it any more, not even clients that have pinned it; its name is never reused.
    Withdrawn,
}

/// A staged rollout: a move of an alias that applies to a share of new version pins first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// The new version.
    pub to: Name,
    /// How many of a thousand new pins get the new version.
    pub per_mille: u16,
    /// How many more of a thousand answers may fail than with the old version.
    pub errors_per_mille: u16,
    /// Answers of the new version that are needed to complete the rollout.
    pub answers: u64,
}

/// A name that refers to a version of a model, and can be moved to another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Alias {
    /// The model, which never changes.
    pub model: Name,
    /// The version it refers to.
    pub version: Name,
    /// The version it referred to before, for a rollback.
    #[serde(rename = "before")]
    pub previous: Option<Name>,
    /// The staged rollout in progress.
    pub stage: Option<Stage>,
    /// Revision at which it last changed, which a move must name.
    pub changed: Revision,
}

/// A version with its status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// As it was pushed.
    pub version: Version,
    /// Whether it may be used.
    pub standing: Standing,
    /// Revision of its push.
    pub pushed: Revision,
}

/// A change of the state, as a caller requests it and as the history records it.
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
    /// Deletes a version that no alias names.
    Delete {
        /// The model.
        model: Name,
        /// The version's name.
        name: Name,
    },
    /// Moves an alias, or creates it if `expect` is 0. With a stage, the alias still refers to the old version while a
    /// share of new passages starts with the new one.
    Move {
        /// Namespace of the alias.
        space: Namespace,
        /// The alias.
        alias: Name,
        /// The model.
        model: Name,
        /// The version.
        version: Name,
        /// Revision at which the caller read the alias; the alias must not have changed since.
        expect: Revision,
        /// If present, the move applies to a share of new pins first.
        stage: Option<Stage>,
    },
    /// Ends a staged rollout: new passages all start with the new version, or none do.
    EndStage {
        /// Namespace of the alias.
        space: Namespace,
        /// The alias.
        alias: Name,
        /// Revision at which the caller read the alias; the alias must not have changed since.
        expect: Revision,
        /// Whether the new version succeeded.
        #[serde(rename = "well")]
        is_success: bool,
        /// The reason.
        why: String,
    },
    /// Moves an alias back to the previous version, or aborts its staged rollout.
    RollBack {
        /// Namespace of the alias.
        space: Namespace,
        /// The alias.
        alias: Name,
        /// Revision at which the caller read the alias; the alias must not have changed since.
        expect: Revision,
    },
    /// Removes an alias.
    DropAlias {
        /// Namespace of the alias.
        space: Namespace,
        /// The alias.
        alias: Name,
        /// Revision at which the caller read the alias; the alias must not have changed since.
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
    /// The state was restored from a backup. Followers that applied revisions up to `over` of the lost history accept this
    /// entry.
    Restored {
        /// Highest revision that the lost history may have reached.
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
    /// Also issues keys, restores and collects blobs.
    Owner,
}

/// The stored part of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// What it permits.
    pub role: Role,
    /// Hash of the key's text, in hexadecimal.
    pub hash: String,
}

/// Why a change was rejected. The state is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// There is no such version, alias or key.
    #[error("{what} '{name}' is not known")]
    NotFound {
        /// `version`, `alias` or `key`.
        what: &'static str,
        /// Its name.
        name: String,
    },
    /// The name belongs to another version.
    #[error(
        "model '{model}' has a version '{name}' already, with manifest {has}: a version never changes"
    )]
    VersionExists {
        /// The model.
        model: Name,
        /// The version's name.
        name: Name,
        /// Manifest of the existing version.
        has: Digest,
    },
    /// The alias has changed since the caller read it.
    #[error("alias '{alias}' is at revision {at}, {expected} was expected: someone else moved it")]
    AliasChanged {
        /// The alias.
        alias: Name,
        /// Revision at which the alias last changed.
        at: Revision,
        /// Revision that the caller named.
        expected: Revision,
    },
    /// The version was withdrawn or deleted.
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
    /// An alias can't be moved to another model.
    #[error(
        "alias '{alias}' stands for model '{has}': a move to model '{asked}' needs another alias"
    )]
    ModelMismatch {
        /// The alias.
        alias: Name,
        /// Model of the alias.
        has: Name,
        /// Model that was requested.
        asked: Name,
    },
    /// The alias has no previous version.
    #[error("alias '{0}' has nothing to go back to")]
    NoPreviousVersion(Name),
    /// No staged rollout is in progress.
    #[error("alias '{0}' has no stage to end")]
    NoRollout(Name),
    /// A value is out of bounds.
    #[error("{place}: {why}")]
    InvalidValue {
        /// Name of the field.
        place: &'static str,
        /// The reason.
        why: String,
    },
    /// The key identifier is in use.
    #[error("key '{0}' is there already")]
    KeyExists(Name),
    /// The last owner key can't be removed: without it no key could be added.
    #[error("key '{0}' is the last owner's: no one could hand out another")]
    LastOwner(Name),
    /// The revision to restore over is below that of the history, or too high.
    #[error("a restored book must go over revision {at} at least, {over} was said")]
    RestoreBelowHead {
        /// Highest revision that the lost history may have reached.
        over: Revision,
        /// Revision of the history.
        at: Revision,
    },
    /// Revisions are exhausted.
    #[error("no such change: revision {0} is above all there can be")]
    RevisionTooHigh(Revision),
}

/// The state as of a revision. Cheap to clone, because clones share their unchanged parts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryState {
    /// Number of changes so far, plus the jumps of restores.
    pub revision: Revision,
    /// By model and version.
    #[serde(with = "crate::names::pairs")]
    pub versions: OrdMap<(Name, Name), VersionRecord>,
    /// Names of deleted versions, which are never reused for other versions.
    #[serde(rename = "gone")]
    pub deleted: OrdSet<(Name, Name)>,
    /// By namespace and alias.
    #[serde(with = "crate::names::pairs")]
    pub aliases: OrdMap<(Namespace, Name), Alias>,
    /// By identifier.
    pub keys: OrdMap<Name, Key>,
}

/// Bounds on a pushed version, so that one mistake can't exhaust the fleet or the registry.
const MAX_LANES: u32 = 1_024;
const MAX_MEMORY_MB: u64 = 1 << 20;
const MAX_VERSION_BYTES: u64 = 1 << 42;
const MAX_TRIGGER_TYPES: usize = 32;
const MAX_TRIGGER_TYPE_BYTES: usize = 64;
/// Highest revision. Leaves room for a jump over revisions that a lost registry may have issued.
pub const MAX_REVISION: Revision = 1 << 53;

impl Version {
    fn check(&self) -> Result<(), ChangeError> {
        let invalid = |place, why: String| Err(ChangeError::InvalidValue { place, why });
        if !(1..=MAX_LANES).contains(&self.lanes) {
            return invalid(
                "lanes",
                format!("{}: 1 to {MAX_LANES} are expected", self.lanes),
            );
        }
        if !(1..=MAX_MEMORY_MB).contains(&self.memory_mb) {
            return invalid(
                "memory_mb",
                format!("{}: 1 to {MAX_MEMORY_MB} are expected", self.memory_mb),
            );
        }
        if !(1..=MAX_VERSION_BYTES).contains(&self.bytes) {
            return invalid(
                "bytes",
                format!("{}: 1 to {MAX_VERSION_BYTES} are expected", self.bytes),
            );
        }
        let count = self.trigger_types.len();
        if !(1..=MAX_TRIGGER_TYPES).contains(&count)
            || self
                .trigger_types
                .iter()
                .any(|t| t.len() > MAX_TRIGGER_TYPE_BYTES)
        {
            return invalid(
                "trigger_types",
                format!("{count} of them: 1 to {MAX_TRIGGER_TYPES} short ones are expected"),
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

    fn check_offered(&self, model: &Name, name: &Name) -> Result<(), ChangeError> {
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

    /// The alias, provided that it is still at the revision that the caller expects.
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

    /// The state after the change, or why the change is rejected. Every change goes through here, those of a replay included.
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

    /// Applies a change to a state whose revision has already been advanced.
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
        self.check_offered(model, name)?;
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
        self.check_offered(model, version)?;
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

    /// The alias after a move, which is either immediate or starts a staged rollout.
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

    /// The alias with another version and without a staged rollout.
    fn with_version(&self, current: Alias, version: Name) -> Alias {
        Alias {
            version,
            previous: Some(current.version),
            stage: None,
            changed: self.revision,
            model: current.model,
        }
    }

    /// The alias with its staged rollout removed.
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
            self.check_offered(&current.model, &stage.to)?;
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
        // A staged rollout is a move in progress: rolling it back aborts it.
        let next = if current.stage.is_some() {
            self.without_stage(current)
        } else {
            let Some(previous) = current.previous.clone() else {
                return Err(ChangeError::NoPreviousVersion(alias.clone()));
            };
            self.check_offered(&current.model, &previous)?;
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

    /// Jumps over all revisions that may have been issued after the backup.
    fn restore_over(&mut self, over: Revision) -> Result<(), ChangeError> {
        let backup_revision = self.revision - 1;
        if over < backup_revision || over >= MAX_REVISION {
            return Err(ChangeError::RestoreBelowHead {
                over,
                at: backup_revision,
            });
        }
        self.revision = over + 1;
        Ok(())
    }

    /// An alias that refers to the version, has it as its previous version, or is being rolled out to it.
    pub fn alias_using(&self, model: &Name, name: &Name) -> Option<(Namespace, Name)> {
        let uses_version = |alias: &Alias| {
            let rolled_out = alias.stage.as_ref().map(|s| &s.to);
            alias.model == *model
                && [Some(&alias.version), alias.previous.as_ref(), rolled_out].contains(&Some(name))
        };
        self.aliases
            .iter()
            .find(|(_, alias)| uses_version(alias))
            .map(|(key, _)| key.clone())
    }

    /// Manifests of all versions that are not deleted.
    pub fn manifests(&self) -> OrdSet<Digest> {
        self.versions
            .values()
            .map(|record| record.version.manifest)
            .collect()
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
    /// The lowest role that may request the change.
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
