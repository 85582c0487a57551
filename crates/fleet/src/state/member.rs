//! Members of the fleet: who they are, and where each stands between serving and being out.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

/// What a member is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[serde(rename = "Kind", expecting = "enum Kind")]
pub enum MemberKind {
    /// Takes invocations from clients and dispatches them.
    Controller,
    /// Runs functions.
    Invoker,
}

/// A member as it is named in scripts, on the wire and to operators: `invoker-7`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId {
    /// Controller or invoker.
    pub kind: MemberKind,
    /// Within its kind, from 1 on.
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

/// A text that names no member.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{0}': controller-N or invoker-N is expected")]
pub struct InvalidMemberId(pub String);

impl FromStr for MemberId {
    type Err = InvalidMemberId;

    fn from_str(text: &str) -> Result<Self, InvalidMemberId> {
        let fault = || InvalidMemberId(text.to_owned());
        let (kind, number) = text.rsplit_once('-').ok_or_else(fault)?;
        let kind = match kind {
            "controller" => MemberKind::Controller,
            "invoker" => MemberKind::Invoker,
            _ => return Err(fault()),
        };
        let digits = number.bytes().all(|b| b.is_ascii_digit()) && !number.starts_with('0');
        Ok(Self {
            kind,
            number: number.parse().ok().filter(|_| digits).ok_or_else(fault)?,
        })
    }
}

impl Serialize for MemberId {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for MemberId {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(d)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// The number of a permission to drain; none is ever issued twice.
pub type Grant = u64;

/// The phase of a member. All but `Up` count as out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "kebab-case")]
pub enum Phase {
    /// It serves.
    Up,
    /// Started and not yet known to be healthy.
    Starting {
        /// Whether it returns from a drain.
        planned: bool,
    },
    /// May start to drain, and has not.
    Granted {
        /// The permission to drain.
        grant: Grant,
    },
    /// Takes no new work and ends what it has.
    Draining {
        /// The permission to drain.
        grant: Grant,
    },
    /// Drained and ended; it is to return.
    Away {
        /// The permission to drain.
        grant: Grant,
    },
    /// Ended without a grant, or silent for too long.
    Lost {
        /// Whether it returns from a drain.
        planned: bool,
    },
}

impl Phase {
    /// Whether it counts as out of service.
    pub fn is_out(&self) -> bool {
        *self != Self::Up
    }

    /// Whether it is out as planned, rather than by a fault.
    pub fn is_planned(&self) -> bool {
        match self {
            Self::Granted { .. } | Self::Draining { .. } | Self::Away { .. } => true,
            Self::Starting { planned } | Self::Lost { planned } => *planned,
            Self::Up => false,
        }
    }

    /// The grant that it drains by.
    pub fn grant(&self) -> Option<Grant> {
        match self {
            Self::Granted { grant } | Self::Draining { grant } | Self::Away { grant } => {
                Some(*grant)
            }
            _ => None,
        }
    }

    /// The phase as messages and commands name it.
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

/// What a member says of itself when it joins.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(rename = "About", expecting = "struct About")]
pub struct MemberInfo {
    /// The member's start: differs at each start, and is never 0.
    pub incarnation: u64,
    /// The site that it runs in.
    pub site: String,
    /// The cell within the site.
    pub cell: u16,
    /// Capacity without a unit, comparable within a kind.
    pub size: f64,
    /// Memory in MB.
    pub memory_mb: f64,
    /// Of the program.
    pub version: String,
    /// Where it listens: invokers for controllers, controllers for clients.
    pub address: String,
    /// Its machine kind's place in the deployment; 0 for controllers.
    #[serde(default)]
    pub machine: u16,
    /// Its zone's place in the deployment.
    #[serde(default)]
    pub zone: u8,
    /// Fleet-wide tasks that it can do when it holds their leases.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub tasks: BTreeSet<String>,
}

/// A member as the fleet has agreed on it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// What it said of itself when it joined.
    #[serde(rename = "about")]
    pub info: MemberInfo,
    /// Where it stands.
    pub phase: Phase,
    /// Revision at which it came into its phase.
    pub since: u64,
    /// Its last few incarnations before this one.
    #[serde(default, rename = "past")]
    pub past_incarnations: Vec<u64>,
}
