//! JSON-RPC messages on a coordinator's socket, one per line. Serialised names say `steward` for a coordinator.

use crate::lease_watch::HeldLease;
use saltdrum_fleet::change::Change;
use saltdrum_fleet::drain_scheduler::MemberLoad;
use saltdrum_fleet::register::{Ballot, Voter, VoterStamp};
use saltdrum_fleet::state::{Fleet, MemberId, Phase};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Version of these messages. A call in another version is refused with an error that says so.
pub const PROTOCOL_VERSION: u16 = 1;
/// Version of the messages by which coordinators vote and pass on values. It is raised with every change to the contents of the
/// value: a coordinator that does not know of leases would propose a value without them, and their epochs would start anew.
pub const VOTE_PROTOCOL_VERSION: u16 = 2;

/// Version of a method's messages.
pub fn version_of(method: &str) -> u16 {
    match method {
        "prepare" | "accept" | "recover" | "decided" => VOTE_PROTOCOL_VERSION,
        _ => PROTOCOL_VERSION,
    }
}

/// Longest line that is accepted: ten times the size of the largest fleet.
pub const MAX_LINE_BYTES: usize = 32 << 20;

/// Error code: the request was refused and nothing was changed; the message says why.
pub const REFUSED: i64 = -32_020;
/// Error code: the message was meant for another fleet, or has another version.
pub const WRONG_FLEET_OR_VERSION: i64 = -32_021;
/// Error code: the outcome is unknown, as no majority answered in time. The caller should retry.
pub const OUTCOME_UNKNOWN: i64 = -32_022;
/// Error code: this coordinator does not vote: it has just started, has an old disk, or can't write to its disk.
pub const NOT_VOTING: i64 = -32_023;

/// The parameters of every call.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename = "Said", expecting = "struct Said")]
pub struct Envelope<T> {
    /// Name of the fleet that the call is meant for.
    pub fleet: String,
    /// Version of the message, see [`version_of`].
    #[serde(rename = "speaks")]
    pub version: u16,
    /// Parameters of the method.
    #[serde(rename = "what")]
    pub params: T,
}

/// `prepare`: requests a promise.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Prepare {
    /// Voter that is asked.
    pub to: Voter,
    /// Ballot of the round.
    pub ballot: Ballot,
    /// Ballot of the value that the proposer already has: this value need not be sent.
    #[serde(rename = "have")]
    pub known_ballot: Ballot,
}

/// The answer to `prepare` and `accept`.
#[derive(Debug, Clone, Serialize, Deserialize)]
// Externally tagged: with an internal tag, numeric map keys in the value could not be deserialised.
#[serde(rename_all = "kebab-case")]
pub enum Vote {
    /// A promise. `value` is omitted if the proposer already has it.
    Promised {
        /// Ballot of the last accepted value.
        accepted: Option<Ballot>,
        /// The last accepted value.
        value: Option<Box<Fleet>>,
        /// The acceptor that votes.
        #[serde(rename = "mark")]
        stamp: VoterStamp,
        /// Number of writes that the acceptor has made.
        writes: u64,
    },
    /// The value was accepted.
    Accepted {
        /// The acceptor that votes.
        #[serde(rename = "mark")]
        stamp: VoterStamp,
        /// Number of writes that the acceptor has made.
        writes: u64,
    },
    /// A higher ballot was promised to another proposer.
    Refused {
        /// The ballot that was promised.
        promised: Ballot,
    },
}

/// `accept`: requests that a value is accepted.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accept {
    /// Voter that is asked.
    pub to: Voter,
    /// Ballot of the round.
    pub ballot: Ballot,
    /// The value to accept.
    pub value: Box<Fleet>,
}

/// `recover`: sent by a coordinator that starts, to its peers.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Recover {
    /// The coordinator that starts.
    pub from: Voter,
    /// Its new incarnation.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// `opinions`: levels of suspicion, between coordinators, several times a second.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(rename = "Opinions", expecting = "struct Opinions")]
pub struct SuspicionReport {
    /// The coordinator that reports.
    pub from: Voter,
    /// Levels of suspicion that are not low; `None`: the coordinator does not know them.
    pub levels: Option<BTreeMap<MemberId, f64>>,
    /// Ballot of the latest value that it knows to be decided.
    pub decided: Ballot,
    /// Number of writes that its acceptor has made.
    pub writes: u64,
    /// Whether it is recovering and does not vote yet.
    #[serde(rename = "returning")]
    pub is_recovering: bool,
}

/// `renew`: a member's heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(rename = "Renew", expecting = "struct Renew")]
pub struct Heartbeat {
    /// The member that sends it.
    pub member: MemberId,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// Promised interval to the next heartbeat, in ticks of 100 us.
    #[serde(rename = "every_tenths")]
    pub interval_ticks: u64,
    /// Work in flight, as a share of the member's size.
    #[serde(default)]
    pub busy: f64,
    /// Number of functions of which it has the last loaded copy.
    #[serde(default)]
    pub last_copies: u32,
}

impl Heartbeat {
    /// Load of the member.
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
    /// Revision of the value that the coordinator knows.
    pub revision: u64,
    /// Incarnation of the member; `None` if it is not a member, as far as the coordinator knows.
    pub incarnation: Option<u64>,
    /// Phase of the member; `None` if it is not a member.
    pub phase: Option<Phase>,
    /// Whether its drain was withdrawn, so that it may return to serving.
    #[serde(rename = "turn_back")]
    pub drain_withdrawn: bool,
    /// Leases that the member holds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leases: Vec<HeldLease>,
}

/// `change`: requests that a change is agreed on.
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
    /// Revision at which the change is agreed.
    pub revision: u64,
    /// Whether the fleet changed; false if the change had been made before.
    pub changed: bool,
}

/// `dry_run`: requests the steps in which these members would drain.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DryRun {
    /// The members, in the order in which they are to drain.
    pub members: Vec<MemberId>,
}

#[cfg(test)]
mod tests;
