//! One connection to an invoker: HTTP/1.1 with hyper, over a stream that counts the bytes sent.

use crate::response_body::{ReceivedBody, receive_body};
use crate::shared_budget::BudgetHolder;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use saltdrum::interface::Ticks;
use saltdrum_transport::{Clock, Stream};
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::task::AbortHandle;

/// Longest head of a response.
const HEAD_BYTES_MAX: usize = 8 << 10;
const HEADERS_MAX: usize = 64;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The socket of a connection. Aborting a request closes it at once, even while hyper holds a reference to it.
pub(crate) struct Socket {
    stream: RefCell<Option<Stream>>,
    clock: Clock,
    /// Bytes of the current request that were sent.
    sent_bytes: Cell<u64>,
    /// Length of the matched prefix of the head's end.
    head_end_matched: Cell<usize>,
    /// Bytes of the body that remain to be sent.
    body_remaining: Cell<u64>,
    send_deadline: RefCell<SendDeadline>,
    /// When the last byte was handed to the kernel.
    sent_at: Cell<Option<Ticks>>,
    /// The latest time at which no byte had been handed to the kernel.
    last_unsent_at: Cell<Option<Ticks>>,
    /// The request was not sent completely, because it became stale.
    is_stale: Cell<bool>,
}

/// Until when a request may begin to be sent.
#[derive(Clone)]
pub(crate) struct SendDeadline {
    /// Rule 3: from then on no new work begins to be sent to a draining or gone invoker.
    pub cutoff: Rc<Cell<Ticks>>,
    /// Until then the time limit that the request states, and the knowledge that its client still waits, are valid.
    pub stale_at: Ticks,
    /// Whether the process for which the request is meant has ended: another one may have its address.
    pub process_ended: Rc<Cell<bool>>,
}

impl Default for SendDeadline {
    fn default() -> Self {
        Self {
            cutoff: Rc::new(Cell::new(Ticks::MAX)),
            stale_at: Ticks::MAX,
            process_ended: Rc::default(),
        }
    }
}

impl Socket {
    fn new(stream: Stream, clock: Clock) -> Self {
        let stream = RefCell::new(Some(stream));
        let (sent_bytes, head_end_matched, body_remaining, send_deadline) = Default::default();
        let (sent_at, last_unsent_at, is_stale) = Default::default();
        Self {
            stream,
            clock,
            sent_bytes,
            head_end_matched,
            body_remaining,
            send_deadline,
            sent_at,
            last_unsent_at,
            is_stale,
        }
    }

    /// Resets the counters of the previous request for a new one.
    pub fn begin(&self, body_bytes: usize, send_deadline: SendDeadline) {
        self.sent_bytes.set(0);
        self.head_end_matched.set(0);
        self.body_remaining.set(body_bytes as u64);
        self.sent_at.set(None);
        self.last_unsent_at.set(None);
        self.is_stale.set(false);
        *self.send_deadline.borrow_mut() = send_deadline;
    }

    /// Whether the request was not sent completely because it became stale.
    pub fn is_stale(&self) -> bool {
        self.is_stale.get()
    }

    /// Whether the request, or its remaining bytes, may be sent now. A partially sent request never ran, so it can
    /// still be dropped; the cutoff applies to its first byte only.
    fn may_send(&self) -> bool {
        let (now, send_deadline) = (self.clock.now(), self.send_deadline.borrow());
        let is_stale = now >= send_deadline.stale_at || send_deadline.process_ended.get();
        self.is_stale.set(is_stale);
        if self.has_begun_sending() {
            return !self.is_stale.get();
        }
        self.last_unsent_at.set(Some(now));
        !self.is_stale.get() && now < send_deadline.cutoff.get()
    }

    /// Whether the request was handed to the kernel completely. If not, no invoker can have run it.
    pub fn sent_completely(&self) -> bool {
        self.head_end_matched.get() == HEAD_END.len() && self.body_remaining.get() == 0
    }

    /// When the request was handed to the kernel completely.
    pub fn sent_at(&self) -> Option<Ticks> {
        self.sent_at.get()
    }

    /// The latest time at which no byte of the request had been sent, if any has. A process may be stopped between
    /// sending and reading the clock: the invoker's response reflects its state at this time or later.
    pub fn last_unsent_at(&self) -> Option<Ticks> {
        self.last_unsent_at.get()
    }

    pub fn has_begun_sending(&self) -> bool {
        self.sent_bytes.get() > 0
    }

    pub fn close(&self) {
        self.stream.borrow_mut().take();
    }

    /// Counts bytes of the request that were handed to the kernel.
    fn count_sent(&self, bytes: &[u8]) {
        self.sent_bytes
            .set(self.sent_bytes.get() + bytes.len() as u64);
        for (index, byte) in bytes.iter().enumerate() {
            let matched = self.head_end_matched.get();
            if matched == HEAD_END.len() {
                let remaining = self.body_remaining.get();
                self.body_remaining
                    .set(remaining.saturating_sub((bytes.len() - index) as u64));
                return;
            }
            self.head_end_matched.set(if *byte == HEAD_END[matched] {
                matched + 1
            } else {
                usize::from(*byte == HEAD_END[0])
            });
        }
    }

    /// Whether the stream is open and has no bytes to read, so that it can be reused.
    fn is_open_and_empty(&self) -> bool {
        let mut byte = [0];
        let mut cx = Context::from_waker(Waker::noop());
        let mut stream = self.stream.borrow_mut();
        let Some(stream) = stream.as_mut() else {
            return false;
        };
        Pin::new(stream)
            .poll_read(&mut cx, &mut ReadBuf::new(&mut byte))
            .is_pending()
    }
}

/// The I/O of a socket, for hyper.
struct SocketIo(Rc<Socket>);

impl SocketIo {
    fn with_stream<T>(
        &self,
        operation: impl FnOnce(Pin<&mut Stream>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        match self.0.stream.borrow_mut().as_mut() {
            Some(stream) => operation(Pin::new(stream)),
            None => Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
        }
    }
}

impl AsyncRead for SocketIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.with_stream(|s| s.poll_read(cx, buf))
    }
}

impl AsyncWrite for SocketIo {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let socket = &self.0;
        if !socket.sent_completely() && !socket.may_send() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let polled = self.with_stream(|s| s.poll_write(cx, bytes));
        if let Poll::Ready(Ok(n)) = polled {
            socket.count_sent(&bytes[..n]);
            if socket.sent_completely() && socket.sent_at().is_none() {
                socket.sent_at.set(Some(socket.clock.now()));
            }
        }
        polled
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with_stream(|s| s.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with_stream(|s| s.poll_shutdown(cx))
    }
}

/// A response that was read completely.
pub(crate) struct InvokerResponse {
    pub status: u16,
    pub headers: hyper::HeaderMap,
    pub body: ReceivedBody,
}

/// How much of a response may be received.
pub(crate) struct ResponseLimit<'a> {
    /// Longest body.
    pub max_bytes: usize,
    /// The memory in which it is received.
    pub memory: &'a Rc<BudgetHolder>,
}

impl InvokerResponse {
    /// Returns the value of a header field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|v| v.to_str().ok())
    }
}

/// One HTTP connection to an invoker. Dropping it closes the socket.
pub(crate) struct InvokerConnection {
    pub socket: Rc<Socket>,
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for InvokerConnection {
    fn drop(&mut self) {
        self.socket.close();
        self.task.abort();
    }
}

impl InvokerConnection {
    /// Establishes HTTP on a stream.
    pub async fn handshake(stream: Stream, clock: Clock) -> Result<Self, hyper::Error> {
        let socket = Rc::new(Socket::new(stream, clock));
        let mut builder = Builder::new();
        builder
            .max_buf_size(HEAD_BYTES_MAX)
            .max_headers(HEADERS_MAX);
        let (sender, connection) = builder
            .handshake(TokioIo::new(SocketIo(socket.clone())))
            .await?;
        let task = tokio::task::spawn_local(async move { drop(connection.await) }).abort_handle();
        Ok(Self {
            socket,
            sender,
            task,
        })
    }

    /// Whether another request can be sent on the connection.
    pub fn is_reusable(&self) -> bool {
        !self.task.is_finished() && self.sender.is_ready() && self.socket.is_open_and_empty()
    }

    /// Sends a request and receives the response within `limit`, as a faulty response may never end.
    pub async fn request(
        &mut self,
        request: Request<Full<Bytes>>,
        body_bytes: usize,
        send_deadline: SendDeadline,
        limit: ResponseLimit<'_>,
    ) -> Result<InvokerResponse, String> {
        self.socket.begin(body_bytes, send_deadline);
        let response = self
            .sender
            .send_request(request)
            .await
            .map_err(|e| error_chain(&e))?;
        let (head, body): (_, Incoming) = Response::into_parts(response);
        let body = receive_body(body, limit.max_bytes, limit.memory)
            .await
            .map_err(|e| e.to_string())?;
        Ok(InvokerResponse {
            status: head.status.as_u16(),
            headers: head.headers,
            body,
        })
    }
}

fn error_chain(error: &hyper::Error) -> String {
    let source = std::error::Error::source(error)
        .map(|source| format!(": {source}"))
        .unwrap_or_default();
    format!("{error}{source}")
}
