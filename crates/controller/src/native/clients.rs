//! Clients: JSON-RPC by lines. A client that hangs up, lies or reads too slowly suffers alone.

use crate::native::server::{self, ControllerHandle};
use crate::shutdown::ShutdownPhase;
use bytes::Bytes;
use saltdrum::interface::{InvocationId, Ticks};
use saltdrum_protocol::rpc::{self, Call, Id, Line};
use saltdrum_transport::{ArrivalClock, ArrivalReader, Clock, Listener, SendQueue, Stream, split};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::sync::Notify;
use tracing::{debug, info, warn};

/// Answers that a client lets lie are bounded; it is cut off when they are more.
const ANSWERS_MOST_BYTES: usize = 8 << 20;
/// No more is read from a client that has so many invocations in flight.
const OPEN_MOST: usize = 20_000;
/// Answers that belong to no invocation need not leave by a certain time.
const ANY_TIME: Ticks = Ticks::MAX;

struct Client {
    outbox: SendQueue,
    open: RefCell<BTreeSet<InvocationId>>,
    fewer: Notify,
    cut: Notify,
}

impl Client {
    fn put(&self, mut text: String, until: Ticks) {
        text.push('\n');
        if self.outbox.push(Bytes::from(text), until).is_none() {
            self.cut.notify_one();
        }
    }
}

/// Answers to a batch go together; those who wait least decide for all (`docs/design-controller.md`).
#[derive(Default)]
struct Batch {
    owed: usize,
    parts: Vec<String>,
    until: Ticks,
}

/// Where the one answer to a call goes.
pub(crate) struct Reply {
    client: Rc<Client>,
    /// `None` for a notification: nobody is told.
    id: Option<Id>,
    batch: Option<Rc<RefCell<Batch>>>,
}

impl Reply {
    pub fn opened(&mut self, id: InvocationId) {
        self.client.open.borrow_mut().insert(id);
    }

    fn put(self, text: impl FnOnce(&Id) -> String, until: Ticks) {
        let text = self.id.as_ref().map(text);
        match self.batch {
            None => {
                if let Some(text) = text {
                    self.client.put(text, until);
                }
            }
            Some(batch) => {
                let mut b = batch.borrow_mut();
                b.owed -= 1;
                b.parts.extend(text);
                b.until = b.until.min(until);
                if b.owed == 0 && !b.parts.is_empty() {
                    self.client.put(format!("[{}]", b.parts.join(",")), b.until);
                }
            }
        }
    }

    fn closed(&self, id: InvocationId) {
        self.client.open.borrow_mut().remove(&id);
        self.client.fewer.notify_one();
    }

    pub fn result(self, id: InvocationId, result: &str, until: Ticks) {
        self.closed(id);
        self.put(|id| rpc::result(id, result), until);
    }

    pub fn error(self, id: InvocationId, code: i64, why: &str, data: Option<&str>, until: Ticks) {
        self.closed(id);
        self.put(|id| rpc::error(id, code, why, data), until);
    }

    /// Nothing is sent: the client waits no more.
    pub fn drop_out(self, id: InvocationId) {
        self.closed(id);
        self.forget();
    }

    /// As `drop_out`, for a call that was never taken. The rest of its batch is still owed.
    pub fn forget(mut self) {
        self.id = None;
        self.put(|_| String::new(), ANY_TIME);
    }

    /// A call that was not taken.
    pub fn refuse(self, code: i64, why: &str) {
        self.put(|id| rpc::error(id, code, why, None), ANY_TIME);
    }
}

/// Takes in clients for as long as the controller lives.
pub(crate) async fn receive(handle: Rc<ControllerHandle>, mut door: Box<dyn Listener>) {
    let mut arrivals = ArrivalClock::new(handle.clock.now(), handle.clock, &handle.event_loop);
    loop {
        match arrivals.accept(&mut *door).await {
            Ok(stream) => {
                drop(tokio::task::spawn_local(attend(
                    handle.clone(),
                    stream,
                    arrivals.earliest(),
                )));
            }
            Err(e) => {
                // Out of descriptors, most likely: those in hand go on.
                warn!(%e, "can't accept a client");
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    }
}

/// Attends to one client, whose connection can have been open since `opened`.
async fn attend(handle: Rc<ControllerHandle>, stream: Stream, opened: Ticks) {
    let (input, mut output) = split(stream);
    let client = Rc::new(Client {
        outbox: SendQueue::new(ANSWERS_MOST_BYTES),
        open: RefCell::default(),
        fewer: Notify::new(),
        cut: Notify::new(),
    });
    let _sends = handle.config.shutdown.track_unsent(&client.outbox);
    let clock: Clock = handle.clock;
    let read = ArrivalReader::opened_at(input, opened, clock, handle.event_loop.clone());
    let why = tokio::select! {
        biased;
        why = listen(&handle, &client, read) => why,
        done = client.outbox.write_to(&mut output, || clock.now(), |_| ()) => match done {
            Ok(()) => "said goodbye".to_owned(),
            Err(e) => e.to_string(),
        },
        () = led_away(&handle, &client) => unreachable!("a handle outlives its clients"),
        () = client.cut.notified() => format!("more than {ANSWERS_MOST_BYTES} bytes of answers lie unread"),
    };
    let open: Vec<InvocationId> = client.open.borrow().iter().copied().collect();
    debug!(why, open = open.len(), "client gone");
    for id in open {
        handle.update(|state| state.client_left(id));
    }
}

/// Tells the client when this controller goes. One that does not understand it may stay; it is throttled later.
async fn led_away(handle: &Rc<ControllerHandle>, client: &Rc<Client>) {
    let mut steps = handle.config.shutdown.subscribe();
    while steps.changed().await.is_ok() {
        let step = *steps.borrow_and_update();
        if step == ShutdownPhase::Redirecting {
            client.put(
                r#"{"jsonrpc":"2.0","method":"going","params":{}}"#.into(),
                ANY_TIME,
            );
        }
    }
    std::future::pending().await
}

/// Reads lines until the client leaves, and says why it did.
async fn listen(
    handle: &Rc<ControllerHandle>,
    client: &Rc<Client>,
    mut read: ArrivalReader<saltdrum_transport::Half>,
) -> String {
    let mut searched = 0;
    loop {
        let earliest = match read.read_more().await {
            Ok(Some(earliest)) => earliest,
            Ok(None) => return "hung up".into(),
            Err(e) => return e.to_string(),
        };
        while let Some(end) = read.bytes[searched..].iter().position(|b| *b == b'\n') {
            let line = read.bytes.split_to(searched + end + 1);
            searched = 0;
            if !line.trim_ascii().is_empty() {
                heard(handle, client, line.trim_ascii(), earliest);
            }
            while client.open.borrow().len() >= OPEN_MOST {
                client.fewer.notified().await;
            }
        }
        // What clients ask for must not hold up what invokers answer: in a backlog the answers would look slow, and the
        // policy would take the controller's own lag for a jam of the fleet.
        tokio::task::yield_now().await;
        searched = read.bytes.len();
        if searched > rpc::LINE_MOST_BYTES {
            let why = format!("line of over {} bytes", rpc::LINE_MOST_BYTES);
            client.put(
                rpc::error(&Id::null(), rpc::PARSE_ERROR, &why, None),
                ANY_TIME,
            );
            client.outbox.close();
            info!(why, "client cut off");
            std::future::pending::<()>().await;
        }
    }
}

fn heard(handle: &Rc<ControllerHandle>, client: &Rc<Client>, line: &[u8], earliest: Ticks) {
    match rpc::read(line) {
        Err(r) => client.put(rpc::error(&r.id, r.code, &r.why, None), ANY_TIME),
        Ok(Line::Single(part)) => answer(handle, client, part, None, None, earliest),
        Ok(Line::Batch(parts)) => {
            let batch = Batch {
                owed: parts.len(),
                until: ANY_TIME,
                ..Default::default()
            };
            let batch = Rc::new(RefCell::new(batch));
            let waits = parts.iter().flatten().filter_map(least_wait);
            let least = waits
                .min_by(f64::total_cmp)
                .map(|ms| (ms * 10.0).max(0.0) as Ticks);
            for part in parts {
                answer(handle, client, part, Some(batch.clone()), least, earliest);
            }
        }
    }
}

fn least_wait(call: &Call) -> Option<f64> {
    serde_json::from_str::<rpc::Invoke>(call.params.as_ref()?.get())
        .ok()?
        .time_left_ms
}

fn answer(
    handle: &Rc<ControllerHandle>,
    client: &Rc<Client>,
    part: Result<Call, rpc::Refusal>,
    batch: Option<Rc<RefCell<Batch>>>,
    least_left: Option<Ticks>,
    earliest: Ticks,
) {
    let call = match part {
        Ok(call) => call,
        Err(r) => {
            return Reply {
                client: client.clone(),
                id: Some(r.id),
                batch,
            }
            .refuse(r.code, &r.why);
        }
    };
    let reply = Reply {
        client: client.clone(),
        id: call.id,
        batch,
    };
    match call.method.as_str() {
        "invoke" => {
            let params = call.params.as_ref().map_or("{}", |p| p.get());
            match serde_json::from_str::<rpc::Invoke>(params) {
                Ok(_) if handle.config.shutdown.phase() == ShutdownPhase::Rejecting => {
                    // Never taken, so it certainly never ran.
                    let data = r#"{"come_back_ms":0,"dispatches":0,"going":true}"#;
                    reply.put(
                        |id| rpc::error(id, rpc::THROTTLED, "this controller is going", Some(data)),
                        ANY_TIME,
                    );
                }
                Ok(invoke) => handle
                    .update(|state| server::invoke(state, invoke, least_left, earliest, reply)),
                Err(e) => reply.refuse(rpc::INVALID_PARAMS, &e.to_string()),
            }
        }
        "status" => {
            let status = server::status(handle);
            reply.put(|id| rpc::result(id, &status), ANY_TIME);
        }
        other => reply.refuse(
            rpc::METHOD_NOT_FOUND,
            &format!("method '{other}': invoke or status is expected"),
        ),
    }
}
