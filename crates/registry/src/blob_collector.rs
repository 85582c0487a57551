//! Decides which blobs may be removed. A push takes a lease on the blobs that it needs before it queries which of them are
//! present, so that none of these is collected during the push. Loads are protected by the grace, which is longer than any
//! load. Times are of a clock that is never stepped.

use saltdrum_layers::Digest;
use std::collections::{BTreeMap, BTreeSet};

/// Identifies the lease of a push.
pub type LeaseId = u64;

struct Lease {
    until_ms: u64,
    digests: BTreeSet<Digest>,
}

/// Leases and idle times of blobs. They end with the process: pushes then have to take new leases, and every grace starts
/// again.
#[derive(Default)]
pub struct BlobCollector {
    leases: BTreeMap<LeaseId, Lease>,
    last_lease: LeaseId,
    /// Since when each unreferenced blob has been so.
    unreferenced_since: BTreeMap<Digest, u64>,
}

/// Why a push can't be completed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PushLeaseError {
    /// The lease is unknown or has expired.
    #[error("lease {0} is not known or has run out: begin the push again")]
    UnknownLease(LeaseId),
    /// The lease does not cover a blob.
    #[error("blob {0} is not among those the push began with")]
    NotCovered(Digest),
}

impl BlobCollector {
    /// Leases blobs for a push, before it queries which of them are present.
    pub fn begin_lease(
        &mut self,
        now_ms: u64,
        digests: BTreeSet<Digest>,
        duration_ms: u64,
    ) -> LeaseId {
        self.last_lease += 1;
        self.unreferenced_since.retain(|d, _| !digests.contains(d));
        self.leases.insert(
            self.last_lease,
            Lease {
                until_ms: now_ms + duration_ms,
                digests,
            },
        );
        self.last_lease
    }

    /// Checks that a push's lease is valid and covers the blobs that it needs. Called in the same turn as the version's change
    /// is committed.
    pub fn check_lease(
        &self,
        now_ms: u64,
        lease: LeaseId,
        needed: &[Digest],
    ) -> Result<(), PushLeaseError> {
        let valid_lease = self
            .leases
            .get(&lease)
            .filter(|lease| now_ms < lease.until_ms)
            .ok_or(PushLeaseError::UnknownLease(lease))?;
        needed
            .iter()
            .find(|d| !valid_lease.digests.contains(d))
            .map_or(Ok(()), |d| Err(PushLeaseError::NotCovered(*d)))
    }

    /// Ends a lease.
    pub fn end_lease(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
    }

    /// Returns the blobs that may be removed: those that were neither referenced by a manifest nor leased for the whole grace,
    /// which is longer than the longest load.
    pub fn collect(
        &mut self,
        now_ms: u64,
        present: impl IntoIterator<Item = Digest>,
        referenced: &BTreeSet<Digest>,
        grace_ms: u64,
    ) -> Vec<Digest> {
        self.leases.retain(|_, lease| now_ms < lease.until_ms);
        let leased = |d: &Digest| self.leases.values().any(|lease| lease.digests.contains(d));
        let present: BTreeSet<Digest> = present.into_iter().collect();
        let unreferenced: BTreeSet<Digest> = present
            .into_iter()
            .filter(|d| !referenced.contains(d) && !leased(d))
            .collect();
        self.unreferenced_since
            .retain(|d, _| unreferenced.contains(d));
        let mut removable = Vec::new();
        for digest in unreferenced {
            let since = *self.unreferenced_since.entry(digest).or_insert(now_ms);
            if now_ms >= since.saturating_add(grace_ms) {
                self.unreferenced_since.remove(&digest);
                removable.push(digest);
            }
        }
        removable
    }
}
