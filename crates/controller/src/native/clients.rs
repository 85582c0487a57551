//! Client connections. A client that hangs up, violates the protocol or reads too slowly does not affect other clients.

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

/// Reading from a client is suspended while it has this many open invocations.
const MAX_OPEN_INVOCATIONS: usize = 20_000;
/// Delay after a failed accept, which is most likely caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The notification that asks a client to use another controller.
const REDIRECT_NOTIFICATION: &str = r#"{"jsonrpc":"2.0","method":"going","params":{}}"#;

/// Accepts clients for the lifetime of the controller.
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

/// Serves one client, whose connection was opened no earlier than `opened_at`.
async fn serve_client(handle: Rc<ControllerHandle>, stream: Stream, opened_at: Ticks) {
    let (input, mut output) = split(stream);
    let client = Client::new();
    let _unsent_guard = handle.config.shutdown.track_unsent(&client.send_queue);
    let clock = handle.clock;
    let reader = ArrivalReader::opened_at(input, opened_at, clock, handle.event_loop.clone());
    let reason = tokio::select! {
        biased;
        reason = read_calls(&handle, &client, reader) => reason,
        result = client.send_queue.write_to(&mut output, || clock.now(), |_| ()) => match result {
            Ok(()) => "closed by this controller".to_owned(),
            Err(error) => error.to_string(),
        },
        () = redirect_on_shutdown(&handle, &client) => unreachable!("the handle outlives its clients"),
        () = client.overflowed.notified() => format!("more than {MAX_UNREAD_BYTES} bytes unread"),
    };
    let open_invocations: Vec<InvocationId> =
        client.open_invocations.borrow().iter().copied().collect();
    debug!(
        reason,
        open = open_invocations.len(),
        "client connection closed"
    );
    for id in open_invocations {
        handle.update(|state| state.abandon_invocation(id));
    }
}

/// Asks the client to use another controller when this one shuts down. A client that stays connected has its invocations
/// rejected in the next phase.
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

/// Reads and handles lines until the connection ends. Returns the reason.
async fn read_calls(
    handle: &Rc<ControllerHandle>,
    client: &Rc<Client>,
    mut reader: ArrivalReader<StreamHalf>,
) -> String {
    let mut scanned_bytes = 0;
    loop {
        let earliest = match reader.read_more().await {
            Ok(Some(earliest)) => earliest,
            Ok(None) => return "closed by the client".into(),
            Err(error) => return error.to_string(),
        };
        while let Some(end) = reader.bytes[scanned_bytes..]
            .iter()
            .position(|byte| *byte == b'\n')
        {
            let line = reader.bytes.split_to(scanned_bytes + end + 1);
            scanned_bytes = 0;
            let line = line.trim_ascii();
            if !line.is_empty() {
                calls::handle_line(handle, client, line, earliest);
            }
            while client.open_invocations.borrow().len() >= MAX_OPEN_INVOCATIONS {
                client.invocation_finished.notified().await;
            }
        }
        // Client calls must not delay the handling of invoker answers: with a backlog the answers would look slow, and the
        // policy would mistake the controller's own lag for congestion of the fleet.
        tokio::task::yield_now().await;
        scanned_bytes = reader.bytes.len();
        if scanned_bytes > rpc::MAX_LINE_BYTES {
            reject_long_line(client);
            std::future::pending::<()>().await;
        }
    }
}

fn reject_long_line(client: &Client) {
    let reason = format!("line of over {} bytes", rpc::MAX_LINE_BYTES);
    client.send(
        rpc::format_error(&Id::null(), rpc::PARSE_ERROR, &reason, None),
        NO_DEADLINE,
    );
    client.send_queue.close();
    info!(reason, "client connection closed");
}
