//! One client's connection, from accept to close.
//!
//! Before a connection is closed by us, all that lies in the machine is read and answered: what can't be taken any more is
//! refused, with when to come back. A client that is closed for being idle hears so first (type 48) and has a moment in
//! which whatever it had sent meanwhile still arrives.

use crate::admission::{AdmissionError, Arrival, admit};
use crate::clients::{Client, CloseReason, Entry, NO_DEADLINE};
use crate::state::ControllerHandle;
use saltdrum::interface::{InvocationId, Ticks};
use saltdrum_platform_wire::Malformed;
use saltdrum_platform_wire::frames::{self, ClientFrame, Code};
use saltdrum_transport::{ArrivalReader, ReadBacklog, Stream, StreamHalf, split};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tracing::{debug, info};

/// For what was sent before its client heard that the connection ends.
const CLOSE_LINGER: Duration = Duration::from_millis(60);
/// For the last words to a client whose connection ends, and for it to have read them.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Who is turned away has so long to say what it came for.
const REJECTED_LINGER: Duration = Duration::from_millis(200);
/// What of a client is read and answered, and what is read and thrown away after, while its connection ends: bytes that
/// lie unread at a close make the kernel reset it, and a reset destroys the answers that are still on their way.
const FINAL_READ_BYTES_MAX: usize = 1 << 20;
const DISCARDED_BYTES_MAX: usize = 256 << 10;

/// Why a connection ends.
enum ConnectionEnd {
    /// The client has closed it, or it broke.
    Left,
    /// We close it.
    Closed,
    /// Nothing more of it can be believed.
    Malformed(String),
}

/// Serves one client, whose connection can have been open since `opened`, until its end.
pub(crate) async fn serve_connection(
    handle: Rc<ControllerHandle>,
    stream: Stream,
    opened: Ticks,
    entry: Entry,
) {
    let (input, mut output) = split(stream);
    let mut last = output.clone();
    let clock = handle.clock;
    let client = Rc::new(Client::new(clock.now()));
    let clients = &handle.config.clients;
    let number = clients.enter(&client);
    let mut read = ArrivalReader::opened_at(input, opened, clock, handle.event_loop.clone());
    {
        let write = client.outbox.write_to(&mut output, || clock.now(), |_| ());
        let mut write = std::pin::pin!(write);
        let mut wrote = None;
        if entry == Entry::Rejected {
            client.cut_off(CloseReason::Rejected);
        }
        let end = tokio::select! {
            // Before it reads: what comes in the turn in which a connection was chosen to end is not taken, as its client
            // may bring it again on a new one.
            biased;
            () = client.cut.notified() => ConnectionEnd::Closed,
            end = listen(&handle, &client, &mut read) => end,
            done = &mut write => { wrote = Some(done); ConnectionEnd::Left }
        };
        // First of all: nothing more is sent on for who has left, however long its last words take.
        client.closing.set(true);
        log_close(number, &client, &end);
        let linger = match entry {
            Entry::Rejected => REJECTED_LINGER,
            Entry::Served if client.active.get().is_some() => CLOSE_LINGER,
            // Silence ends in silence.
            Entry::Served => Duration::ZERO,
        };
        let last_words = async {
            let settled = settle(&handle, &client, &mut read, &end, linger);
            if wrote.is_none() {
                // A writer that has ended is not asked again.
                let mut settled = std::pin::pin!(settled);
                tokio::select! {
                    biased;
                    () = &mut settled => {}
                    done = &mut write => { wrote = Some(done); settled.await; }
                }
            } else {
                settled.await;
            }
            // What was answered before goes out too, and has a moment to arrive.
            client.outbox.close();
            let written = async {
                let done = match wrote.take() {
                    Some(done) => done,
                    None => (&mut write).await,
                };
                if let Err(e) = done {
                    return debug!(%e, "client connection lost");
                }
                if client.active.get().is_some() || matches!(end, ConnectionEnd::Malformed(_)) {
                    farewell(&mut last, &mut read).await;
                }
            };
            let _ = tokio::time::timeout(CLOSE_TIMEOUT, written).await;
            true
        };
        let hurried = async {
            while !client.hurried.get() {
                client.cut.notified().await;
            }
            false
        };
        let is_over = tokio::select! {
            biased;
            is_over = last_words => is_over,
            is_over = hurried => is_over,
        };
        if !is_over && wrote.is_none() && !client.outbox.is_closed() {
            reject_buffered_frames(&handle, &client, &mut read).await;
            client.outbox.close();
            // As far as the machine takes it at once.
            tokio::select! {
                biased;
                _ = &mut write => {}
                () = std::future::ready(()) => {}
            }
        }
    }
    clients.remove(number);
}

/// Says why a connection ends, and what was open on it.
fn log_close(number: u64, client: &Client, end: &ConnectionEnd) {
    let open = client.open.borrow().len();
    match end {
        ConnectionEnd::Left => debug!(
            number,
            open,
            reason = "closed by the client",
            "client connection closed"
        ),
        ConnectionEnd::Closed => {
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

/// Ends what is open on a connection that ends, and answers what still comes for so long on one that we close.
async fn settle(
    handle: &Rc<ControllerHandle>,
    client: &Rc<Client>,
    read: &mut ArrivalReader<StreamHalf>,
    end: &ConnectionEnd,
    linger: Duration,
) {
    let open: Vec<InvocationId> = client.open.borrow().values().copied().collect();
    match end {
        ConnectionEnd::Left => open
            .into_iter()
            .for_each(|id| handle.update(|state| state.client_left(id))),
        ConnectionEnd::Malformed(why) => {
            open.into_iter()
                .for_each(|id| handle.update(|state| state.end_invocation(id)));
            client.put(
                frames::encode_response(0, Code::Errored, None, why.as_bytes()),
                NO_DEADLINE,
            );
        }
        ConnectionEnd::Closed => {
            open.into_iter()
                .for_each(|id| handle.update(|state| state.end_invocation(id)));
            if !linger.is_zero() {
                client.send_go_away();
                // Its end is heard of in time, or it is not waited for any more.
                let _ =
                    tokio::time::timeout(linger, reject_until_closed(handle, client, read)).await;
            }
            reject_buffered_frames(handle, client, read).await;
            if client.partial_since.get().is_some() {
                client.put(
                    frames::encode_response(0, Code::Errored, None, b"a frame that does not end"),
                    NO_DEADLINE,
                );
            }
        }
    }
}

/// Refuses whatever comes, until the client has closed its side.
async fn reject_until_closed(
    handle: &Rc<ControllerHandle>,
    client: &Rc<Client>,
    read: &mut ArrivalReader<StreamHalf>,
) {
    loop {
        reject_frames(handle, client, read);
        match read.read_more().await {
            Ok(Some(_)) => {}
            Ok(None) | Err(_) => return,
        }
    }
}

/// Reads what lies in the machine and refuses it.
async fn reject_buffered_frames(
    handle: &Rc<ControllerHandle>,
    client: &Rc<Client>,
    read: &mut ArrivalReader<StreamHalf>,
) {
    // The machine is asked what has come before this goes on.
    tokio::task::yield_now().await;
    read.read_available(FINAL_READ_BYTES_MAX);
    reject_frames(handle, client, read);
}

/// Answers all whole frames that were read, and takes nothing.
fn reject_frames(
    handle: &Rc<ControllerHandle>,
    client: &Rc<Client>,
    read: &mut ArrivalReader<StreamHalf>,
) {
    while let Ok(Some(frame)) = frames::decode(&mut read.bytes) {
        client.active.set(Some(handle.clock.now()));
        client.partial_since.set(None);
        match frame {
            ClientFrame::Invoke { stream, .. } => {
                debug!(stream, reason = ?client.close_reason.get(), "request rejected: connection closing");
                client.refuse(stream);
            }
            ClientFrame::ReadinessQuery { stream } => {
                client.put(frames::encode_readiness(stream, false), NO_DEADLINE)
            }
            ClientFrame::Cancel { .. } => {}
        }
    }
}

/// Says that nothing more comes, and waits until the client has ended the connection too: then it has read all.
async fn farewell(last: &mut StreamHalf, read: &mut ArrivalReader<StreamHalf>) {
    if last.shutdown().await.is_err() {
        return;
    }
    let mut discarded = read.bytes.len();
    while discarded < DISCARDED_BYTES_MAX {
        read.bytes.clear();
        match read.read_more().await {
            Ok(Some(_)) => discarded += read.bytes.len(),
            Ok(None) | Err(_) => return,
        }
    }
}

/// Reads frames until the connection ends, and says why it does.
async fn listen(
    handle: &Rc<ControllerHandle>,
    client: &Rc<Client>,
    read: &mut ArrivalReader<StreamHalf>,
) -> ConnectionEnd {
    let backlog = read.backlog();
    loop {
        let earliest = match read.read_more().await {
            Ok(Some(earliest)) => earliest,
            Ok(None) | Err(_) => return ConnectionEnd::Left,
        };
        loop {
            if client.closing.get() {
                return ConnectionEnd::Closed;
            }
            let frame = match frames::decode(&mut read.bytes) {
                Ok(None) => break,
                Ok(Some(frame)) => frame,
                Err(why) => return ConnectionEnd::Malformed(why.to_string()),
            };
            handle.config.clients.count_frame();
            client.active.set(Some(handle.clock.now()));
            client.partial_since.set(None);
            let heard = match frame {
                ClientFrame::Invoke { stream, payload } => {
                    accept_invoke_frame(handle, client, stream, payload, earliest, &backlog)
                }
                ClientFrame::ReadinessQuery { stream } => {
                    let is_ready = !handle.config.clients.are_ending();
                    client.put(frames::encode_readiness(stream, is_ready), NO_DEADLINE);
                    Ok(())
                }
                ClientFrame::Cancel { stream } => {
                    let id = client.open.borrow().get(&stream).copied();
                    id.into_iter()
                        .for_each(|id| handle.update(|state| state.client_left(id)));
                    Ok(())
                }
            };
            if let Err(why) = heard {
                return ConnectionEnd::Malformed(why.to_string());
            }
        }
        if read.bytes.is_empty() {
            client.partial_since.set(None);
        } else if client.partial_since.get().is_none() {
            client.partial_since.set(Some(handle.clock.now()));
        }
        // What clients ask for must not hold up what invokers answer: in a backlog the answers would look slow, and the
        // module would take the controller's own lag for a jam of the fleet.
        tokio::task::yield_now().await;
    }
}

/// A request on a stream of its own. `Err`: nothing more of this connection can be believed.
fn accept_invoke_frame(
    handle: &Rc<ControllerHandle>,
    client: &Rc<Client>,
    stream: u32,
    payload: bytes::Bytes,
    earliest: Ticks,
    backlog: &ReadBacklog,
) -> Result<(), Malformed> {
    if stream <= client.last_stream.get() {
        return Err(Malformed::Value {
            what: "stream",
            got: stream.to_string(),
            expected: "one above all before it is expected",
        });
    }
    client.last_stream.set(stream);
    if client.open.borrow().len() >= frames::OPEN_STREAMS_MAX {
        debug!(stream, "request rejected: too many open streams");
        client.refuse(stream);
        return Ok(());
    }
    let taken = frames::parse_request(payload)
        .map_err(AdmissionError::from)
        .and_then(|request| {
            let arrival = Arrival { earliest, backlog };
            handle.update(|state| admit(handle, state, client, stream, request, &arrival))
        });
    if let Err(error) = taken {
        let why = error.to_string();
        debug!(why, "invocation rejected");
        client.put(
            frames::encode_response(stream, Code::Errored, None, why.as_bytes()),
            NO_DEADLINE,
        );
    }
    // Who came after SIGTERM came for this one: it hears so only now, or it would take it elsewhere.
    if handle.config.clients.are_ending() {
        client.send_go_away();
    }
    Ok(())
}
