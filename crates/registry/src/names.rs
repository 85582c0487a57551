//! Names that go into paths, logs and answers as they are, so that only plain ones are taken.

use saltdrum_layers::Digest;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

const MOST_BYTES: usize = 64;

/// Of a model, a version, an alias or a key: lower-case letters, digits, and `.`, `-`, `_` between them.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

/// Why a text is no name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("name '{}': {why}; lower-case letters, digits, and . - _ between them are expected", shown(.name))]
pub struct InvalidName {
    name: String,
    why: &'static str,
}

fn shown(name: &str) -> String {
    name.chars()
        .take(80)
        .flat_map(char::escape_default)
        .collect()
}

impl FromStr for Name {
    type Err = InvalidName;

    fn from_str(text: &str) -> Result<Self, InvalidName> {
        let bad = |why| {
            Err(InvalidName {
                name: text.to_owned(),
                why,
            })
        };
        let plain = |c: u8| c.is_ascii_lowercase() || c.is_ascii_digit();
        let (Some(first), Some(last)) = (text.bytes().next(), text.bytes().last()) else {
            return bad("empty");
        };
        if text.len() > MOST_BYTES {
            return bad("longer than 64 bytes");
        }
        if !plain(first) || !plain(last) {
            return bad("begins or ends with something else");
        }
        if !text
            .bytes()
            .all(|c| plain(c) || matches!(c, b'.' | b'-' | b'_'))
            || text.contains("..")
        {
            return bad("something else in it");
        }
        Ok(Self(text.into()))
    }
}

impl TryFrom<String> for Name {
    type Error = InvalidName;

    fn try_from(text: String) -> Result<Self, InvalidName> {
        text.parse()
    }
}

impl From<Name> for String {
    fn from(name: Name) -> Self {
        name.0.to_string()
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", self.0)
    }
}

/// Whose aliases: a tenant's own, or those that all see.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Namespace {
    /// Aliases that all tenants see.
    All,
    /// Aliases of one tenant.
    Tenant(Name),
}

impl Namespace {
    /// For error texts.
    pub fn describe(&self) -> String {
        match self {
            Self::All => "all tenants".into(),
            Self::Tenant(name) => format!("tenant '{name}'"),
        }
    }
}

/// A digest as its text.
pub mod digest {
    use super::*;
    use serde::{Deserializer, Serializer, de::Error};

    /// Writes the digest's text.
    pub fn serialize<S: Serializer>(digest: &Digest, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(digest)
    }

    /// Reads the digest's text.
    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Digest, D::Error> {
        String::deserialize(from)?.parse().map_err(D::Error::custom)
    }
}

/// Maps whose keys are not texts, as lists of pairs.
pub mod pairs {
    use imbl::OrdMap;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    /// Writes a list of pairs.
    pub fn serialize<S: Serializer, K: Serialize + Ord, V: Serialize>(
        map: &OrdMap<K, V>,
        to: S,
    ) -> Result<S::Ok, S::Error> {
        to.collect_seq(map.iter())
    }

    /// Reads a list of pairs.
    pub fn deserialize<'de, D, K, V>(from: D) -> Result<OrdMap<K, V>, D::Error>
    where
        D: Deserializer<'de>,
        K: Deserialize<'de> + Ord + Clone,
        V: Deserialize<'de> + Clone,
    {
        Ok(Vec::<(K, V)>::deserialize(from)?.into_iter().collect())
    }
}
