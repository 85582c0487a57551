//! Read-only access to a policy's state, for logs and tests.

use super::DispatchPolicy;
use crate::interface::{InvokerView, ReadinessCounts, TableSizes, Ticks};

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

    /// Sizes of the tables, and operation counts.
    pub fn table_sizes(&self) -> TableSizes {
        let bound = self.unproven.counts();
        let functions = || self.functions.values();
        let invokers = || self.invokers.values();
        let instances = functions().flat_map(|f| f.instances.values());
        TableSizes {
            invokers: self.invokers.len(),
            functions: self.functions.len(),
            unproven_functions: functions().filter(|f| !f.is_proven()).count(),
            evicted_functions: bound.evicted,
            untracked_invocations: bound.rejected,
            instances: self.loads.processes.instances(),
            ranked: functions().map(|f| f.ranking.len()).sum(),
            invocations: self.invocations.len(),
            timers: self.timers.len(),
            load_waits: instances.map(|i| i.load_waiters.len()).sum(),
            probe_waits: invokers().map(|i| i.confirmation.probe_waiters.len()).sum(),
            sent_work: invokers().map(|i| i.sent_work.len()).sum(),
            rank_steps: self.ready.rank_steps(),
            loads_counted: self.loads.budget.orders_counted(),
            invocations_counted: self.loads.budget.invocations_counted(),
            scanned: self.scans.counts(),
        }
    }
}
