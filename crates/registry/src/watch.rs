//! Which events of the registry a watcher accepts. A watcher never goes back, and applies each change exactly once.

use crate::chain::{ChainError, Entry, Hash, Head};
use crate::state::{Change, Revision};
use serde::{Deserialize, Serialize};

/// Serde puts the type's name into error texts that go to clients, so the type keeps its name here.
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

/// An event that the registry sends to a watcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "told", rename_all = "kebab-case")]
pub enum WatchEvent {
    /// The complete state.
    #[serde(rename = "whole")]
    Snapshot {
        /// The state and its hash.
        head: Head,
        /// The entry of the last restore, by which followers of another history may accept it.
        restored: Option<Entry>,
    },
    /// The next change.
    Next {
        /// The entry.
        entry: Entry,
    },
    /// There is no new change.
    #[serde(rename = "still")]
    Heartbeat {
        /// The registry's position.
        at: Cursor,
    },
    /// The watcher's cursor is not in the registry's history, and no restore covers it.
    #[serde(rename = "behind")]
    UnknownCursor {
        /// The registry's position.
        at: Cursor,
    },
}

/// Why a watcher rejects an event and keeps its state.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WatchError {
    /// The registry's history does not contain the revision that was applied here.
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
    /// An entry can't be appended.
    #[error("{0}")]
    BrokenChain(#[from] ChainError),
}

/// A watcher's copy of the registry's state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Watcher {
    head: Head,
}

impl Watcher {
    /// Resumes from a saved head.
    pub fn from(head: Head) -> Self {
        Self { head }
    }

    /// The head that was last accepted.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// The position from which to continue.
    pub fn cursor(&self) -> Cursor {
        Cursor {
            revision: self.head.revision(),
            hash: self.head.hash.clone(),
        }
    }

    /// Applies an event. Returns whether the state has changed; a changed state must be written to disk before it is used.
    pub fn apply(&mut self, event: WatchEvent) -> Result<bool, WatchError> {
        let local = self.head.revision();
        match event {
            WatchEvent::Next { entry } => {
                // An entry that is repeated after a reconnect changes nothing.
                if entry.revision <= local {
                    return if entry.revision < local || entry.hash() == self.head.hash {
                        Ok(false)
                    } else {
                        Err(WatchError::HistoryMismatch {
                            registry: entry.revision,
                            local,
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
                let registry = head.revision();
                let over = restored.and_then(|e| match e.change {
                    // The jump must not be after the head that it explains.
                    Change::Restored { over }
                        if e.revision == over + 1 && e.revision <= registry =>
                    {
                        Some(over)
                    }
                    _ => None,
                });
                if registry <= local || (local > 0 && over.is_none_or(|over| over < local)) {
                    return Err(WatchError::HistoryMismatch { registry, local });
                }
                self.head = head;
                Ok(true)
            }
            WatchEvent::Heartbeat { at } if at == self.cursor() => Ok(false),
            // Changes are in flight or were missed. A missed one shows when the next entry does not fit the chain.
            WatchEvent::Heartbeat { at } if at.revision > local => Ok(false),
            WatchEvent::Heartbeat { at } | WatchEvent::UnknownCursor { at } => {
                Err(WatchError::HistoryMismatch {
                    registry: at.revision,
                    local,
                })
            }
        }
    }
}

/// How the registry answers a watcher at `cursor`: with the entries that the watcher lacks, or with the complete state.
/// `hash_at` returns the hash after a revision of the history, `None` if there is no such revision.
pub fn reply_to(
    head: &Head,
    cursor: &Cursor,
    hash_at: impl FnOnce(Revision) -> Option<Hash>,
    last_restored: Option<Entry>,
) -> WatchReply {
    if cursor.revision == 0 {
        return WatchReply::Snapshot(None);
    }
    if hash_at(cursor.revision).as_ref() == Some(&cursor.hash) {
        return WatchReply::EntriesAfter(cursor.revision);
    }
    match last_restored {
        Some(entry) if matches!(entry.change, Change::Restored { over } if over >= cursor.revision) => {
            WatchReply::Snapshot(Some(entry))
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
    /// The complete state, and the restore by which a watcher on another history may accept it.
    Snapshot(Option<Entry>),
    /// The cursor is not in the history.
    UnknownCursor(Cursor),
}
