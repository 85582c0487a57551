//! Bounds on how many members may be out at a time, as operators state them.

use super::Kind;
use serde::{Deserialize, Serialize};

/// What a bound is counted for, each apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Per {
    #[default]
    Fleet,
    Site,
    Cell,
}

/// Holds for each group of members that it is counted for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// None: members of all kinds together.
    #[serde(default)]
    pub kind: Option<Kind>,
    /// This site alone.
    #[serde(default)]
    pub site: Option<String>,
    #[serde(default)]
    pub per: Per,
    /// Most members out.
    #[serde(default)]
    pub out: Option<u32>,
    /// Most of them out, as a share, rounded down.
    #[serde(default)]
    pub share: Option<f64>,
    /// Least size that is up.
    #[serde(default)]
    pub least_size: Option<f64>,
    /// Least memory of those that are up, in MB.
    #[serde(default)]
    pub least_memory_mb: Option<f64>,
}
