//! Graceful shutdown of a controller: clients are asked to use another controller, then new invocations are rejected, while
//! accepted invocations still get their final response.

use saltdrum_transport::SendQueue;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::watch;

/// Phase of a controller's shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Not shutting down.
    #[default]
    Serving,
    /// Clients are asked to use another controller; invocations that they still send are accepted.
    Redirecting,
    /// New invocations are rejected, so that clients retry at another controller at once.
    Rejecting,
}

/// The part of a controller's status that graceful shutdown depends on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControllerStatus {
    /// Invocations without a final response, or with an attempt in flight.
    pub in_flight: usize,
    /// Bytes of responses that are queued for clients and not sent yet.
    pub unsent_bytes: usize,
    /// Invokers with a connection, established or not.
    pub connections: usize,
    /// Invokers whose connection is established.
    pub connections_up: usize,
    /// Whether a complete endpoint list has been received.
    pub has_endpoint_list: bool,
}

type SendQueues = Rc<RefCell<BTreeMap<u64, SendQueue>>>;

type StatusCallback = Rc<RefCell<Option<Box<dyn Fn() -> ControllerStatus>>>>;

/// Controls the shutdown of one controller, which can be cancelled in any phase. Clones share their state.
#[derive(Clone)]
pub struct ShutdownHandle {
    phase: Rc<watch::Sender<ShutdownPhase>>,
    status: StatusCallback,
    send_queues: SendQueues,
    last_client: Rc<Cell<u64>>,
}

/// Includes a client's queued responses in the unsent bytes until it is dropped.
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
        let (status, send_queues, last_client) = Default::default();
        Self {
            phase: Rc::new(watch::channel(ShutdownPhase::Serving).0),
            status,
            send_queues,
            last_client,
        }
    }
}

impl ShutdownHandle {
    /// Sets the phase, back to [`ShutdownPhase::Serving`] to cancel the shutdown.
    pub fn set_phase(&self, phase: ShutdownPhase) {
        self.phase.send_replace(phase);
    }

    /// Returns the current phase.
    pub fn phase(&self) -> ShutdownPhase {
        *self.phase.borrow()
    }

    /// Returns the controller's status; all zero before the controller runs.
    pub fn status(&self) -> ControllerStatus {
        self.status
            .borrow()
            .as_ref()
            .map_or_else(ControllerStatus::default, |status| status())
    }

    pub(crate) fn track_unsent(&self, queue: &SendQueue) -> UnsentGuard {
        self.last_client.set(self.last_client.get() + 1);
        let client = self.last_client.get();
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
