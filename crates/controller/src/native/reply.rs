//! A connected client, and the responses to its calls.

use bytes::Bytes;
use saltdrum::interface::{InvocationId, Ticks};
use saltdrum_protocol::rpc::{self, Id};
use saltdrum_transport::SendQueue;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::sync::Notify;

/// Upper bound of the responses queued for a client that does not read them; beyond it the connection is closed.
pub(crate) const MAX_UNREAD_BYTES: usize = 8 << 20;
/// Deadline of a response that belongs to no invocation.
pub(crate) const NO_DEADLINE: Ticks = Ticks::MAX;

/// One connected client.
pub(crate) struct Client {
    pub send_queue: SendQueue,
    /// Its invocations without a final response.
    pub open_invocations: RefCell<BTreeSet<InvocationId>>,
    /// Notified when one of its open invocations gets its final response.
    pub invocation_finished: Notify,
    /// Notified when a response exceeds the bound of its send queue.
    pub overflowed: Notify,
}

impl Client {
    /// Creates a client without open invocations.
    pub(crate) fn new() -> Rc<Self> {
        Rc::new(Self {
            send_queue: SendQueue::new(MAX_UNREAD_BYTES),
            open_invocations: RefCell::default(),
            invocation_finished: Notify::new(),
            overflowed: Notify::new(),
        })
    }

    /// Queues a line, whose transmission begins before `deadline` or not at all.
    pub(crate) fn send(&self, mut line: String, deadline: Ticks) {
        line.push('\n');
        if self.send_queue.push(Bytes::from(line), deadline).is_none() {
            self.overflowed.notify_one();
        }
    }
}

/// Collects the responses to a batch, which are sent together by the earliest of their deadlines
/// (`docs/design-controller.md`).
pub(crate) struct Batch {
    pending_calls: usize,
    responses: Vec<String>,
    deadline: Ticks,
}

impl Batch {
    /// Creates a batch of `calls` calls.
    pub(crate) fn new(calls: usize) -> Rc<RefCell<Self>> {
        Rc::new(RefCell::new(Self {
            pending_calls: calls,
            responses: Vec::new(),
            deadline: NO_DEADLINE,
        }))
    }
}

/// The destination of the one response to a call.
pub(crate) struct Reply {
    pub client: Rc<Client>,
    /// `None` for a notification, which gets no response.
    pub id: Option<Id>,
    pub batch: Option<Rc<RefCell<Batch>>>,
}

impl Reply {
    /// Marks the call as an accepted invocation.
    pub(crate) fn mark_accepted(&mut self, id: InvocationId) {
        self.client.open_invocations.borrow_mut().insert(id);
    }

    /// Sends a response, or adds it to its batch.
    pub(crate) fn send(self, text: impl FnOnce(&Id) -> String, deadline: Ticks) {
        let text = self.id.as_ref().map(text);
        let Some(batch) = self.batch else {
            if let Some(text) = text {
                self.client.send(text, deadline);
            }
            return;
        };
        let mut batch = batch.borrow_mut();
        batch.pending_calls -= 1;
        batch.responses.extend(text);
        batch.deadline = batch.deadline.min(deadline);
        if batch.pending_calls == 0 && !batch.responses.is_empty() {
            self.client
                .send(format!("[{}]", batch.responses.join(",")), batch.deadline);
        }
    }

    fn mark_finished(&self, id: InvocationId) {
        self.client.open_invocations.borrow_mut().remove(&id);
        self.client.invocation_finished.notify_one();
    }

    /// Sends the result of an accepted invocation.
    pub(crate) fn send_result(self, id: InvocationId, format_result: &str, deadline: Ticks) {
        self.mark_finished(id);
        self.send(|id| rpc::format_result(id, format_result), deadline);
    }

    /// Sends the failure of an accepted invocation.
    pub(crate) fn send_error(
        self,
        id: InvocationId,
        code: i64,
        reason: &str,
        data: Option<&str>,
        deadline: Ticks,
    ) {
        self.mark_finished(id);
        self.send(|id| rpc::format_error(id, code, reason, data), deadline);
    }

    /// Sends nothing for an accepted invocation, because the client has stopped waiting.
    pub(crate) fn abandon(self, id: InvocationId) {
        self.mark_finished(id);
        self.skip();
    }

    /// Sends nothing for a call that was not accepted. The other calls of its batch still get their responses.
    pub(crate) fn skip(mut self) {
        self.id = None;
        self.send(|_| String::new(), NO_DEADLINE);
    }

    /// Rejects a call that was not accepted.
    pub(crate) fn reject(self, code: i64, reason: &str) {
        self.send(|id| rpc::format_error(id, code, reason, None), NO_DEADLINE);
    }
}
