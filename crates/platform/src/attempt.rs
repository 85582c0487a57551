//! One request to an invoker: a dispatch, a load order, a probe or a background request. It is sent on an idle
//! connection or a new one, its headers are completed right before it is sent, and it ends with a response or with
//! whether it may have run.

use crate::descriptor_guard::DescriptorGuard;
use crate::invoker_connection::{InvokerConnection, InvokerResponse, ResponseLimit, SendDeadline};
use crate::invoker_pools::report_lost_connections;
use crate::shared_budget::BudgetHolder;
use crate::state::{ControllerHandle, ControllerState};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HeaderValue;
use saltdrum::interface::*;
use saltdrum_controller::AttemptReport;
use saltdrum_platform_wire::{frames, http};
use saltdrum_transport::{Address, ReadBacklog, is_local_failure};
use std::cell::Cell;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use tracing::{debug, info};

/// Longest response to a request that returns no output.
const SMALL_RESPONSE_BYTES_MAX: usize = 4 << 10;
/// How long the time limit stated in a request, and the knowledge that its client still waits, remain valid. Well
/// within the 100 ms after which nothing may be sent for a client that has left, and the 150 ms by which the stated
/// time limit may exceed the actual one.
pub(crate) const REQUEST_STALENESS_LIMIT: Ticks = 40 * MILLISECOND;
/// How often a request that became stale before it was sent is prepared again. Only a process that is stopped
/// repeatedly needs more; the request is not sent then.
const PREPARATIONS_MAX: usize = 3;
/// Timeout of probes and background requests.
const BACKGROUND_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a request checks whether the event loop has polled the kernel.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A request without the header that states its time limit.
pub(crate) struct PreparedRequest {
    pub request: Request<Full<Bytes>>,
    pub body_bytes: usize,
    /// The client that waits for it; none: no client, so that it may be sent at any time.
    pub client: Option<WaitingClient>,
}

/// The client that waits for the response to a request.
pub(crate) struct WaitingClient {
    /// The client waits until then.
    pub deadline: Ticks,
    /// The request must not begin to be sent from then on.
    pub send_by: Ticks,
    pub backlog: ReadBacklog,
}

impl PreparedRequest {
    /// A request for which no client waits.
    pub fn without_client(request: Request<Full<Bytes>>) -> Self {
        Self {
            request,
            body_bytes: 0,
            client: None,
        }
    }
}

/// One request in flight.
pub(crate) struct Attempt {
    pub handle: Rc<ControllerHandle>,
    pub invoker: InvokerId,
    pub epoch: u32,
    pub request_id: u64,
    pub address: Address,
    pub connect_timeout: Duration,
    /// Counts the descriptor of the new connection, if one is needed, from the start of the request.
    pub descriptor: Cell<Option<DescriptorGuard>>,
    pub open_descriptors: Rc<Cell<usize>>,
    pub send_deadline: SendDeadline,
    /// What the response holds while it is received.
    pub response_memory: Rc<BudgetHolder>,
    pub prepared: PreparedRequest,
}

/// How a request ended: with a response and the connection it arrived on, or with whether it may have run.
enum AttemptEnd {
    Responded(InvokerResponse, InvokerConnection),
    /// It was not sent completely, so it never ran.
    NotSent(String),
    /// It was not sent completely, as it had become stale.
    Stale,
    /// It was not sent, because of a failure of this machine.
    LocalFailure(String),
    /// It was sent completely, so it may have run, but no response arrived.
    Lost(String),
}

/// Why a connection could not be established.
struct DialFailure {
    error: String,
    /// The failure is this machine's, and says nothing about the invoker.
    is_local: bool,
}

impl From<std::io::Error> for DialFailure {
    fn from(error: std::io::Error) -> Self {
        Self {
            error: error.to_string(),
            is_local: is_local_failure(&error),
        }
    }
}

impl Attempt {
    async fn dial(&self) -> Result<InvokerConnection, DialFailure> {
        let descriptor = self
            .descriptor
            .take()
            .unwrap_or_else(|| DescriptorGuard::new(&self.open_descriptors));
        let connected = tokio::time::timeout(
            self.connect_timeout,
            self.handle.network.dial(&self.address),
        )
        .await;
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                if error.kind() == ErrorKind::ConnectionRefused {
                    self.note_lost_connection();
                }
                return Err(error.into());
            }
            Err(_) => {
                let error = format!(
                    "no connection within {} ms",
                    self.connect_timeout.as_millis()
                );
                return Err(DialFailure {
                    error,
                    is_local: false,
                });
            }
        };
        let stream = Box::new(CountedStream {
            stream,
            _descriptor: descriptor,
        });
        let handshake = InvokerConnection::handshake(stream, self.handle.clock).await;
        let connection = handshake.map_err(|error| DialFailure {
            error: error.to_string(),
            is_local: false,
        })?;
        let socket = connection.socket.clone();
        self.handle.update(|state| {
            state
                .invocations
                .transport
                .set_socket(self.request_id, socket)
        });
        Ok(connection)
    }

    /// Removes the request, which has ended, and returns its connection to the pool for reuse. False: it was aborted before.
    fn finish(&self, state: &mut ControllerState, connection: Option<InvokerConnection>) -> bool {
        report_lost_connections(state);
        let now = state.invocations.now;
        let pools = &mut state.invocations.transport;
        if !pools.finish(self.request_id) {
            return false;
        }
        if let Some(connection) = connection {
            pools.return_connection(now, self.invoker, self.epoch, connection);
        }
        true
    }

    /// Records that the invoker refused or closed a connection of this request.
    fn note_lost_connection(&self) {
        self.handle.update(|state| {
            let now = state.invocations.now;
            let pools = &mut state.invocations.transport;
            pools.connection_lost(now, self.invoker, self.epoch);
        });
    }

    /// Sends the request on the idle connection, or on a new one if there is none or it breaks before the request was
    /// sent completely.
    async fn send(
        &self,
        idle_connection: Option<InvokerConnection>,
        max_response_bytes: usize,
    ) -> AttemptEnd {
        if let Some(connection) = idle_connection {
            match self.send_on(connection, max_response_bytes).await {
                AttemptEnd::NotSent(why) => {
                    debug!(invoker = self.invoker, why, "idle connection was broken");
                    self.note_lost_connection();
                }
                AttemptEnd::Stale => debug!(
                    invoker = self.invoker,
                    "request became stale before it was sent"
                ),
                end => return end,
            }
        }
        for _ in 0..PREPARATIONS_MAX {
            let has_process = !self.send_deadline.process_ended.get();
            let client = self.prepared.client.as_ref();
            let is_endless = client.is_some_and(|client| client.backlog.is_endless());
            if !has_process || is_endless || self.prepare(self.handle.clock.now()).is_none() {
                return AttemptEnd::Stale;
            }
            let end = match self.dial().await {
                Ok(connection) => self.send_on(connection, max_response_bytes).await,
                Err(failure) if failure.is_local => AttemptEnd::LocalFailure(failure.error),
                Err(failure) => AttemptEnd::NotSent(failure.error),
            };
            // A request without a client is not prepared again: its send deadline has passed.
            if !matches!(end, AttemptEnd::Stale) || self.prepared.client.is_none() {
                return end;
            }
        }
        AttemptEnd::Stale
    }

    async fn send_on(
        &self,
        mut connection: InvokerConnection,
        max_response_bytes: usize,
    ) -> AttemptEnd {
        if !self.wait_for_readers().await {
            return AttemptEnd::Stale;
        }
        let Some((request, send_deadline)) = self.prepare(self.handle.clock.now()) else {
            return AttemptEnd::Stale;
        };
        match connection
            .request(
                request,
                self.prepared.body_bytes,
                send_deadline,
                ResponseLimit {
                    max_bytes: max_response_bytes,
                    memory: &self.response_memory,
                },
            )
            .await
        {
            Ok(response) => AttemptEnd::Responded(response, connection),
            Err(why) if connection.socket.sent_completely() => {
                self.note_lost_connection();
                AttemptEnd::Lost(why)
            }
            Err(_) if connection.socket.is_stale() => AttemptEnd::Stale,
            Err(why) => AttemptEnd::NotSent(why),
        }
    }

    /// Waits until all data that had arrived from the client and the endpoint feed before the staleness limit has been
    /// read. After a stop, a process handles expired timers, departed clients and draining invokers in any order.
    ///
    /// False: the client sends as fast as it is read, so that whether it still waits can't be known. Its attempts must not
    /// count as sent meanwhile: the decision module would take their invoker for unresponsive.
    async fn wait_for_readers(&self) -> bool {
        while self.handle.event_loop.last_polled() + REQUEST_STALENESS_LIMIT
            <= self.handle.clock.now()
        {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        while self.handle.config.feed.is_behind() {
            tokio::task::yield_now().await;
        }
        let Some(client) = self.prepared.client.as_ref() else {
            return true;
        };
        let wait_ends_at = self.handle.clock.now() + REQUEST_STALENESS_LIMIT;
        while client.backlog.has_unread() {
            if self.handle.clock.now() >= wait_ends_at {
                client.backlog.set_endless();
                return false;
            }
            tokio::task::yield_now().await;
        }
        true
    }

    /// Completes the request for sending at `now`; none: its client's deadline or its send deadline has passed.
    fn prepare(&self, now: Ticks) -> Option<(Request<Full<Bytes>>, SendDeadline)> {
        let (mut request, mut send_deadline) =
            (self.prepared.request.clone(), self.send_deadline.clone());
        if let Some(client) = &self.prepared.client {
            let left_ms = client.deadline.checked_sub(now).filter(|left| *left > 0)? / MILLISECOND;
            request
                .headers_mut()
                .insert(http::TIME_LIMIT_HEADER, HeaderValue::from(left_ms.max(1)));
            if now >= client.send_by {
                return None;
            }
            send_deadline.stale_at = client.send_by.min(now + REQUEST_STALENESS_LIMIT);
        }
        Some((request, send_deadline))
    }
}

/// Sends an attempt of an invocation, and reports how it ended.
pub(crate) async fn run_dispatch(
    attempt: Attempt,
    idle_connection: Option<InvokerConnection>,
    invocation: InvocationId,
    attempt_number: u8,
) {
    let invoker = attempt.invoker;
    let (mut report, mut body) = (AttemptReport::default(), None);
    let (outcome, connection) = match attempt
        .send(idle_connection, frames::OUTPUT_BYTES_MAX)
        .await
    {
        AttemptEnd::Responded(response, connection) => {
            let details = http::parse_response_details(|name| response.field(name));
            let outcome = http::dispatch_outcome(response.status, |name| response.field(name));
            report = AttemptReport {
                start_kind: details.start_kind,
                concurrency: details.concurrency,
                load_report: details.load_report,
                output: response.body.bytes.clone(),
            };
            // The response's memory is counted until its body was handed to the client.
            body = Some(response.body);
            (outcome, Some(connection))
        }
        AttemptEnd::NotSent(why) => {
            debug!(invoker, invocation, why, "request not sent");
            (Outcome::NoConnection, None)
        }
        AttemptEnd::Stale => (Outcome::NotSent, None),
        AttemptEnd::LocalFailure(why) => {
            info!(invoker, invocation, why, "request not sent: local failure");
            (Outcome::NotSent, None)
        }
        AttemptEnd::Lost(why) => {
            info!(invoker, invocation, why, "response lost");
            (Outcome::Reset, None)
        }
    };
    attempt.handle.update(|state| {
        if !attempt.finish(state, connection) {
            return;
        }
        state.attempt_ended(invocation, attempt_number, outcome, &report);
    });
    drop(body);
}

/// Sends a load order, and reports how it ended.
pub(crate) async fn run_load(attempt: Attempt, idle_connection: Option<InvokerConnection>) {
    let invoker = attempt.invoker;
    let (outcome, loaded_instances, connection) = match attempt
        .send(idle_connection, SMALL_RESPONSE_BYTES_MAX)
        .await
    {
        AttemptEnd::Responded(response, connection) => {
            let loaded_instances =
                http::parse_response_details(|name| response.field(name)).loaded_instances;
            (
                http::load_outcome(response.status, |name| response.field(name)),
                loaded_instances,
                Some(connection),
            )
        }
        AttemptEnd::NotSent(why) | AttemptEnd::Lost(why) => {
            debug!(invoker, why, "load order lost");
            (LoadOutcome::Unreachable, 0, None)
        }
        AttemptEnd::Stale => (LoadOutcome::NotSent, 0, None),
        AttemptEnd::LocalFailure(why) => {
            info!(invoker, why, "load order not sent: local failure");
            (LoadOutcome::NotSent, 0, None)
        }
    };
    attempt.handle.update(|state| {
        if !attempt.finish(state, connection) {
            return;
        }
        state.load_ended(invoker, attempt.request_id, outcome, loaded_instances);
    });
}

/// Asks an invoker whether it accepts new work, and reports its response.
pub(crate) async fn run_probe(attempt: Attempt, idle_connection: Option<InvokerConnection>) {
    let invoker = attempt.invoker;
    let started_at = attempt.handle.clock.now();
    let request = attempt.send(idle_connection, SMALL_RESPONSE_BYTES_MAX);
    let (outcome, connection) =
        match tokio::time::timeout(BACKGROUND_REQUEST_TIMEOUT, request).await {
            Ok(AttemptEnd::Responded(response, connection)) => {
                (http::probe_outcome(response.status), Some(connection))
            }
            Ok(AttemptEnd::NotSent(_) | AttemptEnd::Lost(_)) => (ProbeOutcome::Unreachable, None),
            Ok(AttemptEnd::Stale | AttemptEnd::LocalFailure(_)) => (ProbeOutcome::NotSent, None),
            Err(_) => (ProbeOutcome::TimedOut, None),
        };
    attempt.handle.update(|state| {
        let now = state.invocations.now;
        let transport = &state.invocations.transport;
        let last_unsent_at = transport.last_unsent_at(attempt.request_id);
        if !attempt.finish(state, connection) {
            return;
        }
        let sent_at = last_unsent_at.unwrap_or(started_at);
        state.invocations.transport.log_readiness(invoker, outcome);
        state.probe_ended(ProbeResult {
            invoker,
            outcome,
            sent_at,
            duration: now - started_at,
        });
    });
}

/// Sends a request whose outcome is not reported, such as an unload.
pub(crate) async fn run_background_request(
    attempt: Attempt,
    idle_connection: Option<InvokerConnection>,
) {
    let request = attempt.send(idle_connection, SMALL_RESPONSE_BYTES_MAX);
    let connection = match tokio::time::timeout(BACKGROUND_REQUEST_TIMEOUT, request).await {
        Ok(AttemptEnd::Responded(_, connection)) => Some(connection),
        _ => None,
    };
    attempt.handle.update(|state| {
        attempt.finish(state, connection);
    });
}

/// A stream that counts against the descriptor budget until it is closed.
struct CountedStream {
    stream: saltdrum_transport::Stream,
    _descriptor: DescriptorGuard,
}

mod counted_stream_io {
    use super::CountedStream;
    use std::io;
    use std::pin::Pin;
    use std::task::{Context, Poll};
    use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

    impl AsyncRead for CountedStream {
        fn poll_read(
            mut self: Pin<&mut Self>,
            cx: &mut Context<'_>,
            buf: &mut ReadBuf<'_>,
        ) -> Poll<io::Result<()>> {
            Pin::new(&mut self.stream).poll_read(cx, buf)
        }
    }

    impl AsyncWrite for CountedStream {
        fn poll_write(
            mut self: Pin<&mut Self>,
            cx: &mut Context<'_>,
            bytes: &[u8],
        ) -> Poll<io::Result<usize>> {
            Pin::new(&mut self.stream).poll_write(cx, bytes)
        }
        fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
            Pin::new(&mut self.stream).poll_flush(cx)
        }
        fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
            Pin::new(&mut self.stream).poll_shutdown(cx)
        }
    }
}
