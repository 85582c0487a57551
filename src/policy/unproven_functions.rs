//! The bound on the state of unproven functions: those that no invoker is known to have run or loaded. Clients may
//! request any name, so the number of their names must not determine the memory of the controller.
//!
//! At the bound, the unproven function that has been idle for the longest is forgotten. While none is idle, invocations
//! of further unknown functions are rejected.

use super::DispatchPolicy;
use super::functions::FunctionState;
use crate::interface::{Actions, Deployment, FunctionId, Invocation, Ticks};
use std::collections::BTreeSet;

/// Share of the controller's memory for the state of unproven functions.
const MEMORY_SHARE: f64 = 1.0 / 16.0;
/// Memory of a controller for which none is stated, in bytes.
const DEFAULT_MEMORY_BYTES: u64 = 256 << 20;

/// How a function is used, as far as it decides whether the function may be forgotten.
#[derive(Default)]
pub(super) struct FunctionUse {
    /// Number of its invocations whose final response or last attempt is pending.
    pub open_invocations: u32,
    /// Since when an unproven function has been idle.
    idle_since: Option<Ticks>,
    /// Memory that is counted for it while it is unproven, in bytes.
    counted_bytes: usize,
}

/// The unproven functions, and the memory that they use.
#[derive(Default)]
pub(super) struct UnprovenFunctions {
    /// The idle ones, and since when each has been idle.
    idle: BTreeSet<(Ticks, FunctionId)>,
    /// Estimated memory of all unproven functions, in bytes.
    bytes: usize,
    max_bytes: usize,
    counts: BoundCounts,
    /// The counts that were logged last.
    logged: BoundCounts,
}

/// Counts of the actions taken because the bound was met, since the start.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct BoundCounts {
    /// Functions forgotten while they would still have been retained.
    pub evicted: u64,
    /// Invocations rejected because their function was unknown and could not be tracked.
    pub rejected: u64,
}

impl UnprovenFunctions {
    /// Creates an empty table whose bound is a share of the controller's memory.
    pub(super) fn new(deployment: &Deployment) -> Self {
        let memory_bytes = deployment.memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES);
        Self {
            max_bytes: (memory_bytes as f64 * MEMORY_SHARE) as usize,
            ..Self::default()
        }
    }

    /// Counts of the actions taken because the bound was met.
    pub(super) fn counts(&self) -> BoundCounts {
        self.counts
    }

    /// Updates the memory counted for a function, and whether it is idle, after a change of its state.
    pub(super) fn update(&mut self, id: FunctionId, function: &mut FunctionState, now: Ticks) {
        let is_unproven = !function.is_proven();
        let bytes = if is_unproven {
            function.estimated_bytes()
        } else {
            0
        };
        self.bytes = self.bytes - function.usage.counted_bytes + bytes;
        function.usage.counted_bytes = bytes;
        if is_unproven && function.is_idle() {
            let since = *function.usage.idle_since.get_or_insert(now);
            self.idle.insert((since, id));
        } else if let Some(since) = function.usage.idle_since.take() {
            self.idle.remove(&(since, id));
        }
    }

    /// Removes a function that is no longer tracked.
    pub(super) fn remove(&mut self, id: FunctionId, function: &FunctionState) {
        self.bytes -= function.usage.counted_bytes;
        if let Some(since) = function.usage.idle_since {
            self.idle.remove(&(since, id));
        }
    }
}

impl DispatchPolicy {
    /// Whether the function of an invocation is tracked, or may be within the bound. Forgets idle functions for it.
    pub(super) fn may_track_function(&mut self, request: &Invocation) -> bool {
        if self.functions.contains_key(&request.function) {
            return true;
        }
        self.evict_excess_functions(FunctionState::initial_bytes())
    }

    /// Forgets the longest idle unproven functions until `reserved_bytes` are left within the bound. Returns whether
    /// they are.
    pub(super) fn evict_excess_functions(&mut self, reserved_bytes: usize) -> bool {
        while self.unproven.bytes + reserved_bytes > self.unproven.max_bytes {
            let Some((_, oldest)) = self.unproven.idle.first().copied() else {
                return false;
            };
            self.unproven.counts.evicted += 1;
            self.forget_function(oldest);
        }
        true
    }

    /// Removes a function from all tables. It has neither an open invocation nor a load order in flight.
    fn forget_function(&mut self, id: FunctionId) {
        let Some(function) = self.functions.remove(&id) else {
            return;
        };
        self.unproven.remove(id, &function);
        for (invoker, instance) in &function.instances {
            self.loads.instance_removed(*invoker, id, instance);
        }
    }

    /// Updates what is counted for a function while it is unproven, after a change of its state.
    pub(super) fn update_unproven(&mut self, id: FunctionId) {
        if let Some(function) = self.functions.get_mut(&id) {
            self.unproven.update(id, function, self.now);
        }
    }

    /// Rejects an invocation whose function cannot be tracked. It was never dispatched, so the client may retry.
    pub(super) fn reject_untracked(&mut self, request: &Invocation, actions: &mut dyn Actions) {
        self.unproven.counts.rejected += 1;
        actions.throttle(request.id, self.retry_after(request.trigger, 0));
    }

    /// Logs how often the bound was met since the last call, if it was.
    pub(super) fn log_function_bound(&mut self, actions: &mut dyn Actions) {
        let unproven = &mut self.unproven;
        let (counts, logged) = (unproven.counts, unproven.logged);
        if counts == logged {
            return;
        }
        unproven.logged = counts;
        let (evicted, rejected) = (
            counts.evicted - logged.evicted,
            counts.rejected - logged.rejected,
        );
        actions.log(&format!(
            "unproven functions reached their bound of {} bytes: {evicted} forgotten, {rejected} invocations rejected",
            unproven.max_bytes
        ));
    }
}

impl FunctionState {
    /// Whether an invoker is known to have run or loaded the function.
    pub(super) fn is_proven(&self) -> bool {
        self.has_succeeded || self.longest_load_time > 0.0
    }

    /// Whether neither an invocation nor a load order is pending.
    fn is_idle(&self) -> bool {
        let has_load_order = || {
            self.instances
                .values()
                .any(|instance| instance.has_load_order)
        };
        self.usage.open_invocations == 0 && !has_load_order()
    }
}
