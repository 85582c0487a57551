//! Pools: the number of invokers that keep each function loaded, sized by its estimated demand.

use super::DispatchPolicy;
use super::functions::FunctionState;
use super::loads::MIN_DWELL;
use super::sizing_rounds::{SizingRound, TurnBudget, ids_after};
use super::unloads::UnloadCandidates;
use crate::interface::{Actions, FunctionId, InvokerStatus, SECOND, Ticks};
use std::cmp::Ordering;

/// Interval between two sizings of the pools.
const POOL_SIZING_INTERVAL: Ticks = SECOND;
/// Time without a call after which a function loses its pool.
pub(super) const IDLE_FUNCTION_TIMEOUT: Ticks = 25 * SECOND;
/// Target utilization of a pool's concurrency. It leaves room for bursts of calls.
const TARGET_UTILIZATION: f64 = 0.2;
/// Share of the fleet's memory for pools. The rest is for running invocations and for instances loaded by other
/// controllers.
const POOL_MEMORY_SHARE: f64 = 0.6;

/// The pool size that the demand for a function requires. The most valuable is the greatest.
pub(super) struct Demand {
    function: FunctionId,
    /// Billed value of its calls per second.
    value_rate: f64,
    pool_size: usize,
}

impl Ord for Demand {
    fn cmp(&self, other: &Self) -> Ordering {
        self.value_rate
            .total_cmp(&other.value_rate)
            .then(other.function.cmp(&self.function))
    }
}

impl PartialOrd for Demand {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Demand {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Demand {}

impl DispatchPolicy {
    /// Runs every [`POOL_SIZING_INTERVAL`]: begins to size all pools, which the health checks then fill.
    pub(super) fn size_pools(&mut self, actions: &mut dyn Actions) {
        self.schedule(
            self.now + POOL_SIZING_INTERVAL,
            actions,
            Box::new(Self::size_pools),
        );
        self.completed_work
            .decay_fleet_capacity(self.ready.total_capacity(), POOL_SIZING_INTERVAL);
        let own_share = self.ready.len() as f64 / f64::from(self.deployment.controllers);
        self.pools.raise_planned_load_allowance(own_share);
        self.begin_sizing_round(actions);
    }

    /// Memory that pools may use over the whole fleet, in MB; unlimited if no memory is configured.
    pub(super) fn pool_memory_mb(&self) -> f64 {
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

    /// Estimates the demand for the functions after `after`, as far as the budget allows, and subtracts the memory of one
    /// instance of each, which every pool has in any case. Returns the last function handled, or none at the end.
    pub(super) fn estimate_demands(
        &mut self,
        after: Option<FunctionId>,
        round: &mut SizingRound,
        budget: &mut TurnBudget,
    ) -> Option<FunctionId> {
        let now = self.now;
        let max_pool_size = self.ready.len().max(1) as f64;
        let mut last_handled = after;
        for (function_id, function) in self.functions.range_mut(ids_after(after)) {
            if budget.is_exhausted() {
                return last_handled;
            }
            last_handled = Some(*function_id);
            budget.examined += 1;
            if now >= function.last_called + IDLE_FUNCTION_TIMEOUT {
                budget.examined += function.instances.len();
                function.dissolve_pool(*function_id, now, &mut self.loads.unload_candidates);
                continue;
            }
            let rate = function.call_rate(now, self.started_at);
            let fleet_rate = rate * f64::from(self.deployment.controllers);
            let concurrency = fleet_rate * function.run_time.mean() / SECOND as f64;
            let pool_size = concurrency / (function.concurrency_limit * TARGET_UTILIZATION);
            round.demands.push(Demand {
                function: *function_id,
                value_rate: rate * self.triggers[function.trigger].settings.billed_value,
                pool_size: pool_size.ceil().clamp(1.0, max_pool_size) as usize,
            });
            round.free_memory_mb -= function.memory_mb;
        }
        None
    }

    /// Sizes the pools of a round, the most valuable first, as far as the budget allows. Returns whether all are sized.
    pub(super) fn size_pools_by_demand(
        &mut self,
        round: &mut SizingRound,
        budget: &mut TurnBudget,
    ) -> bool {
        while !budget.is_exhausted() {
            let Some(demand) = round.demands.pop() else {
                return true;
            };
            budget.examined += 1;
            let Some(function) = self.functions.get_mut(&demand.function) else {
                continue;
            };
            function.resize_pool(self.now, demand.pool_size, &mut round.free_memory_mb);
            if round.may_enqueue {
                self.pools.enqueue(demand.function);
            }
        }
        round.demands.is_empty()
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
}
