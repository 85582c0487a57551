//! Read access to a policy's state, for logs and tests. Nothing here decides or changes anything.

use super::DispatchPolicy;
use crate::interface::{InvokerView, ReadinessCounts, TableSizes, Ticks};

impl DispatchPolicy {
    /// The view of each invoker that is ready, in the order of their ids.
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

    /// What was done where the endpoint list did not vouch for an invoker.
    pub fn readiness_counts(&self) -> ReadinessCounts {
        self.list_age.counts
    }

    /// Sizes of the tables, and the work done, by count.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            invokers: self.invokers.len(),
            functions: self.functions.len(),
            instances: self.loads.instances.len(),
            ranked: self
                .functions
                .values()
                .map(|function| function.ranking.len())
                .sum(),
            rank_steps: self.ready.rank_steps(),
            loads_counted: self.loads.budget.orders_counted(),
            invocations_counted: self.loads.budget.invocations_counted(),
        }
    }
}
