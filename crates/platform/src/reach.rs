//! How invokers are reached: a pool of lines to each, by its id and never by its address, one request a line at a time.

use crate::attempt::{Ask, FRESH, Waiting, Worded, aside, dispatch, order};
use crate::budget::Budget;
use crate::clients::Reply;
use crate::life::ControllerConfig;
use crate::line::{Departure, Line, Socket};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use saltdrum::interface::*;
use saltdrum_controller::{AttemptReport, InvokerTransport, OutgoingDispatch};
use saltdrum_platform_wire::feed::Line as Listing;
use saltdrum_platform_wire::http;
use saltdrum_transport::{Address, ReadBacklog};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::task::AbortHandle;
use tracing::{debug, info};

pub(crate) type ControllerHandle = saltdrum_controller::ControllerHandle<Lines>;
pub(crate) type ControllerState = saltdrum_controller::ControllerState<Lines>;

/// An idle line is closed by us before the invoker would close it: at this share of the stated time.
const IDLE_SHARE: (Ticks, Ticks) = (3, 4);
/// A line rests so long after an answer before it is used again, by looks of the machine: a second answer, or noise, may
/// come some milliseconds late, and on a line in use it would be read as the answer to the next request.
const RESTS: Ticks = 30 * MILLISECOND;

/// What of an invocation goes along with its dispatches.
pub(crate) struct Payload {
    pub trigger: usize,
    pub txn: u64,
    pub token: Option<String>,
    pub body: Bytes,
    /// Where its client's stream holds what was not read yet, it may have left.
    client_backlog: ReadBacklog,
    /// Inputs held, over all invocations.
    held: Rc<Cell<usize>>,
}

impl Drop for Payload {
    fn drop(&mut self) {
        self.held.set(self.held.get() - self.body.len());
    }
}

struct Pool {
    address: SocketAddrV4,
    life: InvokerStatus,
    /// Rule 3: nothing begins to leave from then on.
    cutoff: Rc<Cell<Ticks>>,
    /// When it started, as first told: in Unix milliseconds, and on the controller's clock.
    started: Option<(u64, Ticks)>,
    /// Counts up when lines that stand lead to somebody else: those under way are not used again then.
    epoch: u32,
    /// The freshest last, each with when it became idle.
    idle: Vec<(Ticks, Line)>,
    /// Requests under way.
    under_way: usize,
}

enum Of {
    Dispatch {
        inv: InvocationId,
        hop: u8,
    },
    /// New work or not: to ask and to unload are no new work.
    Order {
        new_work: bool,
    },
    Aside,
}

struct Job {
    invoker: InvokerId,
    of: Of,
    socket: Option<Rc<Socket>>,
    task: AbortHandle,
}

impl Job {
    fn left_at(&self) -> Option<Ticks> {
        self.socket.as_ref()?.left_at()
    }

    /// A dispatch whose request has left whole.
    fn is_out(&self) -> bool {
        matches!(self.of, Of::Dispatch { .. })
            && self.socket.as_ref().is_some_and(|s| s.left_whole())
    }
}

/// Sizes of the tables: none may grow with what was ever seen.
#[cfg(test)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Sizes {
    pub pools: usize,
    pub lines: usize,
    pub jobs: usize,
    pub bytes: usize,
}

pub(crate) struct Lines {
    handle: Weak<ControllerHandle>,
    budget: Budget,
    connect_timeout: Ticks,
    conn_idle: Ticks,
    trigger_names: Rc<[String]>,
    pools: BTreeMap<InvokerId, Pool>,
    jobs: BTreeMap<u64, Job>,
    last: u64,
    /// When orders left whose end is being told.
    orders_left: BTreeMap<u64, Ticks>,
    /// Lines that stand, are made or were just given up, idle ones among them.
    open: Rc<Cell<usize>>,
    held: Rc<Cell<usize>>,
}

/// Counts a descriptor for as long as it lives.
pub(crate) struct Counted(Rc<Cell<usize>>);

impl Counted {
    pub fn new(of: &Rc<Cell<usize>>) -> Self {
        of.set(of.get() + 1);
        Self(of.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Lines {
    pub fn new(
        budget: Budget,
        connect_timeout: Ticks,
        conn_idle: Ticks,
        trigger_names: Rc<[String]>,
    ) -> Self {
        let (pools, jobs, last, orders_left, open, held) = Default::default();
        let handle = Weak::new();
        Self {
            handle,
            budget,
            connect_timeout,
            conn_idle,
            trigger_names,
            pools,
            jobs,
            last,
            orders_left,
            open,
            held,
        }
    }

    pub fn know(&mut self, handle: &Rc<ControllerHandle>) {
        self.handle = Rc::downgrade(handle);
    }

    /// What goes along with an invocation, if there is room to hold it.
    pub fn carry(
        &self,
        trigger: usize,
        txn: u64,
        token: Option<String>,
        body: Bytes,
        client_backlog: ReadBacklog,
    ) -> Option<Payload> {
        let held = self.held.get() + body.len();
        (held <= self.budget.bytes).then(|| {
            self.held.set(held);
            Payload {
                trigger,
                txn,
                token,
                body,
                client_backlog,
                held: self.held.clone(),
            }
        })
    }

    #[cfg(test)]
    pub fn sizes(&self) -> Sizes {
        let (pools, lines, jobs) = (self.pools.len(), self.open.get(), self.jobs.len());
        Sizes {
            pools,
            lines,
            jobs,
            bytes: self.held.get(),
        }
    }

    /// Lets go of idle lines that the invoker would soon close, of those that are broken, and of pools that are gone.
    pub fn sweep(&mut self, now: Ticks) {
        let most = self.conn_idle * IDLE_SHARE.0 / IDLE_SHARE.1;
        for p in self.pools.values_mut() {
            p.idle
                .retain(|(since, line)| now < since + most && line.is_reusable());
        }
        self.pools
            .retain(|_, p| p.life != InvokerStatus::Gone || p.under_way > 0);
    }

    /// Makes room for one more line: the idle line that was idle longest goes, wherever it leads.
    fn room(&mut self) -> bool {
        if self.open.get() < self.budget.lines {
            return true;
        }
        let longest = self
            .pools
            .iter()
            .filter_map(|(w, p)| Some((p.idle.first()?.0, *w)))
            .min();
        let Some(pool) = longest.and_then(|(_, w)| self.pools.get_mut(&w)) else {
            return false;
        };
        pool.idle.remove(0);
        self.open.get() < self.budget.lines
    }

    /// Starts a request. `Err`: it never left.
    fn start(
        &mut self,
        now: Ticks,
        invoker: InvokerId,
        of: Of,
        worded: Worded,
    ) -> Result<u64, Outcome> {
        let most = self.conn_idle * IDLE_SHARE.0 / IDLE_SHARE.1;
        let new_work = !matches!(of, Of::Order { new_work: false } | Of::Aside);
        let pool = self.pools.get_mut(&invoker).ok_or(Outcome::NoConnection)?;
        if new_work && now >= pool.cutoff.get() {
            return Err(Outcome::NotSent);
        }
        let handle = self.handle.upgrade().ok_or(Outcome::NotSent)?;
        let (looked, mut line) = (handle.event_loop.last_polled(), None);
        for i in (0..pool.idle.len()).rev() {
            let since = pool.idle[i].0;
            if looked < since + RESTS {
                continue;
            }
            let (_, idle) = pool.idle.remove(i);
            if now < since + most && idle.is_reusable() {
                line = Some(idle);
                break;
            }
        }
        if line.is_none() && !self.room() {
            debug!(invoker, "no descriptor is left for a connection");
            return Err(Outcome::NotSent);
        }
        let pool = self.pools.get_mut(&invoker).ok_or(Outcome::NoConnection)?;
        pool.under_way += 1;
        self.last += 1;
        let cutoff = if new_work {
            pool.cutoff.clone()
        } else {
            Rc::new(Cell::new(Ticks::MAX))
        };
        // A decision that could not leave by then is made anew: what it rests on has changed.
        let leaves_by = now + self.connect_timeout + FRESH;
        let fresh_until = if matches!(of, Of::Dispatch { .. }) {
            Ticks::MAX
        } else {
            leaves_by
        };
        let departure = Departure {
            cutoff,
            fresh_until,
        };
        // At once: who takes it back before its task had a turn must not be told of the request before.
        line.iter()
            .for_each(|l| l.socket.begin(worded.body, departure.clone()));
        let ask = Ask {
            handle,
            invoker,
            epoch: pool.epoch,
            job: self.last,
            address: Address::Tcp(pool.address.to_string()),
            within: Duration::from_micros(self.connect_timeout * 100),
            counted: Cell::new(line.is_none().then(|| Counted::new(&self.open))),
            open: self.open.clone(),
            departure,
            worded,
        };
        let socket = line.as_ref().map(|l| l.socket.clone());
        let task = match of {
            Of::Dispatch { inv, hop } => tokio::task::spawn_local(dispatch(ask, line, inv, hop)),
            Of::Order { .. } => tokio::task::spawn_local(order(ask, line)),
            Of::Aside => tokio::task::spawn_local(aside(ask, line)),
        };
        self.jobs.insert(
            self.last,
            Job {
                invoker,
                of,
                socket,
                task: task.abort_handle(),
            },
        );
        Ok(self.last)
    }

    /// A connection of a request was made.
    pub(crate) fn dialled(&mut self, job: u64, socket: Rc<Socket>) {
        if let Some(job) = self.jobs.get_mut(&job) {
            job.socket = Some(socket);
        }
    }

    /// A request has come to its end by itself: false when it was given up before.
    pub(crate) fn finish(&mut self, job: u64) -> bool {
        let Some(ended) = self.jobs.remove(&job) else {
            return false;
        };
        if let Some(pool) = self.pools.get_mut(&ended.invoker) {
            pool.under_way -= 1;
        }
        if let (Of::Order { .. }, Some(left)) = (&ended.of, ended.left_at()) {
            self.orders_left.insert(job, left);
        }
        true
    }

    /// Gives a request up: its connection is closed at once.
    fn give_up(&mut self, job: u64) {
        let Some(job) = self.jobs.remove(&job) else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&job.invoker) {
            pool.under_way -= 1;
        }
        if let Some(socket) = job.socket {
            socket.close();
        }
        job.task.abort();
    }

    pub(crate) fn put_back(&mut self, now: Ticks, invoker: InvokerId, epoch: u32, line: Line) {
        if let Some(pool) = self
            .pools
            .get_mut(&invoker)
            .filter(|p| p.epoch == epoch && p.life != InvokerStatus::Gone)
        {
            pool.idle.push((now, line));
        }
    }
}

impl InvokerTransport for Lines {
    type Payload = Payload;
    type Responder = Reply;
    type Config = ControllerConfig;

    fn dispatch(&mut self, s: &OutgoingDispatch<Payload>) -> Result<u64, Outcome> {
        let c = s.payload;
        let method = if c.body.is_empty() { "GET" } else { "POST" };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("/obj/{}", self.trigger_names[c.trigger]))
            .header("host", "invoker")
            .header(http::TXN, format!("{:016x}", c.txn))
            .header(http::FUNCTION, format!("{:016x}", s.function));
        if let Some(token) = &c.token {
            request = request.header(http::TOKEN, token);
        }
        if !c.body.is_empty() {
            request = request.header("content-length", c.body.len());
        }
        let request = request
            .body(Full::new(c.body.clone()))
            .map_err(|_| Outcome::NotSent)?;
        let (until, leave_by) = (s.deadline, s.send_by);
        let client = Some(Waiting {
            until,
            leave_by,
            backlog: c.client_backlog.clone(),
        });
        let worded = Worded {
            request,
            body: c.body.len(),
            client,
        };
        self.start(
            s.now,
            s.invoker,
            Of::Dispatch {
                inv: s.invocation,
                hop: s.attempt,
            },
            worded,
        )
    }

    fn withdraw(&mut self, _: InvokerId, dispatch: u64) -> bool {
        let Some(job) = self.jobs.get(&dispatch) else {
            return false;
        };
        let never = job.socket.as_ref().is_none_or(|s| !s.left_whole());
        if never {
            self.give_up(dispatch);
        }
        never
    }

    fn cancel(&mut self, _: InvokerId, dispatch: u64) -> bool {
        self.give_up(dispatch);
        true
    }

    fn attempt_ended(
        &mut self,
        _: InvokerId,
        dispatch: u64,
        _: &Payload,
        _: Outcome,
        _: &AttemptReport,
    ) {
        self.give_up(dispatch);
    }

    fn load(
        &mut self,
        now: Ticks,
        invoker: InvokerId,
        function: FunctionId,
        count: u8,
    ) -> Result<u64, LoadOutcome> {
        let uri = format!("{}/{count}", http::function_path(function));
        let request = Request::builder()
            .method("PUT")
            .uri(uri)
            .header("host", "invoker");
        let request = request
            .body(Full::default())
            .map_err(|_| LoadOutcome::NotSent)?;
        let of = Of::Order {
            new_work: count > 0,
        };
        self.start(now, invoker, of, Worded::alone(request))
            .map_err(|outcome| match outcome {
                Outcome::NoConnection => LoadOutcome::Unreachable,
                _ => LoadOutcome::NotSent,
            })
    }

    fn load_sent_at(&self, order: u64) -> Option<Ticks> {
        self.jobs
            .get(&order)
            .map_or_else(|| self.orders_left.get(&order).copied(), Job::left_at)
    }

    fn load_ended(&mut self, _: InvokerId, order: u64) {
        self.orders_left.remove(&order);
        self.give_up(order);
    }

    fn unload(&mut self, now: Ticks, invoker: InvokerId, function: FunctionId) {
        let request = Request::builder()
            .method("DELETE")
            .uri(http::function_path(function));
        if let Ok(request) = request.header("host", "invoker").body(Full::default()) {
            let _ = self.start(now, invoker, Of::Aside, Worded::alone(request));
        }
    }

    fn probe(&mut self, now: Ticks, invoker: InvokerId) {
        let request = Request::builder().uri("/busy").header("host", "invoker");
        if let Ok(request) = request.body(Full::default()) {
            let _ = self.start(now, invoker, Of::Aside, Worded::alone(request));
        }
    }
}

/// What the feed says reaches the pools first, so that nothing the module then does meets an old one. It has been in the feed
/// since `came` at the earliest, and counts as told since then, however late it is read.
pub(crate) fn told(
    state: &mut ControllerState,
    whole: bool,
    lines: &[Listing],
    came: Ticks,
    started: impl Fn(u64) -> Ticks,
    grace: Ticks,
) {
    let (now, reach) = (state.invocations.now, &mut state.invocations.transport);
    let mut cut = Vec::new();
    if whole {
        for (w, p) in &mut reach.pools {
            if p.life != InvokerStatus::Gone && !lines.iter().any(|l| l.invoker == *w) {
                p.life = InvokerStatus::Gone;
                p.epoch += 1;
                p.idle.clear();
                cut.push(*w);
            }
        }
    }
    for l in lines {
        if l.life == InvokerStatus::Gone && !reach.pools.contains_key(&l.invoker) {
            continue;
        }
        let pool = reach.pools.entry(l.invoker).or_insert_with(|| Pool {
            address: l.address,
            life: l.life,
            cutoff: Rc::new(Cell::new(Ticks::MAX)),
            started: None,
            epoch: 0,
            idle: Vec::new(),
            under_way: 0,
        });
        if pool.address != l.address || l.life == InvokerStatus::Gone {
            pool.epoch += 1;
            pool.idle.clear();
        }
        (pool.address, pool.life) = (l.address, l.life);
        // AttemptReport again, a start is the same: a later one would be another start.
        let known = pool
            .started
            .filter(|(unix_ms, _)| Some(*unix_ms) == l.started_ms);
        pool.started = known.or_else(|| l.started_ms.map(|unix_ms| (unix_ms, started(unix_ms))));
        if l.life == InvokerStatus::Ready {
            pool.cutoff.set(Ticks::MAX);
        } else {
            cut.push(l.invoker);
        }
    }
    let start_of = |l: &Listing| {
        reach
            .pools
            .get(&l.invoker)
            .and_then(|pool| Some(pool.started?.1))
    };
    let listed: Vec<InvokerRecord> = lines.iter().map(|l| l.listed(start_of(l))).collect();
    state.policy.invokers_changed(now, whole, &listed);
    for invoker in cut {
        // Half the grace is for the way and for what has begun to leave.
        let at = came + grace / 2;
        if let Some(pool) = state.invocations.transport.pools.get(&invoker) {
            pool.cutoff.set(pool.cutoff.get().min(at));
        }
        state
            .invocations
            .schedule(at, Box::new(move |state| cut_off(state, invoker)));
    }
}

/// What the module believes of each invoker, beside what is on its sockets.
pub(crate) fn log_beliefs(state: &ControllerState) {
    let (reach, c, held) = (
        &state.invocations.transport,
        &state.invocations.counters,
        state.policy.table_sizes(),
    );
    info!(
        taken = c.accepted,
        stale = c.expired_on_arrival,
        succeeded = c.succeeded,
        throttled = c.throttled,
        errored = c.errored,
        left = c.client_left,
        too_late = c.answered_too_late,
        dispatches = c.attempts,
        orders = c.load_orders,
        orders_counted = held.loads_counted,
        invocations_counted = held.invocations_counted,
        in_flight = state.invocations.in_flight(),
        lines = reach.open.get(),
        held_bytes = reach.held.get(),
        "counts"
    );
    for b in state.policy.invoker_views(state.invocations.now) {
        let id = saltdrum_platform_wire::feed::id_text(b.invoker);
        let of = |j: &&Job| j.invoker == b.invoker;
        let sent = reach
            .jobs
            .values()
            .filter(of)
            .filter(|j| matches!(j.of, Of::Dispatch { .. }))
            .count();
        let on_sockets = reach
            .jobs
            .values()
            .filter(of)
            .filter(|j| j.is_out())
            .count();
        let idle = reach.pools.get(&b.invoker).map_or(0, |p| p.idle.len());
        info!(
            id,
            out = b.in_flight,
            sent,
            on_sockets,
            idle,
            slow = b.slowdown,
            errors = b.error_rate,
            shut = b.is_ejected,
            "belief"
        );
    }
}

/// The time of a pool's cutoff has come: what has not begun to leave never will.
fn cut_off(state: &mut ControllerState, invoker: InvokerId) {
    let (now, reach) = (state.invocations.now, &state.invocations.transport);
    if reach
        .pools
        .get(&invoker)
        .is_none_or(|p| now < p.cutoff.get())
    {
        return;
    }
    let waits =
        |job: &&Job| job.invoker == invoker && job.socket.as_ref().is_none_or(|s| !s.has_begun());
    let mut dispatches = Vec::new();
    let mut orders = Vec::new();
    for (n, job) in reach.jobs.iter().filter(|(_, job)| waits(job)) {
        match job.of {
            Of::Dispatch { inv, hop } => dispatches.push((inv, hop)),
            Of::Order { new_work: true } => orders.push(*n),
            Of::Order { .. } | Of::Aside => {}
        }
    }
    dispatches.into_iter().for_each(|(inv, hop)| {
        state.attempt_ended(inv, hop, Outcome::NotSent, &AttemptReport::default())
    });
    orders
        .into_iter()
        .for_each(|n| state.load_ended(invoker, n, LoadOutcome::NotSent, 0));
}
