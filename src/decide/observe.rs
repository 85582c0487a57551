//! What a controller can be asked for logs and tests. Nothing here decides or changes anything.

use super::Controller;
use crate::port::{Belief, Counted, InvokerId, Tenths};

impl Controller {
    /// What is believed of each invoker that is ready.
    pub fn beliefs(&self, now: Tenths) -> Vec<Belief> {
        let belief = |invoker: &InvokerId| {
            let v = &self.invokers[invoker];
            let (slow, shut) = (v.slow(now, self.slow.0), now < v.shut_until);
            Belief {
                invoker: *invoker,
                out: v.out,
                slow,
                errors: v.errors,
                shut,
            }
        };
        self.ready.keys().map(belief).collect()
    }

    /// What it holds and has done, by count.
    pub fn counted(&self) -> Counted {
        let ranked = self.functions.values().map(|f| f.ranking.head.len()).sum();
        let (invokers, functions, places) =
            (self.invokers.len(), self.functions.len(), self.copies.len());
        let (orders_counted, invocations_counted) = (
            self.load_budget.orders_counted(),
            self.load_budget.invocations_counted(),
        );
        let rank_steps = self.rank_steps;
        Counted {
            invokers,
            functions,
            places,
            ranked,
            rank_steps,
            orders_counted,
            invocations_counted,
        }
    }
}
