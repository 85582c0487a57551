//! Clients that wait for responses, hang up, read slowly and retry as the script says.

use crate::script::Day;
use crate::traffic::Arrival;
use bytes::{Bytes, BytesMut};
use saltdrum::interface::{Effect, MILLISECOND, Ticks};
use saltdrum_fakes::record::{ClientAttempt, ControllerId, Line, Outcome, Record};
use saltdrum_load::retry::{AttemptOutcome, RetryDecision, RetryPolicy};
use saltdrum_protocol::rpc;
use saltdrum_transport::{
    Address, ArrivalReader, Clock, EventLoopClock, Network, SendQueue, split,
};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::oneshot;

/// Senders for the responses in flight, by request id; dropped when the connection closes first.
type PendingResponses = Rc<RefCell<BTreeMap<u64, oneshot::Sender<Response>>>>;

#[derive(Clone)]
struct Response {
    how: Outcome,
    retry_after: Ticks,
    /// The version with which the passage continues.
    pinned: Option<PinnedVersion>,
    /// Whether the controller ended the passage.
    passage_ended: bool,
}

/// A version and the time until which it is pinned, which the client returns with its next invocation.
#[derive(Clone)]
struct PinnedVersion {
    version: String,
    until_ms: u64,
}

/// A passage, that is a sequence of invocations on one model version, as its client sees it.
#[derive(Default)]
struct Passage {
    name: String,
    pinned: Option<PinnedVersion>,
    ended: bool,
}

/// A connection to one incarnation of a controller.
#[derive(Clone)]
struct Connection {
    who: ControllerId,
    outbox: SendQueue,
    pending: PendingResponses,
    open: Rc<Cell<bool>>,
}

pub(crate) struct Clients {
    pub day: Rc<Day>,
    pub network: Rc<dyn Network>,
    pub clock: Clock,
    pub event_loop_clock: EventLoopClock,
    pub record: Record,
    /// Client endpoints of the controllers: incarnation, address and whether new attempts are sent there.
    pub endpoints: RefCell<Vec<(ControllerId, Address, bool)>>,
    connections: RefCell<BTreeMap<(u32, u32), Connection>>,
    endpoint_cursor: Cell<usize>,
    /// Number of passages in progress.
    pub active_passages: Cell<usize>,
}

/// Pause between the invocations of a passage.
const PASSAGE_PAUSE: Duration = Duration::from_millis(150);

fn request_id(of: ClientAttempt) -> u64 {
    of.number * 16 + u64::from(of.attempt)
}

impl Clients {
    pub fn new(
        day: Rc<Day>,
        network: Rc<dyn Network>,
        clock: Clock,
        event_loop_clock: EventLoopClock,
        record: Record,
    ) -> Rc<Self> {
        let (endpoints, connections, endpoint_cursor, active_passages) = Default::default();
        Rc::new(Self {
            day,
            network,
            clock,
            event_loop_clock,
            record,
            endpoints,
            connections,
            endpoint_cursor,
            active_passages,
        })
    }

    fn next_endpoint(&self) -> Option<(ControllerId, Address)> {
        let endpoints = self.endpoints.borrow();
        for _ in 0..endpoints.len() {
            self.endpoint_cursor.set(self.endpoint_cursor.get() + 1);
            let (who, address, open) = &endpoints[self.endpoint_cursor.get() % endpoints.len()];
            if *open {
                return Some((*who, address.clone()));
            }
        }
        None
    }

    /// Sends one invocation with all its attempts; on a day with model versions, a passage of several invocations in sequence.
    pub async fn invoke(self: Rc<Self>, number: u64, arrival: Arrival) {
        if self.day.versions == 0 {
            return self.invoke_once(number, &arrival, None).await;
        }
        self.active_passages.set(self.active_passages.get() + 1);
        let mut passage = Passage {
            name: format!("{number}"),
            ..Default::default()
        };
        for step in 0..u64::from(self.day.passage) {
            if step > 0 {
                tokio::time::sleep(PASSAGE_PAUSE).await;
            }
            self.invoke_once(number * 1_000 + step, &arrival, Some(&mut passage))
                .await;
            if passage.ended {
                break;
            }
        }
        self.active_passages.set(self.active_passages.get() - 1);
    }

    async fn invoke_once(
        self: &Rc<Self>,
        number: u64,
        arrival: &Arrival,
        mut passage: Option<&mut Passage>,
    ) {
        let terms = &self.day.terms;
        let function = &terms.functions[&arrival.function];
        let stated = &terms.deployment.trigger_types[function.trigger];
        let first = self.clock.now();
        let retry_policy = RetryPolicy {
            retries: self.day.retries,
            backoff: self.day.backoff,
        };
        for attempt in 0.. {
            let of = ClientAttempt { number, attempt };
            let mut rng = fastrand::Rng::with_seed(self.day.seed ^ request_id(of));
            let end = match self
                .send_attempt(of, arrival, stated.client_timeout, passage.as_deref())
                .await
            {
                Err(()) => AttemptOutcome::Unsent,
                Ok(None) => {
                    // Without a response the client cannot know which version ran, so it starts a new passage under another name.
                    if let Some(passage) = passage
                        .as_deref_mut()
                        .filter(|passage| passage.pinned.is_none())
                    {
                        passage.name += "'";
                    }
                    AttemptOutcome::Unknown
                }
                Ok(Some(response)) => {
                    if let Some(passage) = passage.as_deref_mut() {
                        passage.ended |= response.passage_ended;
                        if self.day.hands_back {
                            passage.pinned = response.pinned.or(passage.pinned.take());
                        }
                        if passage.ended {
                            return;
                        }
                    }
                    match response.how {
                        Outcome::Succeeded => AttemptOutcome::Succeeded,
                        Outcome::Throttled => AttemptOutcome::Throttled(response.retry_after),
                        Outcome::Errored => AttemptOutcome::Errored,
                    }
                }
            };
            match retry_policy.decide(stated, attempt, self.clock.now() - first, end, rng.f64()) {
                RetryDecision::Stop => return,
                RetryDecision::RetryAfter(wait) => {
                    tokio::time::sleep(Duration::from_micros(wait * 100)).await
                }
            }
        }
    }

    /// Sends one attempt and waits for its response. Returns `Err` if nothing was sent, and `None` if it was sent without a
    /// response in time.
    async fn send_attempt(
        self: &Rc<Self>,
        of: ClientAttempt,
        arrival: &Arrival,
        timeout: Ticks,
        passage: Option<&Passage>,
    ) -> Result<Option<Response>, ()> {
        let (who, address) = self.next_endpoint().ok_or(())?;
        let needs_own_connection = arrival.hangs_up.is_some() || arrival.reads_late.is_some();
        let connection = if needs_own_connection {
            self.connect(who, &address, arrival.reads_late).await?
        } else {
            let key = (
                who.controller,
                self.endpoint_cursor.get() as u32 / 7 % self.day.connections,
            );
            let open = self
                .connections
                .borrow()
                .get(&key)
                .filter(|l| l.open.get() && l.who == who)
                .cloned();
            match open {
                Some(connection) => connection,
                None => {
                    let connection = self.connect(who, &address, None).await?;
                    self.connections
                        .borrow_mut()
                        .insert(key, connection.clone());
                    connection
                }
            }
        };
        let function = &self.day.terms.functions[&arrival.function];
        let trigger = &self.day.terms.trigger_type_names[function.trigger];
        let stated = &self.day.terms.deployment.trigger_types[function.trigger];
        let tenant = &self.day.terms.tenant_names[arrival.tenant];
        let token =
            (stated.effect == Effect::IdempotencyKey).then(|| format!("token-{}", of.number));
        let input = json!({"n": of.number, "attempt": of.attempt, "work_ms": arrival.work as f64 / MILLISECOND as f64});
        let mut request = json!({
            "jsonrpc": "2.0", "id": request_id(of), "method": "invoke",
            "params": {"function": arrival.function, "tenant": tenant, "trigger": trigger, "input": input,
                "time_left_ms": timeout as f64 / MILLISECOND as f64},
        });
        if let Some(passage) = passage {
            request["params"]["function"] = format!("{}-current", arrival.function).into();
            request["params"]["input"]["passage"] = passage.name.clone().into();
            request["params"]["passage"] = passage.name.clone().into();
            if let Some(pinned) = &passage.pinned {
                request["params"]["version"] = pinned.version.clone().into();
                request["params"]["passage_until_ms"] = pinned.until_ms.into();
            }
        }
        if let Some(token) = token {
            request["params"]["token"] = token.into();
        }
        let (response_sender, response_receiver) = oneshot::channel();
        connection
            .pending
            .borrow_mut()
            .insert(request_id(of), response_sender);
        let at = self.clock.now();
        if connection
            .outbox
            .push(Bytes::from(format!("{request}\n")), at + timeout)
            .is_none()
        {
            return Err(());
        }
        self.record.note(Line::Sent {
            at,
            who,
            of,
            tenant: tenant.clone(),
            trigger: trigger.clone(),
            function: arrival.function.clone(),
            timeout,
            work: arrival.work,
        });
        if arrival.reads_late.is_some() {
            self.record.note(Line::ReadsSlowly { at, of });
        }
        if let Some(after) = arrival.hangs_up {
            tokio::time::sleep(Duration::from_micros(after * 100)).await;
            let answered = !connection.pending.borrow().contains_key(&request_id(of));
            if !answered {
                self.record.note(Line::HungUp {
                    at: self.clock.now(),
                    of,
                });
            }
            connection.outbox.close();
            self.active_passages
                .set(self.active_passages.get().saturating_sub(1));
            // A client that hung up does not retry.
            std::future::pending::<()>().await;
        }
        let response_timeout =
            Duration::from_micros((timeout + arrival.reads_late.unwrap_or(0)) * 100);
        let response = match tokio::time::timeout(response_timeout, response_receiver).await {
            Ok(Ok(response)) => Some(response),
            Ok(Err(_)) | Err(_) => None,
        };
        if needs_own_connection {
            connection.outbox.close();
        }
        Ok(response)
    }

    async fn connect(
        self: &Rc<Self>,
        who: ControllerId,
        address: &Address,
        read_delay: Option<Ticks>,
    ) -> Result<Connection, ()> {
        let stream = self.network.dial(address).await.map_err(|_| ())?;
        let (input, mut output) = split(stream);
        let (outbox, pending) = (SendQueue::new(64 << 20), PendingResponses::default());
        let open = Rc::new(Cell::new(true));
        let connection = Connection {
            who,
            outbox: outbox.clone(),
            pending: pending.clone(),
            open: open.clone(),
        };
        let this = self.clone();
        tokio::task::spawn_local(async move {
            let clock = this.clock;
            let mut reader = ArrivalReader::new(input, clock, this.event_loop_clock.clone());
            let closed_by_client = tokio::select! {
                biased;
                () = this.read_responses(&mut reader, &pending, read_delay) => false,
                done = outbox.write_to(&mut output, || clock.now(), |_| ()) => done.is_ok(),
            };
            open.set(false);
            outbox.close();
            let unanswered = std::mem::take(&mut *pending.borrow_mut());
            if !closed_by_client {
                for id in unanswered.keys() {
                    let of = ClientAttempt {
                        number: id / 16,
                        attempt: (id % 16) as u32,
                    };
                    this.record.note(Line::ConnectionLost {
                        at: clock.now(),
                        of,
                    });
                }
            }
        });
        Ok(connection)
    }

    async fn read_responses(
        &self,
        reader: &mut ArrivalReader<saltdrum_transport::StreamHalf>,
        pending: &PendingResponses,
        read_delay: Option<Ticks>,
    ) {
        if let Some(read_delay) = read_delay {
            tokio::time::sleep(Duration::from_micros(read_delay * 100)).await;
        }
        while let Ok(Some(earliest)) = reader.read_more().await {
            while let Some(end) = reader.bytes.iter().position(|b| *b == b'\n') {
                let line = reader.bytes.split_to(end + 1);
                self.handle_response(&line, earliest, pending);
            }
        }
    }

    fn handle_response(&self, line: &BytesMut, earliest: Ticks, pending: &PendingResponses) {
        let Ok(reply) = serde_json::from_slice::<rpc::Reply>(line) else {
            return;
        };
        let Ok(id) = reply.id.get().parse::<u64>() else {
            return;
        };
        let how = match &reply.error {
            None => Outcome::Succeeded,
            Some(error) if error.code == rpc::THROTTLED => Outcome::Throttled,
            Some(_) => Outcome::Errored,
        };
        let retry_after_ms = reply
            .error
            .as_ref()
            .and_then(|error| error.data.get("come_back_ms")?.as_u64());
        let data = match (&reply.error, reply.result) {
            (Some(error), _) => error.data.clone(),
            (None, Some(result)) => serde_json::from_str(result.get()).unwrap_or_default(),
            _ => serde_json::Value::Null,
        };
        let pinned = || {
            let version = data.get("version")?.as_str()?.to_owned();
            Some(PinnedVersion {
                version,
                until_ms: data.get("passage_until_ms")?.as_u64()?,
            })
        };
        let passage_ended = reply
            .error
            .as_ref()
            .is_some_and(|error| error.code == rpc::PASSAGE_OVER);
        let retry_after = retry_after_ms.unwrap_or(0) * MILLISECOND;
        let of = ClientAttempt {
            number: id / 16,
            attempt: (id % 16) as u32,
        };
        self.record.note(Line::Final {
            at: self.clock.now(),
            earliest,
            of,
            how,
        });
        if let Some(response_sender) = pending.borrow_mut().remove(&id) {
            let _ = response_sender.send(Response {
                how,
                retry_after,
                pinned: pinned(),
                passage_ended,
            });
        }
    }

    /// Sends malformed requests, each on a connection of its own, the only one that they may affect.
    pub async fn send_malformed_requests(&self) {
        let Some((_, address)) = self.next_endpoint() else {
            return;
        };
        let malformed: [&[u8]; 6] = [
            b"{\"jsonrpc\":\"2.0\",\"method\":\"invoke\",\"id\":1,\"params\":{\"function\":3}}\n",
            b"{\"jsonrpc\":\"2.0\",\"method\":\"fly\",\"id\":2}\n",
            b"[[[[\n",
            b"\xff\xfe\n",
            b"{\"jsonrpc\":\"2.0\",\"method\":\"invoke\",\"id\":3,\"par",
            &[b'x'; 100_000],
        ];
        for bytes in malformed {
            let Ok(mut stream) = self.network.dial(&address).await else {
                return;
            };
            if bytes.len() > 90_000 {
                for _ in 0..12 {
                    let _ = stream.write_all(bytes).await;
                }
            } else {
                let _ = stream.write_all(bytes).await;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}
