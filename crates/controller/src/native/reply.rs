//! One client, and the responses to its calls.

use bytes::Bytes;
use saltdrum::interface::{InvocationId, Ticks};
use saltdrum_protocol::rpc::{self, Id};
use saltdrum_transport::SendQueue;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::sync::Notify;

/// Responses that a client does not read are bounded; beyond this its connection is closed.
pub(crate) const MAX_UNREAD_BYTES: usize = 8 << 20;
/// A response that belongs to no invocation need not be sent by a certain time.
pub(crate) const NO_DEADLINE: Ticks = Ticks::MAX;

/// One connected client.
pub(crate) struct Client {
    pub send_queue: SendQueue,
    /// Its invocations without a final response.
    pub open: RefCell<BTreeSet<InvocationId>>,
    /// Notified when one of them gets its final response.
    pub response_given: Notify,
    /// Notified when it has too many unread bytes.
    pub overflowed: Notify,
}

impl Client {
    /// A client without open invocations.
    pub(crate) fn new() -> Rc<Self> {
        Rc::new(Self {
            send_queue: SendQueue::new(MAX_UNREAD_BYTES),
            open: RefCell::default(),
            response_given: Notify::new(),
            overflowed: Notify::new(),
        })
    }

    /// Queues a line. Nothing of it is sent from `deadline` on.
    pub(crate) fn send(&self, mut line: String, deadline: Ticks) {
        line.push('\n');
        if self.send_queue.push(Bytes::from(line), deadline).is_none() {
            self.overflowed.notify_one();
        }
    }
}

/// The responses to a batch are sent together, by the earliest of their deadlines (`docs/design-controller.md`).
pub(crate) struct Batch {
    missing: usize,
    parts: Vec<String>,
    deadline: Ticks,
}

impl Batch {
    /// A batch of so many calls.
    pub(crate) fn new(calls: usize) -> Rc<RefCell<Self>> {
        Rc::new(RefCell::new(Self {
            missing: calls,
            parts: Vec::new(),
            deadline: NO_DEADLINE,
        }))
    }
}

/// Where the one response to a call is sent.
pub(crate) struct Reply {
    pub client: Rc<Client>,
    /// None for a notification, which gets no response.
    pub id: Option<Id>,
    pub batch: Option<Rc<RefCell<Batch>>>,
}

impl Reply {
    /// The call is an invocation that was accepted.
    pub(crate) fn accepted(&mut self, id: InvocationId) {
        self.client.open.borrow_mut().insert(id);
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
        batch.missing -= 1;
        batch.parts.extend(text);
        batch.deadline = batch.deadline.min(deadline);
        if batch.missing == 0 && !batch.parts.is_empty() {
            self.client
                .send(format!("[{}]", batch.parts.join(",")), batch.deadline);
        }
    }

    fn finished(&self, id: InvocationId) {
        self.client.open.borrow_mut().remove(&id);
        self.client.response_given.notify_one();
    }

    /// Sends the result of an accepted invocation.
    pub(crate) fn result(self, id: InvocationId, result: &str, deadline: Ticks) {
        self.finished(id);
        self.send(|id| rpc::format_result(id, result), deadline);
    }

    /// Sends the failure of an accepted invocation.
    pub(crate) fn error(
        self,
        id: InvocationId,
        code: i64,
        reason: &str,
        data: Option<&str>,
        deadline: Ticks,
    ) {
        self.finished(id);
        self.send(|id| rpc::format_error(id, code, reason, data), deadline);
    }

    /// Sends nothing for an accepted invocation: the client waits no more.
    pub(crate) fn abandon(self, id: InvocationId) {
        self.finished(id);
        self.skip();
    }

    /// Sends nothing for a call that was not accepted. The rest of its batch still gets its responses.
    pub(crate) fn skip(mut self) {
        self.id = None;
        self.send(|_| String::new(), NO_DEADLINE);
    }

    /// Rejects a call that was not accepted.
    pub(crate) fn reject(self, code: i64, reason: &str) {
        self.send(|id| rpc::format_error(id, code, reason, None), NO_DEADLINE);
    }
}
