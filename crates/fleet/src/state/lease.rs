//! Leases of fleet-wide tasks: tasks that one process at a time is to do.

use super::{MemberId, MemberKind};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// The number of a grant: later grants of any lease of the fleet have higher ones, and none is ever used again.
pub type Epoch = u64;

/// A lease by its name, as in the deployment's script.
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

/// The name of something that a task has effects on.
pub type ResourceName = String;

/// What operators state of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseTerms {
    /// The task that its holder does. Only members that offer it are eligible.
    pub task: String,
    /// The kind of members that are eligible.
    pub eligible: MemberKind,
    /// All that the task has an effect on; sealed before the first.
    pub resources: BTreeSet<ResourceName>,
}

/// Who has a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "kebab-case")]
pub enum LeaseState {
    /// No member is eligible.
    Vacant,
    /// A member holds it.
    Held {
        /// Who holds it.
        holder: MemberId,
        /// Of the holder.
        incarnation: u64,
        /// Of the grant.
        epoch: Epoch,
    },
    /// Granted to nobody until an operator resumes it. The pause has an epoch of its own.
    Paused {
        /// Who paused it.
        by: String,
        /// The reason.
        why: String,
        /// Of the pause.
        epoch: Epoch,
    },
}

/// A lease as the fleet has agreed on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// What operators stated of it.
    pub terms: LeaseTerms,
    /// Who has it.
    pub state: LeaseState,
    /// Of the last grant or pause; 0: there was none.
    pub epoch: Epoch,
    /// Revision at which it came into its state.
    pub since: u64,
    /// Grants so far.
    pub grants: u64,
}

impl Lease {
    /// A lease that nobody was given yet.
    pub fn vacant(terms: LeaseTerms, since: u64) -> Self {
        Self {
            terms,
            state: LeaseState::Vacant,
            epoch: 0,
            since,
            grants: 0,
        }
    }

    /// The epoch of the grant, if this incarnation of the member holds the lease.
    pub fn epoch_held_by(&self, member: MemberId, life: u64) -> Option<Epoch> {
        match self.state {
            LeaseState::Held {
                holder,
                incarnation,
                epoch,
            } if (holder, incarnation) == (member, life) => Some(epoch),
            _ => None,
        }
    }
}
