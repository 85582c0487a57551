//! Filling of the pools: the loads that make all invokers of a pool hold a loaded instance. The pools of a sizing round
//! are filled over the following health checks.

use super::DispatchPolicy;
use super::functions::FunctionState;
use super::placement::RANKED_BEYOND_POOL;
use super::processes::ProcessNumber;
use super::ranking::{Ranked, weight};
use super::scans::ScanPurpose;
use super::sizing_rounds::{TURN_INTERVAL, TurnBudget};
use crate::interface::{Actions, FunctionId, Ticks};
use std::collections::VecDeque;

/// Share of its keep-alive time after which an instance without calls is renewed.
const RENEWAL_SHARE: f64 = 0.6;
/// Share of the load budget for planned loads. The rest is reserved for waiting invocations.
const PLANNED_LOADS_SHARE: f64 = 0.4;
/// Number of health checks over which pools are filled, so that the work is spread and loads are ordered soon.
const FILL_ROUNDS: usize = 5;
/// Number of invokers examined by rankings in one event after which further pools are filled in the next turn.
const MAX_RANK_STEPS_PER_EVENT: u64 = 50_000;
/// A ranking with more than this many times the required number of entries is truncated.
const MAX_RANKING_EXCESS: usize = 8;

/// The pools that are yet to be filled.
pub(super) struct PoolFilling {
    /// The functions of these pools, in the order in which they are filled.
    queue: VecDeque<FunctionId>,
    /// Number of pools that each health check fills.
    fills_per_check: usize,
    /// Number of pools that the health checks so far have yet to fill.
    fills_due: usize,
    /// Whether a timer is set to fill more of them.
    is_turn_scheduled: bool,
    /// Number of planned loads that this controller may still order: its share of one per invoker and second.
    planned_load_allowance: f64,
}

impl PoolFilling {
    /// Starts with an allowance of a random part of a planned load, so that controllers do not act in lockstep.
    pub(super) fn new(planned_load_allowance: f64) -> Self {
        Self {
            queue: VecDeque::new(),
            fills_per_check: 0,
            fills_due: 0,
            is_turn_scheduled: false,
            planned_load_allowance,
        }
    }

    /// Number of pools that are yet to be filled.
    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    /// Adds the pool of a function.
    pub(super) fn enqueue(&mut self, function: FunctionId) {
        self.queue.push_back(function);
    }

    /// Spreads the filling of all pools in the queue over the next health checks.
    pub(super) fn set_fills_per_check(&mut self) {
        self.fills_per_check = self.queue.len().div_ceil(FILL_ROUNDS);
    }

    /// Adds this controller's share of the planned loads of a second, at which the allowance is limited, or at one load.
    pub(super) fn raise_planned_load_allowance(&mut self, own_share: f64) {
        self.planned_load_allowance =
            (self.planned_load_allowance + own_share).min(own_share.max(1.0));
    }
}

impl DispatchPolicy {
    /// Fills as many pools as one health check may.
    pub(super) fn fill_pools(&mut self, actions: &mut dyn Actions) {
        self.pools.fills_due += self.pools.fills_per_check;
        if !self.pools.is_turn_scheduled {
            self.run_fill_turn(actions);
        }
    }

    /// Fills pools that are due, as far as one turn may.
    fn run_fill_turn(&mut self, actions: &mut dyn Actions) {
        let max_rank_steps = self.ready.rank_steps() + MAX_RANK_STEPS_PER_EVENT;
        let mut budget = TurnBudget::default();
        self.pools.is_turn_scheduled = false;
        while self.pools.fills_due > 0 {
            if budget.is_exhausted() || self.ready.rank_steps() >= max_rank_steps {
                self.pools.is_turn_scheduled = true;
                let next_turn_at = self.now + TURN_INTERVAL;
                self.schedule(next_turn_at, actions, Box::new(Self::run_fill_turn));
                break;
            }
            let Some(function_id) = self.pools.queue.pop_front() else {
                self.pools.fills_due = 0;
                break;
            };
            self.pools.fills_due -= 1;
            budget.examined += 1;
            self.fill_pool(function_id, &mut budget, actions);
        }
        self.scans.record(ScanPurpose::Timer, budget.examined);
    }

    /// Orders loads at the invokers of a pool that lack a loaded instance, and renews instances that are about to
    /// expire.
    fn fill_pool(
        &mut self,
        function_id: FunctionId,
        budget: &mut TurnBudget,
        actions: &mut dyn Actions,
    ) {
        let Some(function) = self.functions.get(&function_id) else {
            return;
        };
        budget.examined += function.instances.len();
        let pool = self.select_pool(function_id);
        budget.examined += pool.len();
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
