//! Clients: binary frames. A client that lies, floods or says nothing suffers alone.

use crate::reach::{Front, State};
use saltdrum::port::{InvId, Invocation, MILLI, SECOND, Tenths};
use saltdrum_controller::desk::{Final, Owed};
use saltdrum_link::{Half, Listener, Outbox, Read, Stream, halves};
use saltdrum_platform_wire::Malformed;
use saltdrum_platform_wire::frames::{self, Code, FromClient, Request};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tracing::{debug, info, info_span, warn};

/// Answers that a client lets lie are bounded; it is cut off when they are more.
const ANSWERS_MOST_BYTES: usize = 1 << 20;
/// Taken off what a client says it will wait, for the answer's way back.
const ANSWER_MARGIN: Tenths = 10 * MILLI;
/// A client that has not left is owed its answer for so long after its client timeout: such a one earns nothing, and
/// without it the invocation counts as lost. Only a controller that stood still comes so late.
const ANSWER_OWED: Tenths = 500 * MILLI;
/// Who has said nothing whole for this long since it came has nothing to say.
const SILENT_MOST: Tenths = 2 * SECOND;
/// A frame that has begun is whole after this, or never will be.
const PARTIAL_MOST: Tenths = SECOND;
/// Clients close a connection that long idle themselves, well before this.
const IDLE_MOST: Tenths = 6 * SECOND;
const SWEEP_EVERY: Duration = Duration::from_millis(200);
/// In rounds of the sweep.
const BELIEFS_EVERY: u64 = 5;
/// For the last words to a client that is cut off.
const LAST_WORDS: Duration = Duration::from_millis(300);
const ANY_TIME: Tenths = Tenths::MAX;
/// Where a refusal is for want of room, the wait that is advised.
const FULL_COME_BACK_MS: u64 = 100;

struct Client {
    outbox: Outbox,
    /// Streams whose answer is owed.
    open: RefCell<BTreeMap<u32, InvId>>,
    last_stream: Cell<u32>,
    came: Tenths,
    /// When it last asked or was answered; none: it has said nothing whole yet.
    active: Cell<Option<Tenths>>,
    partial_since: Cell<Option<Tenths>>,
    cut: Notify,
    /// It was cut off, and its last words are on their way.
    closing: Cell<bool>,
}

impl Client {
    fn cut_off(&self) {
        self.closing.set(true);
        self.cut.notify_one();
    }

    fn put(&self, frame: bytes::Bytes, until: Tenths) {
        if self.outbox.put(frame, until).is_none() {
            self.cut.notify_one();
        }
    }

    /// Since when it does nothing that keeps its connection, if so.
    fn idle_since(&self) -> Option<Tenths> {
        self.open.borrow().is_empty().then(|| self.active.get().unwrap_or(self.came))
    }

    fn is_overdue(&self, now: Tenths) -> bool {
        let silent = self.active.get().is_none() && now >= self.came + SILENT_MOST;
        let stuck = self.partial_since.get().is_some_and(|since| now >= since + PARTIAL_MOST);
        let idle = self.idle_since().is_some_and(|since| now >= since + IDLE_MOST);
        silent || stuck || idle
    }
}

/// All clients of a controller, and the ids that are open.
#[derive(Default)]
pub(crate) struct Clients {
    all: RefCell<BTreeMap<u64, Rc<Client>>>,
    last: Cell<u64>,
    txns: Rc<RefCell<BTreeSet<u64>>>,
}

impl Clients {
    /// Connections, and ids that are open: for tests and the log.
    #[cfg(test)]
    pub fn sizes(&self) -> (usize, usize) {
        (self.all.borrow().len(), self.txns.borrow().len())
    }

    /// Asks all to bring nothing new on these connections.
    pub fn go_away(&self) {
        self.all.borrow().values().for_each(|c| c.put(frames::go_away(), ANY_TIME));
    }

    /// Whether answers wait to leave.
    pub fn are_owed_bytes(&self) -> bool {
        self.all.borrow().values().any(|c| c.outbox.waiting_bytes() > 0)
    }

    /// Makes room for one more: of those with nothing open, the one idle longest goes.
    fn room(&self, most: usize) -> bool {
        let all = self.all.borrow();
        if all.len() < most {
            return true;
        }
        let idle = all.values().filter(|c| !c.closing.get());
        let idle = idle.filter_map(|c| Some((c.active.get().is_some(), c.idle_since()?, c)));
        match idle.min_by_key(|(spoke, since, _)| (*spoke, *since)) {
            Some((_, _, client)) => {
                client.cut_off();
                true
            }
            None => false,
        }
    }
}

/// Where the one answer to an invocation goes. Whatever becomes of it, its stream and id are free after.
pub(crate) struct Reply {
    client: Rc<Client>,
    stream: u32,
    txn: u64,
    txns: Rc<RefCell<BTreeSet<u64>>>,
    now: saltdrum_link::Clock,
}

impl Drop for Reply {
    fn drop(&mut self) {
        self.txns.borrow_mut().remove(&self.txn);
        self.client.open.borrow_mut().remove(&self.stream);
        self.client.active.set(Some(self.now.now()));
    }
}

impl Owed for Reply {
    fn answer(self, _: InvId, how: Final, _: u8, until: Tenths) {
        let frame = match how {
            Final::Succeeded(output) => frames::answer(self.stream, Code::Succeeded, None, output),
            Final::Throttled(wait) => {
                let later = Some(wait / MILLI).filter(|ms| *ms > 0);
                frames::answer(self.stream, Code::Throttled, later, &[])
            }
            Final::Errored(_) => frames::answer(self.stream, Code::Errored, None, &[]),
        };
        self.client.put(frame, until);
    }

    fn drop_out(self, _: InvId) {}
}

/// Takes in clients for as long as the controller lives.
pub(crate) async fn receive(front: Rc<Front>, mut door: Box<dyn Listener>) {
    loop {
        match door.accept().await {
            Ok(stream) => {
                if front.seat.clients.room(front.seat.budget.clients) {
                    drop(tokio::task::spawn_local(attend(front.clone(), stream)));
                } else {
                    debug!("no room for a client: turned away");
                }
            }
            Err(e) => {
                warn!(%e, "can't accept a client");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        // A crowd at the door must not hold up those inside.
        tokio::task::yield_now().await;
    }
}

/// Closes those who say nothing, or never end what they began.
pub(crate) async fn sweep(front: Rc<Front>) {
    for round in 1u64.. {
        tokio::time::sleep(SWEEP_EVERY).await;
        if round.is_multiple_of(BELIEFS_EVERY) && tracing::enabled!(tracing::Level::INFO) {
            front.see(crate::reach::log_beliefs);
        }
        let now = front.clock.now();
        for client in front.seat.clients.all.borrow().values().filter(|c| c.is_overdue(now)) {
            client.cut_off();
        }
        front.tell(|state| state.desk.reach.sweep(now));
    }
}

async fn attend(front: Rc<Front>, stream: Stream) {
    let (input, mut output) = halves(stream);
    let clock = front.clock;
    let client = Rc::new(Client {
        outbox: Outbox::new(ANSWERS_MOST_BYTES),
        open: RefCell::default(),
        last_stream: Cell::new(0),
        came: clock.now(),
        active: Cell::new(None),
        partial_since: Cell::new(None),
        cut: Notify::new(),
        closing: Cell::new(false),
    });
    let clients = &front.seat.clients;
    let number = clients.last.get() + 1;
    clients.last.set(number);
    clients.all.borrow_mut().insert(number, client.clone());
    let read = Read::new(input, clock, front.turns.clone());
    let why = {
        let write = client.outbox.write_to(&mut output, || clock.now(), |_| ());
        let mut write = std::pin::pin!(write);
        let why = tokio::select! {
            biased;
            why = listen(&front, &client, read) => why,
            done = &mut write => match done {
                Ok(()) => None,
                Err(e) => { debug!(%e, "a client is gone"); None }
            },
            () = client.cut.notified() => {
                // Only what it left unfinished is worth a word: silence ends in silence.
                client.partial_since.get().map(|_| "a frame that does not end".to_owned())
            }
        };
        if let Some(why) = &why {
            client.put(frames::answer(0, Code::Errored, None, why.as_bytes()), ANY_TIME);
        }
        // What was answered before goes out too.
        client.outbox.close();
        let _ = tokio::time::timeout(LAST_WORDS, write).await;
        why
    };
    clients.all.borrow_mut().remove(&number);
    let open: Vec<InvId> = client.open.borrow().values().copied().collect();
    if let Some(why) = why {
        info!(why, open = open.len(), "a client is cut off");
    }
    for id in open {
        front.tell(|state| state.left(id));
    }
}

/// Reads frames until the client leaves (`None`), or says why it is cut off.
async fn listen(front: &Rc<Front>, client: &Rc<Client>, mut read: Read<Half>) -> Option<String> {
    loop {
        let earliest = match read.more().await {
            Ok(Some(earliest)) => earliest,
            Ok(None) | Err(_) => return None,
        };
        loop {
            match frames::cut(&mut read.bytes) {
                Ok(None) => break,
                Ok(Some(frame)) => {
                    if let Err(why) = heard(front, client, frame, earliest) {
                        return Some(why.to_string());
                    }
                }
                Err(why) => return Some(why.to_string()),
            }
        }
        if read.bytes.is_empty() {
            client.partial_since.set(None);
        } else if client.partial_since.get().is_none() {
            client.partial_since.set(Some(front.clock.now()));
        }
        // What clients ask for must not hold up what invokers answer: in a backlog the answers would look slow, and the
        // module would take the controller's own lag for a jam of the fleet.
        tokio::task::yield_now().await;
    }
}

/// `Err`: nothing more of this connection can be believed.
fn heard(
    front: &Rc<Front>,
    client: &Rc<Client>,
    frame: FromClient,
    earliest: Tenths,
) -> Result<(), Malformed> {
    client.active.set(Some(front.clock.now()));
    client.partial_since.set(None);
    match frame {
        FromClient::AskReady { stream } => client.put(frames::readiness(stream, true), ANY_TIME),
        FromClient::Left { stream } => {
            let id = client.open.borrow().get(&stream).copied();
            if let Some(id) = id {
                front.tell(|state| state.left(id));
            }
        }
        FromClient::Invoke { stream, payload } => {
            if stream <= client.last_stream.get() {
                return Err(Malformed::Value {
                    what: "stream",
                    got: stream.to_string(),
                    expected: "one above all before it is expected",
                });
            }
            client.last_stream.set(stream);
            if client.open.borrow().len() >= frames::OPEN_MOST {
                let later = Some(FULL_COME_BACK_MS);
                client.put(frames::answer(stream, Code::Throttled, later, &[]), ANY_TIME);
                return Ok(());
            }
            let taken = frames::request(payload).map_err(|e| e.to_string()).and_then(|request| {
                front.tell(|state| invoke(front, state, client, stream, request, earliest))
            });
            if let Err(why) = taken {
                debug!(why, "an invocation that can't be taken");
                client.put(frames::answer(stream, Code::Errored, None, why.as_bytes()), ANY_TIME);
            }
        }
    }
    Ok(())
}

/// Takes an invocation that came at `earliest` or later; `Err` says why it can't be taken.
fn invoke(
    front: &Rc<Front>,
    state: &mut State,
    client: &Rc<Client>,
    stream: u32,
    request: Request,
    earliest: Tenths,
) -> Result<(), String> {
    let (seat, desk) = (&front.seat, &mut state.desk);
    let trigger = seat.trigger_names.iter().position(|n| *n == request.trigger);
    let trigger = trigger.ok_or_else(|| format!("verb '{}': not one of this deployment", request.trigger))?;
    let stated = &seat.deployment.trigger_types[trigger];
    let limit = (request.limit_ms * MILLI as f64) as Tenths;
    if limit > stated.client_timeout {
        return Err(format!("limit {}: more than the client timeout", request.limit_ms));
    }
    if stated.effect == saltdrum::port::Effect::Tokened && request.token.is_none() {
        return Err("unique: needed for this verb".into());
    }
    let memory_most = seat.deployment.kind_memory.iter().copied().fold(0.0, f64::max);
    if memory_most > 0.0 && request.memory_mb > memory_most {
        return Err(format!("memory_mb {}: more than any invoker has", request.memory_mb));
    }
    let gone = earliest + limit;
    if desk.now >= gone {
        desk.counts.stale += 1;
        return Err("the client timeout is over".into());
    }
    if !seat.clients.txns.borrow_mut().insert(request.txn) {
        return Err("txn: open already".into());
    }
    let (txn, txns) = (request.txn, seat.clients.txns.clone());
    let reply = Reply { client: client.clone(), stream, txn, txns, now: front.clock };
    let Some(carried) = desk.reach.carry(trigger, txn, request.token, request.body) else {
        reply.answer(0, Final::Throttled(FULL_COME_BACK_MS * MILLI), 0, ANY_TIME);
        return Ok(());
    };
    let id = desk.next_inv();
    client.open.borrow_mut().insert(stream, id);
    let tenths = |ms: f64| (ms * MILLI as f64) as Tenths;
    let invocation = Invocation {
        id,
        trigger,
        tenant: 0,
        function: request.function,
        // Short waits keep their larger part for the work.
        expires: gone - ANSWER_MARGIN.min(limit / 4),
        work_hint: request.work_hint_ms.map(tenths),
        memory: request.memory_mb,
        lanes: request.lanes,
        load_hint: request.load_ms.map(tenths),
    };
    let span = info_span!("invocation", id, txn = format_args!("{txn:016x}"));
    state.taken(invocation, gone + ANSWER_OWED, carried, reply, span);
    Ok(())
}
