//! The way of an invocation: from placement to an attempt, and from the end of an attempt to the next decision.

use super::DispatchPolicy;
use super::admission::DEADLINE_MARGIN;
use super::health::HEALTH_CHECK_INTERVAL;
use super::invocations::{Attempt, EarlierAttempt};
use super::invokers::InvokerState;
use super::loads::WHOLE_BUDGET;
use super::placement::{CORES_PER_INVOKER, Placement};
use super::slow_start::SentWork;
use crate::interface::{Actions, AttemptResult, Effect, InvocationId, InvokerId, Outcome, Ticks};

impl DispatchPolicy {
    /// Decides what becomes of an invocation without an attempt in flight.
    pub(super) fn route(&mut self, id: InvocationId, actions: &mut dyn Actions) {
        let Some(state) = self
            .invocations
            .get_mut(&id)
            .filter(|state| !state.is_finished)
        else {
            return;
        };
        state.decisions += 1;
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
                answer_time,
            } => {
                self.order_and_await_load(id, invoker, load_time, answer_time, actions);
            }
            Placement::Reject => self.reject(id, self.loads.breaker.remaining(self.now), actions),
        }
    }

    /// Orders a load for an invocation, and lets it wait if there is time. What cannot end in time is answered at once: the
    /// instance is loaded when the client retries.
    fn order_and_await_load(
        &mut self,
        id: InvocationId,
        invoker: InvokerId,
        load_time: Ticks,
        answer_time: Ticks,
        actions: &mut dyn Actions,
    ) {
        let request = &self.invocations[&id].request;
        let latest = request
            .expires_at
            .saturating_sub(answer_time.max(DEADLINE_MARGIN));
        let is_ordered = self.order_load(invoker, request.function, WHOLE_BUDGET, actions);
        if self.now + load_time >= latest {
            self.reject(id, if is_ordered { load_time } else { 0 }, actions);
        } else if is_ordered {
            self.await_load(id, invoker, latest, actions);
        } else {
            // The budget is used up. It frees up with time; attempts do not.
            let at = (self.now + HEALTH_CHECK_INTERVAL).min(latest);
            self.schedule(
                at,
                actions,
                Box::new(move |policy, actions| policy.route(id, actions)),
            );
        }
    }

    /// Sends an invocation to an invoker.
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
        let instance = function.instances.entry(invoker_id).or_default();
        self.loads.instances.insert((invoker_id, function_id));
        instance.in_flight += 1;
        instance.last_used = now;
        if begins_load {
            instance.loading_since = instance.loading_since.or(Some(now));
        }
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

    /// Until when an attempt that is decided now may begin to be sent.
    fn attempt_deadline(&self, id: InvocationId, invoker_id: InvokerId) -> Ticks {
        let state = &self.invocations[&id];
        let settings = &self.triggers[state.request.trigger].settings;
        let window_ends_at = match (settings.effect, state.may_have_run) {
            // The key is recognised within its window alone: a retry is sent by then, or decided anew.
            (Effect::IdempotencyKey, Some(first)) => first.sent_at + settings.idempotency_window,
            _ => Ticks::MAX,
        };
        self.new_work_deadline(invoker_id).min(window_ends_at)
    }

    /// An attempt has ended: the invocation is finished, or decided anew.
    fn continue_invocation(&mut self, id: InvocationId, actions: &mut dyn Actions) {
        match self.invocations.get(&id) {
            Some(state) if state.is_finished => self.finish(id),
            Some(_) => self.route(id, actions),
            None => {}
        }
    }

    /// An attempt has ended.
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
            state.may_have_run = state.may_have_run.or(Some(ended));
        }
        if result.outcome != Outcome::Miss {
            state.tried.push(attempt.invoker);
        }
        state.is_finished |= result.invocation_finished;
        let request = state.request.clone();
        if result.outcome == Outcome::Succeeded {
            self.record_first_success(&request);
            self.invoker_was_ready(attempt.invoker, attempt.sent_at);
        }
        self.record_attempt(&request, &attempt, &result);
        (attempt.continuation)(self, actions);
    }
}

impl InvokerState {
    /// Work is sent there now.
    fn record_sent(&mut self, now: Ticks, work: f64, overload_window: Ticks) {
        if self.in_flight == 0 {
            self.last_heard = now;
        }
        self.in_flight += 1;
        self.sent_work.push_back(SentWork { at: now, work });
        while self
            .sent_work
            .pop_front_if(|sent| sent.at + overload_window <= now)
            .is_some()
        {}
    }
}
