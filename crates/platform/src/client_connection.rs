//! One client's connection, from accept to close.
//!
//! Before the controller closes a connection, it reads and answers everything in the kernel's receive buffer: requests
//! that can no longer be admitted are rejected with a retry-after. An idle client is notified first (frame type 48),
//! and the connection stays open for a moment, so that requests already sent still arrive.

use crate::admission::{AdmissionError, Arrival, admit};
use crate::clients::{AcceptDecision, Client, CloseReason, NO_DEADLINE};
use crate::frame_reader::{FrameReader, ReceivedFrame};
use crate::state::ControllerHandle;
use saltdrum::interface::{InvocationId, Ticks};
use saltdrum_platform_wire::Malformed;
use saltdrum_platform_wire::frames::{self, ClientFrame, Code};
use saltdrum_transport::{ArrivalReader, Stream, StreamHalf, split};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tracing::{debug, info};

/// How long requests that the client sent before it received the close notification are still answered.
const CLOSE_LINGER: Duration = Duration::from_millis(60);
/// Time limit to send the remaining responses on a closing connection, and for the client to read them.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a rejected connection stays open to receive the requests that are to be rejected.
const REJECTED_LINGER: Duration = Duration::from_millis(200);
/// How much is read and answered, and how much is read and discarded after that, while a connection closes. If bytes
/// are unread at the close, the kernel resets the connection, and a reset discards responses that are still in transit.
const FINAL_READ_BYTES_MAX: usize = 1 << 20;
/// Frames that are rejected at the end: many times what a client may have open. The rest of a flood is not read.
const FINAL_FRAMES_MAX: usize = 1_024;
const DISCARDED_BYTES_MAX: usize = 256 << 10;
/// Frames of one client that are handled before other tasks run, and other clients have their turns.
const FRAMES_PER_TURN: usize = 4;

/// Why a connection ends.
enum ConnectionEnd {
    /// The client closed it, or it broke.
    ClosedByClient,
    /// The controller closes it.
    ClosedByController,
    /// The client violated the protocol, so its bytes can no longer be decoded.
    Malformed(String),
}

/// Serves one client until its connection ends. The connection may have been open since `opened`.
pub(crate) async fn serve_connection(
    handle: Rc<ControllerHandle>,
    stream: Stream,
    opened: Ticks,
    decision: AcceptDecision,
) {
    let (input, mut output) = split(stream);
    let mut shutdown_output = output.clone();
    let clock = handle.clock;
    let clients = &handle.config.clients;
    let client = Rc::new(Client::new(clock.now(), clients));
    let number = clients.insert(&client);
    let reader = ArrivalReader::opened_at(input, opened, clock, handle.event_loop.clone());
    let mut read = FrameReader::new(reader, &client.memory);
    {
        let write = client.outbox.write_to(&mut output, || clock.now(), |_| ());
        let mut write = std::pin::pin!(write);
        let mut write_result = None;
        if decision == AcceptDecision::Rejected {
            client.request_close(CloseReason::Rejected);
        }
        let end = tokio::select! {
            // Polled before the reader: a request that arrives in the same event loop turn as the close is not
            // admitted, as its client may send it again on a new connection.
            biased;
            () = client.close_signal.notified() => ConnectionEnd::ClosedByController,
            end = read_frames(&handle, &client, &mut read) => end,
            result = &mut write => { write_result = Some(result); ConnectionEnd::ClosedByClient }
        };
        // Set first: no more attempts are sent for a client that has left, however long the remaining responses take.
        client.is_closing.set(true);
        log_close(number, &client, &end);
        let linger = match decision {
            AcceptDecision::Rejected => REJECTED_LINGER,
            AcceptDecision::Served if client.last_active.get().is_some() => CLOSE_LINGER,
            // A client that never sent a frame gets no notification.
            AcceptDecision::Served => Duration::ZERO,
        };
        let graceful_end = async {
            let finished = finish_open_invocations(&handle, &client, &mut read, &end, linger);
            if write_result.is_none() {
                // A writer that has finished must not be polled again.
                let mut finished = std::pin::pin!(finished);
                tokio::select! {
                    biased;
                    () = &mut finished => {}
                    result = &mut write => { write_result = Some(result); finished.await; }
                }
            } else {
                finished.await;
            }
            // Responses that are already queued are sent too, within the time limit.
            client.outbox.close();
            let written = async {
                let result = match write_result.take() {
                    Some(result) => result,
                    None => (&mut write).await,
                };
                if let Err(error) = result {
                    return debug!(e = %error, "client connection lost");
                }
                if client.last_active.get().is_some() || matches!(end, ConnectionEnd::Malformed(_))
                {
                    close_gracefully(&mut shutdown_output, &mut read).await;
                }
            };
            let _ = tokio::time::timeout(CLOSE_TIMEOUT, written).await;
            true
        };
        let immediate_close = async {
            while !client.must_close_now.get() {
                client.close_signal.notified().await;
            }
            false
        };
        let ended_gracefully = tokio::select! {
            biased;
            ended_gracefully = graceful_end => ended_gracefully,
            ended_gracefully = immediate_close => ended_gracefully,
        };
        if !ended_gracefully && write_result.is_none() && !client.outbox.is_closed() {
            reject_buffered_frames(&handle, &client, &mut read).await;
            client.outbox.close();
            // Polled once: only what the kernel accepts at once is sent.
            tokio::select! {
                biased;
                _ = &mut write => {}
                () = std::future::ready(()) => {}
            }
        }
    }
    clients.remove(number);
}

/// Logs why a connection ends, and the number of its invocations in flight.
fn log_close(number: u64, client: &Client, end: &ConnectionEnd) {
    let open = client.open_streams.borrow().len();
    match end {
        ConnectionEnd::ClosedByClient => debug!(
            number,
            open,
            reason = "closed by the client",
            "client connection closed"
        ),
        ConnectionEnd::ClosedByController => {
            debug!(number, open, reason = ?client.close_reason.get(), "client connection closed")
        }
        ConnectionEnd::Malformed(why) => info!(
            number,
            open,
            reason = "malformed",
            why,
            "client connection closed"
        ),
    }
}

/// Ends the invocations in flight on a closing connection. If the controller closes it, requests that arrive within
/// `linger` are rejected.
async fn finish_open_invocations(
    handle: &Rc<ControllerHandle>,
    client: &Rc<Client>,
    read: &mut FrameReader,
    end: &ConnectionEnd,
    linger: Duration,
) {
    let open: Vec<InvocationId> = client.open_streams.borrow().values().copied().collect();
    match end {
        ConnectionEnd::ClosedByClient => {
            read.discard();
            open.into_iter()
                .for_each(|id| handle.update(|state| state.abandon_invocation(id)));
        }
        ConnectionEnd::Malformed(why) => {
            read.discard();
            open.into_iter()
                .for_each(|id| handle.update(|state| state.end_invocation(id)));
            client.send(
                frames::encode_response(0, Code::Errored, None, why.as_bytes()),
                NO_DEADLINE,
            );
        }
        ConnectionEnd::ClosedByController => {
            open.into_iter()
                .for_each(|id| handle.update(|state| state.end_invocation(id)));
            if !linger.is_zero() {
                client.send_go_away();
                // Whether the client closes its side in time makes no difference.
                let _ =
                    tokio::time::timeout(linger, reject_until_closed(handle, client, read)).await;
            }
            reject_buffered_frames(handle, client, read).await;
            if client.partial_since.get().is_some() {
                client.send(
                    frames::encode_response(0, Code::Errored, None, b"a frame that does not end"),
                    NO_DEADLINE,
                );
            }
        }
    }
}

/// Rejects all requests until the client closes its side.
async fn reject_until_closed(
    handle: &Rc<ControllerHandle>,
    client: &Rc<Client>,
    read: &mut FrameReader,
) {
    loop {
        reject_frames(handle, client, read).await;
        match read.reader.read_more().await {
            Ok(Some(_)) => {}
            Ok(None) | Err(_) => return,
        }
    }
}

/// Reads the kernel's receive buffer and rejects all requests in it.
async fn reject_buffered_frames(
    handle: &Rc<ControllerHandle>,
    client: &Rc<Client>,
    read: &mut FrameReader,
) {
    // The event loop polls the kernel before this task continues.
    tokio::task::yield_now().await;
    let (mut total_bytes, mut total_frames) = (0, 0);
    while total_bytes < FINAL_READ_BYTES_MAX && total_frames < FINAL_FRAMES_MAX {
        let read_bytes = read.reader.read_available();
        total_frames += reject_frames(handle, client, read).await;
        if read_bytes == 0 {
            return;
        }
        total_bytes += read_bytes;
    }
}

/// Rejects the requests in all complete frames that were read, and returns the number of these frames. A frame that is not
/// complete is not held.
async fn reject_frames(
    handle: &Rc<ControllerHandle>,
    client: &Rc<Client>,
    read: &mut FrameReader,
) -> usize {
    let mut handled = 0;
    while let Ok(Some(frame)) = read.next_frame() {
        client.last_active.set(Some(handle.clock.now()));
        client.partial_since.set(None);
        match frame {
            ReceivedFrame::Whole(ClientFrame::Invoke { stream, .. })
            | ReceivedFrame::Skipped { stream } => {
                debug!(stream, reason = ?client.close_reason.get(), "request rejected: connection closing");
                client.reject(stream);
            }
            ReceivedFrame::Whole(ClientFrame::ReadinessQuery { stream }) => {
                client.send(frames::encode_readiness(stream, false), NO_DEADLINE)
            }
            ReceivedFrame::Whole(ClientFrame::Cancel { .. }) => {}
        }
        handled += 1;
        if handled % FRAMES_PER_TURN == 0 {
            tokio::task::yield_now().await;
        }
    }
    read.skip_partial_frame();
    handled
}

/// Closes the sending side, and waits until the client closes its side too: it has read everything then.
async fn close_gracefully(output: &mut StreamHalf, read: &mut FrameReader) {
    if output.shutdown().await.is_err() {
        return;
    }
    let mut discarded_bytes = 0;
    while discarded_bytes < DISCARDED_BYTES_MAX {
        discarded_bytes += read.reader.bytes.len();
        read.discard();
        match read.reader.read_more().await {
            Ok(Some(_)) => {}
            Ok(None) | Err(_) => return,
        }
    }
}

/// Reads frames until the connection ends, and returns why it ended.
async fn read_frames(
    handle: &Rc<ControllerHandle>,
    client: &Rc<Client>,
    read: &mut FrameReader,
) -> ConnectionEnd {
    let backlog = read.reader.backlog();
    loop {
        let earliest = match read.reader.read_more().await {
            Ok(Some(earliest)) => earliest,
            Ok(None) | Err(_) => return ConnectionEnd::ClosedByClient,
        };
        let arrival = Arrival {
            earliest,
            backlog: &backlog,
        };
        if let Err(end) = handle_frames(handle, client, read, &arrival).await {
            return end;
        }
        read.hold_partial_frame();
        if !read.has_partial_frame() {
            client.partial_since.set(None);
        } else if client.partial_since.get().is_none() {
            client.partial_since.set(Some(handle.clock.now()));
        }
        // Requests of clients must not delay the handling of invokers' responses. Delayed responses would look slow,
        // and the decision module would take the controller's own lag for overload of the invokers.
        tokio::task::yield_now().await;
    }
}

/// Handles all complete frames that were read, some in each of the client's turns. `Err`: the connection ends.
async fn handle_frames(
    handle: &Rc<ControllerHandle>,
    client: &Rc<Client>,
    read: &mut FrameReader,
    arrival: &Arrival<'_>,
) -> Result<(), ConnectionEnd> {
    loop {
        let turn = handle.config.clients.wait_for_turn().await;
        for _ in 0..FRAMES_PER_TURN {
            if client.is_closing.get() {
                return Err(ConnectionEnd::ClosedByController);
            }
            match read.next_frame() {
                Ok(None) => return Ok(()),
                Ok(Some(frame)) => handle_frame(handle, client, frame, arrival),
                Err(why) => Err(why),
            }
            .map_err(|why| ConnectionEnd::Malformed(why.to_string()))?;
        }
        drop(turn);
        tokio::task::yield_now().await;
    }
}

/// Handles a frame. `Err`: the client violated the protocol.
fn handle_frame(
    handle: &Rc<ControllerHandle>,
    client: &Rc<Client>,
    frame: ReceivedFrame,
    arrival: &Arrival,
) -> Result<(), Malformed> {
    handle.config.clients.count_frame();
    client.last_active.set(Some(handle.clock.now()));
    client.partial_since.set(None);
    let frame = match frame {
        ReceivedFrame::Whole(frame) => frame,
        ReceivedFrame::Skipped { stream } => return reject_skipped_request(client, stream),
    };
    match frame {
        ClientFrame::Invoke { stream, payload } => {
            accept_invoke_frame(handle, client, stream, payload, arrival)?;
        }
        ClientFrame::ReadinessQuery { stream } => {
            let is_ready = !handle.config.clients.is_shutting_down();
            client.send(frames::encode_readiness(stream, is_ready), NO_DEADLINE);
        }
        ClientFrame::Cancel { stream } => {
            let id = client.open_streams.borrow().get(&stream).copied();
            id.into_iter()
                .for_each(|id| handle.update(|state| state.abandon_invocation(id)));
        }
    }
    Ok(())
}

/// Uses the stream of a request, which must be a new one.
fn use_stream(client: &Client, stream: u32) -> Result<(), Malformed> {
    if stream <= client.last_stream.get() {
        return Err(Malformed::Value {
            what: "stream",
            got: stream.to_string(),
            expected: "one above all before it is expected",
        });
    }
    client.last_stream.set(stream);
    Ok(())
}

/// Rejects a request that was received while its client held too much memory.
fn reject_skipped_request(client: &Client, stream: u32) -> Result<(), Malformed> {
    use_stream(client, stream)?;
    debug!(stream, "request rejected: memory limit reached");
    client.reject(stream);
    Ok(())
}

/// Handles a request, which needs a new stream. `Err`: the client violated the protocol.
fn accept_invoke_frame(
    handle: &Rc<ControllerHandle>,
    client: &Rc<Client>,
    stream: u32,
    payload: bytes::Bytes,
    arrival: &Arrival,
) -> Result<(), Malformed> {
    use_stream(client, stream)?;
    if client.open_streams.borrow().len() >= frames::OPEN_STREAMS_MAX {
        debug!(stream, "request rejected: too many open streams");
        client.reject(stream);
        return Ok(());
    }
    let admitted = frames::parse_request(payload)
        .map_err(AdmissionError::from)
        .and_then(|request| {
            handle.update(|state| admit(handle, state, client, stream, request, arrival))
        });
    if let Err(error) = admitted {
        let why = error.to_string();
        debug!(why, "invocation rejected");
        client.send(
            frames::encode_response(stream, Code::Errored, None, why.as_bytes()),
            NO_DEADLINE,
        );
    }
    // A client that connected after SIGTERM is asked to send nothing new only after its first request is admitted;
    // otherwise it would send this request elsewhere.
    if handle.config.clients.is_shutting_down() {
        client.send_go_away();
    }
    Ok(())
}
