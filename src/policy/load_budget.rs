//! The budget of load orders (rule 5): within any window, a fixed number of orders and a share of the invocations that
//! arrived within the same window. Invocations count from when they arrived, however late they are read; orders count from
//! when they were sent, however long before they were given.

use crate::interface::{Deployment, MILLISECOND, Ticks};
use std::collections::VecDeque;

/// What counts for and against the budget.
#[derive(Default)]
pub(super) struct LoadBudget {
    /// Earliest arrival of the invocations that widen the budget, ascending.
    arrivals: VecDeque<Ticks>,
    /// When orders were sent, ascending. Until an order has ended, when it was given.
    orders: VecDeque<Ticks>,
    /// Orders in flight.
    in_flight: usize,
}

fn insert_sorted(times: &mut VecDeque<Ticks>, at: Ticks) {
    let index = times.partition_point(|time| *time <= at);
    times.insert(index, at);
}

impl LoadBudget {
    /// Counts an invocation that widens the budget.
    pub(super) fn invocation_arrived(&mut self, at: Ticks) {
        insert_sorted(&mut self.arrivals, at);
    }

    /// Counts an order that is given now.
    pub(super) fn order_given(&mut self, now: Ticks) {
        self.in_flight += 1;
        insert_sorted(&mut self.orders, now);
    }

    /// An order that was given at `given_at` has ended; it was sent at `sent_at`, if that is known.
    pub(super) fn order_ended(&mut self, given_at: Ticks, sent_at: Option<Ticks>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let Some(sent_at) = sent_at.filter(|sent_at| *sent_at > given_at) else {
            return;
        };
        if let Ok(index) = self.orders.binary_search(&given_at) {
            self.orders.remove(index);
        }
        insert_sorted(&mut self.orders, sent_at);
    }

    /// Orders in flight.
    pub(super) fn orders_in_flight(&self) -> usize {
        self.in_flight
    }

    /// Whether one more order stays within `share` of what the window allows now.
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

    /// Forgets what no window that ends at `now` or later reaches back to.
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

    /// Orders that count against the budget, as of the last check.
    pub(super) fn orders_counted(&self) -> usize {
        self.orders.len()
    }

    /// Invocations that widen the budget, as of the last check.
    pub(super) fn invocations_counted(&self) -> usize {
        self.arrivals.len()
    }
}

#[cfg(test)]
mod tests;
