//! One connection to an invoker: HTTP/1.1 by hyper, over a stream that counts the bytes sent.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
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

/// Heads longer than this are no heads.
const HEAD_BYTES_MAX: usize = 16 << 10;
const HEADERS_MAX: usize = 64;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The socket under a connection. Aborting a request closes it at once, whatever hyper still holds of it.
pub(crate) struct Socket {
    stream: RefCell<Option<Stream>>,
    clock: Clock,
    /// Of the request on it: how many bytes were sent, how much of its head's end was met, what of its body is missing.
    left: Cell<u64>,
    head: Cell<usize>,
    body: Cell<u64>,
    send_deadline: RefCell<SendDeadline>,
    /// When its last byte was handed to the machine.
    sent_at: Cell<Option<Ticks>>,
    /// Before its first byte was.
    begun_at: Cell<Option<Ticks>>,
    /// A request was not sent completely, as its time to leave was over.
    is_stale: Cell<bool>,
}

/// Until when a request may begin to leave.
#[derive(Clone)]
pub(crate) struct SendDeadline {
    /// Rule 3: nothing new begins from then on at an invoker that drains or is gone.
    pub cutoff: Rc<Cell<Ticks>>,
    /// What it says of the time that is left, and what is known of its client, is good until then.
    pub stale_at: Ticks,
}

impl Default for SendDeadline {
    fn default() -> Self {
        Self {
            cutoff: Rc::new(Cell::new(Ticks::MAX)),
            stale_at: Ticks::MAX,
        }
    }
}

impl Socket {
    fn new(stream: Stream, clock: Clock) -> Self {
        let stream = RefCell::new(Some(stream));
        let (left, head, body, send_deadline) = Default::default();
        let (sent_at, begun_at, is_stale) = Default::default();
        Self {
            stream,
            clock,
            left,
            head,
            body,
            send_deadline,
            sent_at,
            begun_at,
            is_stale,
        }
    }

    /// Another request is to go over it: the bytes sent of the previous one are no longer counted.
    pub fn begin(&self, body: usize, send_deadline: SendDeadline) {
        self.left.set(0);
        self.head.set(0);
        self.body.set(body as u64);
        self.sent_at.set(None);
        self.begun_at.set(None);
        self.is_stale.set(false);
        *self.send_deadline.borrow_mut() = send_deadline;
    }

    /// Whether the request was not sent, or not to its end, because it would have been out of date.
    pub fn is_stale(&self) -> bool {
        self.is_stale.get()
    }

    /// Whether a request, or what is left of it, may be sent now. One that was sent in part never ran, so it can still be given
    /// up; the cutoff concerns its first byte alone.
    fn may_send(&self) -> bool {
        let (now, send_deadline) = (self.clock.now(), self.send_deadline.borrow());
        self.is_stale.set(now >= send_deadline.stale_at);
        if self.has_begun_sending() {
            return !self.is_stale.get();
        }
        self.begun_at.set(Some(now));
        !self.is_stale.get() && now < send_deadline.cutoff.get()
    }

    /// Whether the request on it was handed to the machine to its last byte. If not, no invoker can have run it.
    pub fn sent_completely(&self) -> bool {
        self.head.get() == HEAD_END.len() && self.body.get() == 0
    }

    /// When the request on it was handed to the machine to its last byte.
    pub fn sent_at(&self) -> Option<Ticks> {
        self.sent_at.get()
    }

    /// The latest time at which nothing of the request on it had left, if some has. A process may be stopped right after it
    /// sent, and then read the clock: what an invoker answers is no younger than this.
    pub fn begun_at(&self) -> Option<Ticks> {
        self.begun_at.get()
    }

    pub fn has_begun_sending(&self) -> bool {
        self.left.get() > 0
    }

    pub fn close(&self) {
        self.stream.borrow_mut().take();
    }

    fn count(&self, bytes: &[u8]) {
        self.left.set(self.left.get() + bytes.len() as u64);
        for (n, b) in bytes.iter().enumerate() {
            let met = self.head.get();
            if met == HEAD_END.len() {
                self.body
                    .set(self.body.get().saturating_sub((bytes.len() - n) as u64));
                return;
            }
            self.head.set(if *b == HEAD_END[met] {
                met + 1
            } else {
                usize::from(*b == HEAD_END[0])
            });
        }
    }

    /// Nothing to read, and not at its end: it may be used once more.
    fn is_quiet(&self) -> bool {
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

struct SocketIo(Rc<Socket>);

impl SocketIo {
    fn with<T>(
        &self,
        act: impl FnOnce(Pin<&mut Stream>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        match self.0.stream.borrow_mut().as_mut() {
            Some(stream) => act(Pin::new(stream)),
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
        self.with(|s| s.poll_read(cx, buf))
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
        let polled = self.with(|s| s.poll_write(cx, bytes));
        if let Poll::Ready(Ok(n)) = polled {
            socket.count(&bytes[..n]);
            if socket.sent_completely() && socket.sent_at().is_none() {
                socket.sent_at.set(Some(socket.clock.now()));
            }
        }
        polled
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with(|s| s.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with(|s| s.poll_shutdown(cx))
    }
}

/// A response read to its end.
pub(crate) struct InvokerResponse {
    pub status: u16,
    pub headers: hyper::HeaderMap,
    pub body: Bytes,
}

impl InvokerResponse {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|v| v.to_str().ok())
    }
}

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

    /// Whether another request may go over it.
    pub fn is_reusable(&self) -> bool {
        !self.task.is_finished() && self.sender.is_ready() && self.socket.is_quiet()
    }

    /// Asks, and reads the answer to its end: at most `most` bytes of it, as a spoilt one may never end.
    pub async fn request(
        &mut self,
        request: Request<Full<Bytes>>,
        body: usize,
        send_deadline: SendDeadline,
        most: usize,
    ) -> Result<InvokerResponse, String> {
        self.socket.begin(body, send_deadline);
        let answer = self
            .sender
            .send_request(request)
            .await
            .map_err(|e| error_chain(&e))?;
        let (head, body): (_, Incoming) = Response::into_parts(answer);
        let body = http_body_util::Limited::new(body, most)
            .collect()
            .await
            .map_err(|e| e.to_string())?;
        Ok(InvokerResponse {
            status: head.status.as_u16(),
            headers: head.headers,
            body: body.to_bytes(),
        })
    }
}

fn error_chain(e: &hyper::Error) -> String {
    let inner = std::error::Error::source(e)
        .map(|s| format!(": {s}"))
        .unwrap_or_default();
    format!("{e}{inner}")
}
