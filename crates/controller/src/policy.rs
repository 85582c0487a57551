//! The interface between the service and the policy that makes its dispatch decisions.

use saltdrum::DispatchPolicy;
use saltdrum::interface::*;

/// The events of [`DispatchPolicy`] as a trait, so that a baseline policy can replace it with the same I/O.
pub trait Policy {
    /// The endpoint list, or a watch event. With `is_complete`, the records contain every invoker of the list.
    fn invokers_changed(&mut self, now: Ticks, is_complete: bool, records: &[InvokerRecord]);
    /// An invocation was accepted.
    fn invocation_arrived(&mut self, now: Ticks, request: Invocation, actions: &mut dyn Actions);
    /// The client has stopped waiting for the invocation.
    fn invocation_abandoned(&mut self, now: Ticks, id: InvocationId, actions: &mut dyn Actions);
    /// An attempt has ended.
    fn attempt_ended(&mut self, now: Ticks, result: AttemptResult, actions: &mut dyn Actions);
    /// A load order has ended.
    fn load_ended(&mut self, now: Ticks, result: LoadResult, actions: &mut dyn Actions);
    /// A probe has ended.
    fn probe_ended(&mut self, _now: Ticks, _result: ProbeResult, _actions: &mut dyn Actions) {}
    /// The endpoint list is known to be current: all changes that it reported up to `current_as_of` were received.
    fn endpoint_list_refreshed(&mut self, _now: Ticks, _current_as_of: Ticks) {}
    /// A connection to an invoker was refused, or closed by the invoker.
    fn connection_lost(&mut self, _now: Ticks, _invoker: InvokerId, _noticed_at: Ticks) {}
    /// A timer has fired.
    fn timer_fired(&mut self, now: Ticks, token: u64, actions: &mut dyn Actions);
    /// Returns the policy's view of each ready invoker, if it has one.
    fn invoker_views(&self, _now: Ticks) -> Vec<InvokerView> {
        Vec::new()
    }
    /// Returns counts of decisions about invokers whose readiness the endpoint list did not confirm.
    fn readiness_counts(&self) -> ReadinessCounts {
        ReadinessCounts::default()
    }
    /// Returns the sizes of the policy's tables, if it counts them. Called each second: does not walk through them.
    fn table_sizes(&self) -> TableSizes {
        TableSizes::default()
    }
}

/// Creates a policy, with the parameters of [`DispatchPolicy::new`].
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
    fn invocation_abandoned(&mut self, now: Ticks, id: InvocationId, actions: &mut dyn Actions) {
        Self::invocation_abandoned(self, now, id, actions);
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
        Self::recent_table_sizes(self)
    }
}
