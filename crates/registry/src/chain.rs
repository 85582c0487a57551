//! The history as a chain: each entry holds the hash of the one before, so that none can be changed, left out or put in
//! without all later ones telling.

use crate::state::{Change, ChangeError, RegistryState, Revision};
use serde::{Deserialize, Serialize};

/// Hash of an entry; 32 bytes in hexadecimal.
pub type Hash = String;

/// Before the first entry.
pub fn initial_hash() -> Hash {
    "0".repeat(64)
}

/// One change that was taken: who, when, what.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Revision of the entry.
    pub revision: Revision,
    /// Milliseconds since 1970, by the registry's clock.
    pub at_ms: u64,
    /// The key that asked.
    pub who: String,
    /// What is changed.
    pub change: Change,
    /// Hash of the entry before.
    #[serde(rename = "before")]
    pub previous_hash: Hash,
}

impl Entry {
    /// Of its bytes as they are written.
    pub fn hash(&self) -> Hash {
        hash(&self.bytes())
    }

    /// As written to disk.
    pub fn bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("an entry is JSON")
    }
}

/// Hash of an entry's bytes.
pub fn hash(bytes: &[u8]) -> Hash {
    blake3::hash(bytes).to_hex().to_string()
}

/// A state and where its history has come to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The state.
    #[serde(rename = "book")]
    pub state: RegistryState,
    /// Hash, in hexadecimal.
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

/// Why an entry does not follow.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChainError {
    /// It does not follow the entry before.
    #[error(
        "entry of revision {revision}: it follows another history than the one up to revision {at}"
    )]
    OtherHistory {
        /// Revision of the entry.
        revision: Revision,
        /// Where it is, or was expected to be.
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

    /// What a change would become, without taking it.
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

    /// The head after an entry that someone else has decided.
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
