//! The table of client connections: which are accepted, which are closed for being idle or to free capacity, and the
//! responses that wait to be sent. `client_connection` serves one connection, `admission` admits one invocation. A
//! malformed, flooding or silent client affects no other client.

use crate::limits::ResourceLimits;
use crate::shared_budget::{BudgetHolder, PeerShare, SharedBudget};
use crate::transaction_ids::TransactionIds;
use saltdrum::interface::{InvocationId, MILLISECOND, SECOND, Ticks};
use saltdrum_controller::{FinalResponse, Responder};
use saltdrum_platform_wire::frames::{self, Code};
use saltdrum_transport::SendQueue;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::{Notify, Semaphore, SemaphorePermit};

/// Bound on the responses that a client has not read. A client that exceeds it is disconnected.
const RESPONSE_QUEUE_BYTES_MAX: usize = 1 << 20;
/// A client that has not sent a complete frame this long after it connected is disconnected.
const FIRST_FRAME_TIMEOUT: Ticks = 2 * SECOND;
/// A client whose partially received frame is not complete after this time is disconnected.
const PARTIAL_FRAME_TIMEOUT: Ticks = SECOND;
/// Idle time after which a connection is closed. Clients close idle connections themselves, well before this.
const IDLE_TIMEOUT: Ticks = 6 * SECOND;
/// Connections beyond the limit on served clients that may be closing or rejected at once. Beyond it closing
/// connections are closed at once, and new connections wait to be accepted. It is well within the reserved descriptors;
/// otherwise many clients would use up the descriptors of the endpoint feed and of invoker connections.
const CLOSING_CONNECTIONS_MAX: usize = 4;
/// The send deadline of frames that never expire.
pub(crate) const NO_DEADLINE: Ticks = Ticks::MAX;
/// Retry-after of requests that are rejected for lack of capacity.
pub(crate) const OVERLOAD_RETRY_AFTER_MS: u64 = 100;

/// How a new connection is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcceptDecision {
    /// Its requests are served.
    Served,
    /// There is no capacity: its requests are rejected, then it is closed.
    Rejected,
}

/// Why this controller closes a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// No request or response for the idle timeout.
    Idle,
    /// No complete frame since it was accepted.
    NeverSpoke,
    /// A frame was not completed in time.
    PartialFrame,
    /// Its queue of unread responses exceeds the bound.
    AnswersUnread,
    /// It holds the most unread responses while the memory limit of all clients is exceeded.
    MemoryLimit,
    /// Its capacity is needed for another client.
    MadeRoom,
    /// It connected when there was no capacity.
    Rejected,
    /// This controller shuts down.
    ControllerEnds,
}

/// The shared state of one client's connection.
pub(crate) struct Client {
    pub outbox: SendQueue,
    /// What it holds besides unread responses.
    pub memory: Rc<BudgetHolder>,
    /// The connections to invokers that its attempts use.
    pub lines: Rc<BudgetHolder>,
    budget: Rc<SharedBudget>,
    /// Streams whose response has not been sent yet.
    pub open_streams: RefCell<BTreeMap<u32, InvocationId>>,
    pub last_stream: Cell<u32>,
    pub accepted_at: Ticks,
    /// When a frame was last received or a response sent; none: no complete frame was received yet.
    pub last_active: Cell<Option<Ticks>>,
    /// Since when a frame has been received in part.
    pub partial_since: Cell<Option<Ticks>>,
    /// Wakes the connection's task when it is to close.
    pub close_signal: Notify,
    /// The connection is closing: no more requests are admitted on it, and its remaining responses are being sent.
    pub is_closing: Cell<bool>,
    /// The first reason for which it was to be closed.
    pub close_reason: Cell<Option<CloseReason>>,
    /// Its capacity is needed at once: it does not wait for its remaining responses to be delivered.
    pub must_close_now: Cell<bool>,
    /// The client was asked to send nothing new on this connection.
    pub go_away_sent: Cell<bool>,
}

impl Client {
    /// Creates the state of a connection that was accepted at `accepted_at`. What it holds counts among all `clients` hold.
    pub fn new(accepted_at: Ticks, clients: &Clients) -> Self {
        let budget = &clients.memory;
        Self {
            lines: BudgetHolder::new(clients.lines.clone()),
            outbox: SendQueue::counted_in(RESPONSE_QUEUE_BYTES_MAX, budget.queued()),
            memory: BudgetHolder::new(budget.clone()),
            budget: budget.clone(),
            open_streams: RefCell::default(),
            last_stream: Cell::new(0),
            accepted_at,
            last_active: Cell::new(None),
            partial_since: Cell::new(None),
            close_signal: Notify::new(),
            is_closing: Cell::new(false),
            close_reason: Cell::new(None),
            must_close_now: Cell::new(false),
            go_away_sent: Cell::new(false),
        }
    }

    /// Rejects a request for lack of capacity, with a retry-after.
    pub fn reject(&self, stream: u32) {
        self.send(
            frames::encode_response(stream, Code::Throttled, Some(OVERLOAD_RETRY_AFTER_MS), &[]),
            NO_DEADLINE,
        );
    }

    /// Asks the connection's task to close it. Only the first reason is recorded.
    pub fn request_close(&self, reason: CloseReason) {
        self.close_reason
            .set(self.close_reason.get().or(Some(reason)));
        self.is_closing.set(true);
        self.close_signal.notify_one();
    }

    /// Asks the connection's task to close it at once.
    fn request_immediate_close(&self, reason: CloseReason) {
        self.must_close_now.set(true);
        self.request_close(reason);
    }

    /// Queues a frame. A client that does not read its responses is disconnected.
    pub fn send(&self, frame: bytes::Bytes, deadline: Ticks) {
        let has_room = self.outbox.memory_bytes() < RESPONSE_QUEUE_BYTES_MAX;
        if !has_room || self.outbox.push(frame, deadline).is_none() {
            self.request_close(CloseReason::AnswersUnread);
        }
        self.budget.check_bound();
    }

    /// Asks the client, once, to send nothing new on this connection.
    pub fn send_go_away(&self) {
        if !self.go_away_sent.replace(true) {
            self.send(frames::encode_go_away(), NO_DEADLINE);
        }
    }

    /// Since when the connection has been idle, if nothing is in flight on it.
    fn idle_since(&self) -> Option<Ticks> {
        self.open_streams
            .borrow()
            .is_empty()
            .then(|| self.last_active.get().unwrap_or(self.accepted_at))
    }

    /// Why the connection is to be closed at `now`, if a timeout has expired.
    fn overdue_reason(&self, now: Ticks) -> Option<CloseReason> {
        let never_spoke =
            self.last_active.get().is_none() && now >= self.accepted_at + FIRST_FRAME_TIMEOUT;
        let is_partial = self
            .partial_since
            .get()
            .is_some_and(|since| now >= since + PARTIAL_FRAME_TIMEOUT);
        let is_idle = self
            .idle_since()
            .is_some_and(|since| now >= since + IDLE_TIMEOUT);
        match (never_spoke, is_partial, is_idle) {
            (true, _, _) => Some(CloseReason::NeverSpoke),
            (_, true, _) => Some(CloseReason::PartialFrame),
            (_, _, true) => Some(CloseReason::Idle),
            (false, false, false) => None,
        }
    }
}

/// All client connections of a controller, and the ids of their invocations in flight.
pub(crate) struct Clients {
    /// What all clients may hold besides their connections.
    pub(crate) memory: Rc<SharedBudget>,
    /// The connections to invokers that their attempts use.
    pub(crate) lines: Rc<SharedBudget>,
    connections: RefCell<BTreeMap<u64, Rc<Client>>>,
    last_number: Cell<u64>,
    pub(crate) transactions: Rc<TransactionIds>,
    /// Complete frames read from all clients.
    frames_read: Cell<u64>,
    /// Held by the client whose frames are handled.
    turn: Semaphore,
    /// Clients were asked to send nothing new.
    is_shutting_down: Cell<bool>,
    stop_accepting: Notify,
    /// A connection was closed, and its capacity is free.
    connection_closed: Notify,
    /// The listener is closed, and all pending connections have been accepted.
    has_stopped_accepting: Cell<bool>,
    /// All responses were sent: no connection admits requests any more.
    is_closed: Cell<bool>,
}

impl Clients {
    /// Creates an empty table with the bounds on what clients hold.
    pub fn new(budget: &ResourceLimits) -> Self {
        Self {
            memory: SharedBudget::new(budget.client_bytes, PeerShare::Ninth),
            lines: SharedBudget::new(budget.lines, PeerShare::Half),
            connections: RefCell::default(),
            last_number: Cell::default(),
            transactions: TransactionIds::new(budget.recent_ids),
            frames_read: Cell::default(),
            turn: Semaphore::new(1),
            is_shutting_down: Cell::default(),
            stop_accepting: Notify::new(),
            connection_closed: Notify::new(),
            has_stopped_accepting: Cell::default(),
            is_closed: Cell::default(),
        }
    }

    /// Waits for a client's turn to have its frames handled. Clients have their turns in the order in which they wait, and
    /// other tasks run between two turns: so clients that send at full speed delay neither the attempts and responses of
    /// others, nor their requests by more than a turn of each client.
    pub(crate) async fn wait_for_turn(&self) -> Option<SemaphorePermit<'_>> {
        self.turn.acquire().await.ok()
    }

    /// Closes the client that holds the most unread responses at once. False: none holds any.
    pub(crate) fn close_largest_holder(&self) -> bool {
        let connections = self.connections.borrow();
        let holders = connections
            .values()
            .filter(|c| !c.must_close_now.get() && c.outbox.memory_bytes() > 0);
        let Some(largest) = holders.max_by_key(|c| c.outbox.memory_bytes()) else {
            return false;
        };
        self.memory.count_ended();
        largest.request_immediate_close(CloseReason::MemoryLimit);
        true
    }

    /// Number of connections.
    pub(crate) fn count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Number of connections, and of invocations in flight.
    #[cfg(test)]
    pub fn sizes(&self) -> (usize, usize) {
        (
            self.connections.borrow().len(),
            self.transactions.open_count(),
        )
    }

    /// Number of connections that are closing.
    #[cfg(test)]
    pub fn closing_count(&self) -> usize {
        self.connections
            .borrow()
            .values()
            .filter(|c| c.is_closing.get())
            .count()
    }

    /// Asks all clients to send nothing new on their connections.
    pub fn send_go_away(&self) {
        self.is_shutting_down.set(true);
        self.connections
            .borrow()
            .values()
            .for_each(|c| c.send_go_away());
    }

    /// Asks the acceptor to accept all pending connections, and no more after that.
    pub fn stop_accepting(&self) {
        self.stop_accepting.notify_one();
    }

    /// Waits for [`Clients::stop_accepting`].
    pub(crate) async fn stop_accepting_requested(&self) {
        self.stop_accepting.notified().await;
    }

    /// Records that no more clients are accepted.
    pub(crate) fn set_stopped_accepting(&self) {
        self.has_stopped_accepting.set(true);
    }

    /// Waits until a connection was closed.
    pub(crate) async fn wait_for_closed_connection(&self) {
        self.connection_closed.notified().await;
    }

    /// Closes connections that are idle, or whose partially received frame is overdue.
    pub(crate) fn close_overdue(&self, now: Ticks) {
        for client in self.connections.borrow().values() {
            if let Some(reason) = client.overdue_reason(now) {
                client.request_close(reason);
            }
        }
    }

    /// Whether responses wait to be sent, or a request was received in part.
    pub fn have_pending_output(&self) -> bool {
        let has_partial_frame = |c: &Client| c.partial_since.get().is_some() && !c.is_closing.get();
        self.connections
            .borrow()
            .values()
            .any(|c| c.outbox.queued_bytes() > 0 || has_partial_frame(c))
    }

    /// Whether no more clients are accepted.
    pub fn has_stopped_accepting(&self) -> bool {
        self.has_stopped_accepting.get()
    }

    /// Complete frames that were read.
    pub fn frames_read(&self) -> u64 {
        self.frames_read.get()
    }

    /// Closes all connections, each once its responses have been sent.
    pub fn close_all(&self) {
        self.is_closed.set(true);
        self.connections
            .borrow()
            .values()
            .for_each(|client| client.request_close(CloseReason::ControllerEnds));
    }

    /// Whether clients were asked to send nothing new.
    pub(crate) fn is_shutting_down(&self) -> bool {
        self.is_shutting_down.get()
    }

    /// Counts a complete frame that was read.
    pub(crate) fn count_frame(&self) {
        self.frames_read.set(self.frames_read.get() + 1);
    }

    /// Inserts a connection into the table and returns its number.
    pub(crate) fn insert(&self, client: &Rc<Client>) -> u64 {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        self.connections.borrow_mut().insert(number, client.clone());
        if self.is_closed.get() {
            client.request_close(CloseReason::ControllerEnds);
        }
        number
    }

    /// Removes a connection that was closed.
    pub(crate) fn remove(&self, number: u64) {
        self.connections.borrow_mut().remove(&number);
        self.connection_closed.notify_one();
    }

    /// Whether all connections are closed.
    pub fn are_all_closed(&self) -> bool {
        self.connections.borrow().is_empty()
    }

    /// Makes capacity for one more connection by closing the longest idle one. If all have invocations in flight, the
    /// new one is rejected. None: so many are closing that it has to wait; one of them is then closed at once.
    pub(crate) fn make_capacity(&self, max_served: usize) -> Option<AcceptDecision> {
        let connections = self.connections.borrow();
        let served = connections.values().filter(|c| !c.is_closing.get());
        let is_crowded = connections.len() >= max_served + CLOSING_CONNECTIONS_MAX;
        if served.clone().count() < max_served && !is_crowded {
            return Some(AcceptDecision::Served);
        }
        if is_crowded {
            let closing = connections
                .values()
                .find(|c| c.is_closing.get() && !c.must_close_now.get());
            closing
                .or(longest_idle(served))
                .into_iter()
                .for_each(|client| client.request_immediate_close(CloseReason::MadeRoom));
            return None;
        }
        match longest_idle(served) {
            Some(client) => {
                client.request_close(CloseReason::MadeRoom);
                Some(AcceptDecision::Served)
            }
            None => Some(AcceptDecision::Rejected),
        }
    }
}

/// Returns the longest idle of the clients without invocations in flight, preferring those that never sent a frame.
fn longest_idle<'a>(clients: impl Iterator<Item = &'a Rc<Client>>) -> Option<&'a Rc<Client>> {
    let idle = clients.filter_map(|c| Some((c.last_active.get().is_some(), c.idle_since()?, c)));
    idle.min_by_key(|(has_sent_frame, since, _)| (*has_sent_frame, *since))
        .map(|(_, _, client)| client)
}

/// Sends the final response of an invocation. However the invocation ends, its stream is closed when this is dropped.
pub(crate) struct ClientResponder {
    pub client: Rc<Client>,
    pub stream: u32,
    pub clock: saltdrum_transport::Clock,
}

impl Drop for ClientResponder {
    fn drop(&mut self) {
        self.client.open_streams.borrow_mut().remove(&self.stream);
        self.client.last_active.set(Some(self.clock.now()));
    }
}

impl Responder for ClientResponder {
    fn respond(self, _: InvocationId, response: FinalResponse, _: u8, deadline: Ticks) {
        let frame = match response {
            FinalResponse::Succeeded(output) => {
                frames::encode_response(self.stream, Code::Succeeded, None, output)
            }
            FinalResponse::Throttled(wait) => {
                let later = Some(wait / MILLISECOND).filter(|ms| *ms > 0);
                frames::encode_response(self.stream, Code::Throttled, later, &[])
            }
            FinalResponse::Errored(_) => {
                frames::encode_response(self.stream, Code::Errored, None, &[])
            }
        };
        self.client.send(frame, deadline);
    }

    fn abandon(self, _: InvocationId) {}
}
