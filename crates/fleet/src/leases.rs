//! Rules on the leases of fleet-wide tasks: who may hold one, and who gets it next.
//!
//! A lease is part of the fleet's value, so whoever loses its membership loses its leases in the same agreed change, and the
//! successor is chosen there. Each grant has an epoch of its own (Chubby's sequencers, Kleppmann's fencing tokens). That only
//! one holder at a time has an *effect* is the part of [`crate::fence`]: resources accept the epoch they are sealed to.

use crate::state::{Lease, LeaseName, LeaseTerms, Member, MemberId, Phase};
use std::hash::Hasher;

/// Leases that a fleet may have.
pub const MAX_LEASES: usize = 256;
/// Resources that one lease may have.
pub const MAX_RESOURCES_PER_LEASE: usize = 64;
/// Tasks that a member may offer.
pub const MAX_TASKS_PER_MEMBER: usize = 64;

/// Why what is stated of a lease can't be.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidLease {
    /// The task has an effect on nothing.
    #[error("lease {lease}: no resource is named, at least one is expected")]
    NoResource {
        /// The lease concerned.
        lease: LeaseName,
    },
}

impl LeaseTerms {
    /// Whether a member may be given the lease now.
    fn may_be_given_to(&self, id: &MemberId, member: &Member) -> bool {
        id.kind == self.eligible
            && member.phase == Phase::Up
            && member.info.tasks.contains(&self.task)
    }
}

impl Lease {
    /// Whether the holder may keep it: it is reachable, and no drain of it has started.
    pub(crate) fn stays_with(&self, holder: &Member, life: u64) -> bool {
        let serves = matches!(holder.phase, Phase::Up | Phase::Granted { .. });
        serves && holder.info.incarnation == life && holder.info.tasks.contains(&self.terms.task)
    }

    /// Of the eligible members the one with the highest random weight: the same wherever it is computed (rendezvous hashing).
    pub(crate) fn successor<'a>(
        &self,
        name: &LeaseName,
        members: impl Iterator<Item = (&'a MemberId, &'a Member)>,
    ) -> Option<(MemberId, u64)> {
        let eligible = members.filter(|(id, member)| self.terms.may_be_given_to(id, member));
        let highest = eligible.max_by_key(|(id, _)| (weight(name, id), **id))?;
        Some((*highest.0, highest.1.info.incarnation))
    }
}

/// The weight of a member for a lease, from the display text of the member, which therefore never changes: 64-bit FNV-1a over both names, mixed so that near numbers are far apart.
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
