//! Placement: which invoker an invocation goes to now. The one with the earliest expected finish in the function's pool, and
//! further along the ranking when all of the pool are past their target load.

use super::functions::{FunctionState, Instance};
use super::health::CONGESTION_THRESHOLD;
use super::invocations::InvocationState;
use super::invokers::InvokerState;
use super::{DispatchPolicy, TriggerStats};
use crate::interface::{InvocationId, InvokerId, MILLISECOND, Ticks};

/// Invokers ranked beyond a pool: on the mean twice as many, so that ranking is rare.
pub(super) const RANKED_BEYOND_POOL: usize = 24;
/// Runs at once that a mean invoker does without slowing down; nobody reports its cores.
pub(super) const CORES_PER_INVOKER: f64 = 3.0;
/// An invoker is past its target load also when a run takes this many times as long as alone.
const TARGET_SLOWDOWN: f64 = 4.0;

/// What is to be done with an invocation now.
pub(super) enum Placement {
    /// Send it.
    Dispatch {
        invoker: InvokerId,
        /// Whether an instance is believed to be loaded there.
        expects_instance: bool,
        due_at: Ticks,
    },
    /// Only a load order brings an instance there: wait for one.
    AwaitLoad {
        invoker: InvokerId,
        load_time: Ticks,
        answer_time: Ticks,
    },
    /// No invoker may get it, or none would answer soon enough.
    Reject,
}

/// An invoker that the invocation may go to.
struct Candidate {
    invoker: InvokerId,
    /// Expected finish in whole milliseconds: what is nearer together is a tie.
    finish_ms: u64,
    is_warm: bool,
    /// Whether a load order for an instance is in flight.
    awaits_load: bool,
    /// Expected load time, in ticks.
    load_time: f64,
    /// Expected time from a loaded instance to the answer, in ticks.
    answer_time: f64,
}

/// The candidates among the invokers that are ranked.
struct Candidates {
    list: Vec<Candidate>,
    /// Shortest expected time to an answer from a loaded instance, in ticks.
    shortest_answer_time: f64,
    /// Whether one of them is below its target load.
    has_spare: bool,
}

/// What is the same for all candidates of one placement.
struct Request<'a> {
    state: &'a InvocationState,
    function: &'a FunctionState,
    trigger: &'a TriggerStats,
    /// Expected run time of this invocation alone, in ticks.
    run_time_alone: f64,
    /// Mean run time of the function, in ticks.
    mean_run_time: f64,
    fleet_slowdown: f64,
    has_attempts_left: bool,
    /// Whether an instance is believed to be loaded anywhere.
    is_warm_anywhere: bool,
}

impl DispatchPolicy {
    /// Decides what is to be done with an invocation that has no attempt in flight.
    pub(super) fn place(&mut self, id: InvocationId) -> Placement {
        let function_id = self.invocations[&id].request.function;
        loop {
            let pool_size = self.functions[&function_id].pool_size;
            self.rank(function_id, pool_size + RANKED_BEYOND_POOL);
            let candidates = self.find_candidates(id);
            let ranked = self.functions[&function_id].ranking.len();
            let is_short = candidates.list.len() < pool_size || !candidates.has_spare;
            if !is_short || ranked >= self.ready.len() {
                return self.choose(id, candidates);
            }
            self.rank(function_id, 2 * ranked);
        }
    }

    /// The invokers among those ranked that the invocation may go to, in the order of the ranking.
    fn find_candidates(&self, id: InvocationId) -> Candidates {
        let request = self.placement_request(id);
        let pool_size = request.function.pool_size;
        let mut found = Candidates {
            list: Vec::new(),
            shortest_answer_time: f64::INFINITY,
            has_spare: false,
        };
        for (rank, ranked) in request.function.ranking.head().enumerate() {
            let invoker = &self.invokers[&ranked.invoker];
            let instance = request.function.instances.get(&ranked.invoker);
            if !self.is_eligible(&request, invoker, instance) {
                continue;
            }
            if found.list.len() >= pool_size && found.has_spare {
                break;
            }
            self.add_candidate(&mut found, &request, invoker, instance, rank < pool_size);
        }
        found
    }

    fn placement_request(&self, id: InvocationId) -> Request<'_> {
        let state = &self.invocations[&id];
        let function = &self.functions[&state.request.function];
        let trigger = &self.triggers[state.request.trigger];
        let keep_alive = self.deployment.keep_alive;
        Request {
            state,
            function,
            trigger,
            run_time_alone: function.expected_run_time(&state.request, trigger),
            mean_run_time: function.run_time.mean(),
            fleet_slowdown: self.fleet.current_slowdown(self.now),
            has_attempts_left: state.attempts < self.deployment.attempt_limit
                && state.in_flight.is_none(),
            is_warm_anywhere: function
                .instances
                .values()
                .any(|instance| instance.is_warm(self.now, keep_alive)),
        }
    }

    /// Whether the invocation may go to this invoker now.
    fn is_eligible(
        &self,
        request: &Request,
        invoker: &InvokerState,
        instance: Option<&Instance>,
    ) -> bool {
        let now = self.now;
        let invoker_id = invoker.record.invoker;
        let call = &request.state.request;
        let is_warm =
            instance.is_some_and(|instance| instance.is_warm(now, self.deployment.keep_alive));
        let loads_are_off = !self.deployment.reports_misses && self.loads.breaker.is_open(now);
        let is_cooling_down = instance.is_some_and(|instance| now < instance.load_cooldown_until);
        if !is_warm && (loads_are_off || is_cooling_down) {
            return false;
        }
        let rejections = invoker.rejections.get(&(call.tenant, call.trigger));
        if rejections.is_some_and(|rejections| now < rejections.until) {
            return false;
        }
        let was_tried = request.state.tried.contains(&invoker_id);
        if !request.has_attempts_left || !invoker.is_available(now) || was_tried {
            return false;
        }
        if !self.may_become_usable(invoker_id) {
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

    /// Estimates when this invoker would finish.
    fn add_candidate(
        &self,
        found: &mut Candidates,
        request: &Request,
        invoker: &InvokerState,
        instance: Option<&Instance>,
        is_in_pool: bool,
    ) {
        let now = self.now;
        let (function, run_time) = (request.function, request.mean_run_time);
        let is_warm =
            instance.is_some_and(|instance| instance.is_warm(now, self.deployment.keep_alive));
        let concurrency = instance.map_or(0.0, |instance| instance.concurrency(now));
        let load_time = self.expected_load_time(request, instance, is_warm);
        let is_unknown =
            is_in_pool && instance.is_none_or(|instance| instance.loading_since.is_none());
        let load_probability = if is_unknown {
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
        let mean_answer_time = slowdown * run_time + queue_time;
        found.shortest_answer_time = found.shortest_answer_time.min(mean_answer_time);
        let has_free_slot = concurrency < function.concurrency_limit;
        found.has_spare |= has_free_slot && mean_answer_time < TARGET_SLOWDOWN * run_time;
        let has_order = instance.is_some_and(|instance| instance.has_load_order);
        found.list.push(Candidate {
            invoker: invoker.record.invoker,
            finish_ms: finish as u64 / MILLISECOND,
            is_warm,
            awaits_load: !is_warm && self.deployment.reports_misses && has_order,
            load_time,
            answer_time: slowdown * request.run_time_alone + queue_time,
        });
    }

    /// Expected load time at an invoker, in ticks. Where a miss costs a moment and an attempt, an unknown instance is as good
    /// as a loaded one while attempts are left.
    fn expected_load_time(
        &self,
        request: &Request,
        instance: Option<&Instance>,
        is_warm: bool,
    ) -> f64 {
        let missed_recently = instance.is_some_and(|instance| self.now < instance.missed_until);
        let is_first = request.state.attempts == 0;
        let may_miss = request.is_warm_anywhere && is_first && !missed_recently;
        if is_warm || (may_miss && self.deployment.reports_misses) {
            return 0.0;
        }
        request.function.remaining_load_time(instance, self.now)
    }

    /// Chooses among the candidates; equal ones by a draw.
    fn choose(&mut self, id: InvocationId, candidates: Candidates) -> Placement {
        let Candidates {
            mut list,
            shortest_answer_time,
            ..
        } = candidates;
        let state = &self.invocations[&id];
        // Where an attempt loads nothing, an invoker without an instance only costs a retry: loads come by orders.
        let is_retry = state.attempts > 0;
        if self.deployment.reports_misses
            && is_retry
            && list.iter().any(|candidate| candidate.is_warm)
        {
            list.retain(|candidate| candidate.is_warm || candidate.awaits_load);
        }
        let Some(earliest) = list.iter().map(|candidate| candidate.finish_ms).min() else {
            return Placement::Reject;
        };
        if self.is_too_congested(state, shortest_answer_time)
            && self.retry_is_safe(state, None, self.now)
        {
            return Placement::Reject;
        }
        list.retain(|candidate| candidate.finish_ms == earliest);
        let chosen = &list[self.rng.usize(..list.len())];
        let function = &self.functions[&state.request.function];
        let instance = function.instances.get(&chosen.invoker);
        let missed_recently = instance.is_some_and(|instance| self.now < instance.missed_until);
        let is_absent = self.deployment.reports_misses && !chosen.is_warm && missed_recently;
        if chosen.awaits_load || (is_absent && self.deployment.may_load) {
            return Placement::AwaitLoad {
                invoker: chosen.invoker,
                load_time: function.remaining_load_time(instance, self.now) as Ticks,
                answer_time: chosen.answer_time as Ticks,
            };
        }
        Placement::Dispatch {
            invoker: chosen.invoker,
            expects_instance: chosen.is_warm,
            due_at: self.now + (chosen.load_time + chosen.answer_time) as Ticks,
        }
    }

    /// Whether the fleet is congested and even the shortest wait is not worth it. Slowdown is known late: this controller's
    /// share of one invocation for each invoker may go on, to see how things are.
    fn is_too_congested(&self, state: &InvocationState, shortest_answer_time: f64) -> bool {
        let in_flight = self.fleet.in_flight;
        let fleet_in_flight = f64::from(in_flight * self.deployment.controllers);
        let may_probe = in_flight == 0 || fleet_in_flight < self.ready.len() as f64;
        let is_congested = self.fleet.current_slowdown(self.now) > CONGESTION_THRESHOLD;
        is_congested && shortest_answer_time > self.patience(state) && !may_probe
    }
}
