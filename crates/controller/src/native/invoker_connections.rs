//! Keeps one multiplexed connection to each invoker, and reconnects with backoff when it is lost.

use crate::native::connection_error::ConnectionError;
use crate::native::handshake::shake_hands;
use crate::native::invoker_connection::{InvokerConnection, Phase};
use crate::native::state::{ControllerHandle, ControllerState};
use crate::transport::AttemptReport;
use bytes::{Bytes, BytesMut};
use saltdrum::interface::{
    InvocationId, InvokerId, LoadOutcome, LoadReport, Outcome, StartKind, Ticks,
};
use saltdrum_protocol::frame::cut;
use saltdrum_protocol::invoker as wire;
use saltdrum_protocol::list::Life;
use saltdrum_transport::{SendQueue, StreamHalf, Ticket, split};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::sync::Notify;
use tracing::{debug, info, warn};

/// What an invoker that the endpoint list names for the first time needs: a task that keeps its connection.
pub(crate) fn spawn(handle: &Rc<ControllerHandle>, invoker: InvokerId) {
    tokio::task::spawn_local(keep_connected(handle.clone(), invoker));
}

/// Ends new work that waits for a draining invoker. Called at the cutoff that was set for the connection.
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
            "frame partially sent to a draining invoker, connection closed"
        );
        connection.broken.notify_one();
    }
    end_withdrawn(state, invoker, &withdrawn);
}

/// Ends attempts and load orders whose frames were withdrawn: they never ran.
fn end_withdrawn(state: &mut ControllerState, invoker: InvokerId, withdrawn: &[Ticket]) {
    let Some(connection) = state.invocations.transport.by_invoker.get(&invoker) else {
        return;
    };
    let attempts = connection.in_flight.values();
    let attempts: Vec<(InvocationId, u8)> = attempts
        .filter(|sent| withdrawn.contains(&sent.ticket))
        .map(|sent| (sent.invocation, sent.attempt))
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

/// Ends all attempts and load orders of a connection that was lost or could not be made, by what was sent of each.
fn end_all(state: &mut ControllerState, invoker: InvokerId) {
    let now = state.invocations.now;
    let Some(connection) = state.invocations.transport.by_invoker.get_mut(&invoker) else {
        return;
    };
    connection.disconnected(now);
    let attempts: Vec<_> = connection.in_flight.values().copied().collect();
    let queue = connection.send_queue.clone();
    let orders: Vec<u64> = connection.load_orders.keys().copied().collect();
    for sent in attempts {
        let may_have_run = queue.is_sent(sent.ticket);
        let outcome = if may_have_run {
            Outcome::Reset
        } else {
            Outcome::NoConnection
        };
        state.attempt_ended(
            sent.invocation,
            sent.attempt,
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

/// What the task of a connection does next.
enum Step {
    /// Connect after a delay, or sooner when the endpoint list changes.
    ConnectAfter(Ticks, Rc<Notify>),
    /// The invoker is gone: wait until the endpoint list names it again.
    WaitForChange(Rc<Notify>),
    /// The connection is not known any more.
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
        return Step::WaitForChange(connection.changed.clone());
    }
    let mut delay = connection.backoff.next_delay(&mut transport.rng);
    if connection.backoff.is_failing() {
        delay += transport.connect_budget.reserve_retry(now, connections);
    } else {
        delay += transport.connect_budget.reserve_first(now);
        connection.begin_connecting();
    }
    Step::ConnectAfter(delay, connection.changed.clone())
}

/// Keeps the connection to one invoker for as long as the endpoint list knows it.
async fn keep_connected(handle: Rc<ControllerHandle>, invoker: InvokerId) {
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
        let (address, queue, broken) = handle.update(|state| {
            let connection = state.invocations.transport.by_invoker.get_mut(&invoker);
            let connection = connection.expect("connections are never removed");
            connection.begin_connecting();
            let address = connection.entry.address.clone();
            (
                address,
                connection.send_queue.clone(),
                connection.broken.clone(),
            )
        });
        let reason = tokio::select! {
            biased;
            reason = connect_and_serve(&handle, invoker, &address, &queue) => reason,
            () = broken.notified() => ConnectionError::CutOff,
        };
        info!(invoker, address, %reason, "invoker connection lost");
        handle.update(|state| {
            state.invocations.counters.broken_connections += 1;
            end_all(state, invoker);
        });
    }
}

/// Connects, shakes hands and serves the connection; gives the reason for its end.
async fn connect_and_serve(
    handle: &Rc<ControllerHandle>,
    invoker: InvokerId,
    address: &str,
    queue: &SendQueue,
) -> ConnectionError {
    let time_limit = Duration::from_micros(handle.config.terms.connect_timeout * 100);
    let connecting = shake_hands(handle, invoker, address);
    let (stream, received, welcome) = match tokio::time::timeout(time_limit, connecting).await {
        Ok(Ok(connected)) => connected,
        Ok(Err(error)) => return error,
        Err(_) => return ConnectionError::Timeout(time_limit),
    };
    handle.update(|state| connection_made(state, invoker, &welcome));
    let (input, mut output) = split(stream);
    let clock = handle.clock;
    let on_withdrawn = |ticket| handle.update(|state| end_withdrawn(state, invoker, &[ticket]));
    tokio::select! {
        biased;
        reason = read_messages(handle, invoker, input, received) => reason,
        done = queue.write_to(&mut output, || clock.now(), on_withdrawn) => match done {
            Ok(()) => ConnectionError::Closed,
            Err(error) => error.into(),
        },
    }
}

fn connection_made(state: &mut ControllerState, invoker: InvokerId, welcome: &wire::Welcome) {
    let now = state.invocations.now;
    let Some(connection) = state.invocations.transport.by_invoker.get_mut(&invoker) else {
        return;
    };
    connection.phase = Phase::Up;
    connection.backoff.connected(now);
    debug!(invoker, "invoker connected");
    if welcome.incarnation != connection.entry.incarnation {
        // The invoker knows of its restart before the endpoint list does. One that is warming up must not be taken for warm.
        connection.entry.incarnation = welcome.incarnation;
        connection.started_at = now.checked_sub(welcome.age_tenths);
        let record = connection.record();
        state.policy.invokers_changed(now, false, &[record]);
    }
}

/// Reads messages until the connection ends; gives the reason.
async fn read_messages(
    handle: &Rc<ControllerHandle>,
    invoker: InvokerId,
    mut input: StreamHalf,
    mut received: BytesMut,
) -> ConnectionError {
    loop {
        loop {
            let (kind, body) = match cut(&mut received) {
                Ok(None) => break,
                Ok(Some(frame)) => frame,
                Err(error) => return error.into(),
            };
            let message = wire::FromInvoker::read(kind, &body).map_err(ConnectionError::from);
            let handled = message
                .and_then(|message| handle.update(|state| handle_message(state, invoker, message)));
            if let Err(reason) = handled {
                warn!(invoker, %reason, "invoker broke the protocol");
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
                let outcome = outcome(&answer, invoker, invocation);
                state.attempt_ended(invocation, attempt, outcome, &report(&answer));
                if let Some(connection) = state.invocations.transport.by_invoker.get_mut(&invoker) {
                    // The one answer is here: a second is a fault.
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

/// The attempt that an answer belongs to; none: it was given up meanwhile.
fn find_attempt(
    connection: &mut InvokerConnection,
    answer: &wire::Answer,
) -> Result<Option<(InvocationId, u8)>, ConnectionError> {
    let Some(sent) = connection.in_flight.get(&answer.dispatch) else {
        if connection.abandoned.remove(&answer.dispatch) {
            return Ok(None);
        }
        return Err(ConnectionError::UnknownDispatch(answer.dispatch));
    };
    if !connection.send_queue.is_sent(sent.ticket) {
        return Err(ConnectionError::UnsentDispatch(answer.dispatch));
    }
    Ok(Some((sent.invocation, sent.attempt)))
}

fn outcome(answer: &wire::Answer, invoker: InvokerId, invocation: InvocationId) -> Outcome {
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

fn report(answer: &wire::Answer) -> AttemptReport {
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
