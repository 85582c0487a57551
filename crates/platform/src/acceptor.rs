//! Accepts clients, and closes those whose timeouts have expired.

use crate::client_connection::serve_connection;
use crate::clients::AcceptDecision;
use crate::invoker_pools::{log_invoker_views, report_lost_connections};
use crate::state::ControllerHandle;
use saltdrum::interface::{MILLISECOND, Ticks};
use saltdrum_transport::{ArrivalClock, Listener};
use std::rc::Rc;
use std::time::Duration;
use tracing::{debug, warn};

/// How often overdue clients and idle connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);
/// Sweeps between two logs of the policy's views of invokers.
const VIEW_LOG_SWEEPS: u64 = 5;
/// Longest time after which capacity for a waiting client is checked again.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts clients until the controller stops accepting.
pub(crate) async fn accept_clients(
    handle: Rc<ControllerHandle>,
    mut listener: Box<dyn Listener>,
    opened_at: Ticks,
) {
    let mut arrivals = ArrivalClock::new(opened_at, handle.clock, &handle.event_loop);
    let clients = &handle.config.clients;
    loop {
        let accepted = tokio::select! {
            // Pending connections are accepted first: the kernel has accepted them already.
            biased;
            accepted = arrivals.accept(&mut *listener) => accepted,
            () = clients.stop_accepting_requested() => return clients.set_stopped_accepting(),
        };
        match accepted {
            Ok(stream) => {
                let opened = arrivals.earliest_arrival();
                let waited_most_ms = handle.clock.now().saturating_sub(opened) / MILLISECOND;
                debug!(waited_most_ms, "client connected");
                let decision = wait_for_capacity(&handle).await;
                let connection = serve_connection(handle.clone(), stream, opened, decision);
                drop(tokio::task::spawn_local(connection));
            }
            Err(error) => {
                warn!(%error, "accept failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
        // Many new clients must not hold up those that are connected.
        tokio::task::yield_now().await;
    }
}

/// Waits until there is capacity for one more client, or it has to be rejected.
async fn wait_for_capacity(handle: &ControllerHandle) -> AcceptDecision {
    let clients = &handle.config.clients;
    loop {
        if let Some(decision) = clients.make_capacity(handle.config.budget.clients) {
            return decision;
        }
        // A connection that is to be closed at once closes within one or two event loop turns.
        let closed =
            tokio::time::timeout(CAPACITY_POLL_INTERVAL, clients.wait_for_closed_connection());
        drop(closed.await);
    }
}

/// Closes clients with unread responses while all clients hold more than their memory limit.
pub(crate) async fn enforce_memory_limit(handle: Rc<ControllerHandle>) {
    let clients = &handle.config.clients;
    loop {
        clients.memory.wait_until_exceeded().await;
        while clients.memory.is_exceeded() && clients.close_largest_holder() {
            // The task of the closed connection runs in this turn, and releases its memory.
            tokio::task::yield_now().await;
        }
    }
}

/// Periodically closes overdue clients and idle connections to invokers.
pub(crate) async fn sweep(handle: Rc<ControllerHandle>) {
    for sweep_count in 1u64.. {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        if sweep_count.is_multiple_of(VIEW_LOG_SWEEPS) {
            handle.config.clients.memory.log_bound_met("clients");
            handle.inspect(|state| {
                let responses = &state.invocations.transport.response_memory;
                responses.log_bound_met("invokers");
                log_invoker_views(state, &handle.config);
            });
        }
        let now = handle.clock.now();
        handle.config.clients.close_overdue(now);
        handle.config.observe_wall_clock(now);
        handle.update(|state| {
            state.invocations.transport.sweep(now);
            report_lost_connections(state);
        });
    }
}
