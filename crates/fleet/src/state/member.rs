//! Members of the fleet: who they are, and where each stands between serving and being out.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    Controller,
    Invoker,
}

/// A member as it is named in scripts, on the wire and to operators: `invoker-7`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId {
    pub kind: Kind,
    pub number: u32,
}

impl MemberId {
    pub fn controller(number: u32) -> Self {
        Self {
            kind: Kind::Controller,
            number,
        }
    }

    pub fn invoker(number: u32) -> Self {
        Self {
            kind: Kind::Invoker,
            number,
        }
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            Kind::Controller => "controller",
            Kind::Invoker => "invoker",
        };
        write!(f, "{kind}-{}", self.number)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{0}': controller-N or invoker-N is expected")]
pub struct NoMember(pub String);

impl FromStr for MemberId {
    type Err = NoMember;

    fn from_str(text: &str) -> Result<Self, NoMember> {
        let fault = || NoMember(text.to_owned());
        let (kind, number) = text.rsplit_once('-').ok_or_else(fault)?;
        let kind = match kind {
            "controller" => Kind::Controller,
            "invoker" => Kind::Invoker,
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

/// A permission to drain, by its number; never given twice.
pub type Grant = u64;

/// Where a member stands. All but `Up` count as out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "kebab-case")]
pub enum Phase {
    /// Proven: it serves.
    Up,
    /// Started and not yet proven. `planned`: it comes back from a drain.
    Starting {
        planned: bool,
    },
    /// May begin to drain, and has not.
    Granted {
        grant: Grant,
    },
    Draining {
        grant: Grant,
    },
    /// Drained, and not there.
    Away {
        grant: Grant,
    },
    /// Gone without a grant, or silent for too long: nobody knows. `planned`: while it came back from a drain.
    Lost {
        planned: bool,
    },
}

impl Phase {
    pub fn is_out(&self) -> bool {
        *self != Self::Up
    }

    /// Out by somebody's plan, not by chance.
    pub fn is_planned(&self) -> bool {
        match self {
            Self::Granted { .. } | Self::Draining { .. } | Self::Away { .. } => true,
            Self::Starting { planned } | Self::Lost { planned } => *planned,
            Self::Up => false,
        }
    }

    pub fn grant(&self) -> Option<Grant> {
        match self {
            Self::Granted { grant } | Self::Draining { grant } | Self::Away { grant } => {
                Some(*grant)
            }
            _ => None,
        }
    }

    pub fn word(&self) -> &'static str {
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
pub struct About {
    /// Differs at each start, and is never 0.
    pub incarnation: u64,
    pub site: String,
    pub cell: u16,
    /// Ready capacity, without unit, comparable inside a kind.
    pub size: f64,
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

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    pub about: About,
    pub phase: Phase,
    /// Revision at which it came into its phase.
    pub since: u64,
    /// Lives before this one, the last few.
    #[serde(default)]
    pub past: Vec<u64>,
}
