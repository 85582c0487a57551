//! Answers calls that come as lines of JSON-RPC over a stream: for stewards, and for resources of fleet-wide tasks.

use crate::wire::{Envelope, LINE_MOST_BYTES, WRONG_FLEET_OR_VERSION, version_of};
use bytes::{Bytes, BytesMut};
use saltdrum::interface::{MILLISECOND, Ticks};
use saltdrum_protocol::rpc::{self, Call, Id, Line};
use saltdrum_transport::{Address, Clock, Half, Network, SendQueue, Stream, split};
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use std::rc::Rc;
use tokio::io::AsyncReadExt;
use tokio::task::JoinSet;
use tracing::{debug, info, warn};

/// What lies unread by a caller before it is cut off.
const UNREAD_MOST_BYTES: usize = 2 * LINE_MOST_BYTES;
/// Of one connection, answered side by side.
const OPEN_MOST: usize = 1_000;

/// A code and why.
pub type Refused = (i64, String);

/// Whoever answers calls.
pub trait CallHandler: 'static {
    /// The result as JSON, or a code and why not.
    fn answer(self: &Rc<Self>, call: &Call) -> impl Future<Output = Result<String, Refused>>;
}

/// Parameters that can't be.
pub fn invalid_params(why: impl ToString) -> Refused {
    (rpc::INVALID_PARAMS, why.to_string())
}

/// What was asked, if it was asked of this fleet in these messages.
pub fn read_params<T: DeserializeOwned>(call: &Call, fleet: &str) -> Result<T, Refused> {
    let said: Envelope<&RawValue> =
        serde_json::from_str(call.params.as_ref().map_or("{}", |p| p.get()))
            .map_err(invalid_params)?;
    let expected = version_of(&call.method);
    if said.speaks != expected {
        return Err((
            WRONG_FLEET_OR_VERSION,
            format!(
                "messages of version {}: {expected} is expected",
                said.speaks
            ),
        ));
    }
    if said.fleet != fleet {
        return Err((
            WRONG_FLEET_OR_VERSION,
            format!("fleet '{}': this belongs to '{fleet}'", said.fleet),
        ));
    }
    // Read where it lies: a whole fleet may be in it.
    serde_json::from_str(said.what.get()).map_err(invalid_params)
}

/// After a caller could not be taken in.
const ACCEPT_AGAIN: Ticks = 50 * MILLISECOND;

/// Answers whoever calls at an address, until it is dropped.
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
            Ok(stream) => drop(tokio::task::spawn_local(answer_caller(
                answers.clone(),
                stream,
            ))),
            Err(why) => {
                warn!(%why, "can't accept a caller");
                clock.sleep_until(clock.now() + ACCEPT_AGAIN).await;
            }
        }
    }
}

/// Answers one caller until it hangs up.
pub async fn answer_caller<A: CallHandler>(answers: Rc<A>, stream: Stream) {
    let (input, mut output) = split(stream);
    let outbox = SendQueue::new(UNREAD_MOST_BYTES);
    tokio::select! {
        biased;
        why = listen(&answers, &outbox, input) => debug!(why, "caller gone"),
        _ = outbox.write_to(&mut output, || 0, |_| ()) => {}
    }
}

fn put(outbox: &SendQueue, mut text: String) {
    text.push('\n');
    outbox.push(Bytes::from(text), Ticks::MAX);
}

/// One call of a line; `Err` is the answer to a line that is none.
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

async fn listen<A: CallHandler>(answers: &Rc<A>, outbox: &SendQueue, mut input: Half) -> String {
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
            while answering.len() >= OPEN_MOST {
                answering.join_next().await;
            }
            while answering.try_join_next().is_some() {}
            let (answers, outbox) = (answers.clone(), outbox.clone());
            answering.spawn_local(async move {
                let answered = answers.answer(&call).await;
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
        if searched > LINE_MOST_BYTES {
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
