//! The state of the connection to one invoker, without I/O: its queued frames, and its in-flight and abandoned attempts.

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

/// Upper bound of the bytes queued for one invoker; attempts beyond it are not sent.
const MAX_QUEUED_BYTES: usize = 8 << 20;
/// Late answers are accepted for this many of the most recently abandoned attempts.
const MAX_ABANDONED_ATTEMPTS: usize = 100_000;

/// Phase of a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The connection is being established; frames are queued.
    Connecting,
    Up,
    /// The connection was lost or could not be established; frames are not queued.
    Down,
}

/// An attempt whose frame was queued.
#[derive(Clone, Copy)]
pub(crate) struct QueuedAttempt {
    pub invocation: InvocationId,
    pub attempt: u8,
    pub ticket: Ticket,
}

/// The connection to one invoker.
pub(crate) struct InvokerConnection {
    /// The invoker's entry in the endpoint list.
    pub entry: Entry,
    /// Start time of the invoker on this controller's clock.
    pub started_at: Option<Ticks>,
    pub phase: Phase,
    pub send_queue: SendQueue,
    pub in_flight: BTreeMap<u64, QueuedAttempt>,
    pub load_orders: BTreeMap<u64, Ticket>,
    /// Attempts that ended for this controller before their answer was received.
    pub abandoned: BTreeSet<u64>,
    last_id: u64,
    /// Time from which no new work is sent, including work that was already queued (rule 3).
    pub cutoff: Ticks,
    pub backoff: ReconnectBackoff,
    /// Notified when the endpoint list reports that the invoker changed its address, restarted or returned.
    pub entry_changed: Rc<Notify>,
    /// Notified when the connection has to be closed at once.
    pub close_requested: Rc<Notify>,
}

impl InvokerConnection {
    /// Creates a connection that is not established yet.
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
            entry_changed: Rc::default(),
            close_requested: Rc::default(),
        }
    }

    /// Applies an entry of the endpoint list, according to which the invoker started at `started_at`.
    pub(crate) fn apply_entry(&mut self, mut entry: Entry, started_at: Option<Ticks>) {
        if self.entry.incarnation != entry.incarnation && self.started_at > started_at {
            // The handshake reported a later start than the endpoint list does, which has not caught up yet.
            entry.incarnation = self.entry.incarnation;
        }
        let has_moved = self.entry.address != entry.address;
        let has_returned = self.entry.life == Life::Gone && entry.life != Life::Gone;
        if self.entry.incarnation != entry.incarnation || has_moved {
            self.started_at = started_at;
            self.backoff.reset();
            self.entry_changed.notify_one();
        } else if has_returned {
            self.entry_changed.notify_one();
        }
        if entry.life == Life::Ready {
            self.cutoff = Ticks::MAX;
        }
        self.entry = entry;
    }

    /// Returns the invoker's record for the policy.
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

    /// Whether the connection is established.
    pub(crate) fn is_up(&self) -> bool {
        self.phase == Phase::Up
    }

    fn push(&mut self, frame: Bytes, deadline: Ticks) -> Option<Ticket> {
        if self.phase == Phase::Down {
            return None;
        }
        self.send_queue.push(frame, deadline)
    }

    /// Queues an attempt, whose transmission begins before `send_by` or not at all. Returns its number on this connection.
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
            QueuedAttempt {
                invocation,
                attempt,
                ticket,
            },
        );
        Ok(dispatch)
    }

    /// Queues a load order. Returns its number on this connection.
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

    /// Withdraws an attempt of which nothing was sent. Returns false if the attempt may have run.
    pub(crate) fn withdraw(&mut self, dispatch: u64) -> bool {
        let Some(ticket) = self.in_flight.get(&dispatch).map(|queued| queued.ticket) else {
            return false;
        };
        let withdrawn = self.send_queue.withdraw(0, |other| other == ticket);
        withdrawn.contains(&ticket)
    }

    /// Marks an attempt as ended for this controller; its answer may still be received.
    pub(crate) fn abandon(&mut self, dispatch: u64) {
        if self.in_flight.remove(&dispatch).is_none() {
            return;
        }
        self.abandoned.insert(dispatch);
        if self.abandoned.len() > MAX_ABANDONED_ATTEMPTS {
            self.abandoned.pop_first();
        }
    }

    /// Whether a frame is new work, which must not be sent to a draining invoker (rule 3).
    pub(crate) fn is_new_work(&self, ticket: Ticket) -> bool {
        let mut attempts = self.in_flight.values().map(|queued| queued.ticket);
        attempts.any(|queued| queued == ticket)
            || self.load_orders.values().any(|queued| *queued == ticket)
    }

    /// Prepares for a connection attempt. After a lost connection, starts with an empty send queue.
    pub(crate) fn begin_connecting(&mut self) {
        if self.phase == Phase::Down {
            self.phase = Phase::Connecting;
            self.send_queue = SendQueue::new(MAX_QUEUED_BYTES);
            self.close_requested = Rc::default();
        }
    }

    /// Records that the connection was lost, or could not be established.
    pub(crate) fn disconnected(&mut self, now: Ticks) {
        self.backoff.disconnected(now);
        self.phase = Phase::Down;
        self.send_queue.close();
        self.last_id = 0;
        self.abandoned.clear();
    }
}
