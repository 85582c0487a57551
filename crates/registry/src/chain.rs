//! The history as a chain: each entry holds the hash of the one before, so that none can be changed, left out or put in
//! without all later ones telling.

use crate::book::{Book, Change, Refusal, Revision};
use serde::{Deserialize, Serialize};

/// Hash of an entry; 32 bytes in hexadecimal.
pub type Hash = String;

/// Before the first entry.
pub fn nothing() -> Hash {
    "0".repeat(64)
}

/// One change that was taken: who, when, what.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    pub revision: Revision,
    /// Milliseconds since 1970, by the registry's clock.
    pub at_ms: u64,
    /// The key that asked.
    pub who: String,
    pub change: Change,
    pub before: Hash,
}

impl Entry {
    /// Of its bytes as they are written.
    pub fn hash(&self) -> Hash {
        hash(&self.bytes())
    }

    pub fn bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("an entry is JSON")
    }
}

pub fn hash(bytes: &[u8]) -> Hash {
    blake3::hash(bytes).to_hex().to_string()
}

/// A book and where its history has come to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    pub book: Book,
    pub hash: Hash,
}

impl Default for Head {
    fn default() -> Self {
        Self {
            book: Book::default(),
            hash: nothing(),
        }
    }
}

/// Why an entry does not follow.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Broken {
    #[error(
        "entry of revision {revision}: it follows another history than the one up to revision {at}"
    )]
    OtherHistory { revision: Revision, at: Revision },
    #[error("entry says revision {said}, its change makes {made}")]
    Revision { said: Revision, made: Revision },
    #[error("entry of revision {revision} could never have been taken: {why}")]
    NeverTaken { revision: Revision, why: Refusal },
}

impl Head {
    pub fn revision(&self) -> Revision {
        self.book.revision
    }

    /// What a change would become, without taking it.
    pub fn decide(&self, who: &str, at_ms: u64, change: Change) -> Result<(Entry, Head), Refusal> {
        let book = self.book.with(&change)?;
        let entry = Entry {
            revision: book.revision,
            at_ms,
            who: who.to_owned(),
            change,
            before: self.hash.clone(),
        };
        let hash = entry.hash();
        Ok((entry, Head { book, hash }))
    }

    /// The head after an entry that someone else has decided.
    pub fn follow(&self, entry: &Entry) -> Result<Head, Broken> {
        let (revision, at) = (entry.revision, self.revision());
        if entry.before != self.hash {
            return Err(Broken::OtherHistory { revision, at });
        }
        let book = self
            .book
            .with(&entry.change)
            .map_err(|why| Broken::NeverTaken { revision, why })?;
        if book.revision != revision {
            return Err(Broken::Revision {
                said: revision,
                made: book.revision,
            });
        }
        Ok(Head {
            book,
            hash: entry.hash(),
        })
    }
}
