//! Maintains one multiplexed connection to each invoker, and reconnects with backoff when it is lost.

use crate::native::connection_error::ConnectionError;
use crate::native::handshake::perform_handshake;
use crate::native::invoker_connection::{InvokerConnection, Phase};
use crate::native::state::{ControllerHandle, ControllerState};
use crate::transport::AttemptReport;
use bytes::{Bytes, BytesMut};
use saltdrum::interface::{
    InvocationId, InvokerId, LoadOutcome, LoadReport, Outcome, StartKind, Ticks,
};
use saltdrum_protocol::frame::take_frame;
use saltdrum_protocol::invoker as wire;
use saltdrum_protocol::list::Life;
use saltdrum_transport::{SendQueue, StreamHalf, Ticket, split};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::sync::Notify;
use tracing::{debug, info, warn};

/// Spawns the task that maintains the connection to an invoker that is new in the endpoint list.
pub(crate) fn spawn(handle: &Rc<ControllerHandle>, invoker: InvokerId) {
    tokio::task::spawn_local(maintain_connection(handle.clone(), invoker));
}

/// Withdraws queued new work from a draining invoker, called at the cutoff that was set for the connection (rule 3). If a frame
/// of new work is partially sent, closes the connection.
pub(crate) fn enforce_cutoff(state: &mut ControllerState, invoker: InvokerId) {
    let now = state.invocations.now;
    let connection = state.invocations.transport.by_invoker.get_mut(&invoker);
    let Some(connection) = connection.filter(|connection| now >= connection.cutoff) else {
        return;
    };
    let queue = &connection.send_queue;
    let withdrawn = queue.withdraw(now, |ticket| connection.is_new_work(ticket));
    let partially_sent = queue.partially_sent();
    if partially_sent.is_some_and(|ticket| connection.is_new_work(ticket)) {
        warn!(
            invoker,
            "frame partially sent to a draining invoker, closing connection"
        );
        connection.close_requested.notify_one();
    }
    end_withdrawn(state, invoker, &withdrawn);
}

/// Ends the attempts and load orders whose frames were withdrawn; they never ran.
fn end_withdrawn(state: &mut ControllerState, invoker: InvokerId, withdrawn: &[Ticket]) {
    let Some(connection) = state.invocations.transport.by_invoker.get(&invoker) else {
        return;
    };
    let attempts = connection.in_flight.values();
    let attempts: Vec<(InvocationId, u8)> = attempts
        .filter(|queued| withdrawn.contains(&queued.ticket))
        .map(|queued| (queued.invocation, queued.attempt))
        .collect();
    let orders = connection.load_orders.iter();
    let orders: Vec<u64> = orders
        .filter(|(_, ticket)| withdrawn.contains(ticket))
        .map(|(order, _)| *order)
        .collect();
    for (invocation, attempt) in attempts {
        state.attempt_ended(
            invocation,
            attempt,
            Outcome::NotSent,
            &AttemptReport::default(),
        );
    }
    for order in orders {
        state.load_ended(invoker, order, LoadOutcome::Unreachable, 0);
    }
}

/// Ends all attempts and load orders of a connection that was lost or could not be established. An attempt whose frame was sent
/// completely may have run.
fn end_attempts_and_orders(state: &mut ControllerState, invoker: InvokerId) {
    let now = state.invocations.now;
    let Some(connection) = state.invocations.transport.by_invoker.get_mut(&invoker) else {
        return;
    };
    connection.disconnected(now);
    let attempts: Vec<_> = connection.in_flight.values().copied().collect();
    let queue = connection.send_queue.clone();
    let orders: Vec<u64> = connection.load_orders.keys().copied().collect();
    for queued in attempts {
        let may_have_run = queue.is_sent(queued.ticket);
        let outcome = if may_have_run {
            Outcome::Reset
        } else {
            Outcome::NoConnection
        };
        state.attempt_ended(
            queued.invocation,
            queued.attempt,
            outcome,
            &AttemptReport::default(),
        );
    }
    for order in orders {
        state.load_ended(invoker, order, LoadOutcome::Unreachable, 0);
    }
    if let Some(connection) = state.invocations.transport.by_invoker.get_mut(&invoker) {
        connection.in_flight.clear();
        connection.abandoned.clear();
    }
}

/// Next step of the task that maintains a connection.
enum Step {
    /// Connect after a delay. A change of the invoker's endpoint list entry restarts the decision.
    ConnectAfter(Ticks, Rc<Notify>),
    /// The invoker is gone: wait until the endpoint list contains it again.
    WaitForChange(Rc<Notify>),
    /// The connection is no longer known.
    Stop,
}

fn next_step(state: &mut ControllerState, invoker: InvokerId) -> Step {
    let now = state.invocations.now;
    let transport = &mut state.invocations.transport;
    let connections = transport.by_invoker.len();
    let Some(connection) = transport.by_invoker.get_mut(&invoker) else {
        return Step::Stop;
    };
    if connection.entry.life == Life::Gone {
        return Step::WaitForChange(connection.entry_changed.clone());
    }
    let mut delay = connection.backoff.next_delay(&mut transport.rng);
    if connection.backoff.is_failing() {
        delay += transport.connect_budget.reserve_retry(now, connections);
    } else {
        delay += transport.connect_budget.reserve_first(now);
        connection.begin_connecting();
    }
    Step::ConnectAfter(delay, connection.entry_changed.clone())
}

/// Maintains the connection to one invoker for the lifetime of the controller; while the invoker is gone, it does not connect.
async fn maintain_connection(handle: Rc<ControllerHandle>, invoker: InvokerId) {
    loop {
        match handle.update(|state| next_step(state, invoker)) {
            Step::Stop => return,
            Step::WaitForChange(changed) => {
                changed.notified().await;
                continue;
            }
            Step::ConnectAfter(delay, changed) => tokio::select! {
                biased;
                () = tokio::time::sleep(Duration::from_micros(delay * 100)) => {}
                () = changed.notified() => continue,
            },
        }
        let (address, queue, close_requested) = handle.update(|state| {
            let connection = state.invocations.transport.by_invoker.get_mut(&invoker);
            let connection = connection.expect("connections are never removed");
            connection.begin_connecting();
            let address = connection.entry.address.clone();
            (
                address,
                connection.send_queue.clone(),
                connection.close_requested.clone(),
            )
        });
        let reason = tokio::select! {
            biased;
            reason = connect_and_serve(&handle, invoker, &address, &queue) => reason,
            () = close_requested.notified() => ConnectionError::ClosedWhileDraining,
        };
        info!(invoker, address, %reason, "invoker connection lost");
        handle.update(|state| {
            state.invocations.counters.broken_connections += 1;
            end_attempts_and_orders(state, invoker);
        });
    }
}

/// Connects, performs the handshake and serves the connection. Returns the reason for its end.
async fn connect_and_serve(
    handle: &Rc<ControllerHandle>,
    invoker: InvokerId,
    address: &str,
    queue: &SendQueue,
) -> ConnectionError {
    let time_limit = Duration::from_micros(handle.config.terms.connect_timeout * 100);
    let connecting = perform_handshake(handle, invoker, address);
    let (stream, received, welcome) = match tokio::time::timeout(time_limit, connecting).await {
        Ok(Ok(connected)) => connected,
        Ok(Err(error)) => return error,
        Err(_) => return ConnectionError::Timeout(time_limit),
    };
    handle.update(|state| connection_established(state, invoker, &welcome));
    let (input, mut output) = split(stream);
    let clock = handle.clock;
    let on_withdrawn = |ticket| handle.update(|state| end_withdrawn(state, invoker, &[ticket]));
    tokio::select! {
        biased;
        reason = read_messages(handle, invoker, input, received) => reason,
        result = queue.write_to(&mut output, || clock.now(), on_withdrawn) => match result {
            Ok(()) => ConnectionError::ClosedByController,
            Err(error) => error.into(),
        },
    }
}

fn connection_established(
    state: &mut ControllerState,
    invoker: InvokerId,
    welcome: &wire::Welcome,
) {
    let now = state.invocations.now;
    let Some(connection) = state.invocations.transport.by_invoker.get_mut(&invoker) else {
        return;
    };
    connection.phase = Phase::Up;
    connection.backoff.connected(now);
    debug!(invoker, "invoker connected");
    if welcome.incarnation != connection.entry.incarnation {
        // The invoker restarted and the endpoint list does not show it yet. The policy must not treat it as warm while it is
        // warming up.
        connection.entry.incarnation = welcome.incarnation;
        connection.started_at = now.checked_sub(welcome.age_tenths);
        let record = connection.record();
        state.policy.invokers_changed(now, false, &[record]);
    }
}

/// Reads and handles messages until the connection ends. Returns the reason.
async fn read_messages(
    handle: &Rc<ControllerHandle>,
    invoker: InvokerId,
    mut input: StreamHalf,
    mut received: BytesMut,
) -> ConnectionError {
    loop {
        loop {
            let (kind, body) = match take_frame(&mut received) {
                Ok(None) => break,
                Ok(Some(frame)) => frame,
                Err(error) => return error.into(),
            };
            let message = wire::FromInvoker::read(kind, &body).map_err(ConnectionError::from);
            let handled = message
                .and_then(|message| handle.update(|state| handle_message(state, invoker, message)));
            if let Err(reason) = handled {
                warn!(invoker, %reason, "invoker violated the protocol");
                return reason;
            }
        }
        match input.read_buf(&mut received).await {
            Ok(0) => return ConnectionError::ClosedByInvoker,
            Ok(_) => {}
            Err(error) => return error.into(),
        }
    }
}

fn handle_message(
    state: &mut ControllerState,
    invoker: InvokerId,
    message: wire::FromInvoker,
) -> Result<(), ConnectionError> {
    let Some(connection) = state.invocations.transport.by_invoker.get_mut(&invoker) else {
        return Ok(());
    };
    match message {
        wire::FromInvoker::Answer(answer) => {
            if let Some((invocation, attempt)) = find_attempt(connection, &answer)? {
                let outcome = attempt_outcome(&answer, invoker, invocation);
                state.attempt_ended(invocation, attempt, outcome, &attempt_report(&answer));
                if let Some(connection) = state.invocations.transport.by_invoker.get_mut(&invoker) {
                    // A second answer for the same dispatch is a protocol violation.
                    connection.abandoned.remove(&answer.dispatch);
                }
            }
        }
        wire::FromInvoker::Held(held) => {
            let outcome = match held.ended {
                wire::HoldEnded::Standing => LoadOutcome::Loaded,
                wire::HoldEnded::NoRoom => LoadOutcome::NoCapacity,
                wire::HoldEnded::LoadFailed => LoadOutcome::LoadFailed,
            };
            state.load_ended(invoker, held.order, outcome, held.standing);
        }
        wire::FromInvoker::Probed(_) => {}
        wire::FromInvoker::Welcome(_) | wire::FromInvoker::Unwelcome(_) => {
            return Err(ConnectionError::SecondHandshake);
        }
    }
    Ok(())
}

/// Finds the attempt that an answer belongs to. `None`: the attempt was abandoned before the answer was received.
fn find_attempt(
    connection: &mut InvokerConnection,
    answer: &wire::Answer,
) -> Result<Option<(InvocationId, u8)>, ConnectionError> {
    let Some(queued) = connection.in_flight.get(&answer.dispatch) else {
        if connection.abandoned.remove(&answer.dispatch) {
            return Ok(None);
        }
        return Err(ConnectionError::UnknownDispatch(answer.dispatch));
    };
    if !connection.send_queue.is_sent(queued.ticket) {
        return Err(ConnectionError::UnsentDispatch(answer.dispatch));
    }
    Ok(Some((queued.invocation, queued.attempt)))
}

fn attempt_outcome(answer: &wire::Answer, invoker: InvokerId, invocation: InvocationId) -> Outcome {
    match answer.ended {
        wire::Ended::Succeeded if !is_json(&answer.output) => {
            warn!(invoker, invocation, "result is not JSON");
            Outcome::Errored
        }
        wire::Ended::Succeeded => Outcome::Succeeded,
        wire::Ended::Errored => Outcome::Errored,
        wire::Ended::Full => Outcome::Full,
        wire::Ended::Miss => Outcome::Miss,
        wire::Ended::Cancelled => Outcome::Cancelled,
    }
}

fn is_json(bytes: &[u8]) -> bool {
    serde_json::from_slice::<&serde_json::value::RawValue>(bytes).is_ok()
}

fn attempt_report(answer: &wire::Answer) -> AttemptReport {
    let is_finite = |value: &f32| value.is_finite();
    AttemptReport {
        start_kind: answer.found.map(|found| match found {
            wire::Found::Warm => StartKind::Warm,
            wire::Found::BeganLoad => StartKind::BeganLoad,
            wire::Found::JoinedLoad => StartKind::JoinedLoad,
            wire::Found::LoadFailed => StartKind::LoadFailed,
        }),
        concurrency: answer.crowd,
        load_report: LoadReport {
            utilization: answer.load.cores_busy.filter(is_finite).map(f64::from),
            queue_length: answer.load.waiting.filter(is_finite).map(f64::from),
        },
        output: Bytes::copy_from_slice(&answer.output),
    }
}
