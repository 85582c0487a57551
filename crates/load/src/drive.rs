//! Sends load to controllers, open loop, and tells what came of it.

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

/// Waiting to go out on one connection: a system that does not read must not make the generator wait.
const OUTBOX_BYTES: usize = 64 << 20;

/// What came of one invocation. Times are on the clock that was handed in.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// When it was to be sent.
    pub intended: Ticks,
    /// When the first try was handed to a connection, and when the last answer was read.
    pub sent: Ticks,
    pub finished: Ticks,
    pub attempts: u32,
    pub result: AttemptOutcome,
    pub tenant: String,
    pub function: String,
}

impl Outcome {
    /// From when it was to be sent, whatever the generator made of that.
    pub fn latency(&self) -> Ticks {
        self.finished.saturating_sub(self.intended)
    }
}

/// A run of the generator.
#[derive(Debug, Default)]
pub struct LoadRun {
    /// In the order in which they were to be sent.
    pub outcomes: Vec<Outcome>,
    pub lag: Lag,
}

type Waiting = Rc<RefCell<BTreeMap<u64, oneshot::Sender<AttemptOutcome>>>>;

struct Connection {
    outbox: SendQueue,
    waiting: Waiting,
    open: Rc<Cell<bool>>,
}

struct Driver {
    network: Rc<dyn Network>,
    clock: Clock,
    turns: EventLoopClock,
    terms: Rc<DeploymentSpec>,
    patience: RetryPolicy,
    doors: Vec<Address>,
    lines: RefCell<Vec<Option<Rc<Connection>>>>,
    tasks: RefCell<JoinSet<()>>,
    next_door: Cell<usize>,
    next_id: Cell<u64>,
}

/// Sends `entries` over `connections` to each of `doors`, and waits until all are over. Unknown functions and tenants
/// must have been sorted out before: see [`find_unknown_name`].
pub async fn send_load(
    network: Rc<dyn Network>,
    clock: Clock,
    terms: Rc<DeploymentSpec>,
    doors: &[Address],
    connections: usize,
    patience: RetryPolicy,
    entries: Vec<TraceEntry>,
) -> LoadRun {
    let played: Rc<RefCell<LoadRun>> = Rc::default();
    let all = doors
        .iter()
        .flat_map(|d| std::iter::repeat_n(d.clone(), connections.max(1)))
        .collect::<Vec<_>>();
    let driver = Rc::new(Driver {
        lines: RefCell::new(all.iter().map(|_| None).collect()),
        network,
        clock,
        turns: EventLoopClock::default(),
        terms,
        patience,
        doors: all,
        tasks: RefCell::default(),
        next_door: Cell::new(0),
        next_id: Cell::new(0),
    });
    let noted = played.clone();
    let watching = tokio::task::spawn_local(run_event_loop_clock(
        driver.turns.clone(),
        clock,
        move |_, gap| {
            noted.borrow_mut().lag.record_stall(gap);
        },
    ));
    let begin = clock.now();
    let mut under_way = JoinSet::new();
    for (n, entry) in entries.into_iter().enumerate() {
        let intended = begin + entry.at;
        clock.sleep_until(intended).await;
        let (driver, played) = (driver.clone(), played.clone());
        under_way.spawn_local(async move {
            let outcome = driver.invoke(n as u64, intended, entry, &played).await;
            played.borrow_mut().outcomes.push(outcome);
        });
        while under_way.try_join_next().is_some() {}
    }
    while under_way.join_next().await.is_some() {}
    watching.abort();
    driver.tasks.borrow_mut().abort_all();
    let mut played = std::mem::take(&mut *played.borrow_mut());
    played.outcomes.sort_by_key(|o| o.intended);
    played
}

/// The first entry that the terms know nothing of, in words.
pub fn find_unknown_name(terms: &DeploymentSpec, entries: &[TraceEntry]) -> Option<String> {
    entries.iter().enumerate().find_map(|(n, e)| {
        let lacks = |what: &str, name: &str| Some(format!("row {n}: no {what} is named '{name}'"));
        if !terms.functions.contains_key(&e.function) {
            lacks("function", &e.function)
        } else if !terms.tenant_names.contains(&e.tenant) {
            lacks("tenant", &e.tenant)
        } else {
            None
        }
    })
}

impl Driver {
    async fn invoke(
        &self,
        n: u64,
        intended: Ticks,
        e: TraceEntry,
        played: &RefCell<LoadRun>,
    ) -> Outcome {
        let function = &self.terms.functions[&e.function];
        let trigger = &self.terms.deployment.trigger_types[function.trigger];
        let mut rng = fastrand::Rng::with_seed(n ^ 0x10ad);
        let (mut tries, mut sent) = (0, None);
        let end = loop {
            let lag = |at: Ticks| {
                if sent.is_none() {
                    played.borrow_mut().lag.record_send(intended, at);
                    sent = Some(at);
                }
            };
            let end = self
                .one_try(n, tries, &e, trigger.client_timeout, lag)
                .await;
            let ago = self.clock.now() - intended;
            match self.patience.decide(trigger, tries, ago, end, rng.f64()) {
                RetryDecision::Stop => break end,
                RetryDecision::RetryAfter(wait) => {
                    tokio::time::sleep(Duration::from_micros(wait * 100)).await
                }
            }
            tries += 1;
        };
        let over = self.clock.now();
        let (tenant, function) = (e.tenant, e.function);
        Outcome {
            intended,
            sent: sent.unwrap_or(over),
            finished: over,
            attempts: tries + 1,
            result: end,
            tenant,
            function,
        }
    }

    async fn one_try(
        &self,
        n: u64,
        attempt: u32,
        e: &TraceEntry,
        timeout: Ticks,
        sent: impl FnOnce(Ticks),
    ) -> AttemptOutcome {
        let place = self.next_door.get() % self.doors.len();
        self.next_door.set(place + 1);
        let known = self.lines.borrow()[place].clone().filter(|l| l.open.get());
        let line = match known {
            Some(line) => line,
            None => match self.connect(place).await {
                Some(line) => line,
                None => return AttemptOutcome::Unsent,
            },
        };
        let function = &self.terms.functions[&e.function];
        let tokened =
            self.terms.deployment.trigger_types[function.trigger].effect == Effect::IdempotencyKey;
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let mut call = json!({
            "jsonrpc": "2.0", "id": id, "method": "invoke",
            "params": {"function": e.function, "tenant": e.tenant,
                "trigger": self.terms.trigger_type_names[function.trigger],
                "input": {"n": n, "attempt": attempt, "work_ms": e.work as f64 / MILLISECOND as f64},
                "time_left_ms": timeout as f64 / MILLISECOND as f64},
        });
        if tokened {
            call["params"]["token"] = format!("token-{n}").into();
        }
        let (to, answer) = oneshot::channel();
        line.waiting.borrow_mut().insert(id, to);
        let at = self.clock.now();
        if line
            .outbox
            .push(Bytes::from(format!("{call}\n")), at + timeout)
            .is_none()
        {
            line.waiting.borrow_mut().remove(&id);
            return AttemptOutcome::Unsent;
        }
        sent(at);
        let patience = Duration::from_micros(timeout * 100);
        let end = tokio::time::timeout(patience, answer).await;
        line.waiting.borrow_mut().remove(&id);
        end.map_or(AttemptOutcome::Unknown, |end| {
            end.unwrap_or(AttemptOutcome::Unknown)
        })
    }

    async fn connect(&self, place: usize) -> Option<Rc<Connection>> {
        let stream = self.network.dial(&self.doors[place]).await.ok()?;
        // Others may have dialled meanwhile; one connection is enough.
        if let Some(line) = self.lines.borrow()[place].clone().filter(|l| l.open.get()) {
            return Some(line);
        }
        let (input, mut output) = split(stream);
        let (outbox, waiting) = (SendQueue::new(OUTBOX_BYTES), Waiting::default());
        let open = Rc::new(Cell::new(true));
        let line = Rc::new(Connection {
            outbox,
            waiting,
            open,
        });
        self.lines.borrow_mut()[place] = Some(line.clone());
        let (clock, turns) = (self.clock, self.turns.clone());
        let kept = line.clone();
        self.tasks.borrow_mut().spawn_local(async move {
            let mut read = ArrivalReader::new(input, clock, turns);
            tokio::select! {
                biased;
                () = listen(&mut read, &kept.waiting) => {}
                _ = kept.outbox.write_to(&mut output, || clock.now(), |_| ()) => {}
            }
            kept.open.set(false);
            kept.outbox.close();
            // Whoever waits hears that nothing will come.
            kept.waiting.borrow_mut().clear();
        });
        Some(line)
    }
}

async fn listen(read: &mut ArrivalReader<saltdrum_transport::StreamHalf>, waiting: &Waiting) {
    while let Ok(Some(_)) = read.read_more().await {
        while let Some(end) = read.bytes.iter().position(|b| *b == b'\n') {
            let line = read.bytes.split_to(end + 1);
            let Ok(reply) = serde_json::from_slice::<rpc::Reply>(&line) else {
                continue;
            };
            let Ok(id) = reply.id.get().parse::<u64>() else {
                continue;
            };
            let come_back = |e: &rpc::ReplyError| e.data.get("come_back_ms")?.as_u64();
            let how = match &reply.error {
                None => AttemptOutcome::Succeeded,
                Some(e) if e.code == rpc::THROTTLED => {
                    AttemptOutcome::Throttled(come_back(e).unwrap_or(0) * MILLISECOND)
                }
                Some(_) => AttemptOutcome::Errored,
            };
            if let Some(to) = waiting.borrow_mut().remove(&id) {
                let _ = to.send(how);
            }
        }
    }
}
