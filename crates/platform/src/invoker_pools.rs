//! A pool of connections to each invoker, by its id, not its address. A connection carries one request at a time.

use crate::attempt::{
    Attempt, PreparedRequest, REQUEST_STALENESS_LIMIT, run_background_request, run_dispatch,
    run_load, run_probe,
};
use crate::descriptor_guard::DescriptorGuard;
use crate::invoker_connection::{InvokerConnection, SendDeadline, Socket};
use crate::limits::ResourceLimits;
use crate::shared_budget::{BudgetHolder, PeerShare, Reservation, SharedBudget};
use crate::state::ControllerHandle;
use crate::transaction_ids::TransactionId;
use bytes::Bytes;
use saltdrum::interface::*;
use saltdrum_platform_wire::frames;
use saltdrum_transport::{Address, ReadBacklog};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::task::AbortHandle;
use tracing::debug;

mod idle_connections;
mod list_changes;
mod lost_connections;
mod transport;
mod views;

pub(crate) use list_changes::apply_list_change;
pub(crate) use lost_connections::report_lost_connections;
pub(crate) use views::log_invoker_views;

/// The data that is sent with each attempt of an invocation.
pub(crate) struct Payload {
    pub trigger: usize,
    pub transaction: TransactionId,
    /// The idempotency key.
    pub token: Option<String>,
    pub body: Bytes,
    /// Whether the client's stream has unread bytes; while it has, the client may have left.
    client_backlog: ReadBacklog,
    /// Total bytes of all bodies in memory.
    held_bytes: Rc<Cell<usize>>,
    /// The connections to invokers that its client's attempts use.
    client_lines: Rc<BudgetHolder>,
    _memory: Reservation,
}

impl Drop for Payload {
    fn drop(&mut self) {
        self.held_bytes.set(self.held_bytes.get() - self.body.len());
    }
}

/// The connections to one invoker.
struct Pool {
    address: SocketAddrV4,
    status: InvokerStatus,
    /// Rule 3: from then on no new work begins to be sent.
    cutoff: Rc<Cell<Ticks>>,
    /// When the invoker started, as first reported: in Unix milliseconds, and on the controller's clock.
    started: Option<(u64, Ticks)>,
    /// Incremented when open connections lead to another process; those in use are not reused then.
    epoch: u32,
    /// Set when the process to which requests are sent now has ended.
    process_ended: Rc<Cell<bool>>,
    /// Another invoker has the address by now, so this one's process has ended.
    is_displaced: bool,
    /// Idle connections, each with the time at which it became idle; the most recent is last.
    idle: Vec<(Ticks, InvokerConnection)>,
    /// Requests in flight.
    active_requests: usize,
    /// The invoker reported, at the last probe, that it accepts no new work.
    is_not_ready: bool,
}

impl Pool {
    /// The deadline for a request to begin to be sent. A load order that was not sent within the staleness limit after
    /// `stale_base` is not sent, so that the policy decides again on current data.
    fn send_deadline(&self, kind: &RequestKind, stale_base: Ticks) -> SendDeadline {
        let cutoff = if kind.is_new_work() {
            self.cutoff.clone()
        } else {
            Rc::new(Cell::new(Ticks::MAX))
        };
        let stale_at = match kind {
            RequestKind::Dispatch { .. } => Ticks::MAX,
            RequestKind::Load { send_by, .. } => {
                (stale_base + REQUEST_STALENESS_LIMIT).min(*send_by)
            }
            RequestKind::Probe | RequestKind::Background => stale_base + REQUEST_STALENESS_LIMIT,
        };
        SendDeadline {
            cutoff,
            stale_at,
            process_ended: self.process_ended.clone(),
        }
    }
}

/// The purpose of a request.
enum RequestKind {
    /// An attempt of an invocation.
    Dispatch {
        invocation: InvocationId,
        attempt: u8,
    },
    /// A load order, which must begin to be sent before `send_by`. Queries and unloads are not new work.
    Load { is_new_work: bool, send_by: Ticks },
    /// Asks whether the invoker accepts new work.
    Probe,
    /// A request whose outcome is not reported.
    Background,
}

impl RequestKind {
    /// Whether the request must not be sent to a draining invoker.
    fn is_new_work(&self) -> bool {
        match self {
            Self::Dispatch { .. } => true,
            Self::Load { is_new_work, .. } => *is_new_work,
            Self::Probe | Self::Background => false,
        }
    }
}

/// Spawns the task of a request.
fn spawn_request(
    kind: &RequestKind,
    request: Attempt,
    connection: Option<InvokerConnection>,
) -> AbortHandle {
    let task = match *kind {
        RequestKind::Dispatch {
            invocation,
            attempt,
        } => tokio::task::spawn_local(run_dispatch(request, connection, invocation, attempt)),
        RequestKind::Load { .. } => tokio::task::spawn_local(run_load(request, connection)),
        RequestKind::Probe => tokio::task::spawn_local(run_probe(request, connection)),
        RequestKind::Background => {
            tokio::task::spawn_local(run_background_request(request, connection))
        }
    };
    task.abort_handle()
}

/// A request in flight.
struct PendingRequest {
    invoker: InvokerId,
    kind: RequestKind,
    socket: Option<Rc<Socket>>,
    task: AbortHandle,
    /// Whether the process for which it is meant has ended.
    process_ended: Rc<Cell<bool>>,
    /// The connection that an attempt uses, among those of its client.
    _client_line: Option<Reservation>,
}

impl PendingRequest {
    fn sent_at(&self) -> Option<Ticks> {
        self.socket.as_ref()?.sent_at()
    }

    /// Whether the request was sent completely.
    fn is_sent_completely(&self) -> bool {
        self.socket.as_ref().is_some_and(|s| s.sent_completely())
    }

    /// Whether this is an attempt whose request was sent completely.
    fn is_at_invoker(&self) -> bool {
        matches!(self.kind, RequestKind::Dispatch { .. }) && self.is_sent_completely()
    }
}

/// Sizes of the tables, none of which may grow without bound.
#[cfg(test)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PoolSizes {
    pub pools: usize,
    pub connections: usize,
    pub requests: usize,
    pub body_bytes: usize,
}

/// The connections to all invokers, and the requests on them.
pub(crate) struct InvokerPools {
    handle: Weak<ControllerHandle>,
    budget: ResourceLimits,
    connect_timeout: Ticks,
    connection_idle_timeout: Ticks,
    trigger_names: Rc<[String]>,
    pools: BTreeMap<InvokerId, Pool>,
    /// The invoker that was listed last at each address.
    by_address: BTreeMap<SocketAddrV4, InvokerId>,
    requests: BTreeMap<u64, PendingRequest>,
    last_request: u64,
    /// Invokers that refused or closed connections, each with the time at which this was noticed, not yet reported to
    /// the policy.
    lost_connections: BTreeMap<InvokerId, Ticks>,
    /// When load orders were sent whose outcome is being reported.
    load_sent_times: BTreeMap<u64, Ticks>,
    /// Number of connections that are open (idle ones included), being established or just aborted.
    open_connections: Rc<Cell<usize>>,
    held_bytes: Rc<Cell<usize>>,
    /// What the responses that are being received hold.
    pub(crate) response_memory: Rc<SharedBudget>,
}

impl InvokerPools {
    /// Creates pools without any invokers.
    pub fn new(
        budget: ResourceLimits,
        connect_timeout: Ticks,
        connection_idle_timeout: Ticks,
        trigger_names: Rc<[String]>,
    ) -> Self {
        Self {
            handle: Weak::new(),
            budget,
            connect_timeout,
            connection_idle_timeout,
            trigger_names,
            pools: BTreeMap::new(),
            by_address: BTreeMap::new(),
            requests: BTreeMap::new(),
            last_request: 0,
            lost_connections: BTreeMap::new(),
            load_sent_times: BTreeMap::new(),
            open_connections: Rc::default(),
            held_bytes: Rc::default(),
            response_memory: SharedBudget::new(budget.response_bytes, PeerShare::Ninth),
        }
    }

    /// Sets the handle through which requests report their outcomes.
    pub fn set_handle(&mut self, handle: &Rc<ControllerHandle>) {
        self.handle = Rc::downgrade(handle);
    }

    /// Creates the payload of an invocation, for which `memory` is reserved.
    pub fn make_payload(
        &self,
        trigger: usize,
        transaction: TransactionId,
        request: frames::Request,
        client_backlog: ReadBacklog,
        client_lines: Rc<BudgetHolder>,
        memory: Reservation,
    ) -> Payload {
        let held_bytes = self.held_bytes.clone();
        held_bytes.set(held_bytes.get() + request.body.len());
        Payload {
            trigger,
            transaction,
            token: request.token,
            body: request.body,
            client_backlog,
            held_bytes,
            client_lines,
            _memory: memory,
        }
    }

    #[cfg(test)]
    pub fn sizes(&self) -> PoolSizes {
        PoolSizes {
            pools: self.pools.len(),
            connections: self.open_connections.get(),
            requests: self.requests.len(),
            body_bytes: self.held_bytes.get(),
        }
    }

    /// Starts a request. `Err`: it was never sent.
    fn start(
        &mut self,
        now: Ticks,
        invoker: InvokerId,
        kind: RequestKind,
        prepared: PreparedRequest,
        client_line: Option<Reservation>,
    ) -> Result<u64, Outcome> {
        let pool = self.pools.get(&invoker).ok_or(Outcome::NoConnection)?;
        if pool.is_displaced {
            return Err(Outcome::NoConnection);
        }
        if kind.is_new_work() && now >= pool.cutoff.get() {
            return Err(Outcome::NotSent);
        }
        let handle = self.handle.upgrade().ok_or(Outcome::NotSent)?;
        let connection = self.take_idle(now, handle.event_loop.last_polled(), invoker);
        if connection.is_none() && !self.make_capacity() {
            debug!(invoker, "no descriptor left for a connection");
            return Err(Outcome::NotSent);
        }
        let pool = self.pools.get_mut(&invoker).ok_or(Outcome::NoConnection)?;
        pool.active_requests += 1;
        let (epoch, address) = (pool.epoch, Address::Tcp(pool.address.to_string()));
        let send_deadline = pool.send_deadline(&kind, now + self.connect_timeout);
        self.last_request += 1;
        // Reset here, as a request may be withdrawn before its task runs: the state of the previous request must not
        // decide whether this one was sent.
        if let Some(connection) = &connection {
            connection
                .socket
                .begin(prepared.body_bytes, send_deadline.clone());
        }
        let is_new_connection = connection.is_none();
        let attempt = Attempt {
            handle,
            invoker,
            epoch,
            request_id: self.last_request,
            address,
            connect_timeout: Duration::from_micros(self.connect_timeout * 100),
            descriptor: Cell::new(
                is_new_connection.then(|| DescriptorGuard::new(&self.open_connections)),
            ),
            open_descriptors: self.open_connections.clone(),
            send_deadline,
            response_memory: BudgetHolder::new(self.response_memory.clone()),
            prepared,
        };
        let socket = connection
            .as_ref()
            .map(|connection| connection.socket.clone());
        let process_ended = attempt.send_deadline.process_ended.clone();
        let task = spawn_request(&kind, attempt, connection);
        let request = PendingRequest {
            invoker,
            kind,
            socket,
            task,
            process_ended,
            _client_line: client_line,
        };
        self.requests.insert(self.last_request, request);
        Ok(self.last_request)
    }

    /// Records the connection that was established for a request.
    pub(crate) fn set_socket(&mut self, request: u64, socket: Rc<Socket>) {
        if let Some(request) = self.requests.get_mut(&request) {
            request.socket = Some(socket);
        }
    }

    /// Removes a request that has ended. False: it was aborted before.
    pub(crate) fn finish(&mut self, request: u64) -> bool {
        let Some(ended) = self.requests.remove(&request) else {
            return false;
        };
        if let Some(pool) = self.pools.get_mut(&ended.invoker) {
            pool.active_requests -= 1;
        }
        if let (RequestKind::Load { .. }, Some(sent_at)) = (&ended.kind, ended.sent_at()) {
            self.load_sent_times.insert(request, sent_at);
        }
        true
    }

    /// The latest time at which no byte of a request in flight had been sent.
    pub(crate) fn last_unsent_at(&self, request: u64) -> Option<Ticks> {
        self.requests
            .get(&request)?
            .socket
            .as_ref()?
            .last_unsent_at()
    }

    /// Aborts a request and closes its connection at once.
    fn abort(&mut self, request: u64) {
        let Some(request) = self.requests.remove(&request) else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&request.invoker) {
            pool.active_requests -= 1;
        }
        if let Some(socket) = request.socket {
            socket.close();
        }
        request.task.abort();
    }
}
