//! Limits on how many members may be out of service at a time, as operators configure them.

use super::MemberKind;
use serde::{Deserialize, Serialize};

/// The groups of members to which a bound applies separately.
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

/// A limit that applies to each group of members in its scope.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// The kind of members counted; `None`: all kinds together.
    #[serde(default)]
    pub kind: Option<MemberKind>,
    /// The only site counted; `None`: all sites.
    #[serde(default)]
    pub site: Option<String>,
    /// The groups that are counted separately.
    #[serde(default)]
    pub per: BoundScope,
    /// Maximum number of members out of service.
    #[serde(default)]
    pub out: Option<u32>,
    /// Maximum share of members out of service, 0 to 1; the resulting number is rounded down.
    #[serde(default)]
    pub share: Option<f64>,
    /// Minimum total size of the members in service.
    #[serde(default)]
    pub least_size: Option<f64>,
    /// Minimum total memory of the members in service, in MB.
    #[serde(default)]
    pub least_memory_mb: Option<f64>,
}
