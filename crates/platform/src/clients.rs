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
use tokio::io::AsyncWriteExt;
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
/// For the last words to a client whose connection ends, and for it to have read them.
const LAST_WORDS: Duration = Duration::from_millis(300);
/// What of a client is read and thrown away while its connection ends: bytes that lie unread at a close make the kernel
/// reset it, and a reset destroys the answers that are still on their way.
const DISCARDED_MOST: usize = 256 << 10;
/// So many connections beyond the clients' part may have their last words at a time; past it they are cut short. Well
/// within what the budget sets aside, or a crowd would take the descriptors of the feed and of lines.
const GOING_MOST: usize = 4;
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
    /// Its connection is to end: nothing more is taken on it, and its last words are on their way.
    closing: Cell<bool>,
    /// Its place is needed: no more time for last words.
    hurried: Cell<bool>,
    /// It was told to bring nothing new.
    told_away: Cell<bool>,
}

impl Client {
    fn cut_off(&self) {
        self.closing.set(true);
        self.cut.notify_one();
    }

    /// Its place is needed now.
    fn hurry(&self) {
        self.hurried.set(true);
        self.cut_off();
    }

    /// Who does not read what it asked for is cut off.
    fn put(&self, frame: bytes::Bytes, until: Tenths) {
        if self.outbox.put(frame, until).is_none() {
            self.cut_off();
        }
    }

    fn go_away(&self) {
        if !self.told_away.replace(true) {
            self.put(frames::go_away(), ANY_TIME);
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
    /// Frames read, of all clients.
    frames: Cell<u64>,
    /// Told to end: no client is to bring anything new.
    ending: Cell<bool>,
    shut: Notify,
    /// The door is shut, and whoever had come to it is in.
    is_shut: Cell<bool>,
    /// All is settled: nothing is taken any more, on whatever connection.
    is_closed: Cell<bool>,
}

impl Clients {
    /// Connections, and ids that are open: for tests and the log.
    #[cfg(test)]
    pub fn sizes(&self) -> (usize, usize) {
        (self.all.borrow().len(), self.txns.borrow().len())
    }

    /// How many connections are being ended.
    #[cfg(test)]
    pub fn going(&self) -> usize {
        self.all.borrow().values().filter(|c| c.closing.get()).count()
    }

    /// Asks all to bring nothing new on these connections.
    pub fn go_away(&self) {
        self.ending.set(true);
        self.all.borrow().values().for_each(|c| c.go_away());
    }

    /// Lets in who waits at the door, then shuts it.
    pub fn shut(&self) {
        self.shut.notify_one();
    }

    /// Whether answers wait to leave, or a request has come in part.
    pub fn are_under_way(&self) -> bool {
        let half = |c: &Client| c.partial_since.get().is_some() && !c.closing.get();
        self.all.borrow().values().any(|c| c.outbox.waiting_bytes() > 0 || half(c))
    }

    pub fn is_shut(&self) -> bool {
        self.is_shut.get()
    }

    pub fn frames(&self) -> u64 {
        self.frames.get()
    }

    /// Ends all connections, each once what it is owed has left.
    pub fn close(&self) {
        self.is_closed.set(true);
        for client in self.all.borrow().values() {
            client.closing.set(true);
            client.outbox.close();
        }
    }

    pub fn are_gone(&self) -> bool {
        self.all.borrow().is_empty()
    }

    /// Makes room for one more: who is going anyway goes at once; else, of those with nothing open, the one idle
    /// longest goes.
    pub(crate) fn room(&self, most: usize) -> bool {
        let all = self.all.borrow();
        if all.len() < most {
            return true;
        }
        if let Some(going) = all.values().find(|c| c.closing.get() && !c.hurried.get()) {
            going.hurry();
            return true;
        }
        let idle = all.values().filter(|c| !c.closing.get());
        let idle = idle.filter_map(|c| Some((c.active.get().is_some(), c.idle_since()?, c)));
        match idle.min_by_key(|(spoke, since, _)| (*spoke, *since)) {
            Some((_, _, client)) if all.len() < most + GOING_MOST => {
                client.cut_off();
                true
            }
            Some((_, _, client)) => {
                client.hurry();
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
        let came = tokio::select! {
            // Who came before the door shuts is let in: the machine has accepted it already.
            biased;
            came = door.accept() => came,
            () = front.seat.clients.shut.notified() => return front.seat.clients.is_shut.set(true),
        };
        match came {
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
    let mut end = output.clone();
    let clock = front.clock;
    let client = Rc::new(Client {
        outbox: Outbox::new(ANSWERS_MOST_BYTES),
        open: RefCell::default(),
        last_stream: Cell::new(0),
        came: clock.now(),
        active: Cell::new(None),
        partial_since: Cell::new(None),
        cut: Notify::new(),
        closing: Cell::new(front.seat.clients.is_closed.get()),
        hurried: Cell::new(false),
        told_away: Cell::new(false),
    });
    let clients = &front.seat.clients;
    let number = clients.last.get() + 1;
    clients.last.set(number);
    clients.all.borrow_mut().insert(number, client.clone());
    let mut read = Read::new(input, clock, front.turns.clone());
    {
        let write = client.outbox.write_to(&mut output, || clock.now(), |_| ());
        let mut write = std::pin::pin!(write);
        let mut wrote = None;
        let why = tokio::select! {
            // Before it reads: what comes in the turn in which a connection was chosen to end is not taken, as its client
            // may bring it again on a new one.
            biased;
            () = client.cut.notified() => {
                // Only what it left unfinished is worth a word: silence ends in silence.
                client.partial_since.get().map(|_| "a frame that does not end".to_owned())
            }
            why = listen(&front, &client, &mut read) => why,
            done = &mut write => { wrote = Some(done); None }
        };
        // First of all: nothing more is sent on for who has left, however long its last words take.
        client.closing.set(true);
        let open: Vec<InvId> = client.open.borrow().values().copied().collect();
        if let Some(why) = &why {
            info!(why, open = open.len(), "a client is cut off");
            client.put(frames::answer(0, Code::Errored, None, why.as_bytes()), ANY_TIME);
        }
        for id in open {
            front.tell(|state| state.left(id));
        }
        // What was answered before goes out too, and has a moment to arrive. A writer that has ended is not asked again.
        client.outbox.close();
        let last_words = async {
            let wrote = match wrote {
                Some(done) => done,
                None => write.await,
            };
            if let Err(e) = wrote {
                return debug!(%e, "a client is gone");
            }
            if client.active.get().is_some() || why.is_some() {
                farewell(&mut end, &mut read).await;
            }
        };
        let hurried = async {
            while !client.hurried.get() {
                client.cut.notified().await;
            }
        };
        tokio::select! {
            biased;
            _ = tokio::time::timeout(LAST_WORDS, last_words) => {}
            () = hurried => {}
        }
    }
    clients.all.borrow_mut().remove(&number);
}

/// Says that nothing more comes, and waits until the client has ended the connection too: then it has read all.
async fn farewell(end: &mut Half, read: &mut Read<Half>) {
    if end.shutdown().await.is_err() {
        return;
    }
    let mut discarded = read.bytes.len();
    while discarded < DISCARDED_MOST {
        read.bytes.clear();
        match read.more().await {
            Ok(Some(_)) => discarded += read.bytes.len(),
            Ok(None) | Err(_) => return,
        }
    }
}

/// Reads frames until the client leaves (`None`), or says why it is cut off.
async fn listen(front: &Rc<Front>, client: &Rc<Client>, read: &mut Read<Half>) -> Option<String> {
    loop {
        let earliest = match read.more().await {
            Ok(Some(earliest)) => earliest,
            Ok(None) | Err(_) => return None,
        };
        loop {
            if client.closing.get() {
                return None;
            }
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
    let clients = &front.seat.clients;
    clients.frames.set(clients.frames.get() + 1);
    client.active.set(Some(front.clock.now()));
    client.partial_since.set(None);
    match frame {
        FromClient::AskReady { stream } => {
            client.put(frames::readiness(stream, !clients.ending.get()), ANY_TIME);
        }
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
            // Who came after SIGTERM came for this one: it hears so only now, or it would take it elsewhere.
            if clients.ending.get() {
                client.go_away();
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
    // Where there are no tenants the field says nothing; where there are, whose it is decides whose share it uses.
    let tenant = match &request.tenant {
        _ if seat.tenant_names.is_empty() => 0,
        Some(name) => {
            let tenant = seat.tenant_names.iter().position(|n| n == name);
            tenant.ok_or_else(|| format!("team '{name}': not one of this deployment"))?
        }
        None => return Err("team: needed in this deployment".into()),
    };
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
        tenant,
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
