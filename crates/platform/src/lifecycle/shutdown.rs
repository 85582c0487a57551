//! Graceful shutdown: accept invocations for a grace period, drain, and respond to the remaining invocations before the
//! process is killed.

use crate::state::ControllerHandle;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tracing::{info, warn};

/// How long after SIGTERM invocations are still accepted, on existing and new connections.
const ACCEPT_GRACE: Duration = Duration::from_millis(800);
/// How often the drain and the delivery of responses are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The platform kills a terminating process no earlier than the longest client timeout, capped at `CLIENT_TIMEOUT_CAP`,
/// plus `KILL_MARGIN`.
const CLIENT_TIMEOUT_CAP: Duration = Duration::from_secs(3);
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// A shorter delay of the signal is ignored.
const SIGNAL_DELAY_TOLERANCE: Duration = Duration::from_millis(40);
/// Reserved before the kill for the transit of the last responses, and for an ignored delay of the signal.
const FINAL_RESPONSE_MARGIN: Duration = Duration::from_millis(200);
/// Time limit for the delivery of the last responses: slightly more than that of closing one connection.
const RESPONSE_DELIVERY_TIMEOUT: Duration = Duration::from_millis(400);

/// Accepts for a grace period, waits until all invocations have their response or the kill is near, then closes all
/// connections.
pub(crate) async fn shut_down(handle: &Rc<ControllerHandle>) {
    let clients = &handle.config.clients;
    let (signal_age, kill_after) = kill_time(handle);
    info!(told_ago = ?signal_age, "shutting down: draining");
    clients.send_go_away();
    let drained = async {
        tokio::time::sleep(ACCEPT_GRACE).await;
        clients.stop_accepting();
        while !is_drained(handle).await {}
    };
    match tokio::time::timeout(
        kill_after
            .saturating_sub(FINAL_RESPONSE_MARGIN)
            .max(ACCEPT_GRACE),
        drained,
    )
    .await
    {
        Ok(()) => info!("drained, stopping"),
        Err(_) => {
            let unanswered = handle.update(|state| state.end_all_invocations());
            warn!(
                owed = unanswered,
                "drain timed out, responded to remaining invocations"
            );
        }
    }
    clients.close_all();
    let delivered = async {
        while !clients.are_all_closed() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    if tokio::time::timeout(RESPONSE_DELIVERY_TIMEOUT, delivered)
        .await
        .is_err()
    {
        warn!("stopped with unread responses");
    }
}

/// Whether all invocations have their response, nothing waits to be sent, and nothing arrived meanwhile. A request may
/// be in the kernel, on an existing or a new connection, while no response is pending. So the kernel is polled for all
/// sockets, and every task with something to read runs once, before this returns true.
async fn is_drained(handle: &Rc<ControllerHandle>) -> bool {
    let clients = &handle.config.clients;
    let (had_stopped, frames_before) = (clients.has_stopped_accepting(), clients.frames_read());
    // The kernel is polled before a sleep ends, and the tasks that it wakes are queued before those spawned below.
    tokio::time::sleep(POLL_INTERVAL).await;
    for _ in 0..2 {
        let _ = spawn_local(async {}).await;
    }
    let is_awaiting = handle.inspect(|state| state.invocations.awaiting_response()) > 0;
    had_stopped
        && !is_awaiting
        && !clients.have_pending_output()
        && clients.frames_read() == frames_before
}

/// Returns how long ago SIGTERM can have arrived, and after what time from now the process may be killed.
fn kill_time(handle: &ControllerHandle) -> (Duration, Duration) {
    let longest_timeout = handle
        .config
        .deployment
        .trigger_types
        .iter()
        .map(|trigger_type| trigger_type.client_timeout)
        .max()
        .unwrap_or(0);
    let kill_after =
        Duration::from_micros(longest_timeout * 100).min(CLIENT_TIMEOUT_CAP) + KILL_MARGIN;
    // A process that was stopped handles the signal late, but the time of the kill counts from when the signal was
    // sent.
    let signal_age =
        Duration::from_micros(handle.event_loop.max_readiness_delay(handle.clock.now()) * 100);
    let kill_after = if signal_age > SIGNAL_DELAY_TOLERANCE {
        kill_after.saturating_sub(signal_age)
    } else {
        kill_after
    };
    (signal_age, kill_after)
}
