//! One request to an invoker on its way: a dispatch, an order, or what nobody waits for. It goes over an idle connection or a
//! new one, is put together when it leaves, and ends with an answer or with what is proven of it.

use crate::line::{Departure, Line, Whole};
use crate::reach::{ControllerHandle, Counted};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HeaderValue;
use saltdrum::interface::*;
use saltdrum_controller::AttemptReport;
use saltdrum_platform_wire::{frames, http};
use saltdrum_transport::{Address, ReadBacklog, is_local_failure};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tracing::{debug, info};

const SMALL_ANSWER: usize = 4 << 10;
/// What a request says of the time that is left, and what is known of its client, is good for so long. Well within the
/// 100 ms after which it must not be sent on for a client that has left, and the 150 ms by which it may say too much.
pub(crate) const FRESH: Ticks = 40 * MILLISECOND;
/// A request that grew old on its way out is worded anew so many times: only a process that stands still again and again
/// needs more, and then it is not sent.
const WORDINGS_MOST: usize = 3;
/// An order without an answer of its own, and a probe, are given up after this.
const ASIDE_MOST: Duration = Duration::from_secs(2);
/// How long it is waited for the next look of the machine at a time.
const TURN: Duration = Duration::from_millis(1);

/// A request, but for what it says of the time that is left.
pub(crate) struct Worded {
    pub request: Request<Full<Bytes>>,
    pub body: usize,
    /// Who waits for it; none: nobody, so that it may leave at any time.
    pub client: Option<Waiting>,
}

/// The client that a request is sent on for.
pub(crate) struct Waiting {
    /// It waits until then.
    pub until: Ticks,
    /// Nothing begins to leave from then on.
    pub leave_by: Ticks,
    pub backlog: ReadBacklog,
}

impl Worded {
    pub fn alone(request: Request<Full<Bytes>>) -> Self {
        Self {
            request,
            body: 0,
            client: None,
        }
    }
}

/// One request on its way.
pub(crate) struct Ask {
    pub handle: Rc<ControllerHandle>,
    pub invoker: InvokerId,
    pub epoch: u32,
    pub job: u64,
    pub address: Address,
    pub within: Duration,
    /// The descriptor of the line that is to be made, counted from the start.
    pub counted: Cell<Option<Counted>>,
    pub open: Rc<Cell<usize>>,
    pub departure: Departure,
    pub worded: Worded,
}

/// A request's end: the answer and its line, or whether it may have run and what went wrong.
enum End {
    Answered(Whole, Line),
    NeverLeft(String),
    /// It never left, as it had grown old on its way out.
    Stale,
    /// It never left for want of something of this machine's own.
    Withheld(String),
    Lost(String),
}

/// Why a connection could not be made.
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

impl Ask {
    async fn dial(&self) -> Result<Line, DialFailure> {
        let counted = self
            .counted
            .take()
            .unwrap_or_else(|| Counted::new(&self.open));
        let dialled =
            tokio::time::timeout(self.within, self.handle.network.dial(&self.address)).await;
        let stream = match dialled {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(e.into()),
            Err(_) => {
                let why = format!("no connection within {} ms", self.within.as_millis());
                return Err(DialFailure {
                    why,
                    is_local: false,
                });
            }
        };
        let stream = Box::new(Held {
            stream,
            _counted: counted,
        });
        let over = Line::over(stream, self.handle.clock).await;
        let line = over.map_err(|e| DialFailure {
            why: e.to_string(),
            is_local: false,
        })?;
        let socket = line.socket.clone();
        self.handle
            .update(|state| state.invocations.transport.dialled(self.job, socket));
        Ok(line)
    }

    /// Goes over `line`, or a new one where there is none or it breaks before the request has left whole.
    async fn go(&self, line: Option<Line>, most: usize) -> End {
        if let Some(line) = line {
            match self.over(line, most).await {
                End::NeverLeft(why) => {
                    debug!(invoker = self.invoker, why, "an idle line was broken")
                }
                End::Stale => debug!(invoker = self.invoker, "a request grew old on its way out"),
                end => return end,
            }
        }
        for _ in 0..WORDINGS_MOST {
            let end = match self.dial().await {
                Ok(line) => self.over(line, most).await,
                Err(failure) if failure.is_local => End::Withheld(failure.why),
                Err(failure) => End::NeverLeft(failure.why),
            };
            // What nobody waits for is not worded anew: its time to leave is over.
            if !matches!(end, End::Stale) || self.worded.client.is_none() {
                return end;
            }
        }
        End::Stale
    }

    async fn over(&self, mut line: Line, most: usize) -> End {
        self.readers_are_up_to_date().await;
        let Some((request, departure)) = self.wording(self.handle.clock.now()) else {
            return End::Stale;
        };
        match line.ask(request, self.worded.body, departure, most).await {
            Ok(whole) => End::Answered(whole, line),
            Err(why) if line.socket.left_whole() => End::Lost(why),
            Err(_) if line.socket.is_stale() => End::Stale,
            Err(why) => End::NeverLeft(why),
        }
    }

    /// Waits until whatever had come from its client and from the feed some moments ago has been read. A process that stood
    /// still hears of what fell due meanwhile, of who left and of which invoker drains in any order.
    async fn readers_are_up_to_date(&self) {
        while self.handle.event_loop.last_polled() + FRESH <= self.handle.clock.now() {
            tokio::time::sleep(TURN).await;
        }
        let client = self.worded.client.as_ref().map(|client| &client.backlog);
        while self.handle.config.feed.is_behind() || client.is_some_and(ReadBacklog::is_behind) {
            tokio::task::yield_now().await;
        }
    }

    /// The request as it is to leave at `now`; none: it is too late for that.
    fn wording(&self, now: Ticks) -> Option<(Request<Full<Bytes>>, Departure)> {
        let (mut request, mut departure) = (self.worded.request.clone(), self.departure.clone());
        if let Some(client) = &self.worded.client {
            let left_ms = client.until.checked_sub(now).filter(|left| *left > 0)? / MILLISECOND;
            request
                .headers_mut()
                .insert(http::LIMIT_MS, HeaderValue::from(left_ms.max(1)));
            if now >= client.leave_by {
                return None;
            }
            departure.fresh_until = client.leave_by.min(now + FRESH);
        }
        Some((request, departure))
    }
}

pub(crate) async fn dispatch(ask: Ask, line: Option<Line>, inv: InvocationId, hop: u8) {
    let (invoker, epoch, job) = (ask.invoker, ask.epoch, ask.job);
    let mut told = AttemptReport::default();
    let (outcome, line) = match ask.go(line, frames::OUTPUT_MOST).await {
        End::Answered(whole, line) => {
            let notes = http::notes(|name| whole.field(name));
            let outcome = http::outcome(whole.status, |name| whole.field(name));
            let output = whole.body;
            told = AttemptReport {
                start_kind: notes.found,
                concurrency: notes.crowd,
                load_report: notes.report,
                output,
            };
            (outcome, Some(line))
        }
        End::NeverLeft(why) => {
            debug!(invoker, inv, why, "never left");
            (Outcome::NoConnection, None)
        }
        End::Stale => (Outcome::NotSent, None),
        End::Withheld(why) => {
            info!(invoker, inv, why, "withheld: this machine's own failure");
            (Outcome::NotSent, None)
        }
        End::Lost(why) => {
            info!(invoker, inv, why, "an answer was lost");
            (Outcome::Reset, None)
        }
    };
    ask.handle.update(|state| {
        if !state.invocations.transport.finish(job) {
            return;
        }
        if let Some(line) = line {
            state
                .invocations
                .transport
                .put_back(state.invocations.now, invoker, epoch, line);
        }
        state.attempt_ended(inv, hop, outcome, &told);
    });
}

pub(crate) async fn order(ask: Ask, line: Option<Line>) {
    let (invoker, epoch, job) = (ask.invoker, ask.epoch, ask.job);
    let (outcome, standing, line) = match ask.go(line, SMALL_ANSWER).await {
        End::Answered(whole, line) => {
            let standing = http::notes(|name| whole.field(name)).standing;
            (
                http::held(whole.status, |name| whole.field(name)),
                standing,
                Some(line),
            )
        }
        End::NeverLeft(why) | End::Lost(why) => {
            debug!(invoker, why, "an order was lost");
            (LoadOutcome::Unreachable, 0, None)
        }
        End::Stale => (LoadOutcome::NotSent, 0, None),
        End::Withheld(why) => {
            info!(
                invoker,
                why, "an order was withheld: this machine's own failure"
            );
            (LoadOutcome::NotSent, 0, None)
        }
    };
    ask.handle.update(|state| {
        if !state.invocations.transport.finish(job) {
            return;
        }
        if let Some(line) = line {
            state
                .invocations
                .transport
                .put_back(state.invocations.now, invoker, epoch, line);
        }
        state.load_ended(invoker, job, outcome, standing);
    });
}

/// What no one waits for: to unload, and probes.
pub(crate) async fn aside(ask: Ask, line: Option<Line>) {
    let (invoker, epoch, job) = (ask.invoker, ask.epoch, ask.job);
    let end = tokio::time::timeout(ASIDE_MOST, ask.go(line, SMALL_ANSWER)).await;
    ask.handle.update(|state| {
        let reach = &mut state.invocations.transport;
        if let (true, Ok(End::Answered(_, line))) = (reach.finish(job), end) {
            reach.put_back(state.invocations.now, invoker, epoch, line);
        }
    });
}

/// A stream that counts against the budget until it is closed.
struct Held {
    stream: saltdrum_transport::Stream,
    _counted: Counted,
}

mod passes {
    use super::Held;
    use std::io;
    use std::pin::Pin;
    use std::task::{Context, Poll};
    use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

    impl AsyncRead for Held {
        fn poll_read(
            mut self: Pin<&mut Self>,
            cx: &mut Context<'_>,
            b: &mut ReadBuf<'_>,
        ) -> Poll<io::Result<()>> {
            Pin::new(&mut self.stream).poll_read(cx, b)
        }
    }

    impl AsyncWrite for Held {
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
