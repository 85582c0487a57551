//! Read-only access to a policy's state, for logs and tests.

use super::DispatchPolicy;
use super::functions::FunctionState;
use crate::interface::{InvokerView, ReadinessCounts, TableSizes, Ticks};

/// Sums over all functions.
#[derive(Clone, Copy, Default)]
pub(super) struct FunctionSums {
    unproven: usize,
    ranked: usize,
    load_waits: usize,
}

impl FunctionSums {
    /// Adds a function.
    pub(super) fn add(&mut self, function: &FunctionState) {
        let instances = function.instances.values();
        self.unproven += usize::from(!function.is_proven());
        self.ranked += function.ranking.len();
        self.load_waits += instances
            .map(|instance| instance.load_waiters.len())
            .sum::<usize>();
    }
}

impl DispatchPolicy {
    /// The views of all ready invokers, in the order of their ids.
    pub fn invoker_views(&self, now: Ticks) -> Vec<InvokerView> {
        let fleet_slowdown = self.fleet.slowdown.value;
        let view = |invoker_id| {
            let invoker = &self.invokers[&invoker_id];
            InvokerView {
                invoker: invoker_id,
                in_flight: invoker.in_flight,
                slowdown: invoker.current_slowdown(now, fleet_slowdown),
                error_rate: invoker.error_rate,
                is_ejected: now < invoker.ejected_until,
            }
        };
        self.ready.ids().map(view).collect()
    }

    /// Counts of the actions taken because the endpoint list was too old to confirm an invoker as ready.
    pub fn readiness_counts(&self) -> ReadinessCounts {
        self.list_freshness.counts
    }

    /// Sizes of the tables, and operation counts. Examines all functions: for tests and measurements.
    pub fn table_sizes(&self) -> TableSizes {
        let mut sums = FunctionSums::default();
        for function in self.functions.values() {
            sums.add(function);
        }
        self.table_sizes_with(sums)
    }

    /// Like [`DispatchPolicy::table_sizes`], but the sums over functions (`unproven_functions`, `ranked` and
    /// `load_waits`) are those of the last sizing round: for logs.
    pub fn recent_table_sizes(&self) -> TableSizes {
        self.table_sizes_with(self.function_sums)
    }

    fn table_sizes_with(&self, sums: FunctionSums) -> TableSizes {
        let bound = self.unproven.counts();
        let invokers = || self.invokers.values();
        TableSizes {
            invokers: self.invokers.len(),
            functions: self.functions.len(),
            unproven_functions: sums.unproven,
            evicted_functions: bound.evicted,
            untracked_invocations: bound.rejected,
            instances: self.loads.processes.instances(),
            ranked: sums.ranked,
            invocations: self.invocations.len(),
            timers: self.timers.len(),
            load_waits: sums.load_waits,
            probe_waits: invokers().map(|i| i.confirmation.probe_waiters.len()).sum(),
            sent_work: invokers().map(|i| i.sent_work.len()).sum(),
            rank_steps: self.ready.rank_steps(),
            loads_counted: self.loads.budget.orders_counted(),
            invocations_counted: self.loads.budget.invocations_counted(),
            scanned: self.scans.counts(),
        }
    }
}
