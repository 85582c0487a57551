//! Connections of clients. A client that hangs up, breaks the protocol or reads too slowly harms nobody else.

use crate::native::calls;
use crate::native::reply::{Client, MAX_UNREAD_BYTES, NO_DEADLINE};
use crate::native::state::ControllerHandle;
use crate::shutdown::ShutdownPhase;
use saltdrum::interface::{InvocationId, Ticks};
use saltdrum_protocol::rpc::{self, Id};
use saltdrum_transport::{ArrivalClock, ArrivalReader, Listener, Stream, StreamHalf, split};
use std::rc::Rc;
use std::time::Duration;
use tracing::{debug, info, warn};

/// A client with this many invocations in flight is not read from.
const MAX_OPEN: usize = 20_000;
/// After a failed accept, most likely for want of descriptors, the next is tried after this long.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The notification by which a client is asked to use another controller.
const REDIRECT_NOTIFICATION: &str = r#"{"jsonrpc":"2.0","method":"going","params":{}}"#;

/// Accepts clients for as long as the controller lives.
pub(crate) async fn accept_clients(handle: Rc<ControllerHandle>, mut listener: Box<dyn Listener>) {
    let mut arrivals = ArrivalClock::new(handle.clock.now(), handle.clock, &handle.event_loop);
    loop {
        match arrivals.accept(&mut *listener).await {
            Ok(stream) => {
                let client = serve_client(handle.clone(), stream, arrivals.earliest_arrival());
                drop(tokio::task::spawn_local(client));
            }
            Err(error) => {
                warn!(%error, "accepting a client failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves one client, whose connection can have been open since `opened`.
async fn serve_client(handle: Rc<ControllerHandle>, stream: Stream, opened: Ticks) {
    let (input, mut output) = split(stream);
    let client = Client::new();
    let _unsent = handle.config.shutdown.track_unsent(&client.send_queue);
    let clock = handle.clock;
    let reader = ArrivalReader::opened_at(input, opened, clock, handle.event_loop.clone());
    let reason = tokio::select! {
        biased;
        reason = read_calls(&handle, &client, reader) => reason,
        done = client.send_queue.write_to(&mut output, || clock.now(), |_| ()) => match done {
            Ok(()) => "closed by this controller".to_owned(),
            Err(error) => error.to_string(),
        },
        () = redirect_on_shutdown(&handle, &client) => unreachable!("the handle outlives its clients"),
        () = client.overflowed.notified() => format!("more than {MAX_UNREAD_BYTES} bytes unread"),
    };
    let open: Vec<InvocationId> = client.open.borrow().iter().copied().collect();
    debug!(reason, open = open.len(), "client connection closed");
    for id in open {
        handle.update(|state| state.client_left(id));
    }
}

/// Asks the client to use another controller when this one shuts down. One that does not may stay; it is rejected later.
async fn redirect_on_shutdown(handle: &Rc<ControllerHandle>, client: &Rc<Client>) {
    let mut phases = handle.config.shutdown.subscribe();
    while phases.changed().await.is_ok() {
        let phase = *phases.borrow_and_update();
        if phase == ShutdownPhase::Redirecting {
            client.send(REDIRECT_NOTIFICATION.into(), NO_DEADLINE);
        }
    }
    std::future::pending().await
}

/// Reads lines until the client leaves; gives the reason.
async fn read_calls(
    handle: &Rc<ControllerHandle>,
    client: &Rc<Client>,
    mut reader: ArrivalReader<StreamHalf>,
) -> String {
    let mut searched = 0;
    loop {
        let earliest = match reader.read_more().await {
            Ok(Some(earliest)) => earliest,
            Ok(None) => return "closed by the client".into(),
            Err(error) => return error.to_string(),
        };
        while let Some(end) = reader.bytes[searched..]
            .iter()
            .position(|byte| *byte == b'\n')
        {
            let line = reader.bytes.split_to(searched + end + 1);
            searched = 0;
            let line = line.trim_ascii();
            if !line.is_empty() {
                calls::handle_line(handle, client, line, earliest);
            }
            while client.open.borrow().len() >= MAX_OPEN {
                client.response_given.notified().await;
            }
        }
        // Calls of clients must not delay answers of invokers: in a backlog the answers would look slow, and the policy would
        // take the controller's own lag for congestion of the fleet.
        tokio::task::yield_now().await;
        searched = reader.bytes.len();
        if searched > rpc::LINE_MOST_BYTES {
            reject_long_line(client);
            std::future::pending::<()>().await;
        }
    }
}

fn reject_long_line(client: &Client) {
    let reason = format!("line of over {} bytes", rpc::LINE_MOST_BYTES);
    client.send(
        rpc::error(&Id::null(), rpc::PARSE_ERROR, &reason, None),
        NO_DEADLINE,
    );
    client.send_queue.close();
    info!(reason, "client connection closed");
}
