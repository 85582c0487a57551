//! The periodic log of counters and of the policy's view of each invoker.

use crate::state::ControllerState;
use tracing::info;

use super::{PendingRequest, RequestKind};

/// What the module believes of each invoker, beside what is on its sockets.
pub(crate) fn log_invoker_views(state: &ControllerState) {
    let (reach, c, held) = (
        &state.invocations.transport,
        &state.invocations.counters,
        state.policy.table_sizes(),
    );
    info!(
        taken = c.accepted,
        stale = c.expired_on_arrival,
        succeeded = c.succeeded,
        throttled = c.throttled,
        errored = c.errored,
        left = c.client_left,
        too_late = c.answered_too_late,
        dispatches = c.attempts,
        orders = c.load_orders,
        orders_counted = held.loads_counted,
        invocations_counted = held.invocations_counted,
        in_flight = state.invocations.in_flight(),
        lines = reach.open.get(),
        held_bytes = reach.held.get(),
        "counts"
    );
    for b in state.policy.invoker_views(state.invocations.now) {
        let id = saltdrum_platform_wire::feed::id_text(b.invoker);
        let of = |j: &&PendingRequest| j.invoker == b.invoker;
        let sent = reach
            .jobs
            .values()
            .filter(of)
            .filter(|j| matches!(j.of, RequestKind::Dispatch { .. }))
            .count();
        let on_sockets = reach
            .jobs
            .values()
            .filter(of)
            .filter(|j| j.is_out())
            .count();
        let idle = reach.pools.get(&b.invoker).map_or(0, |p| p.idle.len());
        info!(
            id,
            out = b.in_flight,
            sent,
            on_sockets,
            idle,
            slow = b.slowdown,
            errors = b.error_rate,
            shut = b.is_ejected,
            "belief"
        );
    }
}
