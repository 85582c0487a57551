//! Names that appear verbatim in paths, logs and responses, and are therefore restricted to safe characters.

use saltdrum_layers::Digest;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

const MAX_NAME_BYTES: usize = 64;

/// Name of a model, version, alias or key: lower-case letters and digits, with `.`, `-` and `_` between them.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

/// A text is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("name '{}': {why}; lower-case letters, digits, and . - _ between them are expected", escaped(.name))]
pub struct InvalidName {
    name: String,
    why: &'static str,
}

/// At most 80 characters of the name, escaped.
fn escaped(name: &str) -> String {
    name.chars()
        .take(80)
        .flat_map(char::escape_default)
        .collect()
}

impl FromStr for Name {
    type Err = InvalidName;

    fn from_str(text: &str) -> Result<Self, InvalidName> {
        let invalid = |why| {
            Err(InvalidName {
                name: text.to_owned(),
                why,
            })
        };
        let is_alphanumeric = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
        let (Some(first), Some(last)) = (text.bytes().next(), text.bytes().last()) else {
            return invalid("empty");
        };
        if text.len() > MAX_NAME_BYTES {
            return invalid("longer than 64 bytes");
        }
        if !is_alphanumeric(first) || !is_alphanumeric(last) {
            return invalid("begins or ends with something else");
        }
        if !text
            .bytes()
            .all(|byte| is_alphanumeric(byte) || matches!(byte, b'.' | b'-' | b'_'))
            || text.contains("..")
        {
            return invalid("something else in it");
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

/// A namespace of aliases: that of one tenant, or the one that all tenants share.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Namespace {
    /// Aliases of all tenants.
    All,
    /// Aliases of one tenant.
    Tenant(Name),
}

impl Namespace {
    /// Description for error texts.
    pub fn describe(&self) -> String {
        match self {
            Self::All => "all tenants".into(),
            Self::Tenant(name) => format!("tenant '{name}'"),
        }
    }
}

/// Serialises a digest as its text.
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

/// Serialises maps with structured keys as lists of pairs.
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
