//! The state of one controller, and the handle through which tasks access it.

use crate::invocations::InvocationTable;
use crate::policy::Policy;
use crate::transport::InvokerTransport;
use saltdrum::interface::{MILLISECOND, Ticks};
use saltdrum_transport::{Clock, EventLoopClock, Network};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// A timer that fires later than this fires after the process was stopped.
const LATE_TIMER_THRESHOLD: Ticks = 40 * MILLISECOND;
/// Delay of timers after the process was stopped: data in the sockets' buffers arrived earlier and is handled first.
const SOCKETS_FIRST_DELAY: Duration = Duration::from_millis(2);

/// A callback on the state, run when a timer fires or after the policy has returned.
pub type StateCallback<T> = Box<dyn FnOnce(&mut ControllerState<T>)>;

/// The policy and the invocations that it acts on, as separate fields so that the policy can borrow the invocations mutably.
pub struct ControllerState<T: InvokerTransport> {
    /// The policy, which makes all dispatch decisions.
    pub policy: Box<dyn Policy>,
    /// The invocations that the policy acts on.
    pub invocations: InvocationTable<T>,
}

/// A controller's state with its clock, network and configuration. Shared by all tasks of the controller.
pub struct ControllerHandle<T: InvokerTransport> {
    state: RefCell<ControllerState<T>>,
    /// The controller's clock.
    pub clock: Clock,
    /// The network on which it connects and listens.
    pub network: Rc<dyn Network>,
    /// Tracks when its event loop last polled the kernel.
    pub event_loop: EventLoopClock,
    /// Its configuration.
    pub config: T::Config,
    /// Wakes [`ControllerHandle::run_timers`] when a timer was added that fires before all others.
    earlier_timer_added: Notify,
}

impl<T: InvokerTransport> ControllerState<T> {
    /// Runs the callbacks that were deferred until the policy returned.
    fn run_deferred(&mut self) {
        while let Some(callback) = self.invocations.next_deferred() {
            callback(self);
        }
    }

    fn run_due_timers(&mut self) {
        while let Some(callback) = self.invocations.next_due_timer() {
            callback(self);
            self.run_deferred();
        }
    }
}

impl<T: InvokerTransport> ControllerHandle<T> {
    /// Creates the state of a new controller.
    pub fn new(
        policy: Box<dyn Policy>,
        invocations: InvocationTable<T>,
        clock: Clock,
        network: Rc<dyn Network>,
        config: T::Config,
    ) -> Self {
        let state = ControllerState {
            policy,
            invocations,
        };
        Self {
            state: RefCell::new(state),
            clock,
            network,
            event_loop: EventLoopClock::default(),
            config,
            earlier_timer_added: Notify::new(),
        }
    }

    /// Changes the state at the current time, then runs the callbacks that the change deferred.
    pub fn update<R>(&self, change: impl FnOnce(&mut ControllerState<T>) -> R) -> R {
        let state = &mut *self.state.borrow_mut();
        state.invocations.now = self.clock.now().max(state.invocations.now);
        let first_before = state.invocations.first_timer();
        let result = change(state);
        state.run_deferred();
        if state.invocations.first_timer() < first_before || first_before.is_none() {
            self.earlier_timer_added.notify_one();
        }
        result
    }

    /// Reads the state.
    pub fn inspect<R>(&self, read: impl FnOnce(&ControllerState<T>) -> R) -> R {
        read(&self.state.borrow())
    }

    /// Runs timers as they become due, for the lifetime of the controller.
    pub async fn run_timers(&self) {
        loop {
            let first = self.state.borrow().invocations.first_timer();
            let Some(timer) = first else {
                self.earlier_timer_added.notified().await;
                continue;
            };
            tokio::select! {
                biased;
                () = self.clock.sleep_until(timer.at) => {}
                () = self.earlier_timer_added.notified() => continue,
            }
            if self.clock.now() > timer.at + LATE_TIMER_THRESHOLD {
                tokio::time::sleep(SOCKETS_FIRST_DELAY).await;
            }
            self.update(ControllerState::run_due_timers);
        }
    }
}
