//! The state of a function: its call rate, run time and load time, and its instances at invokers.

use super::estimates::{QuantileMean, decay};
use super::instances::{Instance, LoadState};
use super::processes::InvokerProcesses;
use super::ranking::Ranking;
use super::unloads::UnloadCandidates;
use super::unproven_functions::FunctionUse;
use super::{DispatchPolicy, RATE_TIME_CONSTANTS_S, TriggerStats};
use crate::interface::{FunctionId, Invocation, InvokerId, SECOND, Ticks};
use std::collections::BTreeMap;

/// Load time assumed before one is reported or measured, in ticks.
const INITIAL_LOAD_TIME: f64 = SECOND as f64;
/// Seconds added to the observation time of a controller that has just started, so that its first calls do not count as
/// a high rate.
const RATE_PRIOR_S: f64 = 10.0;
/// Lower bound of the remaining load time, as a share of the load time.
const MIN_REMAINING_LOAD_SHARE: f64 = 0.1;
/// Maximum and minimum number of entries in a node of the standard library's B-trees.
const TREE_NODE_CAPACITY: usize = 11;
const TREE_NODE_MIN_ENTRIES: usize = 5;

/// A function, its demand and its instances.
#[derive(Default)]
pub(super) struct FunctionState {
    pub trigger: usize,
    /// Number of calls, decayed with each of [`RATE_TIME_CONSTANTS_S`], as of `last_called`.
    decayed_calls: [f64; 3],
    pub last_called: Ticks,
    pub run_time: QuantileMean,
    pub concurrency_limit: f64,
    pub memory_mb: f64,
    /// Load time hint of the last invocation, in ticks.
    load_time_hint: Option<f64>,
    /// Longest measured load time, in ticks; 0: none.
    pub longest_load_time: f64,
    /// Whether an invoker has run the function. Clients may request functions that do not exist.
    pub has_succeeded: bool,
    /// Target number of invokers in the pool.
    pub pool_size: usize,
    /// Since when a smaller pool would be sufficient.
    pub surplus_since: Option<Ticks>,
    pub ranking: Ranking,
    pub instances: BTreeMap<InvokerId, Instance>,
    pub usage: FunctionUse,
}

impl FunctionState {
    /// Estimated memory of a function with one instance and no ranking, in bytes.
    pub(super) fn initial_bytes() -> usize {
        Self::bytes_with(1, 0)
    }

    /// Estimated memory of the function, its instances and its ranking, in bytes.
    pub(super) fn estimated_bytes(&self) -> usize {
        Self::bytes_with(self.instances.len(), self.ranking.allocated_bytes())
    }

    fn bytes_with(instances: usize, ranking_bytes: usize) -> usize {
        let node_bytes = TREE_NODE_CAPACITY * size_of::<(InvokerId, Instance)>();
        let nodes = instances.div_ceil(TREE_NODE_MIN_ENTRIES);
        // The table of functions, the candidates to unload and the queues hold up to twice the size of their entries.
        let table_bytes = 2 * size_of::<(FunctionId, Self)>();
        let index_bytes = 2 * instances * UnloadCandidates::ENTRY_BYTES;
        table_bytes + index_bytes + nodes * node_bytes + ranking_bytes
    }

    /// Expected load time, in ticks.
    pub(super) fn load_time(&self) -> f64 {
        let measured = if self.longest_load_time > 0.0 {
            self.longest_load_time
        } else {
            INITIAL_LOAD_TIME
        };
        self.load_time_hint.unwrap_or(measured)
    }

    /// Expected time, in ticks, until an instance is loaded at an invoker, if a load begins now or is in progress.
    pub(super) fn remaining_load_time(&self, load_state: LoadState, now: Ticks) -> f64 {
        let load_time = self.load_time();
        match load_state.loading_since {
            Some(since) => {
                (load_time - (now - since) as f64).max(MIN_REMAINING_LOAD_SHARE * load_time)
            }
            None => load_time,
        }
    }

    /// Expected run time of this invocation on an otherwise idle invoker, in ticks.
    pub(super) fn expected_run_time(&self, request: &Invocation, trigger: &TriggerStats) -> f64 {
        match request.work_hint {
            Some(hint) => hint as f64 * trigger.run_time_per_hint.mean(),
            None => self.run_time.mean(),
        }
    }

    /// What is loaded at an invoker.
    pub(super) fn load_state(&self, invoker: InvokerId, processes: &InvokerProcesses) -> LoadState {
        let instance = self.instances.get(&invoker);
        instance.map_or_else(LoadState::default, |instance| {
            instance.load_state(processes.number(invoker))
        })
    }

    /// The instance at an invoker, which is tracked from now on.
    pub(super) fn track_instance(
        &mut self,
        invoker: InvokerId,
        processes: &mut InvokerProcesses,
    ) -> &mut Instance {
        self.instances
            .entry(invoker)
            .or_insert_with(|| Instance::new(processes.instance_added(invoker)))
    }

    /// Calls per second, over the longest time constant. Shorter time constants raise the rate only beyond random
    /// variation: their counts are reduced by one standard deviation.
    pub(super) fn call_rate(&self, now: Ticks, started_at: Ticks) -> f64 {
        let calls = |index: usize| {
            self.decayed_calls[index] * decay(now - self.last_called, RATE_TIME_CONSTANTS_S[index])
        };
        let lower_bound =
            |index: usize| (calls(index) - calls(index).sqrt()) / RATE_TIME_CONSTANTS_S[index];
        let longest = RATE_TIME_CONSTANTS_S[2];
        let observed_s = longest * (1.0 - decay(now - started_at, longest));
        lower_bound(0)
            .max(lower_bound(1))
            .max(calls(2) / (observed_s + RATE_PRIOR_S))
    }

    fn count_call(
        &mut self,
        request: &Invocation,
        now: Ticks,
        unload_candidates: &mut UnloadCandidates,
    ) {
        for (calls, time_constant_s) in self.decayed_calls.iter_mut().zip(RATE_TIME_CONSTANTS_S) {
            *calls = *calls * decay(now - self.last_called, time_constant_s) + 1.0;
        }
        self.last_called = now;
        self.concurrency_limit = request.concurrency_limit;
        self.memory_mb = request.memory_mb;
        self.load_time_hint = request.load_time_hint.map(|ticks| ticks as f64);
        for (invoker, instance) in &mut self.instances {
            instance.unused_since = instance.unused_since.map(|_| now);
            unload_candidates.update(*invoker, request.function, instance);
        }
    }
}

impl DispatchPolicy {
    pub(super) fn record_call(&mut self, request: &Invocation) {
        let now = self.now;
        let run_time = &self.triggers[request.trigger].run_time;
        let function = self
            .functions
            .entry(request.function)
            .or_insert_with(|| FunctionState {
                trigger: request.trigger,
                last_called: now,
                pool_size: 1,
                run_time: run_time.clone(),
                ..FunctionState::default()
            });
        function.count_call(request, now, &mut self.loads.unload_candidates);
        function.usage.open_invocations += 1;
        self.unproven.update(request.function, function, now);
        // Calls of functions that may not exist must not increase the load budget (rule 5): clients may request any
        // name.
        if function.has_succeeded {
            self.loads
                .budget
                .invocation_arrived(request.earliest_arrival);
        }
    }
}
