//! What is known of an invocation from its arrival until its last attempt has ended.

use super::admission::DEADLINE_MARGIN;
use super::{Continuation, DispatchPolicy};
use crate::interface::{Actions, Invocation, InvocationId, InvokerId, Ticks};

/// An attempt in flight.
pub(super) struct Attempt {
    pub invoker: InvokerId,
    pub sent_at: Ticks,
    /// When an answer is expected, if all goes as its placement foresaw.
    pub due_at: Ticks,
    /// Whether an instance was believed to be loaded there.
    pub expects_instance: bool,
    /// Whether a cancel has been sent.
    pub is_cancelled: bool,
    /// Whether the invoker was believed to have a core for it.
    pub expects_free_core: bool,
    /// Expected run time, in ticks.
    pub expected_run_time: f64,
    pub continuation: Continuation,
}

/// The first attempt that may have run.
#[derive(Clone, Copy)]
pub(super) struct EarlierAttempt {
    pub sent_at: Ticks,
    pub invoker: InvokerId,
}

/// An invocation, and what became of it so far.
pub(super) struct InvocationState {
    pub request: Invocation,
    pub arrived_at: Ticks,
    /// One at a time, also where two are allowed: hedged requests cost more than they won.
    pub in_flight: Option<Attempt>,
    /// Attempts made.
    pub attempts: u8,
    /// How often it was decided what becomes of it: a wait from an earlier decision is void.
    pub decisions: u32,
    /// The first attempt that has ended and may have run.
    pub may_have_run: Option<EarlierAttempt>,
    /// Invokers that are not tried again.
    pub tried: Vec<InvokerId>,
    /// Whether the final answer was given, or nobody waits for it.
    pub is_finished: bool,
}

impl InvocationState {
    fn new(request: Invocation, now: Ticks) -> Self {
        Self {
            request,
            arrived_at: now,
            in_flight: None,
            attempts: 0,
            decisions: 0,
            may_have_run: None,
            tried: Vec::new(),
            is_finished: false,
        }
    }

    /// Whatever becomes of it is decided by then.
    pub(super) fn latest_answer(&self) -> Ticks {
        self.request.expires_at.saturating_sub(DEADLINE_MARGIN)
    }

    /// The first attempt that may have run, in flight or ended.
    pub(super) fn attempt_that_may_have_run(&self) -> Option<EarlierAttempt> {
        let in_flight = self.in_flight.as_ref();
        self.may_have_run
            .or(in_flight.map(|attempt| EarlierAttempt {
                sent_at: attempt.sent_at,
                invoker: attempt.invoker,
            }))
    }
}

impl DispatchPolicy {
    /// An invocation was read. It gets a final answer unless the client leaves before.
    pub fn invocation_arrived(
        &mut self,
        now: Ticks,
        request: Invocation,
        actions: &mut dyn Actions,
    ) {
        self.advance_clock(now);
        self.record_call(&request);
        let id = request.id;
        self.invocations
            .insert(id, InvocationState::new(request, now));
        self.route(id, actions);
    }

    /// The client waits no more: no final answer is given.
    pub fn invocation_abandoned(&mut self, now: Ticks, id: InvocationId) {
        self.advance_clock(now);
        self.finish(id);
    }

    /// No final answer is owed any more. The invocation is forgotten once no attempt is in flight.
    pub(super) fn finish(&mut self, id: InvocationId) {
        let Some(state) = self.invocations.get_mut(&id) else {
            return;
        };
        state.is_finished = true;
        if state.in_flight.is_none() {
            self.invocations.remove(&id);
        }
    }
}
