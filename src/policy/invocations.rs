//! The state of an invocation from its arrival until its last attempt has ended.

use super::admission::DEADLINE_MARGIN;
use super::waits::Wait;
use super::{Continuation, DispatchPolicy};
use crate::interface::{Actions, FunctionId, Invocation, InvocationId, InvokerId, Ticks};

/// An attempt in flight.
pub(super) struct Attempt {
    pub invoker: InvokerId,
    pub sent_at: Ticks,
    /// When the response is due, by the estimates of the placement.
    pub due_at: Ticks,
    /// Whether an instance was expected to be loaded at the invoker.
    pub expects_instance: bool,
    /// Whether a cancel has been sent.
    pub is_cancelled: bool,
    /// Whether the invoker was expected to have a free core.
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

/// An invocation and its progress.
pub(super) struct InvocationState {
    pub request: Invocation,
    pub arrived_at: Ticks,
    /// The attempt in flight. There is at most one, even where parallel attempts are allowed, as the cost of hedged
    /// requests exceeded their benefit.
    pub in_flight: Option<Attempt>,
    /// Number of attempts made.
    pub attempts: u8,
    /// What the invocation waits for, without an attempt in flight.
    pub wait: Option<Wait>,
    /// Number of decisions made on the invocation. A wait that began with an earlier decision is void.
    pub decision_count: u32,
    /// The first ended attempt that may have run.
    pub first_possible_run: Option<EarlierAttempt>,
    /// Invokers to which no further attempt is sent.
    pub tried_invokers: Vec<InvokerId>,
    /// Whether the final response was sent, or the client no longer waits for it.
    pub is_finished: bool,
}

impl InvocationState {
    fn new(request: Invocation, now: Ticks) -> Self {
        Self {
            request,
            arrived_at: now,
            in_flight: None,
            attempts: 0,
            wait: None,
            decision_count: 0,
            first_possible_run: None,
            tried_invokers: Vec::new(),
            is_finished: false,
        }
    }

    /// The time by which the final response is sent.
    pub(super) fn response_deadline(&self) -> Ticks {
        self.request.expires_at.saturating_sub(DEADLINE_MARGIN)
    }

    /// The first attempt that may have run or may still run, ended or in flight.
    pub(super) fn earliest_possible_run(&self) -> Option<EarlierAttempt> {
        let in_flight = self.in_flight.as_ref();
        self.first_possible_run
            .or(in_flight.map(|attempt| EarlierAttempt {
                sent_at: attempt.sent_at,
                invoker: attempt.invoker,
            }))
    }
}

impl DispatchPolicy {
    /// Handles the arrival of an invocation. It receives a final response unless it is abandoned first.
    pub fn invocation_arrived(
        &mut self,
        now: Ticks,
        request: Invocation,
        actions: &mut dyn Actions,
    ) {
        self.advance_clock(now);
        if !self.may_track_function(&request) {
            return self.reject_untracked(&request, actions);
        }
        self.record_call(&request);
        let id = request.id;
        self.invocations
            .insert(id, InvocationState::new(request, now));
        self.route(id, actions);
    }

    /// Records that the client no longer waits for an invocation: it receives no final response.
    pub fn invocation_abandoned(
        &mut self,
        now: Ticks,
        id: InvocationId,
        actions: &mut dyn Actions,
    ) {
        self.advance_clock(now);
        self.finish(id, actions);
    }

    /// Marks an invocation as finished, and removes it if no attempt is in flight.
    pub(super) fn finish(&mut self, id: InvocationId, actions: &mut dyn Actions) {
        self.end_wait(id, actions);
        let Some(state) = self.invocations.get_mut(&id) else {
            return;
        };
        state.is_finished = true;
        if state.in_flight.is_none() {
            let function_id = state.request.function;
            self.invocations.remove(&id);
            self.invocation_closed(function_id);
        }
    }

    /// Records that an invocation of a function is no longer tracked.
    fn invocation_closed(&mut self, function_id: FunctionId) {
        if let Some(function) = self.functions.get_mut(&function_id) {
            function.usage.open_invocations -= 1;
        }
        self.update_unproven(function_id);
    }
}
