//! A pool of connections to each invoker, keyed by its id and never by its address; one request a connection at a time.

use crate::attempt::{
    Attempt, PreparedRequest, REQUEST_STALENESS_LIMIT, WaitingClient, background_request,
    run_dispatch, run_load,
};
use crate::clients::ClientResponder;
use crate::invoker_connection::{InvokerConnection, SendDeadline, Socket};
use crate::limits::ResourceLimits;
use crate::state::{ControllerHandle, ControllerState, NodeConfig};
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

/// An idle connection is closed before the invoker would close it: at this fraction of the configured idle timeout.
const IDLE_TIMEOUT_FRACTION: (Ticks, Ticks) = (3, 4);
/// A connection is not reused for this long after a response, as measured at event loop polls: a duplicate response, or
/// noise, may come some milliseconds late, and would be read as the response to the next request.
const CONNECTION_REUSE_DELAY: Ticks = 30 * MILLISECOND;

/// What the dispatches of an invocation carry.
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
    idle: Vec<(Ticks, InvokerConnection)>,
    /// Requests under way.
    active_requests: usize,
}

enum RequestKind {
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

struct PendingRequest {
    invoker: InvokerId,
    of: RequestKind,
    socket: Option<Rc<Socket>>,
    task: AbortHandle,
}

impl PendingRequest {
    fn sent_at(&self) -> Option<Ticks> {
        self.socket.as_ref()?.sent_at()
    }

    /// A dispatch whose request has left whole.
    fn is_out(&self) -> bool {
        matches!(self.of, RequestKind::Dispatch { .. })
            && self.socket.as_ref().is_some_and(|s| s.sent_completely())
    }
}

/// Sizes of the tables: none may grow with what was ever seen.
#[cfg(test)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PoolSizes {
    pub pools: usize,
    pub lines: usize,
    pub jobs: usize,
    pub bytes: usize,
}

pub(crate) struct InvokerPools {
    handle: Weak<ControllerHandle>,
    budget: ResourceLimits,
    connect_timeout: Ticks,
    connection_idle_timeout: Ticks,
    trigger_names: Rc<[String]>,
    pools: BTreeMap<InvokerId, Pool>,
    jobs: BTreeMap<u64, PendingRequest>,
    last: u64,
    /// When orders left whose end is being told.
    load_sent_times: BTreeMap<u64, Ticks>,
    /// Connections that are open, being made or just aborted, idle ones among them.
    open: Rc<Cell<usize>>,
    held: Rc<Cell<usize>>,
}

/// Counts a descriptor for as long as it lives.
pub(crate) struct DescriptorGuard(Rc<Cell<usize>>);

impl DescriptorGuard {
    pub fn new(of: &Rc<Cell<usize>>) -> Self {
        of.set(of.get() + 1);
        Self(of.clone())
    }
}

impl Drop for DescriptorGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl InvokerPools {
    pub fn new(
        budget: ResourceLimits,
        connect_timeout: Ticks,
        connection_idle_timeout: Ticks,
        trigger_names: Rc<[String]>,
    ) -> Self {
        let (pools, jobs, last, load_sent_times, open, held) = Default::default();
        let handle = Weak::new();
        Self {
            handle,
            budget,
            connect_timeout,
            connection_idle_timeout,
            trigger_names,
            pools,
            jobs,
            last,
            load_sent_times,
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
    pub fn sizes(&self) -> PoolSizes {
        let (pools, lines, jobs) = (self.pools.len(), self.open.get(), self.jobs.len());
        PoolSizes {
            pools,
            lines,
            jobs,
            bytes: self.held.get(),
        }
    }

    /// Lets go of idle lines that the invoker would soon close, of those that are broken, and of pools that are gone.
    pub fn sweep(&mut self, now: Ticks) {
        let most = self.connection_idle_timeout * IDLE_TIMEOUT_FRACTION.0 / IDLE_TIMEOUT_FRACTION.1;
        for p in self.pools.values_mut() {
            p.idle
                .retain(|(since, line)| now < since + most && line.is_reusable());
        }
        self.pools
            .retain(|_, p| p.life != InvokerStatus::Gone || p.active_requests > 0);
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
        of: RequestKind,
        prepared: PreparedRequest,
    ) -> Result<u64, Outcome> {
        let most = self.connection_idle_timeout * IDLE_TIMEOUT_FRACTION.0 / IDLE_TIMEOUT_FRACTION.1;
        let new_work = !matches!(
            of,
            RequestKind::Order { new_work: false } | RequestKind::Aside
        );
        let pool = self.pools.get_mut(&invoker).ok_or(Outcome::NoConnection)?;
        if new_work && now >= pool.cutoff.get() {
            return Err(Outcome::NotSent);
        }
        let handle = self.handle.upgrade().ok_or(Outcome::NotSent)?;
        let (looked, mut line) = (handle.event_loop.last_polled(), None);
        for i in (0..pool.idle.len()).rev() {
            let since = pool.idle[i].0;
            if looked < since + CONNECTION_REUSE_DELAY {
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
        pool.active_requests += 1;
        self.last += 1;
        let cutoff = if new_work {
            pool.cutoff.clone()
        } else {
            Rc::new(Cell::new(Ticks::MAX))
        };
        // A decision that could not leave by then is made anew: what it rests on has changed.
        let leaves_by = now + self.connect_timeout + REQUEST_STALENESS_LIMIT;
        let stale_at = if matches!(of, RequestKind::Dispatch { .. }) {
            Ticks::MAX
        } else {
            leaves_by
        };
        let send_deadline = SendDeadline { cutoff, stale_at };
        // At once: who takes it back before its task had a turn must not be told of the request before.
        line.iter()
            .for_each(|l| l.socket.begin(prepared.body, send_deadline.clone()));
        let ask = Attempt {
            handle,
            invoker,
            epoch: pool.epoch,
            request_id: self.last,
            address: Address::Tcp(pool.address.to_string()),
            within: Duration::from_micros(self.connect_timeout * 100),
            descriptor: Cell::new(line.is_none().then(|| DescriptorGuard::new(&self.open))),
            open: self.open.clone(),
            send_deadline,
            prepared,
        };
        let socket = line.as_ref().map(|l| l.socket.clone());
        let task = match of {
            RequestKind::Dispatch { inv, hop } => {
                tokio::task::spawn_local(run_dispatch(ask, line, inv, hop))
            }
            RequestKind::Order { .. } => tokio::task::spawn_local(run_load(ask, line)),
            RequestKind::Aside => tokio::task::spawn_local(background_request(ask, line)),
        };
        self.jobs.insert(
            self.last,
            PendingRequest {
                invoker,
                of,
                socket,
                task: task.abort_handle(),
            },
        );
        Ok(self.last)
    }

    /// The connection of a request was established.
    pub(crate) fn connected(&mut self, job: u64, socket: Rc<Socket>) {
        if let Some(job) = self.jobs.get_mut(&job) {
            job.socket = Some(socket);
        }
    }

    /// A request has ended by itself: false when it was aborted before.
    pub(crate) fn finish(&mut self, job: u64) -> bool {
        let Some(ended) = self.jobs.remove(&job) else {
            return false;
        };
        if let Some(pool) = self.pools.get_mut(&ended.invoker) {
            pool.active_requests -= 1;
        }
        if let (RequestKind::Order { .. }, Some(left)) = (&ended.of, ended.sent_at()) {
            self.load_sent_times.insert(job, left);
        }
        true
    }

    /// Aborts a request: its connection is closed at once.
    fn abort(&mut self, job: u64) {
        let Some(job) = self.jobs.remove(&job) else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&job.invoker) {
            pool.active_requests -= 1;
        }
        if let Some(socket) = job.socket {
            socket.close();
        }
        job.task.abort();
    }

    pub(crate) fn return_connection(
        &mut self,
        now: Ticks,
        invoker: InvokerId,
        epoch: u32,
        line: InvokerConnection,
    ) {
        if let Some(pool) = self
            .pools
            .get_mut(&invoker)
            .filter(|p| p.epoch == epoch && p.life != InvokerStatus::Gone)
        {
            pool.idle.push((now, line));
        }
    }
}

impl InvokerTransport for InvokerPools {
    type Payload = Payload;
    type Responder = ClientResponder;
    type Config = NodeConfig;

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
        let client = Some(WaitingClient {
            until,
            leave_by,
            backlog: c.client_backlog.clone(),
        });
        let prepared = PreparedRequest {
            request,
            body: c.body.len(),
            client,
        };
        self.start(
            s.now,
            s.invoker,
            RequestKind::Dispatch {
                inv: s.invocation,
                hop: s.attempt,
            },
            prepared,
        )
    }

    fn withdraw(&mut self, _: InvokerId, dispatch: u64) -> bool {
        let Some(job) = self.jobs.get(&dispatch) else {
            return false;
        };
        let never = job.socket.as_ref().is_none_or(|s| !s.sent_completely());
        if never {
            self.abort(dispatch);
        }
        never
    }

    fn cancel(&mut self, _: InvokerId, dispatch: u64) -> bool {
        self.abort(dispatch);
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
        self.abort(dispatch);
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
        let of = RequestKind::Order {
            new_work: count > 0,
        };
        self.start(now, invoker, of, PreparedRequest::alone(request))
            .map_err(|outcome| match outcome {
                Outcome::NoConnection => LoadOutcome::Unreachable,
                _ => LoadOutcome::NotSent,
            })
    }

    fn load_sent_at(&self, order: u64) -> Option<Ticks> {
        self.jobs.get(&order).map_or_else(
            || self.load_sent_times.get(&order).copied(),
            PendingRequest::sent_at,
        )
    }

    fn load_ended(&mut self, _: InvokerId, order: u64) {
        self.load_sent_times.remove(&order);
        self.abort(order);
    }

    fn unload(&mut self, now: Ticks, invoker: InvokerId, function: FunctionId) {
        let request = Request::builder()
            .method("DELETE")
            .uri(http::function_path(function));
        if let Ok(request) = request.header("host", "invoker").body(Full::default()) {
            let _ = self.start(
                now,
                invoker,
                RequestKind::Aside,
                PreparedRequest::alone(request),
            );
        }
    }

    fn probe(&mut self, now: Ticks, invoker: InvokerId) {
        let request = Request::builder().uri("/busy").header("host", "invoker");
        if let Ok(request) = request.body(Full::default()) {
            let _ = self.start(
                now,
                invoker,
                RequestKind::Aside,
                PreparedRequest::alone(request),
            );
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
            active_requests: 0,
        });
        if pool.address != l.address || l.life == InvokerStatus::Gone {
            pool.epoch += 1;
            pool.idle.clear();
        }
        (pool.address, pool.life) = (l.address, l.life);
        // Reported again, a start is the same: a later one would be another start.
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
pub(crate) fn log_invoker_views(state: &ControllerState) {
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
        let of = |j: &&PendingRequest| j.invoker == b.invoker;
        let sent = reach
            .jobs
            .values()
            .filter(of)
            .filter(|j| matches!(j.of, RequestKind::Dispatch { .. }))
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
    let waits = |job: &&PendingRequest| {
        job.invoker == invoker && job.socket.as_ref().is_none_or(|s| !s.has_begun_sending())
    };
    let mut dispatches = Vec::new();
    let mut orders = Vec::new();
    for (n, job) in reach.jobs.iter().filter(|(_, job)| waits(job)) {
        match job.of {
            RequestKind::Dispatch { inv, hop } => dispatches.push((inv, hop)),
            RequestKind::Order { new_work: true } => orders.push(*n),
            RequestKind::Order { .. } | RequestKind::Aside => {}
        }
    }
    dispatches.into_iter().for_each(|(inv, hop)| {
        state.attempt_ended(inv, hop, Outcome::NotSent, &AttemptReport::default())
    });
    orders
        .into_iter()
        .for_each(|n| state.load_ended(invoker, n, LoadOutcome::NotSent, 0));
}
