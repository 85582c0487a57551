//! What the registry knows, and which changes it takes. No I/O, no clock: times are handed in.

use crate::names::{Name, Namespace};
use imbl::{OrdMap, OrdSet};
use saltdrum_layers::Digest;
use serde::{Deserialize, Serialize};

/// Counts changes; never goes back. 0: nothing was ever changed.
pub type Revision = u64;

/// One version of a model. It is never other than it was pushed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    #[serde(with = "crate::names::digest")]
    pub manifest: Digest,
    /// As loaded.
    pub bytes: u64,
    pub memory_mb: u64,
    pub lanes: u32,
    pub trigger_types: Vec<String>,
}

/// What became of a version since.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// May be named by aliases and used.
    Offered,
    /// Nobody may use it any more, whoever holds it; its name is never used again.
    Withdrawn,
}

/// A move that is tried on a share of passages first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    pub to: Name,
    /// Of a thousand passages, so many begin with it.
    pub per_mille: u16,
    /// Of a thousand answers of the new version more than this many above the old one's may not err.
    pub errors_per_mille: u16,
    /// Answers of the new version that are waited for before it is said to be well.
    pub answers: u64,
}

/// A name that stands for a version of a model, and may be moved.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Alias {
    pub model: Name,
    pub version: Name,
    /// What it stood for before, for a roll back.
    pub before: Option<Name>,
    pub stage: Option<Stage>,
    /// Revision at which it last changed: what a move is compared with.
    pub changed: Revision,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    pub version: Version,
    pub standing: Standing,
    pub pushed: Revision,
}

/// What somebody asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Change {
    Push {
        model: Name,
        name: Name,
        version: Version,
    },
    Withdraw {
        model: Name,
        name: Name,
    },
    /// Only what no alias names.
    Delete {
        model: Name,
        name: Name,
    },
    /// Moves an alias, or makes it where `expect` is 0. With a stage, it goes on standing for what it did and a share of
    /// passages begin with the new one.
    Move {
        space: Namespace,
        alias: Name,
        model: Name,
        version: Name,
        expect: Revision,
        stage: Option<Stage>,
    },
    /// Ends a stage: all passages begin with the new version, or none.
    EndStage {
        space: Namespace,
        alias: Name,
        expect: Revision,
        well: bool,
        why: String,
    },
    RollBack {
        space: Namespace,
        alias: Name,
        expect: Revision,
    },
    DropAlias {
        space: Namespace,
        alias: Name,
        expect: Revision,
    },
    AddKey {
        id: Name,
        role: Role,
        hash: String,
    },
    WithdrawKey {
        id: Name,
    },
    /// The book came from a backup; whoever obeyed revisions up to `over` is told to obey this one.
    Restored {
        over: Revision,
    },
}

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

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    pub role: Role,
    /// Of the key's text, in hexadecimal.
    pub hash: String,
}

/// Why a change is not taken. Nothing has changed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    #[error("{what} '{name}' is not known")]
    Unknown { what: &'static str, name: String },
    #[error(
        "model '{model}' has a version '{name}' already, with manifest {has}: a version never changes"
    )]
    Exists {
        model: Name,
        name: Name,
        has: Digest,
    },
    #[error("alias '{alias}' is at revision {at}, {expected} was expected: someone else moved it")]
    Moved {
        alias: Name,
        at: Revision,
        expected: Revision,
    },
    #[error("version '{name}' of model '{model}' was withdrawn")]
    Withdrawn { model: Name, name: Name },
    #[error("version '{name}' of model '{model}' is named by alias '{alias}' of {space}")]
    Named {
        model: Name,
        name: Name,
        alias: Name,
        space: String,
    },
    #[error(
        "alias '{alias}' stands for model '{has}': a move to model '{asked}' needs another alias"
    )]
    OtherModel { alias: Name, has: Name, asked: Name },
    #[error("alias '{0}' has nothing to go back to")]
    NothingBefore(Name),
    #[error("alias '{0}' has no stage to end")]
    NoStage(Name),
    #[error("{place}: {why}")]
    Value { place: &'static str, why: String },
    #[error("key '{0}' is there already")]
    KeyExists(Name),
    #[error("key '{0}' is the last owner's: no one could hand out another")]
    LastOwner(Name),
    #[error("a restored book must go over revision {at} at least, {over} was said")]
    NotOver { over: Revision, at: Revision },
    #[error("no such change: revision {0} is above all there can be")]
    TooMany(Revision),
}

/// All that is known, as of a revision. Cheap to clone: clones share what is equal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Book {
    pub revision: Revision,
    #[serde(with = "crate::names::pairs")]
    pub versions: OrdMap<(Name, Name), Held>,
    /// Names of versions that were deleted: a version's name never comes to mean another.
    pub gone: OrdSet<(Name, Name)>,
    #[serde(with = "crate::names::pairs")]
    pub aliases: OrdMap<(Namespace, Name), Alias>,
    pub keys: OrdMap<Name, Key>,
}

/// Bounds on what may be pushed, so that one mistake can't fill fleet and book.
const LANES_MOST: u32 = 1_024;
const MEMORY_MOST_MB: u64 = 1 << 20;
const BYTES_MOST: u64 = 1 << 42;
const TRIGGER_TYPES_MOST: usize = 32;
/// Leaves room for a jump over what a lost registry may have given out.
pub const REVISION_MOST: Revision = 1 << 53;

impl Version {
    fn look(&self) -> Result<(), Refusal> {
        let bad = |place, why: String| Err(Refusal::Value { place, why });
        if !(1..=LANES_MOST).contains(&self.lanes) {
            return bad(
                "lanes",
                format!("{}: 1 to {LANES_MOST} are expected", self.lanes),
            );
        }
        if !(1..=MEMORY_MOST_MB).contains(&self.memory_mb) {
            return bad(
                "memory_mb",
                format!("{}: 1 to {MEMORY_MOST_MB} are expected", self.memory_mb),
            );
        }
        if !(1..=BYTES_MOST).contains(&self.bytes) {
            return bad(
                "bytes",
                format!("{}: 1 to {BYTES_MOST} are expected", self.bytes),
            );
        }
        let n = self.trigger_types.len();
        if !(1..=TRIGGER_TYPES_MOST).contains(&n) || self.trigger_types.iter().any(|t| t.len() > 64)
        {
            return bad(
                "trigger_types",
                format!("{n} of them: 1 to {TRIGGER_TYPES_MOST} short ones are expected"),
            );
        }
        Ok(())
    }
}

impl Stage {
    fn look(&self) -> Result<(), Refusal> {
        if !(1..1_000).contains(&self.per_mille)
            || self.errors_per_mille > 1_000
            || self.answers == 0
        {
            let why =
                "1 to 999 of a thousand passages, up to 1000 errors, at least one answer are expected".into();
            return Err(Refusal::Value {
                place: "stage",
                why,
            });
        }
        Ok(())
    }
}

impl Book {
    pub fn version(&self, model: &Name, name: &Name) -> Option<&Held> {
        self.versions.get(&(model.clone(), name.clone()))
    }

    pub fn alias(&self, space: &Namespace, alias: &Name) -> Option<&Alias> {
        self.aliases.get(&(space.clone(), alias.clone()))
    }

    fn offered(&self, model: &Name, name: &Name) -> Result<(), Refusal> {
        let held = self.version(model, name).ok_or_else(|| Refusal::Unknown {
            what: "version",
            name: format!("{model}@{name}"),
        })?;
        match held.standing {
            Standing::Offered => Ok(()),
            Standing::Withdrawn => Err(Refusal::Withdrawn {
                model: model.clone(),
                name: name.clone(),
            }),
        }
    }

    /// The alias as it stands, where that is what the asker thinks.
    fn compared(
        &self,
        space: &Namespace,
        alias: &Name,
        expect: Revision,
    ) -> Result<Alias, Refusal> {
        let found = self.alias(space, alias).cloned();
        let found = found.ok_or_else(|| Refusal::Unknown {
            what: "alias",
            name: alias.to_string(),
        })?;
        if found.changed == expect {
            return Ok(found);
        }
        Err(Refusal::Moved {
            alias: alias.clone(),
            at: found.changed,
            expected: expect,
        })
    }

    /// The book with the change, or why not. The one place where anything changes: replays go through it as well.
    pub fn with(&self, change: &Change) -> Result<Book, Refusal> {
        let revision = self.revision + 1;
        if revision > REVISION_MOST {
            return Err(Refusal::TooMany(revision));
        }
        let mut book = Book {
            revision,
            ..self.clone()
        };
        match change {
            Change::Push {
                model,
                name,
                version,
            } => {
                version.look()?;
                let key = (model.clone(), name.clone());
                if self.gone.contains(&key) {
                    return Err(Refusal::Withdrawn {
                        model: model.clone(),
                        name: name.clone(),
                    });
                }
                if let Some(held) = self.versions.get(&key) {
                    let has = held.version.manifest;
                    return Err(Refusal::Exists {
                        model: model.clone(),
                        name: name.clone(),
                        has,
                    });
                }
                let (version, standing) = (version.clone(), Standing::Offered);
                book.versions.insert(
                    key,
                    Held {
                        version,
                        standing,
                        pushed: revision,
                    },
                );
            }
            Change::Withdraw { model, name } => {
                self.offered(model, name)?;
                let held = book.versions.get_mut(&(model.clone(), name.clone()));
                held.expect("it was looked up").standing = Standing::Withdrawn;
            }
            Change::Delete { model, name } => {
                let key = (model.clone(), name.clone());
                if !self.versions.contains_key(&key) {
                    return Err(Refusal::Unknown {
                        what: "version",
                        name: format!("{model}@{name}"),
                    });
                }
                if let Some((space, alias)) = self.named_by(model, name) {
                    let (model, name, space) = (model.clone(), name.clone(), space.told());
                    return Err(Refusal::Named {
                        model,
                        name,
                        alias,
                        space,
                    });
                }
                book.versions.remove(&key);
                book.gone.insert(key);
            }
            Change::Move {
                space,
                alias,
                model,
                version,
                expect,
                stage,
            } => {
                self.offered(model, version)?;
                let key = (space.clone(), alias.clone());
                let next = match self.aliases.get(&key) {
                    None if *expect != 0 || stage.is_some() => {
                        return Err(Refusal::Unknown {
                            what: "alias",
                            name: alias.to_string(),
                        });
                    }
                    None => {
                        let (model, version) = (model.clone(), version.clone());
                        Alias {
                            model,
                            version,
                            before: None,
                            stage: None,
                            changed: revision,
                        }
                    }
                    Some(_) => {
                        let found = self.compared(space, alias, *expect)?;
                        if found.model != *model {
                            let (alias, asked) = (alias.clone(), model.clone());
                            return Err(Refusal::OtherModel {
                                alias,
                                has: found.model,
                                asked,
                            });
                        }
                        match stage {
                            Some(stage) => {
                                stage.look()?;
                                if stage.to != *version {
                                    let why =
                                        format!("to '{}': the move says '{version}'", stage.to);
                                    return Err(Refusal::Value {
                                        place: "stage",
                                        why,
                                    });
                                }
                                Alias {
                                    stage: Some(stage.clone()),
                                    changed: revision,
                                    ..found
                                }
                            }
                            None => {
                                let before = Some(found.version);
                                Alias {
                                    version: version.clone(),
                                    before,
                                    stage: None,
                                    changed: revision,
                                    ..found
                                }
                            }
                        }
                    }
                };
                book.aliases.insert(key, next);
            }
            Change::EndStage {
                space,
                alias,
                expect,
                well,
                ..
            } => {
                let found = self.compared(space, alias, *expect)?;
                let stage = found
                    .stage
                    .clone()
                    .ok_or_else(|| Refusal::NoStage(alias.clone()))?;
                let next = if *well {
                    self.offered(&found.model, &stage.to)?;
                    let before = Some(found.version);
                    Alias {
                        version: stage.to,
                        before,
                        stage: None,
                        changed: revision,
                        ..found
                    }
                } else {
                    Alias {
                        stage: None,
                        changed: revision,
                        ..found
                    }
                };
                book.aliases.insert((space.clone(), alias.clone()), next);
            }
            Change::RollBack {
                space,
                alias,
                expect,
            } => {
                let found = self.compared(space, alias, *expect)?;
                // A stage is a move under way: going back is to give it up.
                let next = if found.stage.is_some() {
                    Alias {
                        stage: None,
                        changed: revision,
                        ..found
                    }
                } else {
                    let to = found
                        .before
                        .clone()
                        .ok_or_else(|| Refusal::NothingBefore(alias.clone()))?;
                    self.offered(&found.model, &to)?;
                    Alias {
                        version: to,
                        before: Some(found.version),
                        changed: revision,
                        ..found
                    }
                };
                book.aliases.insert((space.clone(), alias.clone()), next);
            }
            Change::DropAlias {
                space,
                alias,
                expect,
            } => {
                self.compared(space, alias, *expect)?;
                book.aliases.remove(&(space.clone(), alias.clone()));
            }
            Change::AddKey { id, role, hash } => {
                if self.keys.contains_key(id) {
                    return Err(Refusal::KeyExists(id.clone()));
                }
                book.keys.insert(
                    id.clone(),
                    Key {
                        role: *role,
                        hash: hash.clone(),
                    },
                );
            }
            Change::WithdrawKey { id } => {
                let key = self.keys.get(id);
                let key = key.ok_or_else(|| Refusal::Unknown {
                    what: "key",
                    name: id.to_string(),
                })?;
                let owners = self.keys.values().filter(|k| k.role == Role::Owner).count();
                if key.role == Role::Owner && owners == 1 {
                    return Err(Refusal::LastOwner(id.clone()));
                }
                book.keys.remove(id);
            }
            Change::Restored { over } => {
                if *over < self.revision || *over >= REVISION_MOST {
                    return Err(Refusal::NotOver {
                        over: *over,
                        at: self.revision,
                    });
                }
                book.revision = over + 1;
            }
        }
        Ok(book)
    }

    /// An alias that stands for the version, would go back to it, or tries it.
    pub fn named_by(&self, model: &Name, name: &Name) -> Option<(Namespace, Name)> {
        let names = |a: &Alias| {
            let tried = a.stage.as_ref().map(|s| &s.to);
            a.model == *model && [Some(&a.version), a.before.as_ref(), tried].contains(&Some(name))
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

impl Change {
    /// The least role that may ask for it.
    pub fn needs(&self) -> Role {
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
