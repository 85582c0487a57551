//! Messages on a coordinator's socket: JSON-RPC, one message a line. Serialised names say `steward` for a coordinator.

use crate::lease_watch::HeldLease;
use saltdrum_fleet::change::Change;
use saltdrum_fleet::drain_scheduler::MemberLoad;
use saltdrum_fleet::register::{Ballot, Voter, VoterStamp};
use saltdrum_fleet::state::{Fleet, MemberId, Phase};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Version of these messages. A peer of another version is told so and nothing else.
pub const PROTOCOL_VERSION: u16 = 1;
/// Version of the messages by which coordinators vote and pass values on. It rises with the contents of the value: a
/// coordinator that does not know of leases would put a value without them, and their epochs would start anew.
pub const VOTE_PROTOCOL_VERSION: u16 = 2;

/// The version that the messages of a method have.
pub fn version_of(method: &str) -> u16 {
    match method {
        "prepare" | "accept" | "recover" | "decided" => VOTE_PROTOCOL_VERSION,
        _ => PROTOCOL_VERSION,
    }
}

/// Longest line: ten times the largest fleet.
pub const MAX_LINE_BYTES: usize = 32 << 20;

/// Error code: nothing was changed; the message says why.
pub const REFUSED: i64 = -32_020;
/// Error code: the message was meant for another fleet, or has another version.
pub const WRONG_FLEET_OR_VERSION: i64 = -32_021;
/// Error code: whether it was done is not known, as no majority answered in time. Ask again.
pub const OUTCOME_UNKNOWN: i64 = -32_022;
/// Error code: this coordinator does not vote: it has just started, has an old disk, or can't write to its disk.
pub const NOT_VOTING: i64 = -32_023;

/// The parameters of every call.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename = "Said", expecting = "struct Said")]
pub struct Envelope<T> {
    /// The fleet that the call is meant for.
    pub fleet: String,
    /// Version of the message, see [`version_of`].
    #[serde(rename = "speaks")]
    pub version: u16,
    /// The parameters of the method.
    #[serde(rename = "what")]
    pub params: T,
}

/// `prepare`: asks for a promise.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Prepare {
    /// Whose promise is asked for.
    pub to: Voter,
    /// The round.
    pub ballot: Ballot,
    /// The proposer has the value of this ballot: it need not be sent.
    #[serde(rename = "have")]
    pub known_ballot: Ballot,
}

/// The answer to `prepare` and `accept`.
#[derive(Debug, Clone, Serialize, Deserialize)]
// With a tag inside, numbers that are keys of a map in the value could not be read back.
#[serde(rename_all = "kebab-case")]
pub enum Vote {
    /// A promise. `value` is left out where the proposer has it.
    Promised {
        /// The round of what was accepted last.
        accepted: Option<Ballot>,
        /// What was accepted last.
        value: Option<Box<Fleet>>,
        /// Who votes.
        #[serde(rename = "mark")]
        stamp: VoterStamp,
        /// Writes of the acceptor.
        writes: u64,
    },
    /// The value was accepted.
    Accepted {
        /// Who votes.
        #[serde(rename = "mark")]
        stamp: VoterStamp,
        /// Writes of the acceptor.
        writes: u64,
    },
    /// A higher round was promised to another proposer.
    Refused {
        /// The round that was promised.
        promised: Ballot,
    },
}

/// `accept`: asks to accept a value.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accept {
    /// Who is asked.
    pub to: Voter,
    /// The round.
    pub ballot: Ballot,
    /// The value to accept.
    pub value: Box<Fleet>,
}

/// `recover`: asked by a coordinator that starts.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Recover {
    /// Who has started.
    pub from: Voter,
    /// The incarnation that it starts.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// `opinions`: levels of suspicion, between coordinators, several times a second.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(rename = "Opinions", expecting = "struct Opinions")]
pub struct SuspicionReport {
    /// Who reports.
    pub from: Voter,
    /// Levels of suspicion that are not low; none: it does not know.
    pub levels: Option<BTreeMap<MemberId, f64>>,
    /// The round of the latest value that it knows to be chosen.
    pub decided: Ballot,
    /// Writes of its acceptor.
    pub writes: u64,
    /// It does not vote yet.
    pub returning: bool,
}

/// `renew`: a member's heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(rename = "Renew", expecting = "struct Renew")]
pub struct Heartbeat {
    /// Who sends it.
    pub member: MemberId,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// Promised interval to the next, in ticks of 100 us.
    #[serde(rename = "every_tenths")]
    pub interval_ticks: u64,
    /// Work in flight, as a share of its size.
    #[serde(default)]
    pub busy: f64,
    /// Functions of which it has the last loaded copy.
    #[serde(default)]
    pub last_copies: u32,
}

impl Heartbeat {
    /// The load of the member.
    pub fn load(&self) -> MemberLoad {
        MemberLoad {
            busy: self.busy,
            last_copies: self.last_copies,
        }
    }
}

/// The answer to `renew`: the member as the coordinator knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Standing", expecting = "struct Standing")]
pub struct HeartbeatReply {
    /// Of the value that the coordinator knows.
    pub revision: u64,
    /// None: not a member, as far as this coordinator knows.
    pub incarnation: Option<u64>,
    /// The phase of the member, if it is one.
    pub phase: Option<Phase>,
    /// Its drain was withdrawn: it may go back to serving.
    #[serde(rename = "turn_back")]
    pub drain_withdrawn: bool,
    /// Leases that it holds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leases: Vec<HeldLease>,
}

/// `change`: a change to have agreed.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(rename = "Changes", expecting = "struct Changes")]
pub struct ChangeRequest {
    /// The change.
    pub change: Change,
}

/// The answer to `change`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename = "Changed", expecting = "struct Changed")]
pub struct ChangeReply {
    /// Revision at which it is agreed.
    pub revision: u64,
    /// False: it had been made before.
    pub changed: bool,
}

/// `dry_run`: how these members would drain.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DryRun {
    /// In the order in which they are to drain.
    pub members: Vec<MemberId>,
}

#[cfg(test)]
mod tests;
