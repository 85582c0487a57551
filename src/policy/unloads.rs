//! Unloading: before a load at an invoker, the idle instances there are unloaded that this controller loaded and that
//! were outside their pool, without a call, for a dwell time. They are ordered by that time, so that a load examines
//! only the instances that it unloads, however many functions are known at the invoker.

use super::DispatchPolicy;
use super::instances::{Instance, LoadState};
use super::loads::MIN_DWELL;
use super::processes::ProcessNumber;
use super::scans::ScanPurpose;
use crate::interface::{Actions, FunctionId, InvokerId, Ticks};
use std::collections::BTreeSet;

/// The order of the candidates at an invoker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CandidateKey {
    /// The process that loaded the instance. Candidates of former processes are never unloaded.
    pub process: ProcessNumber,
    /// Since when the instance is unused.
    pub unused_since: Ticks,
}

/// The idle instances outside their pool that this controller loaded.
#[derive(Default)]
pub(super) struct UnloadCandidates {
    by_age: BTreeSet<(InvokerId, CandidateKey, FunctionId)>,
}

impl UnloadCandidates {
    /// Memory of one entry, in bytes.
    pub(super) const ENTRY_BYTES: usize = size_of::<(InvokerId, CandidateKey, FunctionId)>();

    /// Updates whether an instance is a candidate, after a change of its state.
    pub(super) fn update(
        &mut self,
        invoker: InvokerId,
        function: FunctionId,
        instance: &mut Instance,
    ) {
        let key = instance.unload_key();
        if key == instance.candidate_key {
            return;
        }
        self.remove(invoker, function, instance);
        instance.candidate_key = key;
        self.by_age.extend(key.map(|key| (invoker, key, function)));
    }

    /// Removes an instance that is no longer tracked.
    pub(super) fn remove(&mut self, invoker: InvokerId, function: FunctionId, instance: &Instance) {
        if let Some(key) = instance.candidate_key {
            self.by_age.remove(&(invoker, key, function));
        }
    }

    /// The functions of the candidates in a process of an invoker that are unused since `since` at the latest, ascending.
    fn unused_since(
        &self,
        invoker: InvokerId,
        process: ProcessNumber,
        since: Ticks,
    ) -> Vec<FunctionId> {
        let key = |unused_since| CandidateKey {
            process,
            unused_since,
        };
        let range = (invoker, key(0), 0)..=(invoker, key(since), FunctionId::MAX);
        let in_range = self.by_age.range(range);
        let mut functions: Vec<FunctionId> = in_range.map(|(_, _, function)| *function).collect();
        functions.sort_unstable();
        functions
    }
}

impl DispatchPolicy {
    /// Unloads the stale instances at an invoker, except of the function that is loaded there now.
    pub(super) fn unload_stale_instances(
        &mut self,
        invoker_id: InvokerId,
        loading: FunctionId,
        actions: &mut dyn Actions,
    ) {
        let Some(stale_since) = self.now.checked_sub(MIN_DWELL) else {
            return;
        };
        if !self.deployment.may_load {
            return;
        }
        let candidates = &self.loads.unload_candidates;
        let process = self.loads.processes.number(invoker_id);
        let stale = candidates.unused_since(invoker_id, process, stale_since);
        self.scans.record(ScanPurpose::Unload, stale.len());
        for function_id in stale {
            if function_id != loading {
                self.unload(invoker_id, function_id, actions);
            }
        }
    }

    fn unload(
        &mut self,
        invoker_id: InvokerId,
        function_id: FunctionId,
        actions: &mut dyn Actions,
    ) {
        let function = self.functions.get_mut(&function_id);
        let instance = function.and_then(|function| function.instances.get_mut(&invoker_id));
        let Some(instance) = instance else {
            return;
        };
        let process = self.loads.processes.number(invoker_id);
        *instance.load_state_mut(process) = LoadState {
            is_loaded: false,
            is_own_load: false,
            ..instance.load_state(process)
        };
        self.update_unload_candidate(invoker_id, function_id);
        actions.unload(invoker_id, function_id);
    }

    /// Updates whether an instance may be unloaded, after a change of its state.
    pub(super) fn update_unload_candidate(
        &mut self,
        invoker_id: InvokerId,
        function_id: FunctionId,
    ) {
        let function = self.functions.get_mut(&function_id);
        let instance = function.and_then(|function| function.instances.get_mut(&invoker_id));
        if let Some(instance) = instance {
            let candidates = &mut self.loads.unload_candidates;
            candidates.update(invoker_id, function_id, instance);
        }
    }
}
