//! The budget of load orders (rule 5): within any window, a fixed number of orders plus a share of the number of
//! invocations that arrived within the same window. Invocations count from their arrival, even if they are read later.
//! Orders count from the time at which they were sent, even if they were issued earlier.

use crate::interface::{Deployment, MILLISECOND, Ticks};
use std::collections::VecDeque;

/// The invocations that increase the budget, and the orders that use it.
#[derive(Default)]
pub(super) struct LoadBudget {
    /// Earliest arrival times of the invocations that increase the budget, ascending.
    arrivals: VecDeque<Ticks>,
    /// Send times of orders, ascending; for an order that has not ended, its issue time.
    orders: VecDeque<Ticks>,
    /// Number of orders in flight.
    in_flight: usize,
}

fn insert_sorted(times: &mut VecDeque<Ticks>, at: Ticks) {
    let index = times.partition_point(|time| *time <= at);
    times.insert(index, at);
}

impl LoadBudget {
    /// Counts an invocation that increases the budget.
    pub(super) fn invocation_arrived(&mut self, at: Ticks) {
        insert_sorted(&mut self.arrivals, at);
    }

    /// Counts an order that is issued now.
    pub(super) fn order_issued(&mut self, now: Ticks) {
        self.in_flight += 1;
        insert_sorted(&mut self.orders, now);
    }

    /// Records the end of an order that was issued at `issued_at` and sent at `sent_at`, if known.
    pub(super) fn order_ended(&mut self, issued_at: Ticks, sent_at: Option<Ticks>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let Some(sent_at) = sent_at.filter(|sent_at| *sent_at > issued_at) else {
            return;
        };
        if let Ok(index) = self.orders.binary_search(&issued_at) {
            self.orders.remove(index);
        }
        insert_sorted(&mut self.orders, sent_at);
    }

    /// Number of orders in flight.
    pub(super) fn orders_in_flight(&self) -> usize {
        self.in_flight
    }

    /// Whether one more order now stays within `share` of the budget of the window.
    pub(super) fn allows_one_more(
        &mut self,
        now: Ticks,
        deployment: &Deployment,
        share: f64,
    ) -> bool {
        let window = deployment.load_window;
        self.forget_expired(now, window);
        let arrived = self.arrivals.len() - self.arrivals.partition_point(|at| *at + window <= now);
        let limit =
            (deployment.free_loads + deployment.loads_per_invocation * arrived as f64) * share;
        window == 0 || (self.orders.len() + 1) as f64 <= limit
    }

    /// Removes the entries that no window that ends at `now` or later includes.
    pub(super) fn forget_expired(&mut self, now: Ticks, window: Ticks) {
        while self
            .arrivals
            .pop_front_if(|at| *at + window <= now)
            .is_some()
        {}
        while self
            .orders
            .pop_front_if(|at| *at + window + MILLISECOND <= now)
            .is_some()
        {}
    }

    /// Number of orders that count against the budget, as of the last check.
    pub(super) fn orders_counted(&self) -> usize {
        self.orders.len()
    }

    /// Number of invocations that increase the budget, as of the last check.
    pub(super) fn invocations_counted(&self) -> usize {
        self.arrivals.len()
    }
}

#[cfg(test)]
mod tests;
