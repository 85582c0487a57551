//! Clients that wait for answers, hang up, read late, try again, as the script says.

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

/// The answer, or none when the connection broke first.
type Waiting = Rc<RefCell<BTreeMap<u64, oneshot::Sender<Told>>>>;

#[derive(Clone)]
struct Told {
    how: Outcome,
    come_back: Ticks,
    /// What the passage goes on with.
    holds: Option<Holds>,
    /// The passage can't go on.
    over: bool,
}

/// A version and its end, to be handed back.
#[derive(Clone)]
struct Holds {
    version: String,
    until_ms: u64,
}

/// What a client knows of its passage.
#[derive(Default)]
struct Passage {
    name: String,
    holds: Option<Holds>,
    over: bool,
}

/// A connection to one controller's life.
#[derive(Clone)]
struct Connection {
    who: ControllerId,
    outbox: SendQueue,
    waiting: Waiting,
    open: Rc<Cell<bool>>,
}

pub(crate) struct Clients {
    pub day: Rc<Day>,
    pub network: Rc<dyn Network>,
    pub clock: Clock,
    pub turns: EventLoopClock,
    pub record: Record,
    /// Where controllers take clients in: its life, its address, and whether the front door still sends there.
    pub fronts: RefCell<Vec<(ControllerId, Address, bool)>>,
    lines: RefCell<BTreeMap<(u32, u32), Connection>>,
    next: Cell<usize>,
    /// Passages that go on.
    pub passages: Cell<usize>,
}

/// Between the invocations of a passage.
const PAUSE: Duration = Duration::from_millis(150);

fn id_of(of: ClientAttempt) -> u64 {
    of.number * 16 + u64::from(of.attempt)
}

impl Clients {
    pub fn new(
        day: Rc<Day>,
        network: Rc<dyn Network>,
        clock: Clock,
        turns: EventLoopClock,
        record: Record,
    ) -> Rc<Self> {
        let (fronts, lines, next, passages) = Default::default();
        Rc::new(Self {
            day,
            network,
            clock,
            turns,
            record,
            fronts,
            lines,
            next,
            passages,
        })
    }

    fn next_front(&self) -> Option<(ControllerId, Address)> {
        let fronts = self.fronts.borrow();
        for _ in 0..fronts.len() {
            self.next.set(self.next.get() + 1);
            let (who, address, open) = &fronts[self.next.get() % fronts.len()];
            if *open {
                return Some((*who, address.clone()));
            }
        }
        None
    }

    /// One invocation with all its tries; where there are versions, a passage of some, one after another.
    pub async fn invoke(self: Rc<Self>, n: u64, a: Arrival) {
        if self.day.versions == 0 {
            return self.invoke_once(n, &a, None).await;
        }
        self.passages.set(self.passages.get() + 1);
        let mut passage = Passage {
            name: format!("{n}"),
            ..Default::default()
        };
        for part in 0..u64::from(self.day.passage) {
            if part > 0 {
                tokio::time::sleep(PAUSE).await;
            }
            self.invoke_once(n * 1_000 + part, &a, Some(&mut passage))
                .await;
            if passage.over {
                break;
            }
        }
        self.passages.set(self.passages.get() - 1);
    }

    async fn invoke_once(self: &Rc<Self>, n: u64, a: &Arrival, mut passage: Option<&mut Passage>) {
        let terms = &self.day.terms;
        let function = &terms.functions[&a.function];
        let stated = &terms.deployment.trigger_types[function.trigger];
        let first = self.clock.now();
        let patience = RetryPolicy {
            retries: self.day.retries,
            backoff: self.day.backoff,
        };
        for attempt in 0.. {
            let of = ClientAttempt { number: n, attempt };
            let mut rng = fastrand::Rng::with_seed(self.day.seed ^ id_of(of));
            let end = match self
                .one_try(of, a, stated.client_timeout, passage.as_deref())
                .await
            {
                Err(()) => AttemptOutcome::Unsent,
                Ok(None) => {
                    // Nothing was heard, and what may have spoken is not known: that passage is over before it began.
                    if let Some(p) = passage.as_deref_mut().filter(|p| p.holds.is_none()) {
                        p.name += "'";
                    }
                    AttemptOutcome::Unknown
                }
                Ok(Some(told)) => {
                    if let Some(p) = passage.as_deref_mut() {
                        p.over |= told.over;
                        if self.day.hands_back {
                            p.holds = told.holds.or(p.holds.take());
                        }
                        if p.over {
                            return;
                        }
                    }
                    match told.how {
                        Outcome::Succeeded => AttemptOutcome::Succeeded,
                        Outcome::Throttled => AttemptOutcome::Throttled(told.come_back),
                        Outcome::Errored => AttemptOutcome::Errored,
                    }
                }
            };
            match patience.decide(stated, attempt, self.clock.now() - first, end, rng.f64()) {
                RetryDecision::Stop => return,
                RetryDecision::RetryAfter(wait) => {
                    tokio::time::sleep(Duration::from_micros(wait * 100)).await
                }
            }
        }
    }

    /// Err: nothing was sent. None: sent, and not answered.
    async fn one_try(
        self: &Rc<Self>,
        of: ClientAttempt,
        a: &Arrival,
        timeout: Ticks,
        passage: Option<&Passage>,
    ) -> Result<Option<Told>, ()> {
        let (who, address) = self.next_front().ok_or(())?;
        let alone = a.hangs_up.is_some() || a.reads_late.is_some();
        let line = if alone {
            self.connect(who, &address, a.reads_late).await?
        } else {
            let key = (
                who.controller,
                self.next.get() as u32 / 7 % self.day.connections,
            );
            let open = self
                .lines
                .borrow()
                .get(&key)
                .filter(|l| l.open.get() && l.who == who)
                .cloned();
            match open {
                Some(line) => line,
                None => {
                    let line = self.connect(who, &address, None).await?;
                    self.lines.borrow_mut().insert(key, line.clone());
                    line
                }
            }
        };
        let function = &self.day.terms.functions[&a.function];
        let trigger = &self.day.terms.trigger_type_names[function.trigger];
        let stated = &self.day.terms.deployment.trigger_types[function.trigger];
        let tenant = &self.day.terms.tenant_names[a.tenant];
        let token =
            (stated.effect == Effect::IdempotencyKey).then(|| format!("token-{}", of.number));
        let input = json!({"n": of.number, "attempt": of.attempt, "work_ms": a.work as f64 / MILLISECOND as f64});
        let mut call = json!({
            "jsonrpc": "2.0", "id": id_of(of), "method": "invoke",
            "params": {"function": a.function, "tenant": tenant, "trigger": trigger, "input": input,
                "time_left_ms": timeout as f64 / MILLISECOND as f64},
        });
        if let Some(p) = passage {
            call["params"]["function"] = format!("{}-current", a.function).into();
            call["params"]["input"]["passage"] = p.name.clone().into();
            call["params"]["passage"] = p.name.clone().into();
            if let Some(holds) = &p.holds {
                call["params"]["version"] = holds.version.clone().into();
                call["params"]["passage_until_ms"] = holds.until_ms.into();
            }
        }
        if let Some(token) = token {
            call["params"]["token"] = token.into();
        }
        let (to, answer) = oneshot::channel();
        line.waiting.borrow_mut().insert(id_of(of), to);
        let at = self.clock.now();
        if line
            .outbox
            .push(Bytes::from(format!("{call}\n")), at + timeout)
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
            function: a.function.clone(),
            timeout,
            work: a.work,
        });
        if a.reads_late.is_some() {
            self.record.note(Line::ReadsSlowly { at, of });
        }
        if let Some(after) = a.hangs_up {
            tokio::time::sleep(Duration::from_micros(after * 100)).await;
            let answered = !line.waiting.borrow().contains_key(&id_of(of));
            if !answered {
                self.record.note(Line::HungUp {
                    at: self.clock.now(),
                    of,
                });
            }
            line.outbox.close();
            self.passages.set(self.passages.get().saturating_sub(1));
            // Whoever hangs up does not come back.
            std::future::pending::<()>().await;
        }
        let patience = Duration::from_micros((timeout + a.reads_late.unwrap_or(0)) * 100);
        let told = match tokio::time::timeout(patience, answer).await {
            Ok(Ok(told)) => Some(told),
            Ok(Err(_)) | Err(_) => None,
        };
        if alone {
            line.outbox.close();
        }
        Ok(told)
    }

    async fn connect(
        self: &Rc<Self>,
        who: ControllerId,
        address: &Address,
        late: Option<Ticks>,
    ) -> Result<Connection, ()> {
        let stream = self.network.dial(address).await.map_err(|_| ())?;
        let (input, mut output) = split(stream);
        let (outbox, waiting) = (SendQueue::new(64 << 20), Waiting::default());
        let open = Rc::new(Cell::new(true));
        let line = Connection {
            who,
            outbox: outbox.clone(),
            waiting: waiting.clone(),
            open: open.clone(),
        };
        let this = self.clone();
        tokio::task::spawn_local(async move {
            let clock = this.clock;
            let mut read = ArrivalReader::new(input, clock, this.turns.clone());
            let said_goodbye = tokio::select! {
                biased;
                () = this.listen(&mut read, &waiting, late) => false,
                done = outbox.write_to(&mut output, || clock.now(), |_| ()) => done.is_ok(),
            };
            open.set(false);
            outbox.close();
            let left = std::mem::take(&mut *waiting.borrow_mut());
            if !said_goodbye {
                for id in left.keys() {
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
        Ok(line)
    }

    async fn listen(
        &self,
        read: &mut ArrivalReader<saltdrum_transport::StreamHalf>,
        waiting: &Waiting,
        late: Option<Ticks>,
    ) {
        if let Some(late) = late {
            tokio::time::sleep(Duration::from_micros(late * 100)).await;
        }
        while let Ok(Some(earliest)) = read.read_more().await {
            while let Some(end) = read.bytes.iter().position(|b| *b == b'\n') {
                let line = read.bytes.split_to(end + 1);
                self.hear(&line, earliest, waiting);
            }
        }
    }

    fn hear(&self, line: &BytesMut, earliest: Ticks, waiting: &Waiting) {
        let Ok(reply) = serde_json::from_slice::<rpc::Reply>(line) else {
            return;
        };
        let Ok(id) = reply.id.get().parse::<u64>() else {
            return;
        };
        let how = match &reply.error {
            None => Outcome::Succeeded,
            Some(e) if e.code == rpc::THROTTLED => Outcome::Throttled,
            Some(_) => Outcome::Errored,
        };
        let come_back = reply
            .error
            .as_ref()
            .and_then(|e| e.data.get("come_back_ms")?.as_u64());
        let told = match (&reply.error, reply.result) {
            (Some(e), _) => e.data.clone(),
            (None, Some(result)) => serde_json::from_str(result.get()).unwrap_or_default(),
            _ => serde_json::Value::Null,
        };
        let holds = || {
            let version = told.get("version")?.as_str()?.to_owned();
            Some(Holds {
                version,
                until_ms: told.get("passage_until_ms")?.as_u64()?,
            })
        };
        let over = reply
            .error
            .as_ref()
            .is_some_and(|e| e.code == rpc::PASSAGE_OVER);
        let come_back = come_back.unwrap_or(0) * MILLISECOND;
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
        if let Some(to) = waiting.borrow_mut().remove(&id) {
            let _ = to.send(Told {
                how,
                come_back,
                holds: holds(),
                over,
            });
        }
    }

    /// Lines that no client should write; the connection they come on is the only one to suffer.
    pub async fn talk_nonsense(&self) {
        let Some((_, address)) = self.next_front() else {
            return;
        };
        let nonsense: [&[u8]; 6] = [
            b"{\"jsonrpc\":\"2.0\",\"method\":\"invoke\",\"id\":1,\"params\":{\"function\":3}}\n",
            b"{\"jsonrpc\":\"2.0\",\"method\":\"fly\",\"id\":2}\n",
            b"[[[[\n",
            b"\xff\xfe\n",
            b"{\"jsonrpc\":\"2.0\",\"method\":\"invoke\",\"id\":3,\"par",
            &[b'x'; 100_000],
        ];
        for bytes in nonsense {
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
