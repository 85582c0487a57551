//! What a member knows of the leases it holds. It comes with the answers to its heartbeats; nothing is sent for it.

use saltdrum::interface::Ticks;
use saltdrum_fleet::state::{Epoch, Fleet, LeaseName, MemberId, ResourceName};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use tokio::sync::Notify;

/// A lease that a member holds, as a coordinator tells it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeldLease {
    /// The lease.
    pub lease: LeaseName,
    /// The task that its holder does.
    pub task: String,
    /// Of the grant.
    pub epoch: Epoch,
    /// All that the task has effects on.
    pub resources: BTreeSet<ResourceName>,
}

/// The leases of one incarnation of a member, by the value that a coordinator knows.
pub(crate) fn held_by(fleet: &Fleet, member: MemberId, incarnation: u64) -> Vec<HeldLease> {
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

/// The leases that a member holds, as the latest reply of any coordinator says.
#[derive(Default)]
pub struct LeaseWatch {
    held: RefCell<Vec<HeldLease>>,
    revision: Cell<u64>,
    heard_at: Cell<Ticks>,
    changed: Notify,
}

impl LeaseWatch {
    /// A coordinator replied, at this time of the member's own clock.
    pub(crate) fn heard(&self, now: Ticks, revision: u64, held: &[HeldLease]) {
        self.heard_at.set(now);
        // A coordinator that lags behind says what was.
        if revision < self.revision.get() {
            return;
        }
        self.revision.set(revision);
        if *self.held.borrow() != held {
            *self.held.borrow_mut() = held.to_vec();
            self.changed.notify_waiters();
        }
    }

    /// The lease of a task, if it is held.
    pub fn held_lease(&self, task: &str) -> Option<HeldLease> {
        self.held
            .borrow()
            .iter()
            .find(|held| held.task == task)
            .cloned()
    }

    /// When a coordinator was last heard, by the member's own clock.
    pub fn last_reply_at(&self) -> Ticks {
        self.heard_at.get()
    }

    /// Waits until something else is held.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}
