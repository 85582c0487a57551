//! Graceful shutdown: accept for a grace period, drain, answer the rest before the process is killed.

use crate::state::ControllerHandle;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tracing::{info, warn};

/// For so long after SIGTERM invocations still come, on connections old and new.
const ACCEPT_GRACE: Duration = Duration::from_millis(800);
/// How often it is looked whether all is answered.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The platform kills what was told to end no sooner than the longest client timeout, counted as this where it is longer,
/// and so much more after it.
const CLIENT_TIMEOUT_CAP: Duration = Duration::from_secs(3);
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// A signal that is heard within this is heard at once.
const SIGNAL_DELAY_TOLERANCE: Duration = Duration::from_millis(40);
/// Kept of that for the last answers' way, and for a signal that was heard late.
const FINAL_RESPONSE_MARGIN: Duration = Duration::from_millis(200);
/// What was answered has so long to arrive before the process ends: a little more than one client's last words.
const RESPONSE_DELIVERY_TIMEOUT: Duration = Duration::from_millis(400);

/// Accepts for a grace period, waits until all is answered or the kill is near, then closes all connections.
pub(crate) async fn leave(handle: &Rc<ControllerHandle>) {
    let clients = &handle.config.clients;
    let (told_ago, kill_after) = kill_time(handle);
    info!(?told_ago, "shutting down: draining");
    clients.send_go_away();
    let answered = async {
        tokio::time::sleep(ACCEPT_GRACE).await;
        clients.shut();
        while !is_quiet(handle).await {}
    };
    match tokio::time::timeout(
        kill_after
            .saturating_sub(FINAL_RESPONSE_MARGIN)
            .max(ACCEPT_GRACE),
        answered,
    )
    .await
    {
        Ok(()) => info!("drained, stopping"),
        Err(_) => {
            let owed = handle.update(|state| state.end_all_invocations());
            warn!(owed, "drain timed out, remaining invocations answered now");
        }
    }
    clients.close();
    let arrived = async {
        while !clients.are_gone() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    if tokio::time::timeout(RESPONSE_DELIVERY_TIMEOUT, arrived)
        .await
        .is_err()
    {
        warn!("stopped with unread responses");
    }
}

/// Whether nothing is owed, nothing waits to leave, and nothing has come meanwhile. A request may lie in the machine, on
/// a connection old or new, with nothing owed yet: so this takes a look of the machine at all sockets, and a turn of
/// whoever has something to read, before it says so.
async fn is_quiet(handle: &Rc<ControllerHandle>) -> bool {
    let clients = &handle.config.clients;
    let (was_shut, before) = (clients.is_shut(), clients.frames());
    // The machine is asked before a sleep ends, and whoever it wakes is queued before the task that follows.
    tokio::time::sleep(POLL_INTERVAL).await;
    for _ in 0..2 {
        let _ = spawn_local(async {}).await;
    }
    let owed = handle.inspect(|state| state.invocations.awaiting_response()) > 0;
    was_shut && !owed && !clients.have_pending_output() && clients.frames() == before
}

/// How long ago this process was told to end, and how long from now it may be killed.
fn kill_time(handle: &ControllerHandle) -> (Duration, Duration) {
    let longest = handle
        .config
        .deployment
        .trigger_types
        .iter()
        .map(|t| t.client_timeout)
        .max()
        .unwrap_or(0);
    let kill_after = Duration::from_micros(longest * 100).min(CLIENT_TIMEOUT_CAP) + KILL_MARGIN;
    // A process that was stopped hears late that it is to end; when it is killed counts from when it was told.
    let told_ago =
        Duration::from_micros(handle.event_loop.max_readiness_delay(handle.clock.now()) * 100);
    let kill_after = if told_ago > SIGNAL_DELAY_TOLERANCE {
        kill_after.saturating_sub(told_ago)
    } else {
        kill_after
    };
    (told_ago, kill_after)
}
