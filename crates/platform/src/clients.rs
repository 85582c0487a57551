//! All clients of a controller: who is let in, who is closed to make room or for saying nothing, and the replies that they
//! are owed. `client_connection` is one connection, `admission` the admission of an invocation. A client that lies, floods or
//! says nothing suffers alone.

use saltdrum::interface::{InvocationId, MILLISECOND, SECOND, Ticks};
use saltdrum_controller::{FinalResponse, Responder};
use saltdrum_platform_wire::frames::{self, Code};
use saltdrum_transport::SendQueue;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tokio::sync::Notify;

/// Answers that a client lets lie are bounded; it is cut off when they are more.
const RESPONSE_QUEUE_BYTES_MAX: usize = 1 << 20;
/// Who has said nothing whole for this long since it came has nothing to say.
const FIRST_FRAME_TIMEOUT: Ticks = 2 * SECOND;
/// A frame that has begun is whole after this, or never will be.
const PARTIAL_FRAME_TIMEOUT: Ticks = SECOND;
/// Clients close a connection that long idle themselves, well before this.
const IDLE_TIMEOUT: Ticks = 6 * SECOND;
/// So many connections beyond the clients' part may be at their end, or there to be turned away; past it their ends are
/// cut short, and who comes waits at the door. Well within what the limits reserve, or a crowd would take the
/// descriptors of the feed and of lines.
const CLOSING_CONNECTIONS_MAX: usize = 4;
pub(crate) const NO_DEADLINE: Ticks = Ticks::MAX;
/// Where a refusal is for want of room, the wait that is advised.
pub(crate) const OVERLOAD_RETRY_AFTER_MS: u64 = 100;

/// What a connection is accepted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Entry {
    /// Its requests are served.
    Served,
    /// There is no capacity: all its requests are rejected, then it is closed.
    Rejected,
}

/// Why this controller closes a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// Nothing was asked or answered for long.
    Idle,
    /// It has said nothing whole since it came.
    NeverSpoke,
    /// A frame has begun and does not end.
    PartialFrame,
    /// Its answers pile up unread.
    AnswersUnread,
    /// Another client needs its place.
    MadeRoom,
    /// It came when all places were taken.
    Rejected,
    /// This controller ends.
    ControllerEnds,
}

/// One client's connection, as others see it.
pub(crate) struct Client {
    pub outbox: SendQueue,
    /// Streams whose answer is owed.
    pub open: RefCell<BTreeMap<u32, InvocationId>>,
    pub last_stream: Cell<u32>,
    pub came: Ticks,
    /// When it last asked or was answered; none: it has said nothing whole yet.
    pub active: Cell<Option<Ticks>>,
    pub partial_since: Cell<Option<Ticks>>,
    pub cut: Notify,
    /// Its connection is to end: nothing more is taken on it, and its last words are on their way.
    pub closing: Cell<bool>,
    /// Why it is to end, as first said.
    pub close_reason: Cell<Option<CloseReason>>,
    /// Its place is needed: no more time for last words.
    pub hurried: Cell<bool>,
    /// It was told to bring nothing new.
    pub go_away_sent: Cell<bool>,
}

impl Client {
    /// A connection that was let in now.
    pub fn new(came: Ticks) -> Self {
        Self {
            outbox: SendQueue::new(RESPONSE_QUEUE_BYTES_MAX),
            open: RefCell::default(),
            last_stream: Cell::new(0),
            came,
            active: Cell::new(None),
            partial_since: Cell::new(None),
            cut: Notify::new(),
            closing: Cell::new(false),
            close_reason: Cell::new(None),
            hurried: Cell::new(false),
            go_away_sent: Cell::new(false),
        }
    }

    /// Refuses a request for want of room, with when to come back.
    pub fn refuse(&self, stream: u32) {
        self.put(
            frames::encode_response(stream, Code::Throttled, Some(OVERLOAD_RETRY_AFTER_MS), &[]),
            NO_DEADLINE,
        );
    }

    /// Its connection is to end.
    /// The first reason given is the one that is told.
    pub fn cut_off(&self, reason: CloseReason) {
        self.close_reason
            .set(self.close_reason.get().or(Some(reason)));
        self.closing.set(true);
        self.cut.notify_one();
    }

    /// Its place is needed now.
    fn hurry(&self) {
        self.hurried.set(true);
        self.cut_off(CloseReason::MadeRoom);
    }

    /// Who does not read what it asked for is cut off.
    pub fn put(&self, frame: bytes::Bytes, until: Ticks) {
        if self.outbox.push(frame, until).is_none() {
            self.cut_off(CloseReason::AnswersUnread);
        }
    }

    /// Tells it, once, to bring nothing new on this connection.
    pub fn send_go_away(&self) {
        if !self.go_away_sent.replace(true) {
            self.put(frames::encode_go_away(), NO_DEADLINE);
        }
    }

    /// Since when it does nothing that keeps its connection, if so.
    fn idle_since(&self) -> Option<Ticks> {
        self.open
            .borrow()
            .is_empty()
            .then(|| self.active.get().unwrap_or(self.came))
    }

    /// Why it has had time enough, if so.
    fn overdue(&self, now: Ticks) -> Option<CloseReason> {
        let silent = self.active.get().is_none() && now >= self.came + FIRST_FRAME_TIMEOUT;
        let stuck = self
            .partial_since
            .get()
            .is_some_and(|since| now >= since + PARTIAL_FRAME_TIMEOUT);
        let idle = self
            .idle_since()
            .is_some_and(|since| now >= since + IDLE_TIMEOUT);
        match (silent, stuck, idle) {
            (true, _, _) => Some(CloseReason::NeverSpoke),
            (_, true, _) => Some(CloseReason::PartialFrame),
            (_, _, true) => Some(CloseReason::Idle),
            (false, false, false) => None,
        }
    }
}

/// All clients of a controller, and the ids that are open.
#[derive(Default)]
pub(crate) struct Clients {
    all: RefCell<BTreeMap<u64, Rc<Client>>>,
    last: Cell<u64>,
    pub(crate) open_transactions: Rc<RefCell<BTreeSet<u64>>>,
    /// Frames read, of all clients.
    frames: Cell<u64>,
    /// Told to end: no client is to bring anything new.
    ending: Cell<bool>,
    shut: Notify,
    /// A connection has ended, and its place is free.
    freed: Notify,
    /// The door is shut, and whoever had come to it is in.
    is_shut: Cell<bool>,
    /// All is settled: nothing is taken any more, on whatever connection.
    is_closed: Cell<bool>,
}

impl Clients {
    /// Connections, and ids that are open: for tests and the log.
    #[cfg(test)]
    pub fn sizes(&self) -> (usize, usize) {
        (
            self.all.borrow().len(),
            self.open_transactions.borrow().len(),
        )
    }

    /// How many connections are being ended.
    #[cfg(test)]
    pub fn going(&self) -> usize {
        self.all
            .borrow()
            .values()
            .filter(|c| c.closing.get())
            .count()
    }

    /// Asks all to bring nothing new on these connections.
    pub fn send_go_away(&self) {
        self.ending.set(true);
        self.all.borrow().values().for_each(|c| c.send_go_away());
    }

    /// Accepts what waits to be accepted, then no more.
    pub fn shut(&self) {
        self.shut.notify_one();
    }

    /// Waits until no more clients are to be accepted.
    pub(crate) async fn shut_requested(&self) {
        self.shut.notified().await;
    }

    /// No more clients are accepted.
    pub(crate) fn set_shut(&self) {
        self.is_shut.set(true);
    }

    /// Waits until a connection has ended.
    pub(crate) async fn connection_freed(&self) {
        self.freed.notified().await;
    }

    /// Closes connections of clients that say nothing, or never end a frame that they began.
    pub(crate) fn close_overdue(&self, now: Ticks) {
        for client in self.all.borrow().values() {
            if let Some(reason) = client.overdue(now) {
                client.cut_off(reason);
            }
        }
    }

    /// Whether answers wait to leave, or a request has come in part.
    pub fn have_pending_output(&self) -> bool {
        let half = |c: &Client| c.partial_since.get().is_some() && !c.closing.get();
        self.all
            .borrow()
            .values()
            .any(|c| c.outbox.queued_bytes() > 0 || half(c))
    }

    /// Whether no more clients are accepted.
    pub fn is_shut(&self) -> bool {
        self.is_shut.get()
    }

    /// Complete frames that were read.
    pub fn frames(&self) -> u64 {
        self.frames.get()
    }

    /// Ends all connections, each once what it is owed has left.
    pub fn close(&self) {
        self.is_closed.set(true);
        self.all
            .borrow()
            .values()
            .for_each(|client| client.cut_off(CloseReason::ControllerEnds));
    }

    /// Whether a controller that ends has told its clients so.
    pub(crate) fn are_ending(&self) -> bool {
        self.ending.get()
    }

    /// A whole frame was read.
    pub(crate) fn count_frame(&self) {
        self.frames.set(self.frames.get() + 1);
    }

    /// Takes a client into the table. Gives its number there.
    pub(crate) fn enter(&self, client: &Rc<Client>) -> u64 {
        let number = self.last.get() + 1;
        self.last.set(number);
        self.all.borrow_mut().insert(number, client.clone());
        if self.is_closed.get() {
            client.cut_off(CloseReason::ControllerEnds);
        }
        number
    }

    /// A connection has ended.
    pub(crate) fn remove(&self, number: u64) {
        self.all.borrow_mut().remove(&number);
        self.freed.notify_one();
    }

    /// Whether no connection is left.
    pub fn are_gone(&self) -> bool {
        self.all.borrow().is_empty()
    }

    /// Makes capacity for one more: of those with nothing open, the one idle longest is closed. Where all have something open,
    /// the new one is rejected. None: so many are closing that it has to wait, and one of them ends at once.
    pub(crate) fn make_capacity(&self, most: usize) -> Option<Entry> {
        let all = self.all.borrow();
        let served = all.values().filter(|c| !c.closing.get());
        let is_crowded = all.len() >= most + CLOSING_CONNECTIONS_MAX;
        if served.clone().count() < most && !is_crowded {
            return Some(Entry::Served);
        }
        if is_crowded {
            let going = all.values().find(|c| c.closing.get() && !c.hurried.get());
            going
                .or(longest_idle(served))
                .into_iter()
                .for_each(|client| client.hurry());
            return None;
        }
        match longest_idle(served) {
            Some(client) => {
                client.cut_off(CloseReason::MadeRoom);
                Some(Entry::Served)
            }
            None => Some(Entry::Rejected),
        }
    }
}

/// Of clients with nothing open the one that is idle longest; those first that never said anything.
fn longest_idle<'a>(clients: impl Iterator<Item = &'a Rc<Client>>) -> Option<&'a Rc<Client>> {
    let idle = clients.filter_map(|c| Some((c.active.get().is_some(), c.idle_since()?, c)));
    idle.min_by_key(|(spoke, since, _)| (*spoke, *since))
        .map(|(_, _, client)| client)
}

/// Where the one answer to an invocation goes. Whatever becomes of it, its stream and id are free after.
pub(crate) struct ClientResponder {
    pub client: Rc<Client>,
    pub stream: u32,
    pub txn: u64,
    pub open_transactions: Rc<RefCell<BTreeSet<u64>>>,
    pub clock: saltdrum_transport::Clock,
}

impl Drop for ClientResponder {
    fn drop(&mut self) {
        self.open_transactions.borrow_mut().remove(&self.txn);
        self.client.open.borrow_mut().remove(&self.stream);
        self.client.active.set(Some(self.clock.now()));
    }
}

impl Responder for ClientResponder {
    fn respond(self, _: InvocationId, how: FinalResponse, _: u8, until: Ticks) {
        let frame = match how {
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
        self.client.put(frame, until);
    }

    fn abandon(self, _: InvocationId) {}
}
