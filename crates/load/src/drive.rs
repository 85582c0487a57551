//! Sends load to controllers in an open loop and reports the outcome of each invocation.

use crate::lag::Lag;
use crate::retry::{AttemptOutcome, RetryDecision, RetryPolicy};
use crate::trace::TraceEntry;
use bytes::Bytes;
use saltdrum::interface::{Effect, MILLISECOND, Ticks};
use saltdrum_deployment::DeploymentSpec;
use saltdrum_protocol::rpc;
use saltdrum_transport::{
    Address, ArrivalReader, Clock, EventLoopClock, Network, SendQueue, run_event_loop_clock, split,
};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::JoinSet;

/// Limit of a connection's send queue. A controller that does not read must not block the generator.
const SEND_QUEUE_BYTES: usize = 64 << 20;

/// The outcome of one invocation. Times are read from the clock passed to [`send_load`].
#[derive(Clone, Debug)]
pub struct Outcome {
    /// When it was scheduled to be sent.
    pub intended: Ticks,
    /// When the first attempt was queued on a connection.
    pub sent: Ticks,
    /// When the response to the last attempt was read, or the client gave up.
    pub finished: Ticks,
    pub attempts: u32,
    /// The outcome of the last attempt.
    pub result: AttemptOutcome,
    pub tenant: String,
    pub function: String,
}

impl Outcome {
    /// Measured from the scheduled time, so that a late generator does not shorten it.
    pub fn latency(&self) -> Ticks {
        self.finished.saturating_sub(self.intended)
    }
}

/// The results of one run of the generator.
#[derive(Debug, Default)]
pub struct LoadRun {
    /// In order of their scheduled times.
    pub outcomes: Vec<Outcome>,
    pub lag: Lag,
}

/// Requests without a response yet, by request id.
type PendingReplies = Rc<RefCell<BTreeMap<u64, oneshot::Sender<AttemptOutcome>>>>;

struct Connection {
    send_queue: SendQueue,
    pending: PendingReplies,
    is_open: Rc<Cell<bool>>,
}

struct LoadGenerator {
    network: Rc<dyn Network>,
    clock: Clock,
    event_loop_clock: EventLoopClock,
    terms: Rc<DeploymentSpec>,
    retry_policy: RetryPolicy,
    /// One address for each connection.
    addresses: Vec<Address>,
    connections: RefCell<Vec<Option<Rc<Connection>>>>,
    tasks: RefCell<JoinSet<()>>,
    next_connection: Cell<usize>,
    next_request_id: Cell<u64>,
}

/// Sends `entries` over `connections` connections to each of `controllers` and waits until all invocations have
/// finished. Every function and tenant must be known to `terms`: check with [`find_unknown_name`] first.
pub async fn send_load(
    network: Rc<dyn Network>,
    clock: Clock,
    terms: Rc<DeploymentSpec>,
    controllers: &[Address],
    connections: usize,
    retry_policy: RetryPolicy,
    entries: Vec<TraceEntry>,
) -> LoadRun {
    let run: Rc<RefCell<LoadRun>> = Rc::default();
    let addresses = controllers
        .iter()
        .flat_map(|a| std::iter::repeat_n(a.clone(), connections.max(1)))
        .collect::<Vec<_>>();
    let generator = Rc::new(LoadGenerator {
        connections: RefCell::new(addresses.iter().map(|_| None).collect()),
        network,
        clock,
        event_loop_clock: EventLoopClock::default(),
        terms,
        retry_policy,
        addresses,
        tasks: RefCell::default(),
        next_connection: Cell::new(0),
        next_request_id: Cell::new(0),
    });
    let run_of_watch = run.clone();
    let stall_watch = tokio::task::spawn_local(run_event_loop_clock(
        generator.event_loop_clock.clone(),
        clock,
        move |_, gap| {
            run_of_watch.borrow_mut().lag.record_stall(gap);
        },
    ));
    let begin = clock.now();
    let mut in_flight = JoinSet::new();
    for (n, entry) in entries.into_iter().enumerate() {
        let intended = begin + entry.at;
        clock.sleep_until(intended).await;
        let (generator, run) = (generator.clone(), run.clone());
        in_flight.spawn_local(async move {
            let outcome = generator.invoke(n as u64, intended, entry, &run).await;
            run.borrow_mut().outcomes.push(outcome);
        });
        while in_flight.try_join_next().is_some() {}
    }
    while in_flight.join_next().await.is_some() {}
    stall_watch.abort();
    generator.tasks.borrow_mut().abort_all();
    let mut run = std::mem::take(&mut *run.borrow_mut());
    run.outcomes.sort_by_key(|o| o.intended);
    run
}

/// Describes the first entry whose function or tenant is not part of `terms`.
pub fn find_unknown_name(terms: &DeploymentSpec, entries: &[TraceEntry]) -> Option<String> {
    entries.iter().enumerate().find_map(|(n, e)| {
        let unknown =
            |what: &str, name: &str| Some(format!("row {n}: no {what} is named '{name}'"));
        if !terms.functions.contains_key(&e.function) {
            unknown("function", &e.function)
        } else if !terms.tenant_names.contains(&e.tenant) {
            unknown("tenant", &e.tenant)
        } else {
            None
        }
    })
}

impl LoadGenerator {
    async fn invoke(
        &self,
        n: u64,
        intended: Ticks,
        entry: TraceEntry,
        run: &RefCell<LoadRun>,
    ) -> Outcome {
        let function = &self.terms.functions[&entry.function];
        let trigger = &self.terms.deployment.trigger_types[function.trigger];
        let mut rng = fastrand::Rng::with_seed(n ^ 0x10ad);
        let (mut retries, mut sent) = (0, None);
        let result = loop {
            let record_send = |at: Ticks| {
                if sent.is_none() {
                    run.borrow_mut().lag.record_send(intended, at);
                    sent = Some(at);
                }
            };
            let outcome = self
                .send_attempt(n, retries, &entry, trigger.client_timeout, record_send)
                .await;
            let elapsed = self.clock.now() - intended;
            match self
                .retry_policy
                .decide(trigger, retries, elapsed, outcome, rng.f64())
            {
                RetryDecision::Stop => break outcome,
                RetryDecision::RetryAfter(wait) => {
                    tokio::time::sleep(Duration::from_micros(wait * 100)).await
                }
            }
            retries += 1;
        };
        let finished = self.clock.now();
        let (tenant, function) = (entry.tenant, entry.function);
        Outcome {
            intended,
            sent: sent.unwrap_or(finished),
            finished,
            attempts: retries + 1,
            result,
            tenant,
            function,
        }
    }

    /// Sends one attempt and waits for its response. `on_send` gets the time at which it was queued.
    async fn send_attempt(
        &self,
        n: u64,
        attempt: u32,
        entry: &TraceEntry,
        timeout: Ticks,
        on_send: impl FnOnce(Ticks),
    ) -> AttemptOutcome {
        let index = self.next_connection.get() % self.addresses.len();
        self.next_connection.set(index + 1);
        let existing = self.connections.borrow()[index]
            .clone()
            .filter(|c| c.is_open.get());
        let connection = match existing {
            Some(connection) => connection,
            None => match self.connect(index).await {
                Some(connection) => connection,
                None => return AttemptOutcome::Unsent,
            },
        };
        let function = &self.terms.functions[&entry.function];
        let has_key =
            self.terms.deployment.trigger_types[function.trigger].effect == Effect::IdempotencyKey;
        let id = self.next_request_id.get();
        self.next_request_id.set(id + 1);
        let mut request = json!({
            "jsonrpc": "2.0", "id": id, "method": "invoke",
            "params": {"function": entry.function, "tenant": entry.tenant,
                "trigger": self.terms.trigger_type_names[function.trigger],
                "input": {"n": n, "attempt": attempt, "work_ms": entry.work as f64 / MILLISECOND as f64},
                "time_left_ms": timeout as f64 / MILLISECOND as f64},
        });
        if has_key {
            request["params"]["token"] = format!("token-{n}").into();
        }
        let (reply_sender, reply) = oneshot::channel();
        connection.pending.borrow_mut().insert(id, reply_sender);
        let at = self.clock.now();
        if connection
            .send_queue
            .push(Bytes::from(format!("{request}\n")), at + timeout)
            .is_none()
        {
            connection.pending.borrow_mut().remove(&id);
            return AttemptOutcome::Unsent;
        }
        on_send(at);
        let client_timeout = Duration::from_micros(timeout * 100);
        let outcome = tokio::time::timeout(client_timeout, reply).await;
        connection.pending.borrow_mut().remove(&id);
        outcome.map_or(AttemptOutcome::Unknown, |outcome| {
            outcome.unwrap_or(AttemptOutcome::Unknown)
        })
    }

    async fn connect(&self, index: usize) -> Option<Rc<Connection>> {
        let stream = self.network.dial(&self.addresses[index]).await.ok()?;
        // Another invocation may have connected during the dial; its connection is used then.
        if let Some(connection) = self.connections.borrow()[index]
            .clone()
            .filter(|c| c.is_open.get())
        {
            return Some(connection);
        }
        let (input, mut output) = split(stream);
        let (send_queue, pending) = (SendQueue::new(SEND_QUEUE_BYTES), PendingReplies::default());
        let is_open = Rc::new(Cell::new(true));
        let connection = Rc::new(Connection {
            send_queue,
            pending,
            is_open,
        });
        self.connections.borrow_mut()[index] = Some(connection.clone());
        let (clock, event_loop_clock) = (self.clock, self.event_loop_clock.clone());
        let connection_of_task = connection.clone();
        self.tasks.borrow_mut().spawn_local(async move {
            let mut reader = ArrivalReader::new(input, clock, event_loop_clock);
            tokio::select! {
                biased;
                () = read_replies(&mut reader, &connection_of_task.pending) => {}
                _ = connection_of_task.send_queue.write_to(&mut output, || clock.now(), |_| ()) => {}
            }
            connection_of_task.is_open.set(false);
            connection_of_task.send_queue.close();
            // Dropping the senders reports a lost response to every pending request.
            connection_of_task.pending.borrow_mut().clear();
        });
        Some(connection)
    }
}

/// Reads responses and completes their requests until the connection closes.
async fn read_replies(
    reader: &mut ArrivalReader<saltdrum_transport::StreamHalf>,
    pending: &PendingReplies,
) {
    while let Ok(Some(_)) = reader.read_more().await {
        while let Some(end) = reader.bytes.iter().position(|b| *b == b'\n') {
            let line = reader.bytes.split_to(end + 1);
            let Ok(reply) = serde_json::from_slice::<rpc::Reply>(&line) else {
                continue;
            };
            let Ok(id) = reply.id.get().parse::<u64>() else {
                continue;
            };
            let retry_after_ms = |e: &rpc::ReplyError| e.data.get("come_back_ms")?.as_u64();
            let outcome = match &reply.error {
                None => AttemptOutcome::Succeeded,
                Some(e) if e.code == rpc::THROTTLED => {
                    AttemptOutcome::Throttled(retry_after_ms(e).unwrap_or(0) * MILLISECOND)
                }
                Some(_) => AttemptOutcome::Errored,
            };
            if let Some(reply_sender) = pending.borrow_mut().remove(&id) {
                let _ = reply_sender.send(outcome);
            }
        }
    }
}
