//! The value that the fleet agrees on: members, bounds, drain requests and leases. Types alone; the rules on them are in the
//! modules that import this one.

mod bound;
mod lease;
mod member;

pub use bound::{Bound, Per};
pub use lease::{Epoch, Lease, LeaseName, LeaseState, LeaseTerms, ResourceName};
pub use member::{About, Grant, Kind, Member, MemberId, NoMember, Phase};

use crate::register::{Config, Value};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Why no further drain begins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Halt {
    pub by: String,
    pub why: String,
    /// What would end it, for those who read it.
    pub ends: String,
    pub revision: u64,
}

/// Members that an operator wants drained and returned, in the order of who goes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    pub by: String,
    /// Still to go.
    pub waiting: Vec<MemberId>,
    /// Granted, draining, away or coming back.
    pub under_way: Vec<MemberId>,
    pub finished: Vec<MemberId>,
    pub withdrawn: Vec<MemberId>,
    pub revision: u64,
}

impl Ask {
    pub fn is_over(&self) -> bool {
        self.waiting.is_empty() && self.under_way.is_empty()
    }
}

/// One line of what happened, for those who read it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    pub revision: u64,
    pub what: String,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    pub name: String,
    pub config: Config,
    /// Where each steward listens.
    pub stewards: BTreeMap<u32, String>,
    pub revision: u64,
    pub grants: Grant,
    pub bounds: Vec<Bound>,
    /// It halts itself when more members than this are lost that nobody planned; 0: never.
    pub halt_at_lost: usize,
    pub members: BTreeMap<MemberId, Member>,
    pub halt: Option<Halt>,
    pub asks: BTreeMap<String, Ask>,
    /// Leases of fleet-wide tasks.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub leases: BTreeMap<LeaseName, Lease>,
    /// Epochs given so far, over all leases.
    #[serde(default)]
    pub lease_epochs: Epoch,
    pub history: VecDeque<Event>,
}

impl Value for Fleet {
    fn config(&self) -> &Config {
        &self.config
    }
}

impl Fleet {
    /// A fleet of which nobody knows yet but its stewards.
    pub fn founded(
        name: &str,
        config: Config,
        stewards: BTreeMap<u32, String>,
        bounds: Vec<Bound>,
        halt_at_lost: usize,
    ) -> Self {
        Self {
            name: name.to_owned(),
            config,
            stewards,
            revision: 0,
            grants: 0,
            bounds,
            halt_at_lost,
            members: BTreeMap::new(),
            halt: None,
            asks: BTreeMap::new(),
            leases: BTreeMap::new(),
            lease_epochs: 0,
            history: VecDeque::new(),
        }
    }

    pub fn out(&self) -> impl Iterator<Item = (&MemberId, &Member)> {
        self.members.iter().filter(|(_, m)| m.phase.is_out())
    }

    pub fn planned_out(&self) -> usize {
        self.members
            .values()
            .filter(|m| m.phase.is_planned())
            .count()
    }

    pub fn lost(&self) -> usize {
        self.members
            .values()
            .filter(|m| matches!(m.phase, Phase::Lost { .. }))
            .count()
    }
}
