//! Leases of fleet-wide tasks: tasks that one process at a time does.

use super::{MemberId, MemberKind};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// The number of a grant of a lease. It increases over all leases of the fleet, and no number is reused.
pub type Epoch = u64;

/// The name of a lease, as in the deployment's script.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseName(pub String);

impl fmt::Display for LeaseName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<&str> for LeaseName {
    fn from(name: &str) -> Self {
        Self(name.to_owned())
    }
}

/// The name of a resource that a task has effects on.
pub type ResourceName = String;

/// The terms of a lease, as operators configure them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseTerms {
    /// The task that the holder does. Only members that offer it are eligible.
    pub task: String,
    /// The kind of members that are eligible.
    pub eligible: MemberKind,
    /// All resources that the task has effects on; each is sealed before the first effect.
    pub resources: BTreeSet<ResourceName>,
}

/// The state of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "kebab-case")]
pub enum LeaseState {
    /// No member is eligible.
    Vacant,
    /// A member holds the lease.
    Held {
        /// The holder.
        holder: MemberId,
        /// The holder's incarnation.
        incarnation: u64,
        /// The epoch of the grant.
        epoch: Epoch,
    },
    /// Not granted until an operator resumes the lease. The pause has its own epoch.
    Paused {
        /// Who paused the lease.
        by: String,
        /// The reason.
        why: String,
        /// The epoch of the pause.
        epoch: Epoch,
    },
}

/// A lease as the fleet has agreed on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The terms set by operators.
    pub terms: LeaseTerms,
    /// The current state.
    pub state: LeaseState,
    /// The epoch of the last grant or pause; 0: none yet.
    pub epoch: Epoch,
    /// Revision at which the lease entered its state.
    pub since: u64,
    /// Number of grants so far.
    pub grants: u64,
}

impl Lease {
    /// Creates a lease that was never granted.
    pub fn vacant(terms: LeaseTerms, since: u64) -> Self {
        Self {
            terms,
            state: LeaseState::Vacant,
            epoch: 0,
            since,
            grants: 0,
        }
    }

    /// The epoch of the current grant, if this incarnation of the member holds the lease.
    pub fn epoch_held_by(&self, member: MemberId, member_incarnation: u64) -> Option<Epoch> {
        match self.state {
            LeaseState::Held {
                holder,
                incarnation,
                epoch,
            } if (holder, incarnation) == (member, member_incarnation) => Some(epoch),
            _ => None,
        }
    }
}
