//! The rounds in which entries expire and pools are sized. A round passes through all functions three times, in turns
//! that examine a bounded number of entries each, so that no event takes long however many functions there are.

use super::DispatchPolicy;
use super::observe::FunctionSums;
use super::pool_sizing::Demand;
use super::scans::ScanPurpose;
use crate::interface::{Actions, FunctionId, MILLISECOND, Ticks};
use std::collections::BinaryHeap;
use std::ops::Bound;

/// Number of entries (functions and instances) that one turn examines.
const MAX_ENTRIES_PER_TURN: usize = 4_000;
/// Time between two turns. Other events are handled meanwhile.
pub(super) const TURN_INTERVAL: Ticks = MILLISECOND;

/// The passes of a round, in their order.
enum Pass {
    /// Removes entries that are no longer needed.
    Expire,
    /// Estimates the demand for each function.
    EstimateDemand,
    /// Sizes the pools, the most valuable first.
    SizePools,
}

/// A round in progress.
pub(super) struct SizingRound {
    pass: Pass,
    /// The last function that the pass has handled, in the order of their ids.
    last_handled: Option<FunctionId>,
    /// Sums over the functions that the first pass has handled.
    sums: FunctionSums,
    /// The demands that the second pass found and the third has not handled.
    pub demands: BinaryHeap<Demand>,
    /// Memory that remains for pools, in MB.
    pub free_memory_mb: f64,
    /// Whether the pools are queued to be filled: not while earlier rounds have left many.
    pub may_enqueue: bool,
}

impl SizingRound {
    fn new() -> Self {
        Self {
            pass: Pass::Expire,
            last_handled: None,
            sums: FunctionSums::default(),
            demands: BinaryHeap::new(),
            free_memory_mb: 0.0,
            may_enqueue: false,
        }
    }

    fn begin_pass(&mut self, pass: Pass) {
        self.pass = pass;
        self.last_handled = None;
    }
}

/// The entries that a turn examines. The last function may exceed the budget by the number of its instances.
#[derive(Default)]
pub(super) struct TurnBudget {
    pub examined: usize,
}

impl TurnBudget {
    /// Whether the turn ends.
    pub(super) fn is_exhausted(&self) -> bool {
        self.examined >= MAX_ENTRIES_PER_TURN
    }
}

/// The range of the ids after `id`, or of all ids.
pub(super) fn ids_after(id: Option<FunctionId>) -> (Bound<FunctionId>, Bound<FunctionId>) {
    let first = id.map_or(Bound::Unbounded, Bound::Excluded);
    (first, Bound::Unbounded)
}

impl DispatchPolicy {
    /// Begins a round, unless the last one is still in progress.
    pub(super) fn begin_sizing_round(&mut self, actions: &mut dyn Actions) {
        if self.sizing_round.is_none() {
            self.sizing_round = Some(SizingRound::new());
            self.continue_sizing_round(actions);
        }
    }

    /// Runs one turn of the round in progress.
    fn continue_sizing_round(&mut self, actions: &mut dyn Actions) {
        let Some(mut round) = self.sizing_round.take() else {
            return;
        };
        let mut budget = TurnBudget::default();
        let mut is_finished = false;
        while !is_finished && !budget.is_exhausted() {
            is_finished = self.run_pass(&mut round, &mut budget, actions);
        }
        self.scans.record(ScanPurpose::Timer, budget.examined);
        if is_finished {
            return self.pools.set_fills_per_check();
        }
        self.sizing_round = Some(round);
        let next_turn_at = self.now + TURN_INTERVAL;
        self.schedule(next_turn_at, actions, Box::new(Self::continue_sizing_round));
    }

    /// Runs the current pass as far as the budget allows. Returns whether the round is finished.
    fn run_pass(
        &mut self,
        round: &mut SizingRound,
        budget: &mut TurnBudget,
        actions: &mut dyn Actions,
    ) -> bool {
        match round.pass {
            Pass::Expire => {
                round.last_handled =
                    self.expire_functions(round.last_handled, &mut round.sums, budget);
                if round.last_handled.is_none() {
                    self.function_sums = round.sums;
                    self.end_expiry(actions);
                    round.free_memory_mb = self.pool_memory_mb();
                    round.begin_pass(Pass::EstimateDemand);
                }
            }
            Pass::EstimateDemand => {
                round.last_handled = self.estimate_demands(round.last_handled, round, budget);
                if round.last_handled.is_none() {
                    round.may_enqueue = self.pools.len() <= self.functions.len();
                    round.begin_pass(Pass::SizePools);
                }
            }
            Pass::SizePools => return self.size_pools_by_demand(round, budget),
        }
        false
    }
}
