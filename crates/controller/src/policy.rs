//! The interface through which the service asks whoever decides.

use saltdrum::DispatchPolicy;
use saltdrum::interface::*;

/// The events of [`DispatchPolicy`], as a trait, so that a baseline can take its place under the very same I/O.
pub trait Policy {
    /// The endpoint list, or a watch event of it. With `is_complete` the records are all there are.
    fn invokers_changed(&mut self, now: Ticks, is_complete: bool, records: &[InvokerRecord]);
    /// An invocation was read.
    fn invocation_arrived(&mut self, now: Ticks, request: Invocation, actions: &mut dyn Actions);
    /// The client waits no more.
    fn invocation_abandoned(&mut self, now: Ticks, id: InvocationId);
    /// An attempt has ended.
    fn attempt_ended(&mut self, now: Ticks, result: AttemptResult, actions: &mut dyn Actions);
    /// A load order has ended.
    fn load_ended(&mut self, now: Ticks, result: LoadResult, actions: &mut dyn Actions);
    /// A probe has ended.
    fn probe_ended(&mut self, _now: Ticks, _result: ProbeResult, _actions: &mut dyn Actions) {}
    /// The endpoint list was heard: everything that it told up to `current_as_of` is known.
    fn endpoint_list_refreshed(&mut self, _now: Ticks, _current_as_of: Ticks) {}
    /// A connection to an invoker was refused, or ended by its other side.
    fn connection_lost(&mut self, _now: Ticks, _invoker: InvokerId, _noticed_at: Ticks) {}
    /// A timer has come due.
    fn timer_fired(&mut self, now: Ticks, token: u64, actions: &mut dyn Actions);
    /// The view of each ready invoker, where one is kept.
    fn invoker_views(&self, _now: Ticks) -> Vec<InvokerView> {
        Vec::new()
    }
    /// What was done where the endpoint list did not vouch for an invoker.
    fn readiness_counts(&self) -> ReadinessCounts {
        ReadinessCounts::default()
    }
    /// Sizes of the tables, where they are counted.
    fn table_sizes(&self) -> TableSizes {
        TableSizes::default()
    }
}

/// Creates a policy, as [`DispatchPolicy::new`] does.
pub type PolicyFactory = fn(Ticks, Deployment, u64, &mut dyn Actions) -> Box<dyn Policy>;

/// Creates the [`DispatchPolicy`] that every deployment runs.
pub fn dispatch_policy(
    now: Ticks,
    deployment: Deployment,
    seed: u64,
    actions: &mut dyn Actions,
) -> Box<dyn Policy> {
    Box::new(DispatchPolicy::new(now, deployment, seed, actions))
}

impl Policy for DispatchPolicy {
    fn invokers_changed(&mut self, now: Ticks, is_complete: bool, records: &[InvokerRecord]) {
        Self::invokers_changed(self, now, is_complete, records);
    }
    fn invocation_arrived(&mut self, now: Ticks, request: Invocation, actions: &mut dyn Actions) {
        Self::invocation_arrived(self, now, request, actions);
    }
    fn invocation_abandoned(&mut self, now: Ticks, id: InvocationId) {
        Self::invocation_abandoned(self, now, id);
    }
    fn attempt_ended(&mut self, now: Ticks, result: AttemptResult, actions: &mut dyn Actions) {
        Self::attempt_ended(self, now, result, actions);
    }
    fn load_ended(&mut self, now: Ticks, result: LoadResult, actions: &mut dyn Actions) {
        Self::load_ended(self, now, result, actions);
    }
    fn probe_ended(&mut self, now: Ticks, result: ProbeResult, actions: &mut dyn Actions) {
        Self::probe_ended(self, now, result, actions);
    }
    fn endpoint_list_refreshed(&mut self, now: Ticks, current_as_of: Ticks) {
        Self::endpoint_list_refreshed(self, now, current_as_of);
    }
    fn connection_lost(&mut self, now: Ticks, invoker: InvokerId, noticed_at: Ticks) {
        Self::connection_lost(self, now, invoker, noticed_at);
    }
    fn timer_fired(&mut self, now: Ticks, token: u64, actions: &mut dyn Actions) {
        Self::timer_fired(self, now, token, actions);
    }
    fn invoker_views(&self, now: Ticks) -> Vec<InvokerView> {
        Self::invoker_views(self, now)
    }
    fn readiness_counts(&self) -> ReadinessCounts {
        Self::readiness_counts(self)
    }
    fn table_sizes(&self) -> TableSizes {
        Self::table_sizes(self)
    }
}
