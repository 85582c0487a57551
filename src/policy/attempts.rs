//! The processing of an invocation: from placement to an attempt, and from the end of an attempt to the next decision.

use super::DispatchPolicy;
use super::admission::DEADLINE_MARGIN;
use super::health::HEALTH_CHECK_INTERVAL;
use super::instances::Instance;
use super::invocations::{Attempt, EarlierAttempt};
use super::invokers::InvokerState;
use super::loads::FULL_BUDGET_SHARE;
use super::placement::{CORES_PER_INVOKER, Placement};
use super::processes::ProcessNumber;
use crate::interface::{Actions, AttemptResult, Effect, InvocationId, InvokerId, Outcome, Ticks};

impl DispatchPolicy {
    /// Decides the next step of an invocation without an attempt in flight, and takes it.
    pub(super) fn route(&mut self, id: InvocationId, actions: &mut dyn Actions) {
        self.end_wait(id, actions);
        let Some(state) = self
            .invocations
            .get_mut(&id)
            .filter(|state| !state.is_finished)
        else {
            return;
        };
        state.decision_count += 1;
        if self.now + DEADLINE_MARGIN >= state.request.expires_at {
            return self.reject(id, 0, actions);
        }
        match self.place(id) {
            Placement::Dispatch {
                invoker,
                expects_instance,
                due_at,
            } => {
                if self.may_send_new_work(invoker) {
                    self.dispatch(id, invoker, expects_instance, due_at, actions);
                } else {
                    self.await_confirmation(id, invoker, actions);
                }
            }
            Placement::AwaitLoad {
                invoker,
                load_time,
                response_time,
            } => {
                self.order_and_await_load(id, invoker, load_time, response_time, actions);
            }
            Placement::Reject => self.reject(id, self.loads.breaker.remaining(self.now), actions),
        }
    }

    /// Orders a load for an invocation, and makes the invocation wait for it if there is time. An invocation that
    /// cannot finish in time is rejected immediately; the instance is loaded when the client retries.
    fn order_and_await_load(
        &mut self,
        id: InvocationId,
        invoker: InvokerId,
        load_time: Ticks,
        response_time: Ticks,
        actions: &mut dyn Actions,
    ) {
        let request = &self.invocations[&id].request;
        let wait_deadline = request
            .expires_at
            .saturating_sub(response_time.max(DEADLINE_MARGIN));
        let is_ordered = self.order_load(invoker, request.function, FULL_BUDGET_SHARE, actions);
        if self.now + load_time >= wait_deadline {
            self.reject(id, if is_ordered { load_time } else { 0 }, actions);
        } else if is_ordered {
            self.await_load(id, invoker, wait_deadline, actions);
        } else {
            // The load budget is exhausted. It is replenished with time, unlike the number of attempts.
            let retry_at = (self.now + HEALTH_CHECK_INTERVAL).min(wait_deadline);
            self.wait_until(id, retry_at, Self::route, actions);
        }
    }

    /// Dispatches an invocation to an invoker.
    fn dispatch(
        &mut self,
        id: InvocationId,
        invoker_id: InvokerId,
        expects_instance: bool,
        due_at: Ticks,
        actions: &mut dyn Actions,
    ) {
        let now = self.now;
        let send_by = self.attempt_deadline(id, invoker_id);
        let function_id = self.invocations[&id].request.function;
        let begins_load = !expects_instance && !self.deployment.reports_misses;
        if begins_load {
            self.unload_stale_instances(invoker_id, function_id, actions);
            self.loads.breaker.load_began(now);
        }
        let Some(state) = self.invocations.get_mut(&id) else {
            return;
        };
        let Some(function) = self.functions.get_mut(&function_id) else {
            return;
        };
        let Some(invoker) = self.invokers.get_mut(&invoker_id) else {
            return;
        };
        let trigger = &self.triggers[state.request.trigger];
        let expected_run_time = function.expected_run_time(&state.request, trigger);
        let expects_free_core = f64::from(invoker.in_flight) < CORES_PER_INVOKER;
        invoker.record_sent(
            now,
            trigger.run_time.mean(),
            self.deployment.overload_window,
        );
        self.fleet.in_flight += 1;
        let processes = &mut self.loads.processes;
        let process = processes.number(invoker_id);
        let instance = function.track_instance(invoker_id, processes);
        instance.record_sent(process, now, begins_load);
        let candidates = &mut self.loads.unload_candidates;
        candidates.update(invoker_id, function_id, instance);
        state.in_flight = Some(Attempt {
            invoker: invoker_id,
            sent_at: now,
            due_at,
            expects_instance,
            is_cancelled: false,
            expects_free_core,
            expected_run_time,
            continuation: Box::new(move |policy, actions| policy.continue_invocation(id, actions)),
        });
        state.attempts += 1;
        match send_by {
            Ticks::MAX => actions.dispatch(id, invoker_id, 0),
            send_by => actions.dispatch_by(id, invoker_id, 0, send_by),
        }
    }

    /// The time before which sending of an attempt that is decided now must begin.
    fn attempt_deadline(&self, id: InvocationId, invoker_id: InvokerId) -> Ticks {
        let state = &self.invocations[&id];
        let settings = &self.triggers[state.request.trigger].settings;
        let window_ends_at = match (settings.effect, state.first_possible_run) {
            // The key is recognised only within its window (rule 2): a retry is sent before its end, or decided again.
            (Effect::IdempotencyKey, Some(first)) => first.sent_at + settings.idempotency_window,
            _ => Ticks::MAX,
        };
        self.new_work_deadline(invoker_id).min(window_ends_at)
    }

    /// Continues an invocation after the end of an attempt: removes it if it is finished, and decides its next step
    /// otherwise.
    fn continue_invocation(&mut self, id: InvocationId, actions: &mut dyn Actions) {
        match self.invocations.get(&id) {
            Some(state) if state.is_finished => self.finish(id, actions),
            Some(_) => self.route(id, actions),
            None => {}
        }
    }

    /// Handles the end of an attempt.
    pub fn attempt_ended(&mut self, now: Ticks, result: AttemptResult, actions: &mut dyn Actions) {
        self.advance_clock(now);
        let Some(state) = self.invocations.get_mut(&result.invocation) else {
            return;
        };
        let Some(attempt) = state.in_flight.take() else {
            return;
        };
        if !result.outcome.never_ran() {
            let ended = EarlierAttempt {
                sent_at: attempt.sent_at,
                invoker: attempt.invoker,
            };
            state.first_possible_run = state.first_possible_run.or(Some(ended));
        }
        if result.outcome != Outcome::Miss {
            state.tried_invokers.push(attempt.invoker);
        }
        state.is_finished |= result.invocation_finished;
        let request = state.request.clone();
        if result.outcome == Outcome::Succeeded {
            self.record_first_success(&request);
            self.record_ready(attempt.invoker, attempt.sent_at);
        }
        self.record_attempt(&request, &attempt, &result);
        (attempt.continuation)(self, actions);
    }
}

impl Instance {
    /// Records an attempt that is sent now.
    fn record_sent(&mut self, process: ProcessNumber, now: Ticks, begins_load: bool) {
        self.in_flight += 1;
        self.last_used = now;
        if begins_load {
            let load_state = self.load_state_mut(process);
            load_state.loading_since = load_state.loading_since.or(Some(now));
        }
    }
}

impl InvokerState {
    /// Records work that is sent to the invoker now.
    fn record_sent(&mut self, now: Ticks, work: f64, overload_window: Ticks) {
        if self.in_flight == 0 {
            self.last_response_at = now;
        }
        self.in_flight += 1;
        self.sent_work.record(now, work, overload_window);
    }
}
