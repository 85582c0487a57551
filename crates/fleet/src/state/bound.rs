//! Bounds on how many members may be out at a time, as operators state them.

use super::MemberKind;
use serde::{Deserialize, Serialize};

/// The groups of members that a bound is counted for, each apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[serde(rename = "Per", expecting = "enum Per")]
pub enum BoundScope {
    /// The whole fleet.
    #[default]
    Fleet,
    /// Each site.
    Site,
    /// Each cell of each site.
    Cell,
}

/// A bound; it holds for each group of members that it is counted for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// None: members of all kinds together.
    #[serde(default)]
    pub kind: Option<MemberKind>,
    /// This site alone.
    #[serde(default)]
    pub site: Option<String>,
    /// What it is counted for.
    #[serde(default)]
    pub per: BoundScope,
    /// Most members that may be out.
    #[serde(default)]
    pub out: Option<u32>,
    /// Largest share of members that may be out; their number is rounded down.
    #[serde(default)]
    pub share: Option<f64>,
    /// Least total size of the members that are up.
    #[serde(default)]
    pub least_size: Option<f64>,
    /// Least total memory of the members that are up, in MB.
    #[serde(default)]
    pub least_memory_mb: Option<f64>,
}
