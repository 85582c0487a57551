//! Tracks connections that invokers refused or closed, as signs that their processes may have ended.

use super::InvokerPools;
use crate::state::ControllerState;
use saltdrum::interface::*;

impl InvokerPools {
    /// Records that a connection to an invoker was refused, or closed by the invoker. `epoch` is the pool's epoch at
    /// the dial.
    pub(crate) fn connection_lost(&mut self, now: Ticks, invoker: InvokerId, epoch: u32) {
        let pool = self.pools.get(&invoker);
        if pool.is_some_and(|pool| pool.epoch == epoch) {
            self.lost_connections.insert(invoker, now);
        }
    }
}

/// Reports to the policy the connections that were lost since the last report.
pub(crate) fn report_lost_connections(state: &mut ControllerState) {
    let now = state.invocations.now;
    let lost = std::mem::take(&mut state.invocations.transport.lost_connections);
    for (invoker, noticed_at) in lost {
        state.policy.connection_lost(now, invoker, noticed_at);
    }
}
