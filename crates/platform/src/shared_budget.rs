//! Bounds what peers make the controller hold together: bytes of memory, or connections.
//!
//! Every peer holds within its share of what is free: the more one holds, and the less is free, the less it may add (the
//! dynamic threshold of Choudhury and Hahne for shared buffers, 1998). So a few peers may hold much while much is free,
//! and many greedy ones can't use it up. What is of no use yet, as it was received in part, leaves room for what is
//! complete, and the last part is for peers that hold nothing.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;
use tracing::warn;

/// Partial data may use the bound divided by this.
const PARTIAL_DIVISOR: usize = 2;
/// The bound divided by this is left to peers that hold nothing.
const RESERVE_DIVISOR: usize = 8;

/// How much of what is free one peer may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerShare {
    /// As much as is left to the others.
    Half,
    /// An eighth of what is left to the others.
    Ninth,
}

impl PeerShare {
    /// What a peer may hold while `free` is free.
    fn of(self, free: usize) -> usize {
        match self {
            Self::Half => free,
            Self::Ninth => free / 8,
        }
    }
}

/// What is reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Data that was received in part, and is of no use before the rest arrives.
    Partial,
    /// Data that is in use.
    InUse,
}

/// What the peers of one kind share, with its bound.
pub(crate) struct SharedBudget {
    max: usize,
    share: PeerShare,
    /// How much is reserved.
    reserved: Cell<usize>,
    /// Bytes in queues to peers, which are counted by the queues.
    queued: Rc<Cell<usize>>,
    /// Reservations that were refused, and holders that were ended, because the bound was met.
    refused: Cell<u64>,
    ended: Cell<u64>,
    /// The counts of both at the last call of [`SharedBudget::log_bound_met`].
    logged: Cell<(u64, u64)>,
    exceeded: Notify,
}

impl SharedBudget {
    /// Creates a budget of `max`, of which nothing is reserved.
    pub fn new(max: usize, share: PeerShare) -> Rc<Self> {
        Rc::new(Self {
            max,
            share,
            reserved: Cell::new(0),
            queued: Rc::default(),
            refused: Cell::new(0),
            ended: Cell::new(0),
            logged: Cell::default(),
            exceeded: Notify::new(),
        })
    }

    /// The counter of the bytes in queues to peers.
    pub fn queued(&self) -> Rc<Cell<usize>> {
        self.queued.clone()
    }

    /// How much is held: reserved or in queues.
    pub fn used(&self) -> usize {
        self.reserved.get() + self.queued.get()
    }

    /// Bytes in queues to peers.
    pub fn queued_bytes(&self) -> usize {
        self.queued.get()
    }

    /// Number of reservations that were refused.
    pub fn refused(&self) -> u64 {
        self.refused.get()
    }

    /// Number of holders that were ended because the bound was met.
    pub fn ended(&self) -> u64 {
        self.ended.get()
    }

    /// Counts a holder that is ended because the bound is met.
    pub fn count_ended(&self) {
        self.ended.set(self.ended.get() + 1);
    }

    /// Logs how often the bound was met since the last call, if it was.
    pub fn log_bound_met(&self, peers: &str) {
        let counts = (self.refused(), self.ended());
        let (refused, ended) = self.logged.replace(counts);
        if counts != (refused, ended) {
            warn!(
                peers,
                max_bytes = self.max,
                refused = counts.0 - refused,
                closed = counts.1 - ended,
                "memory limit of peers reached"
            );
        }
    }

    /// Whether more is held than the bound.
    pub fn is_exceeded(&self) -> bool {
        self.used() > self.max
    }

    /// Wakes [`SharedBudget::wait_until_exceeded`] if the bound is exceeded, after bytes were added to a queue.
    pub fn check_bound(&self) {
        if self.is_exceeded() {
            self.exceeded.notify_one();
        }
    }

    /// Waits until the bound may be exceeded.
    pub async fn wait_until_exceeded(&self) {
        self.exceeded.notified().await;
    }

    /// Whether a peer that holds `held` may add `added`.
    fn may_add(&self, held: usize, added: usize, purpose: Purpose) -> bool {
        let used = self.used() + added;
        let free = self.max.saturating_sub(self.used());
        let is_within_share = held + added <= self.share.of(free);
        match purpose {
            Purpose::Partial => used <= self.max / PARTIAL_DIVISOR && is_within_share,
            Purpose::InUse if held == 0 => used <= self.max,
            Purpose::InUse => used + self.max / RESERVE_DIVISOR <= self.max && is_within_share,
        }
    }
}

/// What one peer holds of a budget.
pub(crate) struct BudgetHolder {
    budget: Rc<SharedBudget>,
    held: Cell<usize>,
}

impl BudgetHolder {
    /// Creates a holder of nothing.
    pub fn new(budget: Rc<SharedBudget>) -> Rc<Self> {
        let held = Cell::new(0);
        Rc::new(Self { budget, held })
    }

    /// Reserves an amount that is in use, if the peer may hold it.
    pub fn reserve(self: &Rc<Self>, amount: usize) -> Option<Reservation> {
        let mut reservation = self.empty_reservation(Purpose::InUse);
        reservation.resize(amount).then_some(reservation)
    }

    /// Reserves nothing, to be resized later.
    pub fn empty_reservation(self: &Rc<Self>, purpose: Purpose) -> Reservation {
        Reservation {
            holder: self.clone(),
            purpose,
            amount: 0,
        }
    }

    fn add(&self, amount: usize) {
        self.held.set(self.held.get() + amount);
        self.budget
            .reserved
            .set(self.budget.reserved.get() + amount);
    }

    fn remove(&self, amount: usize) {
        self.held.set(self.held.get() - amount);
        self.budget
            .reserved
            .set(self.budget.reserved.get() - amount);
    }
}

/// A reserved amount, which is free again when this is dropped.
pub(crate) struct Reservation {
    holder: Rc<BudgetHolder>,
    purpose: Purpose,
    amount: usize,
}

impl Reservation {
    /// Changes the reserved amount. False: the peer may not hold as much, and nothing changes.
    pub fn resize(&mut self, amount: usize) -> bool {
        let holder = &self.holder;
        if let Some(added) = amount.checked_sub(self.amount).filter(|added| *added > 0) {
            if !holder
                .budget
                .may_add(holder.held.get(), added, self.purpose)
            {
                holder.budget.refused.set(holder.budget.refused.get() + 1);
                return false;
            }
            holder.add(added);
        } else {
            holder.remove(self.amount - amount);
        }
        self.amount = amount;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.holder.remove(self.amount);
    }
}

#[cfg(test)]
mod tests;
