//! Members of the fleet: their identity, their description and their phase.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

/// The kind of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[serde(rename = "Kind", expecting = "enum Kind")]
pub enum MemberKind {
    /// Takes invocations from clients and dispatches them.
    Controller,
    /// Runs functions.
    Invoker,
}

/// The identity of a member. Scripts, messages and operators name it as `invoker-7`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId {
    /// Controller or invoker.
    pub kind: MemberKind,
    /// The number within its kind, from 1.
    pub number: u32,
}

impl MemberId {
    /// The controller of this number.
    pub fn controller(number: u32) -> Self {
        Self {
            kind: MemberKind::Controller,
            number,
        }
    }

    /// The invoker of this number.
    pub fn invoker(number: u32) -> Self {
        Self {
            kind: MemberKind::Invoker,
            number,
        }
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            MemberKind::Controller => "controller",
            MemberKind::Invoker => "invoker",
        };
        write!(f, "{kind}-{}", self.number)
    }
}

/// A text that is not a member id.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{0}': controller-N or invoker-N is expected")]
pub struct InvalidMemberId(pub String);

impl FromStr for MemberId {
    type Err = InvalidMemberId;

    fn from_str(text: &str) -> Result<Self, InvalidMemberId> {
        let invalid = || InvalidMemberId(text.to_owned());
        let (kind, number) = text.rsplit_once('-').ok_or_else(invalid)?;
        let kind = match kind {
            "controller" => MemberKind::Controller,
            "invoker" => MemberKind::Invoker,
            _ => return Err(invalid()),
        };
        let is_number =
            number.bytes().all(|byte| byte.is_ascii_digit()) && !number.starts_with('0');
        Ok(Self {
            kind,
            number: number
                .parse()
                .ok()
                .filter(|_| is_number)
                .ok_or_else(invalid)?,
        })
    }
}

impl Serialize for MemberId {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for MemberId {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// The number of a permission to drain; no number is issued twice.
pub type Grant = u64;

/// The phase of a member. All phases but `Up` count as out of service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "kebab-case")]
pub enum Phase {
    /// In service.
    Up,
    /// Started, and not yet known to be healthy.
    Starting {
        /// Whether the member returns from a drain.
        planned: bool,
    },
    /// Permitted to drain; the drain has not started.
    Granted {
        /// The permission to drain.
        grant: Grant,
    },
    /// Accepts no new work and finishes the work in flight.
    Draining {
        /// The permission to drain.
        grant: Grant,
    },
    /// Drained and stopped; expected to return.
    Away {
        /// The permission to drain.
        grant: Grant,
    },
    /// Stopped without a grant, or unreachable for too long.
    Lost {
        /// Whether the member was lost while it returned from a drain.
        planned: bool,
    },
}

impl Phase {
    /// Whether the member counts as out of service.
    pub fn is_out(&self) -> bool {
        *self != Self::Up
    }

    /// Whether the absence is planned rather than caused by a fault.
    pub fn is_planned(&self) -> bool {
        match self {
            Self::Granted { .. } | Self::Draining { .. } | Self::Away { .. } => true,
            Self::Starting { planned } | Self::Lost { planned } => *planned,
            Self::Up => false,
        }
    }

    /// The grant under which the member drains.
    pub fn grant(&self) -> Option<Grant> {
        match self {
            Self::Granted { grant } | Self::Draining { grant } | Self::Away { grant } => {
                Some(*grant)
            }
            _ => None,
        }
    }

    /// The name of the phase in messages and commands.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Up => "up",
            Self::Starting { .. } => "starting",
            Self::Granted { .. } => "granted",
            Self::Draining { .. } => "draining",
            Self::Away { .. } => "away",
            Self::Lost { .. } => "lost",
        }
    }
}

/// A member's description of itself, sent when it joins.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(rename = "About", expecting = "struct About")]
pub struct MemberInfo {
    /// Identifies one start of the member: differs at each start, never 0.
    pub incarnation: u64,
    /// The site in which the member runs.
    pub site: String,
    /// The cell within the site.
    pub cell: u16,
    /// Capacity, without a unit; comparable between members of a kind.
    pub size: f64,
    /// Memory in MB.
    pub memory_mb: f64,
    /// Version of the program.
    pub version: String,
    /// Listen address: of an invoker for controllers, of a controller for clients.
    pub address: String,
    /// Index of the machine kind in the deployment; 0 for controllers.
    #[serde(default)]
    pub machine: u16,
    /// Index of the zone in the deployment.
    #[serde(default)]
    pub zone: u8,
    /// Fleet-wide tasks that the member can do while it holds their leases.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub tasks: BTreeSet<String>,
}

/// The agreed state of a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// The description sent at the last join.
    #[serde(rename = "about")]
    pub info: MemberInfo,
    /// The current phase.
    pub phase: Phase,
    /// Revision at which the member entered its phase.
    pub since: u64,
    /// The latest former incarnations.
    #[serde(default, rename = "past")]
    pub past_incarnations: Vec<u64>,
}
