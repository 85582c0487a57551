//! The connection to one invoker, without I/O: what is queued, in flight and given up on it.

use crate::reconnect::ReconnectBackoff;
use bytes::Bytes;
use saltdrum::interface::{FunctionId, InvocationId, InvokerRecord, InvokerStatus, Outcome, Ticks};
use saltdrum_protocol::frame::encode;
use saltdrum_protocol::invoker as wire;
use saltdrum_protocol::list::{Entry, Life};
use saltdrum_transport::{SendQueue, Ticket};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tokio::sync::Notify;

/// Bytes that wait for one invoker at most; beyond it an attempt is not sent.
const MAX_QUEUED_BYTES: usize = 8 << 20;
/// Late answers are expected for this many of the latest attempts that were given up.
const MAX_ABANDONED: usize = 100_000;

#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Frames wait for the connection that is being made.
    Connecting,
    Up,
    /// The last try failed; nothing is sent.
    Down,
}

/// An attempt whose frame was queued.
#[derive(Clone, Copy)]
pub(crate) struct SentAttempt {
    pub invocation: InvocationId,
    pub attempt: u8,
    pub ticket: Ticket,
}

/// The connection to one invoker.
pub(crate) struct InvokerConnection {
    /// The invoker's entry in the endpoint list.
    pub entry: Entry,
    /// When the invoker started, by this controller's clock.
    pub started_at: Option<Ticks>,
    pub phase: Phase,
    pub send_queue: SendQueue,
    pub in_flight: BTreeMap<u64, SentAttempt>,
    pub load_orders: BTreeMap<u64, Ticket>,
    /// Attempts that were given up, and whose answers may still come.
    pub abandoned: BTreeSet<u64>,
    last_id: u64,
    /// Rule 3: no new work is sent from then on, not even what waited.
    pub cutoff: Ticks,
    pub backoff: ReconnectBackoff,
    /// Notified when the endpoint list says that the invoker moved, restarted or returned.
    pub changed: Rc<Notify>,
    /// Notified when the connection is to be closed at once.
    pub broken: Rc<Notify>,
}

impl InvokerConnection {
    /// A connection that is not made yet.
    pub(crate) fn new(entry: Entry, started_at: Option<Ticks>) -> Self {
        Self {
            entry,
            started_at,
            phase: Phase::Connecting,
            send_queue: SendQueue::new(MAX_QUEUED_BYTES),
            in_flight: BTreeMap::new(),
            load_orders: BTreeMap::new(),
            abandoned: BTreeSet::new(),
            last_id: 0,
            cutoff: Ticks::MAX,
            backoff: ReconnectBackoff::default(),
            changed: Rc::default(),
            broken: Rc::default(),
        }
    }

    /// Applies an entry of the endpoint list, by which the invoker started at `started_at`.
    pub(crate) fn apply_entry(&mut self, mut entry: Entry, started_at: Option<Ticks>) {
        if self.entry.incarnation != entry.incarnation && self.started_at > started_at {
            // The invoker itself has reported a later start than the list knows of.
            entry.incarnation = self.entry.incarnation;
        }
        let has_moved = self.entry.address != entry.address;
        let has_returned = self.entry.life == Life::Gone && entry.life != Life::Gone;
        if self.entry.incarnation != entry.incarnation || has_moved {
            self.started_at = started_at;
            self.backoff.reset();
            self.changed.notify_one();
        } else if has_returned {
            self.changed.notify_one();
        }
        if entry.life == Life::Ready {
            self.cutoff = Ticks::MAX;
        }
        self.entry = entry;
    }

    /// The invoker, as the policy is told of it.
    pub(crate) fn record(&self) -> InvokerRecord {
        InvokerRecord {
            invoker: self.entry.invoker,
            zone: self.entry.zone,
            machine_kind: self.entry.kind,
            cell: self.entry.cell,
            status: match self.entry.life {
                Life::Ready => InvokerStatus::Ready,
                Life::Draining => InvokerStatus::Draining,
                Life::Gone => InvokerStatus::Gone,
            },
            capacity: f64::from(self.entry.size),
            started_at: self.started_at,
        }
    }

    /// Whether the connection stands.
    pub(crate) fn is_up(&self) -> bool {
        self.phase == Phase::Up
    }

    fn push(&mut self, frame: Bytes, deadline: Ticks) -> Option<Ticket> {
        if self.phase == Phase::Down {
            return None;
        }
        self.send_queue.push(frame, deadline)
    }

    /// Queues an attempt, which begins to be sent before `send_by` or not at all. Gives its number on this connection.
    pub(crate) fn dispatch(
        &mut self,
        frame: wire::DispatchOut,
        send_by: Ticks,
        invocation: InvocationId,
        attempt: u8,
    ) -> Result<u64, Outcome> {
        if self.phase == Phase::Down {
            return Err(Outcome::NoConnection);
        }
        let dispatch = self.last_id + 1;
        let frame = wire::DispatchOut { dispatch, ..frame };
        let ticket = self.push(frame.encode(), send_by.min(self.cutoff));
        let ticket = ticket.ok_or(Outcome::NotSent)?;
        self.last_id = dispatch;
        self.in_flight.insert(
            dispatch,
            SentAttempt {
                invocation,
                attempt,
                ticket,
            },
        );
        Ok(dispatch)
    }

    /// Queues a load order. Gives its number on this connection.
    pub(crate) fn load(&mut self, function: FunctionId, name: String, count: u8) -> Option<u64> {
        let order = self.last_id + 1;
        let is_new_work = count > 0;
        let deadline = if is_new_work { self.cutoff } else { Ticks::MAX };
        let frame = encode(&wire::Hold {
            order,
            function,
            name,
            count,
        });
        let ticket = self.push(frame, deadline)?;
        self.last_id = order;
        self.load_orders.insert(order, ticket);
        Some(order)
    }

    /// Queues the cancellation of an attempt.
    pub(crate) fn cancel(&mut self, dispatch: u64) {
        self.push(encode(&wire::Cancel { dispatch }), Ticks::MAX);
    }

    /// Queues an order to unload idle instances.
    pub(crate) fn unload(&mut self, function: FunctionId) {
        self.push(encode(&wire::Unload { function }), Ticks::MAX);
    }

    /// Queues a health check.
    pub(crate) fn probe(&mut self) {
        self.last_id += 1;
        let frame = encode(&wire::Probe {
            probe: self.last_id,
        });
        self.push(frame, Ticks::MAX);
    }

    /// Withdraws an attempt of which nothing was sent. False: it may have run.
    pub(crate) fn withdraw(&mut self, dispatch: u64) -> bool {
        let Some(ticket) = self.in_flight.get(&dispatch).map(|sent| sent.ticket) else {
            return false;
        };
        let withdrawn = self.send_queue.withdraw(0, |other| other == ticket);
        withdrawn.contains(&ticket)
    }

    /// The attempt has ended for this controller; an answer may still come.
    pub(crate) fn abandon(&mut self, dispatch: u64) {
        if self.in_flight.remove(&dispatch).is_none() {
            return;
        }
        self.abandoned.insert(dispatch);
        if self.abandoned.len() > MAX_ABANDONED {
            self.abandoned.pop_first();
        }
    }

    /// Whether a frame is new work, which must not reach an invoker that is draining.
    pub(crate) fn is_new_work(&self, ticket: Ticket) -> bool {
        let mut attempts = self.in_flight.values().map(|sent| sent.ticket);
        attempts.any(|sent| sent == ticket) || self.load_orders.values().any(|sent| *sent == ticket)
    }

    /// A connection is about to be made.
    pub(crate) fn begin_connecting(&mut self) {
        if self.phase == Phase::Down {
            self.phase = Phase::Connecting;
            self.send_queue = SendQueue::new(MAX_QUEUED_BYTES);
            self.broken = Rc::default();
        }
    }

    /// The connection is lost, or could not be made.
    pub(crate) fn disconnected(&mut self, now: Ticks) {
        self.backoff.disconnected(now);
        self.phase = Phase::Down;
        self.send_queue.close();
        self.last_id = 0;
        self.abandoned.clear();
    }
}
