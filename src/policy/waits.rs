//! Waits of invocations without an attempt in flight: for a load, for an invoker's confirmation, or for some time. A
//! wait ends with the next decision on its invocation, or with the invocation, and nothing of it is retained.

use super::invocations::InvocationState;
use super::{Continuation, DispatchPolicy};
use crate::interface::{Actions, FunctionId, InvocationId, InvokerId, Ticks};

/// The wait of an invocation.
pub(super) struct Wait {
    /// The timer that ends the wait at the latest. It identifies the wait.
    timer: u64,
    event: WaitEvent,
}

/// The event that ends a wait before its timer.
#[derive(Clone, Copy)]
pub(super) enum WaitEvent {
    /// None: only time ends the wait.
    Nothing,
    /// The end of the load order at an invoker.
    LoadEnded(InvokerId),
    /// The end of the probe of an invoker.
    ProbeEnded(InvokerId),
}

/// Steps that run at the same event, in the order in which they were added.
#[derive(Default)]
pub(super) struct Waiters {
    /// Each step with the timer of its wait; none: it does not belong to an invocation.
    steps: Vec<(Option<u64>, Continuation)>,
}

impl Waiters {
    /// Number of steps.
    pub(super) fn len(&self) -> usize {
        self.steps.len()
    }

    /// Adds a step that does not belong to an invocation.
    pub(super) fn push(&mut self, step: Continuation) {
        self.steps.push((None, step));
    }

    /// Adds the step of a wait.
    fn push_wait(&mut self, timer: u64, step: Continuation) {
        self.steps.push((Some(timer), step));
    }

    /// Removes the step of a wait, if it has not run. The latest waits, which clients abandon most, are found first.
    fn remove_wait(&mut self, timer: u64) {
        let is_waiting = |(other, _): &(Option<u64>, Continuation)| *other == Some(timer);
        if let Some(index) = self.steps.iter().rposition(is_waiting) {
            drop(self.steps.remove(index));
        }
    }

    /// Removes and returns all steps.
    pub(super) fn take(&mut self) -> Vec<Continuation> {
        let steps = std::mem::take(&mut self.steps);
        steps.into_iter().map(|(_, step)| step).collect()
    }
}

impl DispatchPolicy {
    /// Makes an invocation wait until `deadline`. Then `on_timeout` runs, unless another decision was made before.
    pub(super) fn wait_until(
        &mut self,
        id: InvocationId,
        deadline: Ticks,
        on_timeout: impl FnOnce(&mut Self, InvocationId, &mut dyn Actions) + 'static,
        actions: &mut dyn Actions,
    ) {
        let Some(state) = self.invocations.get(&id) else {
            return;
        };
        let on_timeout = Self::unless_superseded(state, on_timeout);
        let timer = self.schedule(deadline, actions, on_timeout);
        if let Some(state) = self.invocations.get_mut(&id) {
            let event = WaitEvent::Nothing;
            state.wait = Some(Wait { timer, event });
        }
    }

    /// Ends the wait of an invocation at `event`, if it occurs before the timer: a new decision is made then.
    pub(super) fn decide_again_at(&mut self, id: InvocationId, event: WaitEvent) {
        let Some(state) = self.invocations.get_mut(&id) else {
            return;
        };
        let step = Self::unless_superseded(state, Self::route);
        let function_id = state.request.function;
        let Some(wait) = state.wait.as_mut() else {
            return;
        };
        wait.event = event;
        let timer = wait.timer;
        if let Some(waiters) = self.waiters(function_id, event) {
            waiters.push_wait(timer, step);
        }
    }

    /// Ends the wait of an invocation, if it waits: neither its timer nor its event has an effect any more.
    pub(super) fn end_wait(&mut self, id: InvocationId, actions: &mut dyn Actions) {
        let Some(state) = self.invocations.get_mut(&id) else {
            return;
        };
        let function_id = state.request.function;
        let Some(wait) = state.wait.take() else {
            return;
        };
        self.cancel_timer(wait.timer, actions);
        if let Some(waiters) = self.waiters(function_id, wait.event) {
            waiters.remove_wait(wait.timer);
        }
    }

    /// The steps that run at an event for which an invocation of `function_id` waits.
    fn waiters(&mut self, function_id: FunctionId, event: WaitEvent) -> Option<&mut Waiters> {
        match event {
            WaitEvent::Nothing => None,
            WaitEvent::LoadEnded(invoker_id) => {
                let function = self.functions.get_mut(&function_id)?;
                let instance = function.instances.get_mut(&invoker_id)?;
                Some(&mut instance.load_waiters)
            }
            WaitEvent::ProbeEnded(invoker_id) => {
                let invoker = self.invokers.get_mut(&invoker_id)?;
                Some(&mut invoker.confirmation.probe_waiters)
            }
        }
    }

    /// A step for an invocation that does nothing if another decision on the invocation was made in the meantime.
    fn unless_superseded(
        state: &InvocationState,
        step: impl FnOnce(&mut Self, InvocationId, &mut dyn Actions) + 'static,
    ) -> Continuation {
        let (id, decision) = (state.request.id, state.decision_count);
        Box::new(move |policy, actions| {
            let state = policy.invocations.get(&id);
            if state.is_some_and(|state| state.decision_count == decision) {
                step(policy, id, actions);
            }
        })
    }
}
