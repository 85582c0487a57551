//! Which blobs may go. A push holds a lease on what it needs before it asks what is there, so that nothing it was told to
//! be there is collected under it; a load is outlasted by the grace. Times are of a clock that is never stepped.

use saltdrum_layers::Digest;
use std::collections::{BTreeMap, BTreeSet};

/// Identifies the lease of a push.
pub type LeaseId = u64;

struct Lease {
    until_ms: u64,
    digests: BTreeSet<Digest>,
}

/// What is known of blobs beside the state. It ends with the process: leases then have to be taken anew, and every grace
/// begins again.
#[derive(Default)]
pub struct BlobCollector {
    leases: BTreeMap<LeaseId, Lease>,
    last: LeaseId,
    /// Seen without a reference, and since when.
    idle: BTreeMap<Digest, u64>,
}

/// Why a push can't be ended.
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
    /// Before a push looks at what is there.
    pub fn begin_lease(
        &mut self,
        now_ms: u64,
        digests: BTreeSet<Digest>,
        lasts_ms: u64,
    ) -> LeaseId {
        self.last += 1;
        self.idle.retain(|d, _| !digests.contains(d));
        self.leases.insert(
            self.last,
            Lease {
                until_ms: now_ms + lasts_ms,
                digests,
            },
        );
        self.last
    }

    /// Whether a push that needs these still holds them. It is asked with the version's change, in the same turn.
    pub fn check_lease(
        &self,
        now_ms: u64,
        lease: LeaseId,
        needs: &[Digest],
    ) -> Result<(), PushLeaseError> {
        let held = self
            .leases
            .get(&lease)
            .filter(|l| now_ms < l.until_ms)
            .ok_or(PushLeaseError::UnknownLease(lease))?;
        needs
            .iter()
            .find(|d| !held.digests.contains(d))
            .map_or(Ok(()), |d| Err(PushLeaseError::NotCovered(*d)))
    }

    /// Ends a lease.
    pub fn end_lease(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
    }

    /// Looks at all blobs present, and gives those that may be removed: neither named by a manifest that counts nor leased for all of
    /// the grace, which is longer than the longest load.
    pub fn collect(
        &mut self,
        now_ms: u64,
        present: impl IntoIterator<Item = Digest>,
        named: &BTreeSet<Digest>,
        grace_ms: u64,
    ) -> Vec<Digest> {
        self.leases.retain(|_, l| now_ms < l.until_ms);
        let leased = |d: &Digest| self.leases.values().any(|l| l.digests.contains(d));
        let present: BTreeSet<Digest> = present.into_iter().collect();
        let free: BTreeSet<Digest> = present
            .into_iter()
            .filter(|d| !named.contains(d) && !leased(d))
            .collect();
        self.idle.retain(|d, _| free.contains(d));
        let mut gone = Vec::new();
        for digest in free {
            let since = *self.idle.entry(digest).or_insert(now_ms);
            if now_ms >= since.saturating_add(grace_ms) {
                self.idle.remove(&digest);
                gone.push(digest);
            }
        }
        gone
    }
}
