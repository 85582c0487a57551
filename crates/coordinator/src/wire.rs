//! What is said on a steward's socket: JSON-RPC by lines.

use crate::lease_watch::HeldLease;
use saltdrum_fleet::change::Change;
use saltdrum_fleet::drain_scheduler::MemberLoad;
use saltdrum_fleet::register::{Ballot, Voter, VoterStamp};
use saltdrum_fleet::state::{Fleet, MemberId, Phase};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Of these messages. Who speaks another is answered so and nothing else.
pub const SPEAKS: u16 = 1;
/// Of the messages by which stewards vote and hand values on. It rises with what lies in the value: a steward that does not know of
/// leases would put a value without them, and their epochs would begin anew.
pub const VOTES_SPEAK: u16 = 2;

/// Which version a method's messages are of.
pub fn version_of(method: &str) -> u16 {
    match method {
        "prepare" | "accept" | "recover" | "decided" => VOTES_SPEAK,
        _ => SPEAKS,
    }
}

/// A line is no longer: the whole fleet has to fit, ten times over.
pub const LINE_MOST_BYTES: usize = 32 << 20;

/// Nothing has changed, and why.
pub const REFUSED: i64 = -32_020;
/// Another fleet, or other messages.
pub const STRANGER: i64 = -32_021;
/// Whether it was done is not known: no majority answered in time. Ask again.
pub const UNSETTLED: i64 = -32_022;
/// This steward does not vote: it has just started, has an old disk, or its disk takes nothing.
pub const NO_VOTE: i64 = -32_023;

/// Goes with every call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Said<T> {
    pub fleet: String,
    pub speaks: u16,
    pub what: T,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Prepare {
    pub to: Voter,
    pub ballot: Ballot,
    /// The proposer has the value of this ballot.
    pub have: Ballot,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
// With a tag inside, numbers that are keys of a map in the value could not be read back.
#[serde(rename_all = "kebab-case")]
pub enum Vote {
    /// `value` is left out where the proposer has it.
    Promised {
        accepted: Option<Ballot>,
        value: Option<Box<Fleet>>,
        mark: VoterStamp,
        writes: u64,
    },
    Accepted {
        mark: VoterStamp,
        writes: u64,
    },
    /// More was promised to another.
    Refused {
        promised: Ballot,
    },
}

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accept {
    pub to: Voter,
    pub ballot: Ballot,
    pub value: Box<Fleet>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Recover {
    pub from: Voter,
    /// That it begins.
    pub life: u64,
}

/// Between stewards, several times a second.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Opinions {
    pub from: Voter,
    /// Levels of suspicion that are not low; none: it does not know.
    pub levels: Option<BTreeMap<MemberId, f64>>,
    pub decided: Ballot,
    pub writes: u64,
    pub returning: bool,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Renew {
    pub member: MemberId,
    pub incarnation: u64,
    pub every_tenths: u64,
    #[serde(default)]
    pub busy: f64,
    #[serde(default)]
    pub last_copies: u32,
}

impl Renew {
    pub fn seen(&self) -> MemberLoad {
        MemberLoad {
            busy: self.busy,
            last_copies: self.last_copies,
        }
    }
}

/// How a steward sees the member that renews.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Standing {
    pub revision: u64,
    /// None: not a member, as far as this steward knows.
    pub incarnation: Option<u64>,
    pub phase: Option<Phase>,
    pub turn_back: bool,
    /// Leases that it holds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leases: Vec<HeldLease>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Changes {
    pub change: Change,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Changed {
    pub revision: u64,
    pub changed: bool,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DryRun {
    pub members: Vec<MemberId>,
}

#[cfg(test)]
mod tests;
