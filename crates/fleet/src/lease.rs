//! Leases of fleet-wide tasks: who may do a task that one process at a time is to do.
//!
//! A lease is part of the fleet's value, so whoever loses its membership loses its leases in the same agreed change, and the
//! successor is chosen there. Each grant has an epoch of its own (Chubby's sequencers, Kleppmann's fencing tokens). That only
//! one holder at a time has an *effect* is the part of [`crate::fence`]: resources accept the epoch they are sealed to.

use crate::change::{ID_MOST_BYTES, Refusal, TEXT_MOST_BYTES, text};
use crate::fleet::{Kind, Member, MemberId, Phase};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::hash::Hasher;

/// Leases that a fleet may have.
pub const LEASES_MOST: usize = 256;
/// Resources that one lease may have.
pub const RESOURCES_MOST: usize = 64;
/// Tasks that a member may offer.
pub const TASKS_MOST: usize = 64;

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

/// What a task does its effects on, by its name.
pub type ResourceName = String;

/// What is stated of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseTerms {
    /// The task that its holder does. Only members that offer it are eligible.
    pub task: String,
    /// The kind of members that are eligible.
    pub eligible: Kind,
    /// All that the task has an effect on; sealed before the first.
    pub resources: BTreeSet<ResourceName>,
}

/// Why what is stated of a lease can't be.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unfit {
    #[error("lease {lease}: no resource is named, at least one is expected")]
    NoResource { lease: LeaseName },
}

impl LeaseTerms {
    /// Whether this can be stated of a lease of that name.
    pub fn fits(&self, lease: &LeaseName) -> Result<(), Refusal> {
        text("lease", &lease.0, ID_MOST_BYTES)?;
        text("task", &self.task, ID_MOST_BYTES)?;
        if self.resources.is_empty() {
            return Err(Unfit::NoResource {
                lease: lease.clone(),
            }
            .into());
        }
        if self.resources.len() > RESOURCES_MOST {
            let (found, most) = (self.resources.len(), RESOURCES_MOST);
            return Err(Refusal::Many {
                place: "resources",
                found,
                most,
            });
        }
        self.resources
            .iter()
            .try_for_each(|name| text("resource", name, TEXT_MOST_BYTES))
    }

    /// Whether a member may be given the lease now.
    fn may_be_given_to(&self, id: &MemberId, member: &Member) -> bool {
        id.kind == self.eligible
            && member.phase == Phase::Up
            && member.about.tasks.contains(&self.task)
    }
}

/// Who has a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "kebab-case")]
pub enum LeaseState {
    /// No member is eligible.
    Vacant,
    Held {
        holder: MemberId,
        incarnation: u64,
        epoch: Epoch,
    },
    /// Given to nobody until an operator resumes it. The epoch is the operators' own.
    Paused {
        by: String,
        why: String,
        epoch: Epoch,
    },
}

/// A lease as the fleet has agreed on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    pub terms: LeaseTerms,
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

    /// Its holder, if this member is the one in that life.
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

    /// Whether the holder may go on: it lives, and no drain of it has begun.
    pub(crate) fn stays_with(&self, holder: &Member, life: u64) -> bool {
        let serves = matches!(holder.phase, Phase::Up | Phase::Granted { .. });
        serves && holder.about.incarnation == life && holder.about.tasks.contains(&self.terms.task)
    }

    /// Of the eligible members the one with the highest random weight: the same wherever it is reckoned.
    pub(crate) fn successor<'a>(
        &self,
        name: &LeaseName,
        members: impl Iterator<Item = (&'a MemberId, &'a Member)>,
    ) -> Option<(MemberId, u64)> {
        let eligible = members.filter(|(id, member)| self.terms.may_be_given_to(id, member));
        let highest = eligible.max_by_key(|(id, _)| (weight(name, id), **id))?;
        Some((*highest.0, highest.1.about.incarnation))
    }
}

/// The weight of a member for a lease: 64-bit FNV-1a over both names, mixed so that near numbers are far apart.
fn weight(lease: &LeaseName, member: &MemberId) -> u64 {
    let mut hash = Fnv::default();
    hash.write(lease.0.as_bytes());
    hash.write(member.to_string().as_bytes());
    let mixed = hash.finish();
    (mixed ^ (mixed >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

struct Fnv(u64);

impl Default for Fnv {
    fn default() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }
}

impl Hasher for Fnv {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn finish(&self) -> u64 {
        self.0
    }
}
