//! JSON-RPC server, one message per line: for coordinators and for resources of fleet-wide tasks.

use crate::wire::{Envelope, MAX_LINE_BYTES, WRONG_FLEET_OR_VERSION, version_of};
use bytes::{Bytes, BytesMut};
use saltdrum::interface::{MILLISECOND, Ticks};
use saltdrum_protocol::rpc::{self, Call, Id, Line};
use saltdrum_transport::{Address, Clock, Network, SendQueue, Stream, StreamHalf, split};
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use std::rc::Rc;
use tokio::io::AsyncReadExt;
use tokio::task::JoinSet;
use tracing::{debug, info, warn};

/// Unread bytes of responses beyond which a connection is closed.
const MAX_UNREAD_BYTES: usize = 2 * MAX_LINE_BYTES;
/// Calls of one connection that are handled concurrently.
const MAX_CONCURRENT_CALLS: usize = 1_000;

/// A JSON-RPC error: its code and its message.
pub type RpcError = (i64, String);

/// Handles the calls that a server receives.
pub trait CallHandler: 'static {
    /// Returns the result as JSON, or an error.
    fn handle_call(self: &Rc<Self>, call: &Call) -> impl Future<Output = Result<String, RpcError>>;
}

/// The error for parameters that can't be read.
pub fn invalid_params(reason: impl ToString) -> RpcError {
    (rpc::INVALID_PARAMS, reason.to_string())
}

/// Reads the parameters of a call, if the call is meant for this fleet and has the expected version.
pub fn read_params<T: DeserializeOwned>(call: &Call, fleet: &str) -> Result<T, RpcError> {
    let envelope: Envelope<&RawValue> =
        serde_json::from_str(call.params.as_ref().map_or("{}", |p| p.get()))
            .map_err(invalid_params)?;
    let expected = version_of(&call.method);
    if envelope.version != expected {
        return Err((
            WRONG_FLEET_OR_VERSION,
            format!(
                "messages of version {}: {expected} is expected",
                envelope.version
            ),
        ));
    }
    if envelope.fleet != fleet {
        return Err((
            WRONG_FLEET_OR_VERSION,
            format!("fleet '{}': this belongs to '{fleet}'", envelope.fleet),
        ));
    }
    // Borrowed rather than copied: the parameters may contain a whole fleet.
    serde_json::from_str(envelope.params.get()).map_err(invalid_params)
}

/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Ticks = 50 * MILLISECOND;

/// Answers calls at an address until the future is dropped.
pub async fn serve<A: CallHandler>(
    handler: Rc<A>,
    network: Rc<dyn Network>,
    listen: &Address,
    clock: Clock,
) -> std::io::Result<()> {
    let (mut listener, at) = network.listen(listen).await?;
    info!(%at, "listening");
    loop {
        match listener.accept().await {
            Ok(stream) => drop(tokio::task::spawn_local(serve_connection(
                handler.clone(),
                stream,
            ))),
            Err(why) => {
                warn!(%why, "accept failed");
                clock.sleep_until(clock.now() + ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Answers the calls of one connection until it is closed.
pub async fn serve_connection<A: CallHandler>(handler: Rc<A>, stream: Stream) {
    let (input, mut output) = split(stream);
    let outbox = SendQueue::new(MAX_UNREAD_BYTES);
    tokio::select! {
        biased;
        why = read_calls(&handler, &outbox, input) => debug!(why, "connection closed"),
        _ = outbox.write_to(&mut output, || 0, |_| ()) => {}
    }
}

fn push_line(outbox: &SendQueue, mut text: String) {
    text.push('\n');
    outbox.push(Bytes::from(text), Ticks::MAX);
}

/// Reads the call in a line; the error is the response to a line that is not a valid call.
fn read_call(line: &[u8]) -> Result<Call, String> {
    match rpc::parse_line(line) {
        Ok(Line::Single(Ok(call))) => Ok(call),
        Ok(Line::Single(Err(r))) | Err(r) => Err(rpc::format_error(&r.id, r.code, &r.why, None)),
        Ok(Line::Batch(_)) => Err(rpc::format_error(
            &Id::null(),
            rpc::INVALID_REQUEST,
            "batches are not taken here",
            None,
        )),
    }
}

/// Reads and handles calls until the connection is closed. Returns the reason.
async fn read_calls<A: CallHandler>(
    handler: &Rc<A>,
    outbox: &SendQueue,
    mut input: StreamHalf,
) -> String {
    // The first `scanned` bytes of the buffer have no line break.
    let (mut buffer, mut scanned) = (BytesMut::new(), 0);
    let mut calls: JoinSet<()> = JoinSet::new();
    loop {
        while let Some(end) = buffer[scanned..].iter().position(|b| *b == b'\n') {
            let line = buffer.split_to(scanned + end + 1);
            scanned = 0;
            if line.trim_ascii().is_empty() {
                continue;
            }
            let call = match read_call(line.trim_ascii()) {
                Ok(call) => call,
                Err(response) => {
                    push_line(outbox, response);
                    continue;
                }
            };
            while calls.len() >= MAX_CONCURRENT_CALLS {
                calls.join_next().await;
            }
            while calls.try_join_next().is_some() {}
            let (handler, outbox) = (handler.clone(), outbox.clone());
            calls.spawn_local(async move {
                let result = handler.handle_call(&call).await;
                let Some(id) = &call.id else { return };
                push_line(
                    &outbox,
                    match result {
                        Ok(result) => rpc::format_result(id, &result),
                        Err((code, message)) => rpc::format_error(id, code, &message, None),
                    },
                );
            });
        }
        scanned = buffer.len();
        if scanned > MAX_LINE_BYTES {
            push_line(
                outbox,
                rpc::format_error(&Id::null(), rpc::PARSE_ERROR, "line too long", None),
            );
            return "line too long".into();
        }
        match input.read_buf(&mut buffer).await {
            Ok(0) => return "closed by the peer".into(),
            Ok(_) => {}
            Err(e) => return e.to_string(),
        }
    }
}
