//! A pool of connections to each invoker, keyed by its id and never by its address; one request a connection at a time.

use crate::attempt::{
    Attempt, PreparedRequest, REQUEST_STALENESS_LIMIT, background_request, run_dispatch, run_load,
};
use crate::invoker_connection::{InvokerConnection, SendDeadline, Socket};
use crate::limits::ResourceLimits;
use crate::state::ControllerHandle;
use bytes::Bytes;
use saltdrum::interface::*;
use saltdrum_transport::{Address, ReadBacklog};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::task::AbortHandle;
use tracing::debug;

mod list_changes;
mod transport;
mod views;

pub(crate) use list_changes::apply_list_change;
pub(crate) use views::log_invoker_views;

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
