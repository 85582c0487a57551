//! Carries out the policy's actions on the invocations.

use super::{AttemptEntry, InvocationTable, LoadOrder};
use crate::responder::FinalResponse;
use crate::state::ControllerState;
use crate::transport::{AttemptReport, InvokerTransport, OutgoingDispatch};
use saltdrum::interface::{
    Actions, FunctionId, InvocationId, InvokerId, LoadOutcome, LoadResult, MILLISECOND, Outcome,
    ProbeResult, Ticks,
};
use tracing::{debug, info_span, warn};

/// An attempt times out this long before its invocation expires, so that the policy can still send the final response.
const RESPONSE_MARGIN: Ticks = 5 * MILLISECOND;

impl<T: InvokerTransport> InvocationTable<T> {
    /// Reports the end of an attempt to the policy after the policy has returned.
    pub(super) fn defer_attempt_end(&mut self, id: InvocationId, attempt: u8, outcome: Outcome) {
        self.defer(Box::new(move |state| {
            state.attempt_ended(id, attempt, outcome, &AttemptReport::default());
        }));
    }

    /// Schedules the timeout of an attempt. A frame of which nothing was sent by then is withdrawn.
    fn schedule_timeout(
        &mut self,
        deadline: Ticks,
        id: InvocationId,
        attempt: u8,
        invoker: InvokerId,
        dispatch: u64,
    ) {
        let time_out = move |state: &mut ControllerState<T>| {
            let never_sent = state.invocations.transport.withdraw(invoker, dispatch);
            let outcome = if never_sent {
                Outcome::NotSent
            } else {
                Outcome::TimedOut
            };
            state.attempt_ended(id, attempt, outcome, &AttemptReport::default());
        };
        self.schedule(deadline, Box::new(time_out));
    }

    /// Reports a load order that was not sent to the policy after the policy has returned.
    fn defer_unsent_load(
        &mut self,
        invoker: InvokerId,
        function: FunctionId,
        outcome: LoadOutcome,
    ) {
        self.defer(Box::new(move |state| {
            let function_id = format_args!("{function:016x}");
            debug!(
                invoker,
                function = function_id,
                ?outcome,
                "load order not sent"
            );
            let result = LoadResult {
                invoker,
                function,
                outcome,
                loaded_instances: 0,
                duration: 0,
                sent_at: None,
            };
            state
                .policy
                .load_ended(state.invocations.now, result, &mut state.invocations);
        }));
    }
}

impl<T: InvokerTransport> Actions for InvocationTable<T> {
    fn dispatch(&mut self, id: InvocationId, invoker: InvokerId, timeout: Ticks) {
        self.dispatch_by(id, invoker, timeout, Ticks::MAX);
    }

    fn dispatch_by(
        &mut self,
        id: InvocationId,
        invoker: InvokerId,
        timeout: Ticks,
        send_by: Ticks,
    ) {
        let now = self.now;
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let attempt = entry.attempts;
        entry.attempts = entry.attempts.saturating_add(1);
        self.counters.attempts += 1;
        let span = info_span!(parent: &entry.span, "dispatch", attempt, invoker);
        let latest = entry.expires_at.saturating_sub(RESPONSE_MARGIN);
        let deadline = if timeout == 0 {
            latest
        } else {
            latest.min(now + timeout)
        };
        let outgoing = OutgoingDispatch {
            invocation: id,
            attempt,
            invoker,
            function: entry.function,
            payload: &entry.payload,
            now,
            deadline,
            send_by: send_by.min(deadline),
            client_deadline: entry.client_deadline,
        };
        let sent = match entry.responder {
            None => Err(Outcome::NotSent),
            Some(_) => self.transport.dispatch(&outgoing),
        };
        span.in_scope(|| debug!(?sent));
        let dispatch = sent.unwrap_or(0);
        let timer = super::TimerKey {
            at: deadline,
            number: self.last_timer + 1,
        };
        let attempt_entry = AttemptEntry {
            invoker,
            dispatch,
            sent_at: now,
            timer,
            span,
        };
        entry.in_flight.insert(attempt, attempt_entry);
        match sent {
            Ok(dispatch) => self.schedule_timeout(deadline, id, attempt, invoker, dispatch),
            Err(outcome) => self.defer_attempt_end(id, attempt, outcome),
        }
    }

    fn throttle(&mut self, id: InvocationId, retry_after: Ticks) {
        self.respond(id, FinalResponse::Throttled(retry_after));
    }

    fn error(&mut self, id: InvocationId) {
        self.respond(id, FinalResponse::Errored("whether it ran is not known"));
    }

    fn cancel(&mut self, id: InvocationId, attempt: u8) {
        let entry = self.entries.get(&id);
        let Some(in_flight) = entry.and_then(|entry| entry.in_flight.get(&attempt)) else {
            return;
        };
        let (invoker, dispatch) = (in_flight.invoker, in_flight.dispatch);
        let never_sent = self.transport.withdraw(invoker, dispatch);
        if !never_sent {
            self.transport.cancel(invoker, dispatch);
        }
        let outcome = if never_sent {
            Outcome::NotSent
        } else {
            Outcome::Cancelled
        };
        self.defer_attempt_end(id, attempt, outcome);
    }

    fn load(&mut self, invoker: InvokerId, function: FunctionId, count: u8) {
        self.load_by(invoker, function, count, Ticks::MAX);
    }

    fn load_by(&mut self, invoker: InvokerId, function: FunctionId, count: u8, send_by: Ticks) {
        self.counters.load_orders += 1;
        let now = self.now;
        match self.transport.load(now, invoker, function, count, send_by) {
            Ok(order) => {
                let function_id = format_args!("{function:016x}");
                debug!(
                    invoker,
                    function = function_id,
                    count,
                    order,
                    "load order sent"
                );
                let time_out = move |state: &mut ControllerState<T>| {
                    state.load_ended(invoker, order, LoadOutcome::TimedOut, 0);
                };
                let timer = self.schedule(now + self.order_timeout, Box::new(time_out));
                let load_order = LoadOrder {
                    function,
                    sent_at: now,
                    timer,
                };
                self.load_orders.insert((invoker, order), load_order);
            }
            Err(outcome) => self.defer_unsent_load(invoker, function, outcome),
        }
    }

    fn unload(&mut self, invoker: InvokerId, function: FunctionId) {
        self.transport.unload(self.now, invoker, function);
    }

    fn probe(&mut self, invoker: InvokerId) {
        let now = self.now;
        if let Err(outcome) = self.transport.probe(now, invoker) {
            let result = ProbeResult {
                invoker,
                outcome,
                sent_at: now,
                duration: 0,
            };
            self.defer(Box::new(move |state| state.probe_ended(result)));
        }
    }

    fn set_timer(&mut self, at: Ticks, token: u64) {
        let fire = move |state: &mut ControllerState<T>| {
            state.invocations.policy_timers.remove(&token);
            state
                .policy
                .timer_fired(state.invocations.now, token, &mut state.invocations);
        };
        let timer = self.schedule(at, Box::new(fire));
        self.policy_timers.insert(token, timer);
    }

    fn cancel_timer(&mut self, token: u64) {
        if let Some(timer) = self.policy_timers.remove(&token) {
            self.timers.remove(&timer);
        }
    }

    fn log(&mut self, text: &str) {
        warn!(text, "policy");
    }
}
