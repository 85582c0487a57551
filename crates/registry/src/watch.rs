//! What a watcher takes of what the registry tells it. It never goes back, and never hears a change twice or not at all.

use crate::book::{Change, Revision};
use crate::chain::{Broken, Entry, Hash, Head};
use serde::{Deserialize, Serialize};

/// Where a watcher has come to; what it asks the registry to go on from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mark {
    pub revision: Revision,
    pub hash: Hash,
}

/// What the registry says to a watcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "told", rename_all = "kebab-case")]
pub enum Told {
    /// The whole book. `restored` is the entry that lets those on another history come over.
    Whole { head: Head, restored: Option<Entry> },
    /// One change, the next.
    Next { entry: Entry },
    /// Nothing is new.
    Still { at: Mark },
    /// The registry does not know the mark, and nobody said that it may be left behind.
    Behind { at: Mark },
}

/// Why a watcher keeps what it has.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    #[error(
        "the registry is at revision {its}, revision {mine} was obeyed here and is not in its history: it came back from \
         an older backup, or it is another one. What was known stands, until an operator restores over revision {mine}"
    )]
    Older { its: Revision, mine: Revision },
    #[error("{0}")]
    Broken(#[from] Broken),
}

/// A watcher's own copy.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Watcher {
    head: Head,
}

impl Watcher {
    /// Goes on from what was kept.
    pub fn from(head: Head) -> Self {
        Self { head }
    }

    pub fn head(&self) -> &Head {
        &self.head
    }

    pub fn mark(&self) -> Mark {
        Mark {
            revision: self.head.revision(),
            hash: self.head.hash.clone(),
        }
    }

    /// Takes one message in. True: something is new, and is to be kept before it is obeyed.
    pub fn hear(&mut self, told: Told) -> Result<bool, Refused> {
        let mine = self.head.revision();
        match told {
            Told::Next { entry } => {
                // A message that comes a second time after a gap changes nothing.
                if entry.revision <= mine {
                    return if entry.revision < mine || entry.hash() == self.head.hash {
                        Ok(false)
                    } else {
                        Err(Refused::Older {
                            its: entry.revision,
                            mine,
                        })
                    };
                }
                self.head = self.head.follow(&entry)?;
                Ok(true)
            }
            Told::Whole { head, restored } => {
                if head == self.head {
                    return Ok(false);
                }
                let its = head.revision();
                let over = restored.and_then(|e| match e.change {
                    // The jump must lie on this side of the head that it is to explain.
                    Change::Restored { over } if e.revision == over + 1 && e.revision <= its => {
                        Some(over)
                    }
                    _ => None,
                });
                if its <= mine || (mine > 0 && over.is_none_or(|over| over < mine)) {
                    return Err(Refused::Older { its, mine });
                }
                self.head = head;
                Ok(true)
            }
            Told::Still { at } if at == self.mark() => Ok(false),
            // Changes are under way, or something was missed: the former come, the latter shows when they do.
            Told::Still { at } if at.revision > mine => Ok(false),
            Told::Still { at } | Told::Behind { at } => Err(Refused::Older {
                its: at.revision,
                mine,
            }),
        }
    }
}

/// What the registry answers a watcher at `mark` with, from its history: the entries it lacks, or the whole.
/// `hash_at` knows the hash after a revision of the history, none where there is no such revision.
pub fn answer(
    head: &Head,
    mark: &Mark,
    hash_at: impl FnOnce(Revision) -> Option<Hash>,
    last_restored: Option<Entry>,
) -> Answer {
    if mark.revision == 0 {
        return Answer::Whole(None);
    }
    if hash_at(mark.revision).as_ref() == Some(&mark.hash) {
        return Answer::After(mark.revision);
    }
    match last_restored {
        Some(e) if matches!(e.change, Change::Restored { over } if over >= mark.revision) => {
            Answer::Whole(Some(e))
        }
        _ => Answer::Behind(Mark {
            revision: head.revision(),
            hash: head.hash.clone(),
        }),
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    After(Revision),
    Whole(Option<Entry>),
    Behind(Mark),
}
