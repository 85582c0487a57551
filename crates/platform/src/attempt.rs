//! One request to an invoker: a dispatch, a load order, or a background request. It goes over an idle connection or a new
//! one, its headers are completed when it is sent, and it ends with a response or with what is proven about it.

use crate::descriptor_guard::DescriptorGuard;
use crate::invoker_connection::{InvokerConnection, InvokerResponse, SendDeadline};
use crate::invoker_pools::report_lost_connections;
use crate::state::ControllerHandle;
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

const SMALL_RESPONSE_BYTES_MAX: usize = 4 << 10;
/// What a request says of the time that is left, and what is known of its client, is good for so long. Well within the
/// 100 ms after which it must not be sent on for a client that has left, and the 150 ms by which it may say too much.
pub(crate) const REQUEST_STALENESS_LIMIT: Ticks = 40 * MILLISECOND;
/// A request that grew old on its way out is prepared anew so many times: only a process that stands still again and again
/// needs more, and then it is not sent.
const REBUILDS_MAX: usize = 3;
/// A load order without an answer of its own, and a probe, are given up after this.
const BACKGROUND_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// How long it is waited for the next look of the machine at a time.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A request, but for what it says of the time that is left.
pub(crate) struct PreparedRequest {
    pub request: Request<Full<Bytes>>,
    pub body: usize,
    /// Who waits for it; none: nobody, so that it may leave at any time.
    pub client: Option<WaitingClient>,
}

/// The client that a request is sent on for.
pub(crate) struct WaitingClient {
    /// It waits until then.
    pub until: Ticks,
    /// Nothing begins to leave from then on.
    pub leave_by: Ticks,
    pub backlog: ReadBacklog,
}

impl PreparedRequest {
    pub fn alone(request: Request<Full<Bytes>>) -> Self {
        Self {
            request,
            body: 0,
            client: None,
        }
    }
}

/// One request on its way.
pub(crate) struct Attempt {
    pub handle: Rc<ControllerHandle>,
    pub invoker: InvokerId,
    pub epoch: u32,
    pub request_id: u64,
    pub address: Address,
    pub within: Duration,
    /// The descriptor of the connection to be made, counted from the start.
    pub descriptor: Cell<Option<DescriptorGuard>>,
    pub open: Rc<Cell<usize>>,
    pub send_deadline: SendDeadline,
    pub prepared: PreparedRequest,
}

/// A request's end: the answer and its line, or whether it may have run and what went wrong.
enum AttemptEnd {
    Answered(InvokerResponse, InvokerConnection),
    NotSent(String),
    /// It never left, as it had grown old on its way out.
    Stale,
    /// It never left for want of something of this machine's own.
    LocalFailure(String),
    Lost(String),
}

/// Why a connection could not be established.
struct DialFailure {
    why: String,
    /// It is this machine's, and tells nothing of the invoker.
    is_local: bool,
}

impl From<std::io::Error> for DialFailure {
    fn from(e: std::io::Error) -> Self {
        Self {
            why: e.to_string(),
            is_local: is_local_failure(&e),
        }
    }
}

impl Attempt {
    async fn dial(&self) -> Result<InvokerConnection, DialFailure> {
        let descriptor = self
            .descriptor
            .take()
            .unwrap_or_else(|| DescriptorGuard::new(&self.open));
        let connected =
            tokio::time::timeout(self.within, self.handle.network.dial(&self.address)).await;
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => {
                if e.kind() == ErrorKind::ConnectionRefused {
                    self.note_lost_connection();
                }
                return Err(e.into());
            }
            Err(_) => {
                let why = format!("no connection within {} ms", self.within.as_millis());
                return Err(DialFailure {
                    why,
                    is_local: false,
                });
            }
        };
        let stream = Box::new(CountedStream {
            stream,
            _counted: descriptor,
        });
        let over = InvokerConnection::handshake(stream, self.handle.clock).await;
        let line = over.map_err(|e| DialFailure {
            why: e.to_string(),
            is_local: false,
        })?;
        let socket = line.socket.clone();
        self.handle.update(|state| {
            state
                .invocations
                .transport
                .connected(self.request_id, socket)
        });
        Ok(line)
    }

    /// The invoker refused a connection of this request, or ended it.
    fn note_lost_connection(&self) {
        self.handle.update(|state| {
            let now = state.invocations.now;
            let pools = &mut state.invocations.transport;
            pools.connection_lost(now, self.invoker, self.epoch);
        });
    }

    /// Goes over `line`, or a new one where there is none or it breaks before the request was sent completely.
    async fn go(&self, line: Option<InvokerConnection>, most: usize) -> AttemptEnd {
        if let Some(line) = line {
            match self.over(line, most).await {
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
        for _ in 0..REBUILDS_MAX {
            if self.prepare(self.handle.clock.now()).is_none() {
                return AttemptEnd::Stale;
            }
            let end = match self.dial().await {
                Ok(line) => self.over(line, most).await,
                Err(failure) if failure.is_local => AttemptEnd::LocalFailure(failure.why),
                Err(failure) => AttemptEnd::NotSent(failure.why),
            };
            // What nobody waits for is not prepared anew: its time to leave is over.
            if !matches!(end, AttemptEnd::Stale) || self.prepared.client.is_none() {
                return end;
            }
        }
        AttemptEnd::Stale
    }

    async fn over(&self, mut line: InvokerConnection, most: usize) -> AttemptEnd {
        self.wait_for_readers().await;
        let Some((request, send_deadline)) = self.prepare(self.handle.clock.now()) else {
            return AttemptEnd::Stale;
        };
        match line
            .request(request, self.prepared.body, send_deadline, most)
            .await
        {
            Ok(response) => AttemptEnd::Answered(response, line),
            Err(why) if line.socket.sent_completely() => {
                self.note_lost_connection();
                AttemptEnd::Lost(why)
            }
            Err(_) if line.socket.is_stale() => AttemptEnd::Stale,
            Err(why) => AttemptEnd::NotSent(why),
        }
    }

    /// Waits until whatever had come from its client and from the feed some moments ago has been read. A process that stood
    /// still hears of what fell due meanwhile, of who left and of which invoker drains in any order.
    async fn wait_for_readers(&self) {
        while self.handle.event_loop.last_polled() + REQUEST_STALENESS_LIMIT
            <= self.handle.clock.now()
        {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let client = self.prepared.client.as_ref().map(|client| &client.backlog);
        while self.handle.config.feed.is_behind() || client.is_some_and(ReadBacklog::has_unread) {
            tokio::task::yield_now().await;
        }
    }

    /// The request as it is to leave at `now`; none: it is too late for that.
    fn prepare(&self, now: Ticks) -> Option<(Request<Full<Bytes>>, SendDeadline)> {
        let (mut request, mut send_deadline) =
            (self.prepared.request.clone(), self.send_deadline.clone());
        if let Some(client) = &self.prepared.client {
            let left_ms = client.until.checked_sub(now).filter(|left| *left > 0)? / MILLISECOND;
            request
                .headers_mut()
                .insert(http::TIME_LIMIT_HEADER, HeaderValue::from(left_ms.max(1)));
            if now >= client.leave_by {
                return None;
            }
            send_deadline.stale_at = client.leave_by.min(now + REQUEST_STALENESS_LIMIT);
        }
        Some((request, send_deadline))
    }
}

pub(crate) async fn run_dispatch(
    attempt: Attempt,
    line: Option<InvokerConnection>,
    invocation: InvocationId,
    attempt_number: u8,
) {
    let (invoker, epoch, request_id) = (attempt.invoker, attempt.epoch, attempt.request_id);
    let mut told = AttemptReport::default();
    let (outcome, line) = match attempt.go(line, frames::OUTPUT_BYTES_MAX).await {
        AttemptEnd::Answered(response, line) => {
            let details = http::parse_response_details(|name| response.field(name));
            let outcome = http::dispatch_outcome(response.status, |name| response.field(name));
            let output = response.body;
            told = AttemptReport {
                start_kind: details.start_kind,
                concurrency: details.concurrency,
                load_report: details.load_report,
                output,
            };
            (outcome, Some(line))
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
            info!(invoker, invocation, why, "answer lost");
            (Outcome::Reset, None)
        }
    };
    attempt.handle.update(|state| {
        report_lost_connections(state);
        if !state.invocations.transport.finish(request_id) {
            return;
        }
        if let Some(line) = line {
            state.invocations.transport.return_connection(
                state.invocations.now,
                invoker,
                epoch,
                line,
            );
        }
        state.attempt_ended(invocation, attempt_number, outcome, &told);
    });
}

pub(crate) async fn run_load(attempt: Attempt, line: Option<InvokerConnection>) {
    let (invoker, epoch, request_id) = (attempt.invoker, attempt.epoch, attempt.request_id);
    let (outcome, standing, line) = match attempt.go(line, SMALL_RESPONSE_BYTES_MAX).await {
        AttemptEnd::Answered(response, line) => {
            let standing =
                http::parse_response_details(|name| response.field(name)).loaded_instances;
            (
                http::load_outcome(response.status, |name| response.field(name)),
                standing,
                Some(line),
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
        report_lost_connections(state);
        if !state.invocations.transport.finish(request_id) {
            return;
        }
        if let Some(line) = line {
            state.invocations.transport.return_connection(
                state.invocations.now,
                invoker,
                epoch,
                line,
            );
        }
        state.load_ended(invoker, request_id, outcome, standing);
    });
}

/// Asks an invoker whether it takes new work.
pub(crate) async fn run_probe(attempt: Attempt, line: Option<InvokerConnection>) {
    let (invoker, epoch, request_id) = (attempt.invoker, attempt.epoch, attempt.request_id);
    let started_at = attempt.handle.clock.now();
    let going = attempt.go(line, SMALL_RESPONSE_BYTES_MAX);
    let (outcome, line) = match tokio::time::timeout(BACKGROUND_REQUEST_TIMEOUT, going).await {
        Ok(AttemptEnd::Answered(response, line)) => {
            (http::probe_outcome(response.status), Some(line))
        }
        Ok(AttemptEnd::NotSent(_) | AttemptEnd::Lost(_)) => (ProbeOutcome::Unreachable, None),
        Ok(AttemptEnd::Stale | AttemptEnd::LocalFailure(_)) => (ProbeOutcome::NotSent, None),
        Err(_) => (ProbeOutcome::TimedOut, None),
    };
    attempt.handle.update(|state| {
        report_lost_connections(state);
        let now = state.invocations.now;
        let pools = &mut state.invocations.transport;
        let sent_at = pools.begun_at(request_id).unwrap_or(started_at);
        if !pools.finish(request_id) {
            return;
        }
        if let Some(line) = line {
            pools.return_connection(now, invoker, epoch, line);
        }
        pools.log_readiness(invoker, outcome);
        state.probe_ended(ProbeResult {
            invoker,
            outcome,
            sent_at,
            duration: now - started_at,
        });
    });
}

/// What no one waits for: to unload.
pub(crate) async fn background_request(attempt: Attempt, line: Option<InvokerConnection>) {
    let (invoker, epoch, request_id) = (attempt.invoker, attempt.epoch, attempt.request_id);
    let end = tokio::time::timeout(
        BACKGROUND_REQUEST_TIMEOUT,
        attempt.go(line, SMALL_RESPONSE_BYTES_MAX),
    )
    .await;
    attempt.handle.update(|state| {
        let reach = &mut state.invocations.transport;
        if let (true, Ok(AttemptEnd::Answered(_, line))) = (reach.finish(request_id), end) {
            reach.return_connection(state.invocations.now, invoker, epoch, line);
        }
    });
}

/// A stream that counts against the budget until it is closed.
struct CountedStream {
    stream: saltdrum_transport::Stream,
    _counted: DescriptorGuard,
}

mod passes {
    use super::CountedStream;
    use std::io;
    use std::pin::Pin;
    use std::task::{Context, Poll};
    use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

    impl AsyncRead for CountedStream {
        fn poll_read(
            mut self: Pin<&mut Self>,
            cx: &mut Context<'_>,
            b: &mut ReadBuf<'_>,
        ) -> Poll<io::Result<()>> {
            Pin::new(&mut self.stream).poll_read(cx, b)
        }
    }

    impl AsyncWrite for CountedStream {
        fn poll_write(
            mut self: Pin<&mut Self>,
            cx: &mut Context<'_>,
            b: &[u8],
        ) -> Poll<io::Result<usize>> {
            Pin::new(&mut self.stream).poll_write(cx, b)
        }
        fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
            Pin::new(&mut self.stream).poll_flush(cx)
        }
        fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
            Pin::new(&mut self.stream).poll_shutdown(cx)
        }
    }
}
