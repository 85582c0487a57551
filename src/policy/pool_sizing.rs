//! Pools: the number of invokers that keep each function loaded, sized by its estimated demand, and the loads that fill
//! them.

use super::DispatchPolicy;
use super::functions::FunctionState;
use super::loads::MIN_DWELL;
use super::placement::RANKED_BEYOND_POOL;
use super::processes::ProcessNumber;
use super::ranking::{Ranked, weight};
use super::scans::ScanPurpose;
use super::unloads::UnloadCandidates;
use crate::interface::{Actions, FunctionId, InvokerStatus, SECOND, Ticks};
use std::collections::VecDeque;

/// Interval between two sizings of the pools.
const POOL_SIZING_INTERVAL: Ticks = SECOND;
/// Time without a call after which a function loses its pool.
pub(super) const IDLE_FUNCTION_TIMEOUT: Ticks = 25 * SECOND;
/// Target utilization of a pool's concurrency. It leaves room for bursts of calls.
const TARGET_UTILIZATION: f64 = 0.2;
/// Share of the fleet's memory for pools. The rest is for running invocations and for instances loaded by other
/// controllers.
const POOL_MEMORY_SHARE: f64 = 0.6;
/// Share of its keep-alive time after which an instance without calls is renewed.
const RENEWAL_SHARE: f64 = 0.6;
/// Share of the load budget for planned loads. The rest is reserved for waiting invocations.
const PLANNED_LOADS_SHARE: f64 = 0.4;
/// Number of health checks over which pools are filled, so that no single event takes long and loads are ordered soon.
const FILL_ROUNDS: usize = 5;
/// Number of invokers examined by rankings in one event after which no further pools are filled.
const MAX_RANK_STEPS_PER_EVENT: u64 = 50_000;
/// A ranking with more than this many times the required number of entries is truncated.
const MAX_RANKING_EXCESS: usize = 8;

/// The state of the sizing and filling of pools.
pub(super) struct PoolSizing {
    /// Queue of functions whose pools are yet to be filled.
    fill_queue: VecDeque<FunctionId>,
    /// Number of pools that each health check fills.
    fills_per_check: usize,
    /// Number of planned loads that this controller may still order: its share of one per invoker and second.
    planned_load_allowance: f64,
}

/// The pool size that the demand for a function requires.
struct Demand {
    function: FunctionId,
    /// Billed value of its calls per second.
    value_rate: f64,
    pool_size: usize,
}

impl PoolSizing {
    /// Starts with an allowance of a random part of a planned load, so that controllers do not act in lockstep.
    pub(super) fn new(planned_load_allowance: f64) -> Self {
        Self {
            fill_queue: VecDeque::new(),
            fills_per_check: 0,
            planned_load_allowance,
        }
    }
}

impl DispatchPolicy {
    /// Runs every [`POOL_SIZING_INTERVAL`]: sizes all pools, which the health checks then fill.
    pub(super) fn size_pools(&mut self, actions: &mut dyn Actions) {
        self.schedule(
            self.now + POOL_SIZING_INTERVAL,
            actions,
            Box::new(Self::size_pools),
        );
        self.forget_unused();
        self.log_function_bound(actions);
        self.completed_work
            .decay_fleet_capacity(self.ready.total_capacity(), POOL_SIZING_INTERVAL);
        let mut free_memory_mb = self.pool_memory_mb();
        let demands = self.estimate_demand(&mut free_memory_mb);
        let may_enqueue = self.pools.fill_queue.len() <= self.functions.len();
        let own_share = self.ready.len() as f64 / f64::from(self.deployment.controllers);
        self.pools.planned_load_allowance =
            (self.pools.planned_load_allowance + own_share).min(own_share.max(1.0));
        self.scans.record(ScanPurpose::Timer, demands.len());
        for demand in demands {
            let Some(function) = self.functions.get_mut(&demand.function) else {
                continue;
            };
            function.resize_pool(self.now, demand.pool_size, &mut free_memory_mb);
            if may_enqueue {
                self.pools.fill_queue.push_back(demand.function);
            }
        }
        self.pools.fills_per_check = self.pools.fill_queue.len().div_ceil(FILL_ROUNDS);
    }

    /// Memory that pools may use over the whole fleet, in MB; unlimited if no memory is configured.
    fn pool_memory_mb(&self) -> f64 {
        let by_kind = &self.deployment.machine_memory_mb;
        let ready = self
            .invokers
            .values()
            .filter(|invoker| invoker.record.status == InvokerStatus::Ready);
        let memory = ready.map(|invoker| {
            let kind = usize::from(invoker.record.machine_kind);
            by_kind.get(kind).copied().unwrap_or(0.0)
        });
        let total: f64 = memory.sum();
        if total > 0.0 {
            total * POOL_MEMORY_SHARE
        } else {
            f64::INFINITY
        }
    }

    /// The pool sizes that demand requires, the most valuable first. Subtracts the memory of one instance of each
    /// function, which every pool has in any case.
    fn estimate_demand(&mut self, free_memory_mb: &mut f64) -> Vec<Demand> {
        let now = self.now;
        let max_pool_size = self.ready.len().max(1) as f64;
        let mut demands: Vec<Demand> = Vec::new();
        self.scans.record(ScanPurpose::Timer, self.functions.len());
        for (function_id, function) in &mut self.functions {
            if now >= function.last_called + IDLE_FUNCTION_TIMEOUT {
                function.dissolve_pool(*function_id, now, &mut self.loads.unload_candidates);
                continue;
            }
            let rate = function.call_rate(now, self.started_at);
            let fleet_rate = rate * f64::from(self.deployment.controllers);
            let concurrency = fleet_rate * function.run_time.mean() / SECOND as f64;
            let pool_size = concurrency / (function.concurrency_limit * TARGET_UTILIZATION);
            demands.push(Demand {
                function: *function_id,
                value_rate: rate * self.triggers[function.trigger].settings.billed_value,
                pool_size: pool_size.ceil().clamp(1.0, max_pool_size) as usize,
            });
            *free_memory_mb -= function.memory_mb;
        }
        demands.sort_by(|left, right| {
            right
                .value_rate
                .total_cmp(&left.value_rate)
                .then(left.function.cmp(&right.function))
        });
        demands
    }

    /// Fills as many pools as one health check may.
    pub(super) fn fill_pools(&mut self, actions: &mut dyn Actions) {
        let max_steps = self.ready.rank_steps() + MAX_RANK_STEPS_PER_EVENT;
        for _ in 0..self.pools.fills_per_check {
            if self.ready.rank_steps() >= max_steps {
                break;
            }
            let Some(function_id) = self.pools.fill_queue.pop_front() else {
                break;
            };
            self.fill_pool(function_id, actions);
        }
    }

    /// Orders loads at the invokers of a pool that lack a loaded instance, and renews instances that are about to
    /// expire.
    fn fill_pool(&mut self, function_id: FunctionId, actions: &mut dyn Actions) {
        if !self.functions.contains_key(&function_id) {
            return;
        }
        let pool = self.select_pool(function_id);
        let instances = self.functions[&function_id].instances.len();
        self.scans
            .record(ScanPurpose::Timer, 1 + pool.len() + instances);
        self.mark_outside_pool(function_id, &pool);
        for ranked in pool {
            if self.pools.planned_load_allowance < 1.0 || !self.may_order_load(PLANNED_LOADS_SHARE)
            {
                break;
            }
            self.order_planned_load(function_id, ranked, actions);
        }
    }

    /// Orders a load at an invoker of the pool if it lacks a loaded instance or its instance is about to expire. If the
    /// list is too old to confirm that the invoker is ready, probes the invoker first.
    fn order_planned_load(
        &mut self,
        function_id: FunctionId,
        ranked: Ranked,
        actions: &mut dyn Actions,
    ) {
        let (now, keep_alive) = (self.now, self.deployment.keep_alive);
        let function = self.functions.get(&function_id);
        let process = self.loads.processes.number(ranked.invoker);
        let needs_load =
            |function: &FunctionState| function.needs_load(ranked, process, now, keep_alive);
        if !function.is_some_and(needs_load) {
            return;
        }
        if !self.may_send_new_work(ranked.invoker) {
            let on_probed = move |policy: &mut Self, actions: &mut dyn Actions| {
                let has_budget = policy.pools.planned_load_allowance >= 1.0;
                if has_budget && policy.may_send_new_work(ranked.invoker) {
                    policy.order_planned_load(function_id, ranked, actions);
                }
            };
            return self.run_after_probe(ranked.invoker, Box::new(on_probed), actions);
        }
        if self.order_load(ranked.invoker, function_id, PLANNED_LOADS_SHARE, actions) {
            self.pools.planned_load_allowance -= 1.0;
        }
    }

    /// The first available invokers of the ranking, up to the size of the pool.
    fn select_pool(&mut self, function_id: FunctionId) -> Vec<Ranked> {
        let now = self.now;
        let pool_size = self.functions[&function_id].pool_size;
        let mut count = pool_size + RANKED_BEYOND_POOL;
        if let Some(function) = self.functions.get_mut(&function_id)
            && function.ranking.len() > MAX_RANKING_EXCESS * count
        {
            function.ranking.truncate(2 * count);
        }
        loop {
            self.rank(function_id, count);
            let is_available = |ranked: &Ranked| {
                let is_suspect = self.fleet.suspects.contains(&ranked.invoker);
                !is_suspect || self.invokers[&ranked.invoker].is_available(now)
            };
            let ranked = self.functions[&function_id].ranking.head();
            let pool: Vec<Ranked> = ranked.filter(is_available).take(pool_size).collect();
            if pool.len() == pool_size || count >= self.ready.len() {
                return pool;
            }
            count *= 2;
        }
    }

    /// Updates for each instance since when its invoker is outside the pool.
    fn mark_outside_pool(&mut self, function_id: FunctionId, pool: &[Ranked]) {
        let Some(function) = self.functions.get_mut(&function_id) else {
            return;
        };
        for (invoker_id, instance) in &mut function.instances {
            let capacity = self.ready.capacity(*invoker_id);
            let weight =
                capacity.and_then(|size| weight(function_id, *invoker_id, size, f64::INFINITY));
            let is_in_pool = weight.is_some_and(|weight| {
                pool.binary_search_by(|ranked| ranked.weight.total_cmp(&weight))
                    .is_ok()
            });
            let outside_since = instance.unused_since.or(Some(self.now));
            instance.unused_since = if is_in_pool { None } else { outside_since };
            self.loads
                .unload_candidates
                .update(*invoker_id, function_id, instance);
        }
    }

    /// Extends a function's ranking to its first `count` invokers.
    pub(super) fn rank(&mut self, function_id: FunctionId, count: usize) {
        if let Some(function) = self.functions.get_mut(&function_id) {
            self.ready.rank(function_id, &mut function.ranking, count);
        }
    }
}

impl FunctionState {
    /// Grows the pool immediately, as far as memory allows. Shrinks it by one invoker after each dwell time with a
    /// surplus.
    fn resize_pool(&mut self, now: Ticks, target_size: usize, free_memory_mb: &mut f64) {
        let affordable = (*free_memory_mb / self.memory_mb.max(1.0)).max(0.0) as usize;
        let extra = (target_size - 1).min(affordable);
        *free_memory_mb -= extra as f64 * self.memory_mb;
        if 1 + extra >= self.pool_size {
            self.pool_size = 1 + extra;
            self.surplus_since = None;
        } else if now >= *self.surplus_since.get_or_insert(now) + MIN_DWELL {
            self.pool_size -= 1;
            self.surplus_since = Some(now);
        }
    }

    fn dissolve_pool(
        &mut self,
        id: FunctionId,
        now: Ticks,
        unload_candidates: &mut UnloadCandidates,
    ) {
        self.pool_size = 0;
        for (invoker, instance) in &mut self.instances {
            instance.unused_since = instance.unused_since.or(Some(now));
            unload_candidates.update(*invoker, id, instance);
        }
    }

    /// Whether an invoker of the pool lacks an instance, or its instance is about to expire.
    fn needs_load(
        &self,
        ranked: Ranked,
        process: ProcessNumber,
        now: Ticks,
        keep_alive: Ticks,
    ) -> bool {
        let Some(instance) = self.instances.get(&ranked.invoker) else {
            return true;
        };
        if instance.has_load_order {
            return false;
        }
        if !instance.is_warm(process, now, keep_alive) {
            return instance.load_state(process).loading_since.is_none();
        }
        let renewal_age = (keep_alive as f64 * RENEWAL_SHARE) as Ticks;
        instance.in_flight == 0 && now >= instance.last_used + renewal_age
    }
}
