//! Expiry: the removal of instances, functions and invokers that are no longer needed.

use super::DispatchPolicy;
use super::functions::FunctionState;
use super::instances::Instance;
use super::invokers::InvokerState;
use super::loads::Loads;
use super::observe::FunctionSums;
use super::pool_sizing::IDLE_FUNCTION_TIMEOUT;
use super::processes::ProcessNumber;
use super::sizing_rounds::{TurnBudget, ids_after};
use crate::interface::{Actions, FunctionId, InvokerStatus, Ticks};

/// Number of keep-alive times for which an instance that this controller loaded may stay loaded.
const OWN_INSTANCE_KEEP_ALIVES: Ticks = 3;

impl DispatchPolicy {
    /// Removes the functions after `after`, and their instances, that are no longer needed, as far as the budget allows.
    /// Adds those that remain to `sums`. Returns the last function handled, or none at the end.
    pub(super) fn expire_functions(
        &mut self,
        after: Option<FunctionId>,
        sums: &mut FunctionSums,
        budget: &mut TurnBudget,
    ) -> Option<FunctionId> {
        let (now, keep_alive) = (self.now, self.deployment.keep_alive);
        let longest_timeout = self.longest_client_timeout();
        let (mut last_handled, mut expired) = (after, Vec::new());
        let mut stopped_at = None;
        for (function_id, function) in self.functions.range_mut(ids_after(after)) {
            if budget.is_exhausted() {
                stopped_at = last_handled;
                break;
            }
            last_handled = Some(*function_id);
            budget.examined += 1 + function.instances.len();
            function.expire_instances(*function_id, now, keep_alive, &mut self.loads);
            self.unproven.update(*function_id, function, now);
            if function.is_retained(now, longest_timeout) {
                sums.add(function);
            } else {
                expired.push(*function_id);
            }
        }
        for function_id in expired {
            if let Some(function) = self.functions.remove(&function_id) {
                self.unproven.remove(function_id, &function);
            }
        }
        stopped_at
    }

    /// Removes all other entries that are no longer needed, after the functions.
    pub(super) fn end_expiry(&mut self, actions: &mut dyn Actions) {
        self.evict_excess_functions(0);
        self.forget_gone_invokers();
        self.loads
            .budget
            .forget_expired(self.now, self.deployment.load_window);
        self.log_function_bound(actions);
    }

    /// Removes invokers that are gone, as the id of such an invoker is not reused.
    fn forget_gone_invokers(&mut self) {
        let (now, longest_timeout) = (self.now, self.longest_client_timeout());
        self.invokers
            .retain(|_, invoker| invoker.is_retained(now, longest_timeout));
        let invokers = &self.invokers;
        self.fleet.suspects.retain(|id| {
            invokers
                .get(id)
                .is_some_and(|invoker| invoker.ejection_time > 0)
        });
    }

    /// The longest client timeout of all trigger types.
    fn longest_client_timeout(&self) -> Ticks {
        let timeouts = self
            .triggers
            .iter()
            .map(|trigger| trigger.settings.client_timeout);
        timeouts.max().unwrap_or(0)
    }
}

impl Instance {
    /// Whether the instance is retained in the tables. An instance that this controller loaded may stay loaded after
    /// its keep-alive time: it is retained so that it can be unloaded.
    fn is_retained(&self, process: ProcessNumber, now: Ticks, keep_alive: Ticks) -> bool {
        let keep_alives = if self.load_state(process).is_own_load {
            OWN_INSTANCE_KEEP_ALIVES
        } else {
            1
        };
        let expires_at = (self.last_used + keep_alives * keep_alive).max(self.load_cooldown_until);
        self.in_flight > 0 || self.has_load_order || now < expires_at
    }
}

impl FunctionState {
    /// Removes the instances that are no longer needed.
    fn expire_instances(
        &mut self,
        id: FunctionId,
        now: Ticks,
        keep_alive: Ticks,
        loads: &mut Loads,
    ) {
        self.instances.retain(|invoker_id, instance| {
            let process = loads.processes.number(*invoker_id);
            let is_retained = instance.is_retained(process, now, keep_alive);
            if !is_retained {
                loads.instance_removed(*invoker_id, id, instance);
            }
            is_retained
        });
    }

    /// Whether the function is retained in the tables.
    fn is_retained(&self, now: Ticks, longest_timeout: Ticks) -> bool {
        let expires_at = self.last_called + IDLE_FUNCTION_TIMEOUT + longest_timeout;
        now < expires_at || !self.instances.is_empty() || self.usage.open_invocations > 0
    }
}

impl InvokerState {
    /// Whether the invoker's record is retained: after the invoker is gone, while the outcome of an invocation sent to
    /// it may be undecided.
    fn is_retained(&self, now: Ticks, longest_timeout: Ticks) -> bool {
        let last_sent_at = self.sent_work.last_sent_at();
        let may_be_undecided = last_sent_at.is_some_and(|at| now < at + 2 * longest_timeout);
        self.record.status != InvokerStatus::Gone || self.in_flight > 0 || may_be_undecided
    }
}
