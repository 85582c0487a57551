//! Answers calls that come as lines of JSON-RPC over a stream: for coordinators, and for resources of fleet-wide tasks.

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

/// Unread bytes of answers beyond which a connection is closed.
const UNREAD_MOST_BYTES: usize = 2 * MAX_LINE_BYTES;
/// Calls of one connection that are answered concurrently.
const CONCURRENT_CALLS_MOST: usize = 1_000;

/// An error of JSON-RPC: its code and its message.
pub type RpcError = (i64, String);

/// Answers calls.
pub trait CallHandler: 'static {
    /// The result as JSON, or an error.
    fn handle_call(self: &Rc<Self>, call: &Call) -> impl Future<Output = Result<String, RpcError>>;
}

/// The error for parameters that can't be.
pub fn invalid_params(why: impl ToString) -> RpcError {
    (rpc::INVALID_PARAMS, why.to_string())
}

/// Reads the parameters of a call, if it is meant for this fleet and of the same version.
pub fn read_params<T: DeserializeOwned>(call: &Call, fleet: &str) -> Result<T, RpcError> {
    let said: Envelope<&RawValue> =
        serde_json::from_str(call.params.as_ref().map_or("{}", |p| p.get()))
            .map_err(invalid_params)?;
    let expected = version_of(&call.method);
    if said.version != expected {
        return Err((
            WRONG_FLEET_OR_VERSION,
            format!(
                "messages of version {}: {expected} is expected",
                said.version
            ),
        ));
    }
    if said.fleet != fleet {
        return Err((
            WRONG_FLEET_OR_VERSION,
            format!("fleet '{}': this belongs to '{fleet}'", said.fleet),
        ));
    }
    // Borrowed, not copied: a whole fleet may be in it.
    serde_json::from_str(said.params.get()).map_err(invalid_params)
}

/// Delay after an accept has failed.
const ACCEPT_RETRY_DELAY: Ticks = 50 * MILLISECOND;

/// Answers calls at an address until the future is dropped.
pub async fn serve<A: CallHandler>(
    answers: Rc<A>,
    network: Rc<dyn Network>,
    listen: &Address,
    clock: Clock,
) -> std::io::Result<()> {
    let (mut door, at) = network.listen(listen).await?;
    info!(%at, "listening");
    loop {
        match door.accept().await {
            Ok(stream) => drop(tokio::task::spawn_local(serve_connection(
                answers.clone(),
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
pub async fn serve_connection<A: CallHandler>(answers: Rc<A>, stream: Stream) {
    let (input, mut output) = split(stream);
    let outbox = SendQueue::new(UNREAD_MOST_BYTES);
    tokio::select! {
        biased;
        why = listen(&answers, &outbox, input) => debug!(why, "connection closed"),
        _ = outbox.write_to(&mut output, || 0, |_| ()) => {}
    }
}

fn put(outbox: &SendQueue, mut text: String) {
    text.push('\n');
    outbox.push(Bytes::from(text), Ticks::MAX);
}

/// The call of a line; the error is the answer to a line that is no call.
fn read_call(line: &[u8]) -> Result<Call, String> {
    match rpc::read(line) {
        Ok(Line::Single(Ok(call))) => Ok(call),
        Ok(Line::Single(Err(r))) | Err(r) => Err(rpc::error(&r.id, r.code, &r.why, None)),
        Ok(Line::Batch(_)) => Err(rpc::error(
            &Id::null(),
            rpc::INVALID_REQUEST,
            "batches are not taken here",
            None,
        )),
    }
}

async fn listen<A: CallHandler>(
    answers: &Rc<A>,
    outbox: &SendQueue,
    mut input: StreamHalf,
) -> String {
    let (mut read, mut searched) = (BytesMut::new(), 0);
    let mut answering: JoinSet<()> = JoinSet::new();
    loop {
        while let Some(end) = read[searched..].iter().position(|b| *b == b'\n') {
            let line = read.split_to(searched + end + 1);
            searched = 0;
            if line.trim_ascii().is_empty() {
                continue;
            }
            let call = match read_call(line.trim_ascii()) {
                Ok(call) => call,
                Err(answer) => {
                    put(outbox, answer);
                    continue;
                }
            };
            while answering.len() >= CONCURRENT_CALLS_MOST {
                answering.join_next().await;
            }
            while answering.try_join_next().is_some() {}
            let (answers, outbox) = (answers.clone(), outbox.clone());
            answering.spawn_local(async move {
                let answered = answers.handle_call(&call).await;
                let Some(id) = &call.id else { return };
                put(
                    &outbox,
                    match answered {
                        Ok(result) => rpc::result(id, &result),
                        Err((code, why)) => rpc::error(id, code, &why, None),
                    },
                );
            });
        }
        searched = read.len();
        if searched > MAX_LINE_BYTES {
            put(
                outbox,
                rpc::error(&Id::null(), rpc::PARSE_ERROR, "line too long", None),
            );
            return "line too long".into();
        }
        match input.read_buf(&mut read).await {
            Ok(0) => return "hung up".into(),
            Ok(_) => {}
            Err(e) => return e.to_string(),
        }
    }
}
