//! The budget of load orders: within any window no more of them arrive than a few, and a share of the invocations that came
//! within that window. Invocations are counted from when they came, however late this controller read them, and orders from
//! when they left, however long before they were given.

use crate::port::{Deployment, MILLI, Tenths};
use std::collections::VecDeque;

/// What counts for and against the budget.
#[derive(Default)]
pub(super) struct LoadBudget {
    /// When invocations that widen the budget came, at the earliest. Ascending.
    came: VecDeque<Tenths>,
    /// When orders left, as far as is known: until their end, when they were given. Ascending.
    ordered: VecDeque<Tenths>,
    /// Orders that have not ended.
    out: usize,
}

fn insert_sorted(times: &mut VecDeque<Tenths>, at: Tenths) {
    let index = times.partition_point(|t| *t <= at);
    times.insert(index, at);
}

impl LoadBudget {
    /// An invocation that widens the budget.
    pub fn invocation_came(&mut self, at: Tenths) {
        insert_sorted(&mut self.came, at);
    }

    /// An order is given now.
    pub fn order_given(&mut self, now: Tenths) {
        self.out += 1;
        insert_sorted(&mut self.ordered, now);
    }

    /// An order that was given then has ended; it left at `left`, if that was seen.
    pub fn order_ended(&mut self, given: Tenths, left: Option<Tenths>) {
        self.out = self.out.saturating_sub(1);
        let Some(left) = left.filter(|left| *left > given) else {
            return;
        };
        if let Ok(index) = self.ordered.binary_search(&given) {
            self.ordered.remove(index);
        }
        insert_sorted(&mut self.ordered, left);
    }

    /// Orders that have not ended.
    pub fn orders_out(&self) -> usize {
        self.out
    }

    /// Whether one more order keeps to this part of what the window allows now.
    pub fn allows_one_more(&mut self, now: Tenths, d: &Deployment, part: f64) -> bool {
        self.forget(now, d.order_window);
        let came = self.came.len() - self.came.partition_point(|at| *at + d.order_window <= now);
        let most = (d.orders_free + d.orders_share * came as f64) * part;
        d.order_window == 0 || (self.ordered.len() + 1) as f64 <= most
    }

    /// Lets go of what no window that ends from `now` on reaches back to.
    pub fn forget(&mut self, now: Tenths, window: Tenths) {
        while self.came.pop_front_if(|at| *at + window <= now).is_some() {}
        while self
            .ordered
            .pop_front_if(|at| *at + window + MILLI <= now)
            .is_some()
        {}
    }

    /// Orders that count against the budget, as last looked at.
    pub fn orders_counted(&self) -> usize {
        self.ordered.len()
    }

    /// Invocations that widen the budget, as last looked at.
    pub fn invocations_counted(&self) -> usize {
        self.came.len()
    }
}

#[cfg(test)]
mod tests;
