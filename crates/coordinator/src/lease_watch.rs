//! A member's view of the leases that it holds. It is updated by the replies to the member's heartbeats; no other message is
//! sent for it.

use saltdrum::interface::Ticks;
use saltdrum_fleet::state::{Epoch, Fleet, LeaseName, MemberId, ResourceName};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use tokio::sync::Notify;

/// A lease that a member holds, as a coordinator reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeldLease {
    /// Name of the lease.
    pub lease: LeaseName,
    /// The task that its holder runs.
    pub task: String,
    /// Epoch of the grant.
    pub epoch: Epoch,
    /// All resources that the task has effects on.
    pub resources: BTreeSet<ResourceName>,
}

/// The leases that one incarnation of a member holds in this state of the fleet.
pub(crate) fn leases_held_by(fleet: &Fleet, member: MemberId, incarnation: u64) -> Vec<HeldLease> {
    let held = fleet.leases.iter().filter_map(|(name, lease)| {
        let epoch = lease.epoch_held_by(member, incarnation)?;
        let (lease, task, resources) = (
            name.clone(),
            lease.terms.task.clone(),
            lease.terms.resources.clone(),
        );
        Some(HeldLease {
            lease,
            task,
            epoch,
            resources,
        })
    });
    held.collect()
}

/// The leases that a member holds, by the latest reply of any coordinator.
#[derive(Default)]
pub struct LeaseWatch {
    held: RefCell<Vec<HeldLease>>,
    revision: Cell<u64>,
    last_reply_at: Cell<Ticks>,
    changed: Notify,
}

impl LeaseWatch {
    /// Records a coordinator's reply; `now` is by the member's own clock.
    pub(crate) fn record_reply(&self, now: Ticks, revision: u64, held: &[HeldLease]) {
        self.last_reply_at.set(now);
        // A coordinator that lags behind reports an outdated state.
        if revision < self.revision.get() {
            return;
        }
        self.revision.set(revision);
        if *self.held.borrow() != held {
            *self.held.borrow_mut() = held.to_vec();
            self.changed.notify_waiters();
        }
    }

    /// The lease of a task, if the member holds it.
    pub fn held_lease(&self, task: &str) -> Option<HeldLease> {
        self.held
            .borrow()
            .iter()
            .find(|held| held.task == task)
            .cloned()
    }

    /// When the last reply of a coordinator was received, by the member's own clock.
    pub fn last_reply_at(&self) -> Ticks {
        self.last_reply_at.get()
    }

    /// Waits until the held leases change.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}
