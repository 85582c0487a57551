//! How a controller goes without leaving anybody waiting: clients are told first, then nothing new is taken, then what was
//! taken is answered.

use saltdrum_transport::SendQueue;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::watch;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    #[default]
    Serving,
    /// Clients are told to go elsewhere; what they still bring is taken.
    LeadingAway,
    /// What still comes is throttled, to be brought elsewhere at once.
    Closed,
}

/// What can be seen of a controller from outside.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Look {
    pub in_flight: usize,
    /// Answers that clients have not taken yet.
    pub unsent_bytes: usize,
    pub links: usize,
    pub links_up: usize,
    /// Some list has told it all there is.
    pub listed: bool,
}

type Outboxes = Rc<RefCell<BTreeMap<u64, SendQueue>>>;

type PollTimes = Rc<RefCell<Option<Box<dyn Fn() -> Look>>>>;

/// The handle on one controller's going. Whoever holds it may turn back at any step.
#[derive(Clone)]
pub struct Going {
    step: Rc<watch::Sender<Step>>,
    look: PollTimes,
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

impl Default for Going {
    fn default() -> Self {
        let (look, outboxes, clients) = Default::default();
        Self {
            step: Rc::new(watch::channel(Step::Serving).0),
            look,
            outboxes,
            clients,
        }
    }
}

impl Going {
    pub fn to(&self, step: Step) {
        self.step.send_replace(step);
    }

    pub fn step(&self) -> Step {
        *self.step.borrow()
    }

    /// Nothing before the controller runs.
    pub fn look(&self) -> Look {
        self.look
            .borrow()
            .as_ref()
            .map_or_else(Look::default, |look| look())
    }

    pub(crate) fn sends(&self, outbox: &SendQueue) -> Sends {
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

    pub(crate) fn seen_by(&self, look: impl Fn() -> Look + 'static) {
        *self.look.borrow_mut() = Some(Box::new(look));
    }

    pub(crate) fn follow(&self) -> watch::Receiver<Step> {
        let mut follower = self.step.subscribe();
        follower.mark_changed();
        follower
    }
}
