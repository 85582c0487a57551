//! Pools: how many invokers hold each function, sized from its estimated demand, and the loads that keep them so.

use super::DispatchPolicy;
use super::functions::{FunctionState, Instance};
use super::loads::MIN_DWELL;
use super::placement::RANKED_BEYOND_POOL;
use super::ranking::{Ranked, weight};
use crate::interface::{Actions, FunctionId, InvokerStatus, SECOND, Ticks};
use std::collections::VecDeque;

/// How often pools are sized.
const POOL_SIZING_INTERVAL: Ticks = SECOND;
/// A function that was not called for this long has no pool.
const IDLE_FUNCTION_TIMEOUT: Ticks = 25 * SECOND;
/// Mean utilization of a pool's concurrency: calls come in bursts.
const TARGET_UTILIZATION: f64 = 0.2;
/// Share of the fleet's memory for pools; the rest is for work and for what others loaded.
const POOL_MEMORY_SHARE: f64 = 0.6;
/// A loaded instance is renewed after this share of its keep-alive time without a call.
const RENEWAL_SHARE: f64 = 0.6;
/// Planned loads use this share of the load budget and leave the rest to waiting invocations.
const PLANNED_LOADS_SHARE: f64 = 0.4;
/// An instance that this controller loaded may stay loaded for this many keep-alive times.
const OWN_INSTANCE_KEEP_ALIVES: Ticks = 3;
/// Pools are filled over so many health checks: one event stays short, and an order comes soon.
const FILL_ROUNDS: usize = 5;
/// Pools are filled in one event until this many invokers were looked at.
const MAX_RANK_STEPS: u64 = 50_000;
/// A ranking longer than this many times what is needed is cut.
const MAX_RANKING_EXCESS: usize = 8;

/// Sizing and filling of pools.
pub(super) struct PoolSizing {
    /// Functions whose pools are still to be filled.
    to_fill: VecDeque<FunctionId>,
    /// How many a health check fills.
    fills_per_check: usize,
    /// Planned loads that this controller may still order: its share of one for each invoker and second.
    planned_loads: f64,
}

/// A function's pool as its demand asks for it.
struct Demand {
    function: FunctionId,
    /// Value of its calls a second.
    value_rate: f64,
    pool_size: usize,
}

impl PoolSizing {
    /// Starts with a drawn part of a planned load, so that controllers do not act in step.
    pub(super) fn new(planned_loads: f64) -> Self {
        Self {
            to_fill: VecDeque::new(),
            fills_per_check: 0,
            planned_loads,
        }
    }
}

impl DispatchPolicy {
    /// Runs at each [`POOL_SIZING_INTERVAL`]: sizes all pools, which the health checks then fill.
    pub(super) fn size_pools(&mut self, actions: &mut dyn Actions) {
        self.schedule(
            self.now + POOL_SIZING_INTERVAL,
            actions,
            Box::new(Self::size_pools),
        );
        self.forget_unused();
        self.completed_work
            .decay_fleet(self.ready.total_capacity(), POOL_SIZING_INTERVAL);
        let mut free_memory_mb = self.pool_memory_mb();
        let demands = self.estimate_demand(&mut free_memory_mb);
        let is_filled = self.pools.to_fill.len() <= self.functions.len();
        let our_share = self.ready.len() as f64 / f64::from(self.deployment.controllers);
        self.pools.planned_loads = (self.pools.planned_loads + our_share).min(our_share.max(1.0));
        for demand in demands {
            let Some(function) = self.functions.get_mut(&demand.function) else {
                continue;
            };
            function.resize_pool(self.now, demand.pool_size, &mut free_memory_mb);
            if is_filled {
                self.pools.to_fill.push_back(demand.function);
            }
        }
        self.pools.fills_per_check = self.pools.to_fill.len().div_ceil(FILL_ROUNDS);
    }

    /// Forgets functions, instances and invokers that nothing depends on any more.
    fn forget_unused(&mut self) {
        let (now, keep_alive) = (self.now, self.deployment.keep_alive);
        for (function_id, function) in &mut self.functions {
            function.instances.retain(|invoker_id, instance| {
                // An entry that neither an order nor an attempt made is not in the index, and stays.
                instance.is_remembered(now, keep_alive)
                    || !self.loads.instances.remove(&(*invoker_id, *function_id))
            });
        }
        let timeouts = self
            .triggers
            .iter()
            .map(|trigger| trigger.settings.client_timeout);
        let longest_timeout = timeouts.max().unwrap_or(0);
        self.functions.retain(|_, function| {
            let forgotten_at = function.last_called + IDLE_FUNCTION_TIMEOUT + longest_timeout;
            now < forgotten_at || !function.instances.is_empty()
        });
        // Ids are never used again: one that is gone is kept while an invocation sent there may be in question.
        self.invokers.retain(|_, invoker| {
            let last_sent = invoker.sent_work.back();
            let may_matter = last_sent.is_some_and(|sent| now < sent.at + 2 * longest_timeout);
            invoker.record.status != InvokerStatus::Gone || invoker.in_flight > 0 || may_matter
        });
        let invokers = &self.invokers;
        self.fleet.suspects.retain(|id| {
            invokers
                .get(id)
                .is_some_and(|invoker| invoker.ejection_time > 0)
        });
        self.loads
            .budget
            .forget_expired(now, self.deployment.load_window);
    }

    /// Memory that pools may use over the fleet, in MB; unlimited where no memory is configured.
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

    /// Pools as demand asks for them, the most valuable first. Takes the memory of one instance of each function, which it
    /// keeps in any case.
    fn estimate_demand(&mut self, free_memory_mb: &mut f64) -> Vec<Demand> {
        let now = self.now;
        let max_pool_size = self.ready.len().max(1) as f64;
        let mut demands: Vec<Demand> = Vec::new();
        for (function_id, function) in &mut self.functions {
            if now >= function.last_called + IDLE_FUNCTION_TIMEOUT {
                function.dissolve_pool(now);
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
        demands.sort_by(|a, b| {
            b.value_rate
                .total_cmp(&a.value_rate)
                .then(a.function.cmp(&b.function))
        });
        demands
    }

    /// Fills some of the pools, as many as one health check may.
    pub(super) fn fill_pools(&mut self, actions: &mut dyn Actions) {
        let max_steps = self.ready.rank_steps() + MAX_RANK_STEPS;
        for _ in 0..self.pools.fills_per_check {
            if self.ready.rank_steps() >= max_steps {
                break;
            }
            let Some(function_id) = self.pools.to_fill.pop_front() else {
                break;
            };
            self.fill_pool(function_id, actions);
        }
    }

    /// Orders loads at invokers of the pool without a loaded instance, and renews instances that are about to expire.
    fn fill_pool(&mut self, function_id: FunctionId, actions: &mut dyn Actions) {
        if !self.functions.contains_key(&function_id) {
            return;
        }
        let pool = self.select_pool(function_id);
        self.mark_outside_pool(function_id, &pool);
        for ranked in pool {
            if self.pools.planned_loads < 1.0 || !self.may_order_load(PLANNED_LOADS_SHARE) {
                break;
            }
            self.order_planned_load(function_id, ranked, actions);
        }
    }

    /// Orders a load at an invoker of the pool that lacks a loaded instance, or whose instance is about to expire. Where the
    /// list does not vouch for the invoker, this waits for the invoker's own word.
    fn order_planned_load(
        &mut self,
        function_id: FunctionId,
        ranked: Ranked,
        actions: &mut dyn Actions,
    ) {
        let (now, keep_alive) = (self.now, self.deployment.keep_alive);
        let function = self.functions.get(&function_id);
        if !function.is_some_and(|function| function.needs_load(ranked, now, keep_alive)) {
            return;
        }
        if !self.may_send_new_work(ranked.invoker) {
            let when_probed = move |policy: &mut Self, actions: &mut dyn Actions| {
                let has_budget = policy.pools.planned_loads >= 1.0;
                if has_budget && policy.may_send_new_work(ranked.invoker) {
                    policy.order_planned_load(function_id, ranked, actions);
                }
            };
            return self.when_probed(ranked.invoker, Box::new(when_probed), actions);
        }
        if self.order_load(ranked.invoker, function_id, PLANNED_LOADS_SHARE, actions) {
            self.pools.planned_loads -= 1.0;
        }
    }

    /// The first invokers of the ranking that are not ejected, as many as the pool wants.
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

    /// Notes for each instance whether its invoker is in the pool.
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
    /// Grows the pool at once, as far as memory allows, and shrinks it by one after each dwell time of surplus.
    fn resize_pool(&mut self, now: Ticks, wanted: usize, free_memory_mb: &mut f64) {
        let affordable = (*free_memory_mb / self.memory_mb.max(1.0)).max(0.0) as usize;
        let extra = (wanted - 1).min(affordable);
        *free_memory_mb -= extra as f64 * self.memory_mb;
        if 1 + extra >= self.pool_size {
            self.pool_size = 1 + extra;
            self.surplus_since = None;
        } else if now >= *self.surplus_since.get_or_insert(now) + MIN_DWELL {
            self.pool_size -= 1;
            self.surplus_since = Some(now);
        }
    }

    fn dissolve_pool(&mut self, now: Ticks) {
        self.pool_size = 0;
        for instance in self.instances.values_mut() {
            instance.unused_since = instance.unused_since.or(Some(now));
        }
    }

    /// Whether an invoker of the pool lacks an instance, or has one that is about to expire.
    fn needs_load(&self, ranked: Ranked, now: Ticks, keep_alive: Ticks) -> bool {
        let Some(instance) = self.instances.get(&ranked.invoker) else {
            return true;
        };
        if instance.has_load_order {
            return false;
        }
        if !instance.is_warm(now, keep_alive) {
            return instance.loading_since.is_none();
        }
        let renewal_age = (keep_alive as f64 * RENEWAL_SHARE) as Ticks;
        instance.in_flight == 0 && now >= instance.last_used + renewal_age
    }
}

impl Instance {
    /// Whether it is kept in the tables. One that this controller loaded may stay loaded for longer than it may be relied on:
    /// it is remembered, to be unloaded.
    fn is_remembered(&self, now: Ticks, keep_alive: Ticks) -> bool {
        let keep_alives = if self.is_ours {
            OWN_INSTANCE_KEEP_ALIVES
        } else {
            1
        };
        let expires_at = (self.last_used + keep_alives * keep_alive).max(self.load_cooldown_until);
        self.in_flight > 0 || self.has_load_order || now < expires_at
    }
}
