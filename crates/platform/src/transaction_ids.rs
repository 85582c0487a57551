//! The ids of invocations that are in flight, or that may have run recently. Clients use each id once: a request whose id
//! comes again might run a second time (rule 2), and is not sent.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

/// Why an id can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum UsedId {
    /// Its invocation is in flight.
    #[error("txn: open already")]
    Open,
    /// Its invocation may have run.
    #[error("txn: used already")]
    MayHaveRun,
}

/// Ids of invocations that may have run, the oldest of which are forgotten at a bound.
#[derive(Default)]
struct RecentIds {
    in_order: VecDeque<u64>,
    sorted: BTreeSet<u64>,
}

/// The ids that can't be used.
pub(crate) struct TransactionIds {
    max_recent: usize,
    open: RefCell<BTreeSet<u64>>,
    recent: RefCell<RecentIds>,
    /// Ids that were forgotten at the bound, and requests that were refused for their id.
    forgotten: Cell<u64>,
    refused: Cell<u64>,
}

impl TransactionIds {
    /// Creates an empty table that keeps up to `max_recent` ids of invocations that may have run.
    pub fn new(max_recent: usize) -> Rc<Self> {
        Rc::new(Self {
            max_recent,
            open: RefCell::default(),
            recent: RefCell::default(),
            forgotten: Cell::new(0),
            refused: Cell::new(0),
        })
    }

    /// Uses an id for an invocation.
    pub fn open(self: &Rc<Self>, id: u64) -> Result<TransactionId, UsedId> {
        let used = if self.recent.borrow().sorted.contains(&id) {
            Some(UsedId::MayHaveRun)
        } else if self.open.borrow_mut().insert(id) {
            None
        } else {
            Some(UsedId::Open)
        };
        if let Some(used) = used {
            self.refused.set(self.refused.get() + 1);
            return Err(used);
        }
        Ok(TransactionId {
            id,
            may_have_run: Cell::new(false),
            ids: self.clone(),
        })
    }

    /// Number of ids of invocations in flight.
    #[cfg(test)]
    pub fn open_count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Number of ids of invocations that may have run.
    pub fn recent_count(&self) -> usize {
        self.recent.borrow().in_order.len()
    }

    /// Number of ids that were forgotten at the bound.
    pub fn forgotten(&self) -> u64 {
        self.forgotten.get()
    }

    /// Number of requests that were refused for their id.
    pub fn refused(&self) -> u64 {
        self.refused.get()
    }

    fn remember(&self, id: u64) {
        let mut recent = self.recent.borrow_mut();
        recent.in_order.push_back(id);
        recent.sorted.insert(id);
        if recent.in_order.len() <= self.max_recent {
            return;
        }
        if let Some(oldest) = recent.in_order.pop_front() {
            recent.sorted.remove(&oldest);
            self.forgotten.set(self.forgotten.get() + 1);
        }
    }
}

/// The id of an invocation in flight. When this is dropped, the id is free again unless the invocation may have run.
pub(crate) struct TransactionId {
    id: u64,
    may_have_run: Cell<bool>,
    ids: Rc<TransactionIds>,
}

impl TransactionId {
    /// The id.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Records that the invocation may have run.
    pub fn set_may_have_run(&self) {
        self.may_have_run.set(true);
    }
}

impl Drop for TransactionId {
    fn drop(&mut self) {
        self.ids.open.borrow_mut().remove(&self.id);
        if self.may_have_run.get() {
            self.ids.remember(self.id);
        }
    }
}

#[cfg(test)]
mod tests;
