//! What a watcher takes of what the registry tells it. It never goes back, and never hears a change twice or not at all.

use crate::chain::{ChainError, Entry, Hash, Head};
use crate::state::{Change, Revision};
use serde::{Deserialize, Serialize};

/// The Rust name of a type shows in serde's error texts, which go to clients: it stays as clients know it.
mod wire {
    use super::{Deserialize, Hash, Revision, Serialize};

    /// Position in the history up to which a watcher has applied entries.
    #[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct Mark {
        /// Revision of the last entry applied; 0: none.
        pub revision: Revision,
        /// Hash of that entry.
        pub hash: Hash,
    }
}
pub use wire::Mark as Cursor;

/// What the registry says to a watcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "told", rename_all = "kebab-case")]
pub enum WatchEvent {
    /// The whole state. `restored` is the entry that lets those on another history come over.
    #[serde(rename = "whole")]
    Snapshot {
        /// The complete state.
        head: Head,
        /// The entry of the last restore, by which followers of another history may accept it.
        restored: Option<Entry>,
    },
    /// One change, the next.
    Next {
        /// The entry.
        entry: Entry,
    },
    /// Nothing is new.
    #[serde(rename = "still")]
    Heartbeat {
        /// Where it is, or was expected to be.
        at: Cursor,
    },
    /// The registry does not know the mark, and nobody said that it may be left behind.
    #[serde(rename = "behind")]
    UnknownCursor {
        /// Where it is, or was expected to be.
        at: Cursor,
    },
}

/// Why a watcher keeps what it has.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WatchError {
    /// The registry's history lacks what was applied here.
    #[error(
        "the registry is at revision {registry}, revision {local} was obeyed here and is not in its history: it came back from \
         an older backup, or it is another one. What was known stands, until an operator restores over revision {local}"
    )]
    HistoryMismatch {
        /// Revision of the registry.
        registry: Revision,
        /// Revision applied here.
        local: Revision,
    },
    /// An entry does not follow.
    #[error("{0}")]
    BrokenChain(#[from] ChainError),
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

    /// What was accepted so far.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// Where to go on from.
    pub fn cursor(&self) -> Cursor {
        Cursor {
            revision: self.head.revision(),
            hash: self.head.hash.clone(),
        }
    }

    /// Takes one message in. True: something is new, and is to be kept before it is obeyed.
    pub fn apply(&mut self, told: WatchEvent) -> Result<bool, WatchError> {
        let mine = self.head.revision();
        match told {
            WatchEvent::Next { entry } => {
                // A message that comes a second time after a gap changes nothing.
                if entry.revision <= mine {
                    return if entry.revision < mine || entry.hash() == self.head.hash {
                        Ok(false)
                    } else {
                        Err(WatchError::HistoryMismatch {
                            registry: entry.revision,
                            local: mine,
                        })
                    };
                }
                self.head = self.head.with_entry(&entry)?;
                Ok(true)
            }
            WatchEvent::Snapshot { head, restored } => {
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
                    return Err(WatchError::HistoryMismatch {
                        registry: its,
                        local: mine,
                    });
                }
                self.head = head;
                Ok(true)
            }
            WatchEvent::Heartbeat { at } if at == self.cursor() => Ok(false),
            // Changes are under way, or something was missed: the former come, the latter shows when they do.
            WatchEvent::Heartbeat { at } if at.revision > mine => Ok(false),
            WatchEvent::Heartbeat { at } | WatchEvent::UnknownCursor { at } => {
                Err(WatchError::HistoryMismatch {
                    registry: at.revision,
                    local: mine,
                })
            }
        }
    }
}

/// What the registry answers a watcher at `mark` with, from its history: the entries it lacks, or the whole.
/// `hash_at` knows the hash after a revision of the history, none where there is no such revision.
pub fn reply_to(
    head: &Head,
    mark: &Cursor,
    hash_at: impl FnOnce(Revision) -> Option<Hash>,
    last_restored: Option<Entry>,
) -> WatchReply {
    if mark.revision == 0 {
        return WatchReply::Snapshot(None);
    }
    if hash_at(mark.revision).as_ref() == Some(&mark.hash) {
        return WatchReply::EntriesAfter(mark.revision);
    }
    match last_restored {
        Some(e) if matches!(e.change, Change::Restored { over } if over >= mark.revision) => {
            WatchReply::Snapshot(Some(e))
        }
        _ => WatchReply::UnknownCursor(Cursor {
            revision: head.revision(),
            hash: head.hash.clone(),
        }),
    }
}

/// How the registry answers a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchReply {
    /// The entries after a revision.
    EntriesAfter(Revision),
    /// The complete state, and the restore that explains it.
    Snapshot(Option<Entry>),
    /// The cursor is not in the history.
    UnknownCursor(Cursor),
}
