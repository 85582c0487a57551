//! Rules on the leases of fleet-wide tasks: which members may hold a lease, and which one is granted it next.
//!
//! Leases are part of the agreed value: a member that loses its membership loses its leases in the same agreed change, which
//! also chooses the successors. Each grant has its own epoch (compare Chubby's sequencers and Kleppmann's fencing tokens).
//! [`crate::fence`] ensures that only one holder at a time has an *effect*: resources accept only the epoch they are sealed to.

use crate::state::{Lease, LeaseName, LeaseTerms, Member, MemberId, Phase};
use std::hash::Hasher;

/// Maximum number of leases of a fleet.
pub const MAX_LEASES: usize = 256;
/// Maximum number of resources of one lease.
pub const MAX_RESOURCES_PER_LEASE: usize = 64;
/// Maximum number of tasks that a member may offer.
pub const MAX_TASKS_PER_MEMBER: usize = 64;

/// Why the terms of a lease are invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidLease {
    /// No resource is listed, so the task could have no effect.
    #[error("lease {lease}: no resource is named, at least one is expected")]
    NoResource {
        /// The lease concerned.
        lease: LeaseName,
    },
}

impl LeaseTerms {
    /// Whether the lease may be granted to the member now.
    fn may_be_granted_to(&self, id: &MemberId, member: &Member) -> bool {
        id.kind == self.eligible
            && member.phase == Phase::Up
            && member.info.tasks.contains(&self.task)
    }
}

impl Lease {
    /// Whether the holder may keep the lease: it is reachable, and its drain has not started.
    pub(crate) fn may_be_kept_by(&self, holder: &Member, incarnation: u64) -> bool {
        let is_serving = matches!(holder.phase, Phase::Up | Phase::Granted { .. });
        is_serving
            && holder.info.incarnation == incarnation
            && holder.info.tasks.contains(&self.terms.task)
    }

    /// The eligible member with the highest weight by rendezvous hashing; every coordinator computes the same one.
    pub(crate) fn successor<'a>(
        &self,
        name: &LeaseName,
        members: impl Iterator<Item = (&'a MemberId, &'a Member)>,
    ) -> Option<(MemberId, u64)> {
        let eligible = members.filter(|(id, member)| self.terms.may_be_granted_to(id, member));
        let (id, member) = eligible.max_by_key(|(id, _)| (weight(name, id), **id))?;
        Some((*id, member.info.incarnation))
    }
}

/// The rendezvous weight of a member for a lease: 64-bit FNV-1a over both names, mixed so that consecutive numbers get distant
/// weights. It is computed from the display text of [`MemberId`], which therefore must not change.
fn weight(lease: &LeaseName, member: &MemberId) -> u64 {
    let mut hash = Fnv1a::default();
    hash.write(lease.0.as_bytes());
    hash.write(member.to_string().as_bytes());
    let mixed = hash.finish();
    (mixed ^ (mixed >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

struct Fnv1a(u64);

impl Default for Fnv1a {
    fn default() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }
}

impl Hasher for Fnv1a {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn finish(&self) -> u64 {
        self.0
    }
}
