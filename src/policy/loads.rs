//! Load orders: issued where a pool lacks an instance or an invocation needs one, within the limits of the budget and
//! of the circuit breaker, and the updates from their results.

use super::DispatchPolicy;
use super::health::HEALTH_CHECK_INTERVAL;
use super::instances::Instance;
use super::load_breaker::LoadBreaker;
use super::load_budget::LoadBudget;
use super::processes::{InvokerProcesses, ProcessNumber};
use super::unloads::UnloadCandidates;
use super::waits::WaitEvent;
use crate::interface::{
    Actions, FunctionId, InvocationId, InvokerId, LoadOutcome, LoadResult, SECOND, Ticks,
};

/// How long no load of a function is ordered at an invoker after a failed load there.
pub(super) const LOAD_COOLDOWN: Ticks = 3 * SECOND;
/// Minimum time without a call after which an idle instance outside the pool may be unloaded.
pub(super) const MIN_DWELL: Ticks = 10 * SECOND;
/// Weight of a new sample in the absence rate.
const ABSENCE_WEIGHT: f64 = 0.05;
/// Share of the load budget for waiting invocations.
pub(super) const FULL_BUDGET_SHARE: f64 = 1.0;

/// State that concerns all loads.
pub(super) struct Loads {
    pub breaker: LoadBreaker,
    pub budget: LoadBudget,
    pub processes: InvokerProcesses,
    pub unload_candidates: UnloadCandidates,
    /// Share of attempts at invokers without a known instance that found none.
    pub absence_rate: f64,
}

impl Default for Loads {
    fn default() -> Self {
        Self {
            breaker: LoadBreaker::default(),
            budget: LoadBudget::default(),
            processes: InvokerProcesses::default(),
            unload_candidates: UnloadCandidates::default(),
            absence_rate: 1.0,
        }
    }
}

impl Loads {
    /// Removes an instance that is no longer tracked from the tables of all loads.
    pub(super) fn instance_removed(
        &mut self,
        invoker: InvokerId,
        function: FunctionId,
        instance: &Instance,
    ) {
        self.processes.instance_removed(invoker);
        self.unload_candidates.remove(invoker, function, instance);
    }

    /// Records whether an invoker without a known instance turned out to have none.
    pub(super) fn record_unknown_instance(&mut self, was_absent: bool) {
        self.absence_rate += ABSENCE_WEIGHT * (f64::from(was_absent) - self.absence_rate);
    }
}

impl DispatchPolicy {
    /// Whether one more order is allowed by `budget_share` of the budget and, for planned loads, by the limit on orders
    /// in flight.
    pub(super) fn may_order_load(&mut self, budget_share: f64) -> bool {
        let max_in_flight = (2 * self.ready.len() / self.deployment.controllers as usize).max(1);
        let is_at_limit = self.loads.budget.orders_in_flight() >= max_in_flight;
        let is_allowed =
            self.loads
                .budget
                .allows_one_more(self.now, &self.deployment, budget_share);
        self.deployment.may_load
            && is_allowed
            && (!is_at_limit || budget_share >= FULL_BUDGET_SHARE)
    }

    /// Orders a load if it is allowed. Returns whether an order is in flight afterwards.
    pub(super) fn order_load(
        &mut self,
        invoker_id: InvokerId,
        function_id: FunctionId,
        budget_share: f64,
        actions: &mut dyn Actions,
    ) -> bool {
        let now = self.now;
        let function = self.functions.get(&function_id);
        let instance = function.and_then(|function| function.instances.get(&invoker_id));
        if instance.is_some_and(|instance| instance.has_load_order) {
            return true;
        }
        let is_cooling_down = instance.is_some_and(|instance| now < instance.load_cooldown_until);
        if self.loads.breaker.is_open(now) || is_cooling_down {
            return false;
        }
        if !self.ready.contains(invoker_id) || !self.may_order_load(budget_share) {
            return false;
        }
        if !self.may_send_new_work(invoker_id) {
            self.request_probe(invoker_id, actions);
            return false;
        }
        let Some(function) = self.functions.get_mut(&function_id) else {
            return false;
        };
        let processes = &mut self.loads.processes;
        let process = processes.number(invoker_id);
        let instance = function.track_instance(invoker_id, processes);
        let begins_load = !instance.is_warm(process, now, self.deployment.keep_alive);
        instance.has_load_order = true;
        let load_state = instance.load_state_mut(process);
        load_state.is_own_load = true;
        if begins_load {
            load_state.loading_since = load_state.loading_since.or(Some(now));
        }
        self.loads
            .unload_candidates
            .update(invoker_id, function_id, instance);
        if begins_load {
            self.unload_stale_instances(invoker_id, function_id, actions);
            self.loads.breaker.load_began(now);
        }
        self.update_unproven(function_id);
        self.loads.budget.order_issued(now);
        match self.new_work_deadline(invoker_id) {
            Ticks::MAX => actions.load(invoker_id, function_id, 1),
            send_by => actions.load_by(invoker_id, function_id, 1, send_by),
        }
        true
    }

    /// Handles the end of a load order.
    pub fn load_ended(&mut self, now: Ticks, result: LoadResult, actions: &mut dyn Actions) {
        self.advance_clock(now);
        self.loads
            .budget
            .order_ended(now - result.duration, result.sent_at);
        let Some(function) = self.functions.get_mut(&result.function) else {
            return;
        };
        if result.outcome == LoadOutcome::Loaded {
            let load_time = result.duration as f64;
            function.longest_load_time = function.longest_load_time.max(load_time);
        }
        let processes = &mut self.loads.processes;
        let process = processes.number(result.invoker);
        let instance = function.track_instance(result.invoker, processes);
        let was_loading = instance.record_load(process, now, &result);
        self.loads
            .unload_candidates
            .update(result.invoker, result.function, instance);
        let continuations = instance.load_waiters.take();
        self.record_load_health(&result);
        if result.outcome == LoadOutcome::LoadFailed {
            self.loads.breaker.load_failed(now, result.invoker);
        } else if was_loading && result.outcome == LoadOutcome::Loaded {
            self.loads.breaker.load_succeeded();
        }
        for continuation in continuations {
            continuation(self, actions);
        }
        self.update_unproven(result.function);
    }

    /// Updates the invoker's health from the result of a load order.
    fn record_load_health(&mut self, result: &LoadResult) {
        let Some(invoker) = self.invokers.get_mut(&result.invoker) else {
            return;
        };
        match result.outcome {
            LoadOutcome::Unreachable => invoker.record_unreachable(self.now, result.duration),
            LoadOutcome::TimedOut => invoker.eject(self.now),
            LoadOutcome::NotSent => {}
            LoadOutcome::Loaded | LoadOutcome::NoCapacity | LoadOutcome::LoadFailed => {
                invoker.last_response_at = self.now;
            }
        }
        self.fleet.suspects.insert(result.invoker);
    }

    /// Makes an invocation wait for the load order at an invoker, until `deadline`.
    pub(super) fn await_load(
        &mut self,
        id: InvocationId,
        invoker_id: InvokerId,
        deadline: Ticks,
        actions: &mut dyn Actions,
    ) {
        let on_timeout = |policy: &mut Self, id: InvocationId, actions: &mut dyn Actions| {
            policy.reject(id, 0, actions);
        };
        self.wait_until(id, deadline, on_timeout, actions);
        self.decide_again_at(id, WaitEvent::LoadEnded(invoker_id));
    }
}

impl Instance {
    /// Records the end of a load order. Returns whether a load was in progress.
    fn record_load(&mut self, process: ProcessNumber, now: Ticks, result: &LoadResult) -> bool {
        let is_loaded = result.outcome == LoadOutcome::Loaded;
        let load_state = self.load_state_mut(process);
        let was_loading = load_state.loading_since.is_some();
        load_state.loading_since = None;
        load_state.is_loaded = is_loaded;
        load_state.is_own_load &= is_loaded;
        self.has_load_order = false;
        self.miss_expires_at = 0;
        if is_loaded {
            self.last_used = self.last_used.max(now - result.duration);
        } else {
            let was_sent = result.outcome != LoadOutcome::NotSent;
            let cooldown = if was_sent {
                LOAD_COOLDOWN
            } else {
                HEALTH_CHECK_INTERVAL
            };
            self.load_cooldown_until = now + cooldown;
        }
        was_loading
    }
}
