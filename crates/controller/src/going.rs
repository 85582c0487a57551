//! How a controller goes without leaving anybody waiting: clients are told first, then nothing new is taken, then what was
//! taken is answered.

use std::cell::RefCell;
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
    pub links: usize,
    pub links_up: usize,
    /// Some list has told it all there is.
    pub listed: bool,
}

type Looks = Rc<RefCell<Option<Box<dyn Fn() -> Look>>>>;

/// The handle on one controller's going. Whoever holds it may turn back at any step.
#[derive(Clone)]
pub struct Going {
    step: Rc<watch::Sender<Step>>,
    look: Looks,
}

impl Default for Going {
    fn default() -> Self {
        Self { step: Rc::new(watch::channel(Step::Serving).0), look: Looks::default() }
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
        self.look.borrow().as_ref().map_or_else(Look::default, |look| look())
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
