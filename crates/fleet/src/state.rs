//! The value that the fleet agrees on: members, bounds, drain requests and leases. This module has the types alone; the
//! rules on them are in the modules that import it.

mod bound;
mod lease;
mod member;

pub use bound::{Bound, BoundScope};
pub use lease::{Epoch, Lease, LeaseName, LeaseState, LeaseTerms, ResourceName};
pub use member::{Grant, InvalidMemberId, Member, MemberId, MemberInfo, MemberKind, Phase};

use crate::register::{Config, Value};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// A halt: no further drain starts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Halt {
    /// Who halted the drains.
    pub by: String,
    /// The reason.
    pub why: String,
    /// What ends the halt, shown to operators.
    pub ends: String,
    /// Revision at which the halt was agreed.
    pub revision: u64,
}

/// An operator's request that members drain and return, in the listed order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Ask", expecting = "struct Ask")]
pub struct DrainRequest {
    /// Who made the request.
    pub by: String,
    /// Members without a grant yet.
    pub waiting: Vec<MemberId>,
    /// Members that are granted, draining, away or restarting.
    pub under_way: Vec<MemberId>,
    /// Members that have drained and returned.
    pub finished: Vec<MemberId>,
    /// Members withdrawn from the request by an operator, or forgotten.
    pub withdrawn: Vec<MemberId>,
    /// Revision at which the request was made.
    pub revision: u64,
}

impl DrainRequest {
    /// Whether no member is waiting or under way.
    pub fn is_finished(&self) -> bool {
        self.waiting.is_empty() && self.under_way.is_empty()
    }
}

/// An entry of the history, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Event", expecting = "struct Event")]
pub struct HistoryEntry {
    /// Revision that the change produced.
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
    /// The listen address of each coordinator.
    #[serde(rename = "stewards")]
    pub coordinators: BTreeMap<u32, String>,
    /// Number of changes so far.
    pub revision: u64,
    /// Number of grants issued so far; the last grant has this number.
    pub grants: Grant,
    /// Limits on how many members may be out of service.
    pub bounds: Vec<Bound>,
    /// Drains are halted automatically when more members than this are lost; 0: never.
    pub halt_at_lost: usize,
    /// All members, whatever their phase.
    pub members: BTreeMap<MemberId, Member>,
    /// Set while drains are halted.
    pub halt: Option<Halt>,
    /// Drain requests by id.
    #[serde(rename = "asks")]
    pub drain_requests: BTreeMap<String, DrainRequest>,
    /// Leases of fleet-wide tasks.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub leases: BTreeMap<LeaseName, Lease>,
    /// The last epoch issued, over all leases.
    #[serde(default)]
    pub lease_epochs: Epoch,
    /// The latest changes, oldest first.
    pub history: VecDeque<HistoryEntry>,
}

impl Value for Fleet {
    fn config(&self) -> &Config {
        &self.config
    }
}

impl Fleet {
    /// Creates a fleet without members.
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

    /// Members that are out of service, planned or not.
    pub fn out_members(&self) -> impl Iterator<Item = (&MemberId, &Member)> {
        self.members
            .iter()
            .filter(|(_, member)| member.phase.is_out())
    }

    /// Number of members whose absence is planned.
    pub fn planned_out_count(&self) -> usize {
        self.members
            .values()
            .filter(|member| member.phase.is_planned())
            .count()
    }

    /// Number of lost members.
    pub fn lost_count(&self) -> usize {
        self.members
            .values()
            .filter(|member| matches!(member.phase, Phase::Lost { .. }))
            .count()
    }
}
