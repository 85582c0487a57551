//! A controller's status, for `status` calls of clients and for graceful shutdown.

use crate::native::state::ControllerHandle;
use crate::shutdown::ControllerStatus;
use serde_json::json;

/// The status as JSON (`docs/protocol.md`).
pub(crate) fn status_json(handle: &ControllerHandle) -> String {
    handle.inspect(|state| {
        let invocations = &state.invocations;
        let transport = &invocations.transport;
        let counters = &invocations.counters;
        json!({
            "controller": handle.config.controller,
            "incarnation": handle.config.incarnation,
            "list_revision": transport.list_revision,
            "in_flight": invocations.in_flight(),
            "links": transport.by_invoker.len(),
            "links_up": transport.connections_up(),
            "taken": counters.accepted,
            "succeeded": counters.succeeded,
            "throttled": counters.throttled,
            "errored": counters.errored,
            "left": counters.abandoned,
            "stale": counters.expired_on_arrival,
            "too_late": counters.answered_too_late,
            "dispatches": counters.attempts,
            "names": transport.aliases.as_ref().map(|aliases| aliases.status(handle.clock.now())),
            "orders": counters.load_orders,
            "broken_links": counters.broken_connections,
            "stood_still": counters.process_stops,
        })
        .to_string()
    })
}

/// The status that graceful shutdown depends on.
pub(crate) fn shutdown_status(handle: &ControllerHandle) -> ControllerStatus {
    handle.inspect(|state| {
        let transport = &state.invocations.transport;
        ControllerStatus {
            in_flight: state.invocations.in_flight(),
            unsent_bytes: handle.config.shutdown.unsent_bytes(),
            connections: transport.by_invoker.len(),
            connections_up: transport.connections_up(),
            has_endpoint_list: transport.has_endpoint_list,
        }
    })
}
