//! Graceful shutdown of a controller: clients are asked to use another one, then new invocations are rejected, then what was
//! accepted is answered.

use saltdrum_transport::SendQueue;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::watch;

/// How far the shutdown of a controller is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Not shutting down.
    #[default]
    Serving,
    /// Clients are asked to use another controller; what they still send is accepted.
    Redirecting,
    /// New invocations are rejected, to be retried at another controller at once.
    Rejecting,
}

/// A controller's status, as shutdown goes by it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControllerStatus {
    /// Invocations without a final response, or with an attempt in flight.
    pub in_flight: usize,
    /// Bytes of responses that clients have not read yet.
    pub unsent_bytes: usize,
    /// Invokers that are known.
    pub connections: usize,
    /// Invokers that are connected.
    pub connections_up: usize,
    /// Whether a complete endpoint list was received.
    pub has_endpoint_list: bool,
}

type SendQueues = Rc<RefCell<BTreeMap<u64, SendQueue>>>;

type StatusCallback = Rc<RefCell<Option<Box<dyn Fn() -> ControllerStatus>>>>;

/// Shuts one controller down, and may cancel that in any phase. Clones share their state.
#[derive(Clone)]
pub struct ShutdownHandle {
    phase: Rc<watch::Sender<ShutdownPhase>>,
    status: StatusCallback,
    send_queues: SendQueues,
    clients: Rc<Cell<u64>>,
}

/// A client's responses count as unsent for as long as this is held.
pub(crate) struct UnsentGuard {
    send_queues: SendQueues,
    client: u64,
}

impl Drop for UnsentGuard {
    fn drop(&mut self) {
        self.send_queues.borrow_mut().remove(&self.client);
    }
}

impl Default for ShutdownHandle {
    fn default() -> Self {
        let (status, send_queues, clients) = Default::default();
        Self {
            phase: Rc::new(watch::channel(ShutdownPhase::Serving).0),
            status,
            send_queues,
            clients,
        }
    }
}

impl ShutdownHandle {
    /// Moves the shutdown to a phase.
    pub fn set_phase(&self, phase: ShutdownPhase) {
        self.phase.send_replace(phase);
    }

    /// The present phase.
    pub fn phase(&self) -> ShutdownPhase {
        *self.phase.borrow()
    }

    /// The controller's status; all zero before it runs.
    pub fn status(&self) -> ControllerStatus {
        self.status
            .borrow()
            .as_ref()
            .map_or_else(ControllerStatus::default, |status| status())
    }

    pub(crate) fn track_unsent(&self, queue: &SendQueue) -> UnsentGuard {
        self.clients.set(self.clients.get() + 1);
        let client = self.clients.get();
        self.send_queues.borrow_mut().insert(client, queue.clone());
        UnsentGuard {
            send_queues: self.send_queues.clone(),
            client,
        }
    }

    pub(crate) fn unsent_bytes(&self) -> usize {
        self.send_queues
            .borrow()
            .values()
            .map(SendQueue::queued_bytes)
            .sum()
    }

    pub(crate) fn set_status_source(&self, status: impl Fn() -> ControllerStatus + 'static) {
        *self.status.borrow_mut() = Some(Box::new(status));
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<ShutdownPhase> {
        let mut receiver = self.phase.subscribe();
        receiver.mark_changed();
        receiver
    }
}
