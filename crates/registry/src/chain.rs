//! The history as a hash chain: each entry contains the hash of the previous one, so that a changed, missing or inserted
//! entry breaks the chain from there on.

use crate::state::{Change, ChangeError, RegistryState, Revision};
use serde::{Deserialize, Serialize};

/// Hash of an entry; 32 bytes in hexadecimal.
pub type Hash = String;

/// The hash before the first entry.
pub fn initial_hash() -> Hash {
    "0".repeat(64)
}

/// One committed change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Revision of the entry.
    pub revision: Revision,
    /// Milliseconds since 1970, by the registry's clock.
    pub at_ms: u64,
    /// Identifier of the key that requested the change.
    pub who: String,
    /// The change.
    pub change: Change,
    /// Hash of the previous entry.
    #[serde(rename = "before")]
    pub previous_hash: Hash,
}

impl Entry {
    /// Hash of the entry's bytes as they are written to disk.
    pub fn hash(&self) -> Hash {
        hash(&self.bytes())
    }

    /// The entry as it is written to disk.
    pub fn bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("an entry is JSON")
    }
}

/// Hash of an entry's bytes.
pub fn hash(bytes: &[u8]) -> Hash {
    blake3::hash(bytes).to_hex().to_string()
}

/// A state, and the hash of the history that leads to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The state.
    #[serde(rename = "book")]
    pub state: RegistryState,
    /// Hash of the last entry, in hexadecimal.
    pub hash: Hash,
}

impl Default for Head {
    fn default() -> Self {
        Self {
            state: RegistryState::default(),
            hash: initial_hash(),
        }
    }
}

/// Why an entry can't be appended to a history.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChainError {
    /// It does not follow the entry before.
    #[error(
        "entry of revision {revision}: it follows another history than the one up to revision {at}"
    )]
    OtherHistory {
        /// Revision of the entry.
        revision: Revision,
        /// Revision of the history.
        at: Revision,
    },
    /// The revision is not the next one.
    #[error("entry says revision {stated}, its change makes {expected}")]
    RevisionMismatch {
        /// Revision that the entry names.
        stated: Revision,
        /// Revision that its change leads to.
        expected: Revision,
    },
    /// The change is invalid.
    #[error("entry of revision {revision} could never have been taken: {why}")]
    InvalidChange {
        /// Revision of the entry.
        revision: Revision,
        /// The reason.
        why: ChangeError,
    },
}

impl Head {
    /// Revision of the last entry.
    pub fn revision(&self) -> Revision {
        self.state.revision
    }

    /// The entry of a change and the head after it; `self` is unchanged.
    pub fn prepare_entry(
        &self,
        who: &str,
        at_ms: u64,
        change: Change,
    ) -> Result<(Entry, Head), ChangeError> {
        let state = self.state.with_change(&change)?;
        let entry = Entry {
            revision: state.revision,
            at_ms,
            who: who.to_owned(),
            change,
            previous_hash: self.hash.clone(),
        };
        let hash = entry.hash();
        Ok((entry, Head { state, hash }))
    }

    /// The head after an existing entry, whose place in the chain is checked.
    pub fn with_entry(&self, entry: &Entry) -> Result<Head, ChainError> {
        let (revision, at) = (entry.revision, self.revision());
        if entry.previous_hash != self.hash {
            return Err(ChainError::OtherHistory { revision, at });
        }
        let state = self
            .state
            .with_change(&entry.change)
            .map_err(|why| ChainError::InvalidChange { revision, why })?;
        if state.revision != revision {
            return Err(ChainError::RevisionMismatch {
                stated: revision,
                expected: state.revision,
            });
        }
        Ok(Head {
            state,
            hash: entry.hash(),
        })
    }
}
