//! How a controller goes without leaving anybody waiting: clients are told first, then nothing new is taken, then what was
//! taken is answered.

use saltdrum_transport::SendQueue;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::watch;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    #[default]
    Serving,
    /// Clients are told to go elsewhere; what they still bring is taken.
    Redirecting,
    /// What still comes is throttled, to be brought elsewhere at once.
    Rejecting,
}

/// What can be seen of a controller from outside.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControllerStatus {
    pub in_flight: usize,
    /// Answers that clients have not taken yet.
    pub unsent_bytes: usize,
    pub connections: usize,
    pub connections_up: usize,
    /// Some list has told it all there is.
    pub has_endpoint_list: bool,
}

type Outboxes = Rc<RefCell<BTreeMap<u64, SendQueue>>>;

type StatusCallback = Rc<RefCell<Option<Box<dyn Fn() -> ControllerStatus>>>>;

/// The handle on one controller's going. Whoever holds it may turn back at any step.
#[derive(Clone)]
pub struct ShutdownHandle {
    phase: Rc<watch::Sender<ShutdownPhase>>,
    status: StatusCallback,
    outboxes: Outboxes,
    clients: Rc<Cell<u64>>,
}

/// A client's answers count as unsent for as long as this is held.
pub(crate) struct Sends {
    outboxes: Outboxes,
    client: u64,
}

impl Drop for Sends {
    fn drop(&mut self) {
        self.outboxes.borrow_mut().remove(&self.client);
    }
}

impl Default for ShutdownHandle {
    fn default() -> Self {
        let (look, outboxes, clients) = Default::default();
        Self {
            phase: Rc::new(watch::channel(ShutdownPhase::Serving).0),
            status: look,
            outboxes,
            clients,
        }
    }
}

impl ShutdownHandle {
    pub fn set_phase(&self, step: ShutdownPhase) {
        self.phase.send_replace(step);
    }

    pub fn phase(&self) -> ShutdownPhase {
        *self.phase.borrow()
    }

    /// Nothing before the controller runs.
    pub fn status(&self) -> ControllerStatus {
        self.status
            .borrow()
            .as_ref()
            .map_or_else(ControllerStatus::default, |look| look())
    }

    pub(crate) fn track_unsent(&self, outbox: &SendQueue) -> Sends {
        self.clients.set(self.clients.get() + 1);
        let client = self.clients.get();
        self.outboxes.borrow_mut().insert(client, outbox.clone());
        Sends {
            outboxes: self.outboxes.clone(),
            client,
        }
    }

    pub(crate) fn unsent_bytes(&self) -> usize {
        self.outboxes
            .borrow()
            .values()
            .map(SendQueue::queued_bytes)
            .sum()
    }

    pub(crate) fn set_status_source(&self, look: impl Fn() -> ControllerStatus + 'static) {
        *self.status.borrow_mut() = Some(Box::new(look));
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<ShutdownPhase> {
        let mut follower = self.phase.subscribe();
        follower.mark_changed();
        follower
    }
}
