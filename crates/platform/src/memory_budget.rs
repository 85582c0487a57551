//! Bounds the memory that peers make the controller hold.
//!
//! Every peer holds within its share of what is free: the more one holds, and the less is free, the less it may add (the
//! dynamic threshold of Choudhury and Hahne for shared buffers, 1998). So a few peers may hold much while memory is free,
//! and many greedy ones can't use it up. What is of no use yet, as it was received in part, leaves room for what is
//! complete, and the last part is for peers that hold nothing.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;
use tracing::warn;

/// A peer may hold at most the free bytes divided by this.
const SHARE_DIVISOR: usize = 8;

/// Partial data may use the bound divided by this.
const PARTIAL_DIVISOR: usize = 2;
/// The bound divided by this is left to peers that hold nothing.
const RESERVE_DIVISOR: usize = 8;

/// What memory is reserved for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Data that was received in part, and is of no use before the rest arrives.
    Partial,
    /// Data that is in use.
    InUse,
}

/// Memory that is shared by the peers of one kind, with its bound.
pub(crate) struct MemoryBudget {
    max_bytes: usize,
    /// Bytes that are reserved.
    reserved: Cell<usize>,
    /// Bytes in queues to peers, which are counted by the queues.
    queued: Rc<Cell<usize>>,
    /// Reservations that were refused, and holders that were ended, because the bound was met.
    refused: Cell<u64>,
    ended: Cell<u64>,
    /// The counts of both at the last call of [`MemoryBudget::log_bound_met`].
    logged: Cell<(u64, u64)>,
    exceeded: Notify,
}

impl MemoryBudget {
    /// Creates a budget of `max_bytes`, of which none are reserved.
    pub fn new(max_bytes: usize) -> Rc<Self> {
        Rc::new(Self {
            max_bytes,
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

    /// Bytes that are held: reserved or in queues.
    pub fn used_bytes(&self) -> usize {
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
                max_bytes = self.max_bytes,
                refused = counts.0 - refused,
                closed = counts.1 - ended,
                "memory limit of peers reached"
            );
        }
    }

    /// Whether more is held than the bound.
    pub fn is_exceeded(&self) -> bool {
        self.used_bytes() > self.max_bytes
    }

    /// Wakes [`MemoryBudget::wait_until_exceeded`] if the bound is exceeded, after bytes were added to a queue.
    pub fn check_bound(&self) {
        if self.is_exceeded() {
            self.exceeded.notify_one();
        }
    }

    /// Waits until the bound may be exceeded.
    pub async fn wait_until_exceeded(&self) {
        self.exceeded.notified().await;
    }

    /// Whether a holder of `held_bytes` may add `bytes`.
    fn may_add(&self, held_bytes: usize, bytes: usize, purpose: Purpose) -> bool {
        let used_bytes = self.used_bytes() + bytes;
        let free_bytes = self.max_bytes.saturating_sub(self.used_bytes());
        let is_within_share = held_bytes + bytes <= free_bytes / SHARE_DIVISOR;
        match purpose {
            Purpose::Partial => used_bytes <= self.max_bytes / PARTIAL_DIVISOR && is_within_share,
            Purpose::InUse if held_bytes == 0 => used_bytes <= self.max_bytes,
            Purpose::InUse => {
                let reserve_bytes = self.max_bytes / RESERVE_DIVISOR;
                used_bytes + reserve_bytes <= self.max_bytes && is_within_share
            }
        }
    }
}

/// What one peer holds of a budget.
pub(crate) struct MemoryHolder {
    budget: Rc<MemoryBudget>,
    held: Cell<usize>,
}

impl MemoryHolder {
    /// Creates a holder of nothing.
    pub fn new(budget: Rc<MemoryBudget>) -> Rc<Self> {
        let held = Cell::new(0);
        Rc::new(Self { budget, held })
    }

    /// Reserves bytes for data in use, if the peer may hold them.
    pub fn reserve(self: &Rc<Self>, bytes: usize) -> Option<Reservation> {
        let mut reservation = self.empty_reservation(Purpose::InUse);
        reservation.resize(bytes).then_some(reservation)
    }

    /// Reserves nothing, to be resized later.
    pub fn empty_reservation(self: &Rc<Self>, purpose: Purpose) -> Reservation {
        Reservation {
            holder: self.clone(),
            purpose,
            bytes: 0,
        }
    }

    fn add(&self, bytes: usize) {
        self.held.set(self.held.get() + bytes);
        self.budget.reserved.set(self.budget.reserved.get() + bytes);
    }

    fn remove(&self, bytes: usize) {
        self.held.set(self.held.get() - bytes);
        self.budget.reserved.set(self.budget.reserved.get() - bytes);
    }
}

/// Reserved bytes, which are free again when this is dropped.
pub(crate) struct Reservation {
    holder: Rc<MemoryHolder>,
    purpose: Purpose,
    bytes: usize,
}

impl Reservation {
    /// Changes the number of reserved bytes. False: the peer may not hold as many, and nothing changes.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let holder = &self.holder;
        if let Some(added_bytes) = bytes.checked_sub(self.bytes).filter(|added| *added > 0) {
            if !holder
                .budget
                .may_add(holder.held.get(), added_bytes, self.purpose)
            {
                holder.budget.refused.set(holder.budget.refused.get() + 1);
                return false;
            }
            holder.add(added_bytes);
        } else {
            holder.remove(self.bytes - bytes);
        }
        self.bytes = bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.holder.remove(self.bytes);
    }
}

#[cfg(test)]
mod tests;
