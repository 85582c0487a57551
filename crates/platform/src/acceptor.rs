//! Accepts clients, and closes those that are overdue.

use crate::client_connection::serve_connection;
use crate::clients::Entry;
use crate::invoker_pools::{log_invoker_views, report_lost_connections};
use crate::state::ControllerHandle;
use saltdrum::interface::{MILLISECOND, Ticks};
use saltdrum_transport::{ArrivalClock, Listener};
use std::rc::Rc;
use std::time::Duration;
use tracing::{debug, warn};

/// How often overdue clients and idle connections are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);
/// The policy's views of invokers are logged each so many sweeps.
const VIEW_LOG_SWEEPS: u64 = 5;
/// How long a new client waits at most before capacity is looked for again.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// After a failed accept the next is tried after this long.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts clients for as long as the controller lives, or until it is told to accept no more.
pub(crate) async fn accept_clients(
    handle: Rc<ControllerHandle>,
    mut listener: Box<dyn Listener>,
    opened_at: Ticks,
) {
    let mut arrivals = ArrivalClock::new(opened_at, handle.clock, &handle.event_loop);
    let clients = &handle.config.clients;
    loop {
        let accepted = tokio::select! {
            // A client that came before is accepted: the kernel has done so already.
            biased;
            accepted = arrivals.accept(&mut *listener) => accepted,
            () = clients.shut_requested() => return clients.set_shut(),
        };
        match accepted {
            Ok(stream) => {
                let opened = arrivals.earliest_arrival();
                let waited_most_ms = handle.clock.now().saturating_sub(opened) / MILLISECOND;
                debug!(waited_most_ms, "client connected");
                let entry = wait_for_capacity(&handle).await;
                let connection = serve_connection(handle.clone(), stream, opened, entry);
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

/// Waits until there is capacity for one more client, or it is to be rejected.
async fn wait_for_capacity(handle: &ControllerHandle) -> Entry {
    let clients = &handle.config.clients;
    loop {
        if let Some(entry) = clients.make_capacity(handle.config.budget.clients) {
            return entry;
        }
        // A connection that was told to end at once does so within a turn or two.
        let freed = tokio::time::timeout(CAPACITY_POLL_INTERVAL, clients.connection_freed());
        drop(freed.await);
    }
}

/// Closes overdue clients and idle connections to invokers, for as long as the controller lives.
pub(crate) async fn sweep(handle: Rc<ControllerHandle>) {
    for round in 1u64.. {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        if round.is_multiple_of(VIEW_LOG_SWEEPS) && tracing::enabled!(tracing::Level::INFO) {
            handle.inspect(|state| log_invoker_views(state, &handle.config.feed));
        }
        let now = handle.clock.now();
        handle.config.clients.close_overdue(now);
        handle.config.look_at_wall_clock(now);
        handle.update(|state| {
            state.invocations.transport.sweep(now);
            report_lost_connections(state);
        });
    }
}
