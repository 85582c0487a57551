//! The value that the fleet agrees on: members, bounds, drain requests and leases. Types alone; the rules on them are in the
//! modules that import this one.

mod bound;
mod lease;
mod member;

pub use bound::{Bound, BoundScope};
pub use lease::{Epoch, Lease, LeaseName, LeaseState, LeaseTerms, ResourceName};
pub use member::{Grant, InvalidMemberId, Member, MemberId, MemberInfo, MemberKind, Phase};

use crate::register::{Config, Value};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Why no further drain starts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Halt {
    /// Who halted them.
    pub by: String,
    /// The reason.
    pub why: String,
    /// What would end it, for those who read it.
    pub ends: String,
    /// Revision at which it was halted.
    pub revision: u64,
}

/// Members that an operator wants drained and returned, in the order in which they drain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Ask", expecting = "struct Ask")]
pub struct DrainRequest {
    /// Who asked for it.
    pub by: String,
    /// Without a grant yet.
    pub waiting: Vec<MemberId>,
    /// Granted, draining, away or coming back.
    pub under_way: Vec<MemberId>,
    /// Drained and returned.
    pub finished: Vec<MemberId>,
    /// Withdrawn by an operator, or forgotten.
    pub withdrawn: Vec<MemberId>,
    /// Revision at which it was made.
    pub revision: u64,
}

impl DrainRequest {
    /// Whether nothing of it is left to do.
    pub fn is_finished(&self) -> bool {
        self.waiting.is_empty() && self.under_way.is_empty()
    }
}

/// One line of the history, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Event", expecting = "struct Event")]
pub struct HistoryEntry {
    /// Revision that it brought.
    pub revision: u64,
    /// What happened.
    #[serde(rename = "what")]
    pub description: String,
}

/// The value that the fleet agrees on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// The fleet's name; messages to another fleet are refused.
    pub name: String,
    /// The coordinators whose majorities decide.
    pub config: Config,
    /// Where each coordinator listens.
    #[serde(rename = "stewards")]
    pub coordinators: BTreeMap<u32, String>,
    /// Counts changes.
    pub revision: u64,
    /// Grants issued so far.
    pub grants: Grant,
    /// How many members may be out.
    pub bounds: Vec<Bound>,
    /// Drains are halted when more members than this are lost; 0: never.
    pub halt_at_lost: usize,
    /// All members, whatever their phase.
    pub members: BTreeMap<MemberId, Member>,
    /// Set while no further drain may start.
    pub halt: Option<Halt>,
    /// Drain requests by their names.
    #[serde(rename = "asks")]
    pub drain_requests: BTreeMap<String, DrainRequest>,
    /// Leases of fleet-wide tasks.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub leases: BTreeMap<LeaseName, Lease>,
    /// Epochs given so far, over all leases.
    #[serde(default)]
    pub lease_epochs: Epoch,
    /// The last few changes.
    pub history: VecDeque<HistoryEntry>,
}

impl Value for Fleet {
    fn config(&self) -> &Config {
        &self.config
    }
}

impl Fleet {
    /// A new fleet, without members.
    pub fn new(
        name: &str,
        config: Config,
        coordinators: BTreeMap<u32, String>,
        bounds: Vec<Bound>,
        halt_at_lost: usize,
    ) -> Self {
        Self {
            name: name.to_owned(),
            config,
            coordinators,
            revision: 0,
            grants: 0,
            bounds,
            halt_at_lost,
            members: BTreeMap::new(),
            halt: None,
            drain_requests: BTreeMap::new(),
            leases: BTreeMap::new(),
            lease_epochs: 0,
            history: VecDeque::new(),
        }
    }

    /// Members that are out, for whatever reason.
    pub fn out_members(&self) -> impl Iterator<Item = (&MemberId, &Member)> {
        self.members.iter().filter(|(_, m)| m.phase.is_out())
    }

    /// How many members are out as planned.
    pub fn planned_out_count(&self) -> usize {
        self.members
            .values()
            .filter(|m| m.phase.is_planned())
            .count()
    }

    /// How many members are lost.
    pub fn lost_count(&self) -> usize {
        self.members
            .values()
            .filter(|m| matches!(m.phase, Phase::Lost { .. }))
            .count()
    }
}
