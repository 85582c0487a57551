//! Placement: selects the invoker for an invocation. This is the invoker with the earliest expected finish in the
//! function's pool, or further down the ranking if all invokers of the pool exceed their target load.

use super::functions::FunctionState;
use super::health::CONGESTION_THRESHOLD;
use super::instances::Instance;
use super::invocations::InvocationState;
use super::invokers::InvokerState;
use super::{DispatchPolicy, TriggerStats};
use crate::interface::{InvocationId, InvokerId, MILLISECOND, Ticks};

/// Number of invokers ranked in addition to a pool. A ranking extends to twice the requested number on average, so that
/// rankings are rare.
pub(super) const RANKED_BEYOND_POOL: usize = 24;
/// Number of invocations that an invoker of mean capacity runs concurrently without slowing down. Invokers do not
/// report their cores.
pub(super) const CORES_PER_INVOKER: f64 = 3.0;
/// Slowdown of a run at which an invoker exceeds its target load, even with a free slot.
const TARGET_SLOWDOWN: f64 = 4.0;

/// The decision for an invocation.
pub(super) enum Placement {
    /// Dispatch it.
    Dispatch {
        invoker: InvokerId,
        /// Whether an instance is expected to be loaded at the invoker.
        expects_instance: bool,
        due_at: Ticks,
    },
    /// Wait for a load order, as attempts do not load the function.
    AwaitLoad {
        invoker: InvokerId,
        load_time: Ticks,
        response_time: Ticks,
    },
    /// Reject it: no invoker is eligible, or none is expected to respond in time.
    Reject,
}

/// An invoker to which the invocation may be dispatched.
struct Candidate {
    invoker: InvokerId,
    /// Expected time to the finish in whole milliseconds. Candidates with the same value tie.
    finish_ms: u64,
    is_warm: bool,
    /// Whether a load order for an instance is in flight.
    has_pending_load: bool,
    /// Expected load time, in ticks.
    load_time: f64,
    /// Expected time from a loaded instance to the response, in ticks.
    response_time: f64,
}

/// The candidates among the ranked invokers.
struct Candidates {
    list: Vec<Candidate>,
    /// Shortest expected time to a response from a loaded instance, in ticks.
    shortest_response_time: f64,
    /// Whether at least one candidate is below its target load.
    has_spare_capacity: bool,
}

/// The inputs that are shared by all candidates of one placement.
struct PlacementRequest<'a> {
    state: &'a InvocationState,
    function: &'a FunctionState,
    trigger: &'a TriggerStats,
    /// Expected run time of this invocation on an otherwise idle invoker, in ticks.
    run_time_alone: f64,
    /// Mean run time of the function, in ticks.
    mean_run_time: f64,
    fleet_slowdown: f64,
    has_attempts_left: bool,
    /// Whether an instance is expected to be loaded at any invoker.
    is_warm_anywhere: bool,
}

impl DispatchPolicy {
    /// Decides where to dispatch an invocation that has no attempt in flight, or to wait for a load or reject it.
    pub(super) fn place(&mut self, id: InvocationId) -> Placement {
        let function_id = self.invocations[&id].request.function;
        loop {
            let pool_size = self.functions[&function_id].pool_size;
            self.rank(function_id, pool_size + RANKED_BEYOND_POOL);
            let candidates = self.find_candidates(id);
            let ranked = self.functions[&function_id].ranking.len();
            let needs_more = candidates.list.len() < pool_size || !candidates.has_spare_capacity;
            if !needs_more || ranked >= self.ready.len() {
                return self.choose(id, candidates);
            }
            self.rank(function_id, 2 * ranked);
        }
    }

    /// The ranked invokers to which the invocation may be dispatched, in the order of the ranking.
    fn find_candidates(&self, id: InvocationId) -> Candidates {
        let request = self.placement_request(id);
        let pool_size = request.function.pool_size;
        let mut candidates = Candidates {
            list: Vec::new(),
            shortest_response_time: f64::INFINITY,
            has_spare_capacity: false,
        };
        for (rank, ranked) in request.function.ranking.head().enumerate() {
            let invoker = &self.invokers[&ranked.invoker];
            let instance = request.function.instances.get(&ranked.invoker);
            if !self.is_eligible(&request, invoker, instance) {
                continue;
            }
            if candidates.list.len() >= pool_size && candidates.has_spare_capacity {
                break;
            }
            self.add_candidate(
                &mut candidates,
                &request,
                invoker,
                instance,
                rank < pool_size,
            );
        }
        candidates
    }

    fn placement_request(&self, id: InvocationId) -> PlacementRequest<'_> {
        let state = &self.invocations[&id];
        let function = &self.functions[&state.request.function];
        let trigger = &self.triggers[state.request.trigger];
        let is_warm =
            |(invoker, instance): (&InvokerId, &Instance)| self.is_warm(*invoker, Some(instance));
        PlacementRequest {
            state,
            function,
            trigger,
            run_time_alone: function.expected_run_time(&state.request, trigger),
            mean_run_time: function.run_time.mean(),
            fleet_slowdown: self.fleet.current_slowdown(self.now),
            has_attempts_left: state.attempts < self.deployment.attempt_limit
                && state.in_flight.is_none(),
            is_warm_anywhere: function.instances.iter().any(is_warm),
        }
    }

    /// Whether the invocation may be dispatched to this invoker now.
    fn is_eligible(
        &self,
        request: &PlacementRequest,
        invoker: &InvokerState,
        instance: Option<&Instance>,
    ) -> bool {
        let now = self.now;
        let invoker_id = invoker.record.invoker;
        let invocation = &request.state.request;
        let is_warm = self.is_warm(invoker_id, instance);
        let is_loading_blocked = !self.deployment.reports_misses && self.loads.breaker.is_open(now);
        let is_cooling_down = instance.is_some_and(|instance| now < instance.load_cooldown_until);
        if !is_warm && (is_loading_blocked || is_cooling_down) {
            return false;
        }
        let rejections = invoker
            .rejections
            .get(&(invocation.tenant, invocation.trigger));
        if rejections.is_some_and(|rejections| now < rejections.backoff_until) {
            return false;
        }
        let was_tried = request.state.tried_invokers.contains(&invoker_id);
        if !request.has_attempts_left || !invoker.is_available(now) || was_tried {
            return false;
        }
        if !self.may_be_confirmed_ready(invoker_id) {
            return false;
        }
        let work = request.trigger.run_time.mean();
        if self.slow_start_allowance(invoker, work) < work {
            return false;
        }
        self.retry_is_safe(
            request.state,
            Some(invoker_id),
            now + self.deployment.max_event_interval,
        )
    }

    /// Adds an invoker to the candidates, with its expected finish.
    fn add_candidate(
        &self,
        candidates: &mut Candidates,
        request: &PlacementRequest,
        invoker: &InvokerState,
        instance: Option<&Instance>,
        is_in_pool: bool,
    ) {
        let now = self.now;
        let (function, run_time) = (request.function, request.mean_run_time);
        let is_warm = self.is_warm(invoker.record.invoker, instance);
        let process = self.loads.processes.number(invoker.record.invoker);
        let load_state = instance.map(|instance| instance.load_state(process));
        let load_state = load_state.unwrap_or_default();
        let concurrency = instance.map_or(0.0, |instance| instance.concurrency(now));
        let load_time = if is_warm || self.may_miss(request, instance) {
            0.0
        } else {
            function.remaining_load_time(load_state, now)
        };
        let is_state_unknown = is_in_pool && load_state.loading_since.is_none();
        let load_probability = if is_state_unknown {
            self.loads.absence_rate
        } else {
            1.0
        };
        let slowdown =
            invoker.current_slowdown(now, request.fleet_slowdown) / self.warm_up_share(invoker);
        let cores = self.ready.len() as f64 * CORES_PER_INVOKER * invoker.record.capacity
            / self.ready.total_capacity();
        let queue_time = slowdown * run_time * concurrency / function.concurrency_limit
            + f64::from(invoker.in_flight) * run_time / cores;
        let finish = load_probability * load_time + slowdown * request.run_time_alone + queue_time;
        let mean_response_time = slowdown * run_time + queue_time;
        candidates.shortest_response_time =
            candidates.shortest_response_time.min(mean_response_time);
        let has_free_slot = concurrency < function.concurrency_limit;
        candidates.has_spare_capacity |=
            has_free_slot && mean_response_time < TARGET_SLOWDOWN * run_time;
        let has_order = instance.is_some_and(|instance| instance.has_load_order);
        candidates.list.push(Candidate {
            invoker: invoker.record.invoker,
            finish_ms: finish as u64 / MILLISECOND,
            is_warm,
            has_pending_load: !is_warm && self.deployment.reports_misses && has_order,
            load_time,
            response_time: slowdown * request.run_time_alone + queue_time,
        });
    }

    /// Whether an instance is expected to be loaded at an invoker.
    fn is_warm(&self, invoker: InvokerId, instance: Option<&Instance>) -> bool {
        let (now, keep_alive) = (self.now, self.deployment.keep_alive);
        let process = self.loads.processes.number(invoker);
        instance.is_some_and(|instance| instance.is_warm(process, now, keep_alive))
    }

    /// Whether an instance of unknown state is treated like a loaded one: by the first attempt, where a miss costs only a
    /// short delay and an attempt.
    fn may_miss(&self, request: &PlacementRequest, instance: Option<&Instance>) -> bool {
        let missed_recently = instance.is_some_and(|instance| self.now < instance.miss_expires_at);
        let is_first = request.state.attempts == 0;
        self.deployment.reports_misses && request.is_warm_anywhere && is_first && !missed_recently
    }

    /// Selects the candidate with the earliest expected finish, and breaks ties randomly.
    fn choose(&mut self, id: InvocationId, candidates: Candidates) -> Placement {
        let Candidates {
            mut list,
            shortest_response_time,
            ..
        } = candidates;
        let state = &self.invocations[&id];
        // Where attempts do not load functions, a retry at an invoker without an instance would only miss again: loads
        // come from load orders.
        let is_retry = state.attempts > 0;
        if self.deployment.reports_misses
            && is_retry
            && list.iter().any(|candidate| candidate.is_warm)
        {
            list.retain(|candidate| candidate.is_warm || candidate.has_pending_load);
        }
        let Some(earliest) = list.iter().map(|candidate| candidate.finish_ms).min() else {
            return Placement::Reject;
        };
        if self.is_too_congested(state, shortest_response_time)
            && self.retry_is_safe(state, None, self.now)
        {
            return Placement::Reject;
        }
        list.retain(|candidate| candidate.finish_ms == earliest);
        let chosen = &list[self.rng.usize(..list.len())];
        let function = &self.functions[&state.request.function];
        let instance = function.instances.get(&chosen.invoker);
        let missed_recently = instance.is_some_and(|instance| self.now < instance.miss_expires_at);
        let is_absent = self.deployment.reports_misses && !chosen.is_warm && missed_recently;
        if chosen.has_pending_load || (is_absent && self.deployment.may_load) {
            let load_state = function.load_state(chosen.invoker, &self.loads.processes);
            return Placement::AwaitLoad {
                invoker: chosen.invoker,
                load_time: function.remaining_load_time(load_state, self.now) as Ticks,
                response_time: chosen.response_time as Ticks,
            };
        }
        Placement::Dispatch {
            invoker: chosen.invoker,
            expects_instance: chosen.is_warm,
            due_at: self.now + (chosen.load_time + chosen.response_time) as Ticks,
        }
    }

    /// Whether the fleet is congested and even the shortest expected response time exceeds the acceptable wait. As the
    /// slowdown is known only with a delay, this controller's share of one invocation per invoker is still dispatched,
    /// to measure the current slowdown.
    fn is_too_congested(&self, state: &InvocationState, shortest_response_time: f64) -> bool {
        let in_flight = self.fleet.in_flight;
        let fleet_in_flight = f64::from(in_flight * self.deployment.controllers);
        let may_send_sample = in_flight == 0 || fleet_in_flight < self.ready.len() as f64;
        let is_congested = self.fleet.current_slowdown(self.now) > CONGESTION_THRESHOLD;
        is_congested && shortest_response_time > self.acceptable_wait(state) && !may_send_sample
    }
}
