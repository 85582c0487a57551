//! The network interface of all components: addresses, streams, dialling and listening.

use std::cell::RefCell;
use std::fmt;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A byte stream in both directions.
pub trait Duplex: AsyncRead + AsyncWrite + Unpin {}
impl<T: AsyncRead + AsyncWrite + Unpin> Duplex for T {}

/// A connection over a socket or in memory.
pub type Stream = Box<dyn Duplex>;

/// The future of an operation on a [`Network`] or [`Listener`].
pub type IoFuture<'a, T> = Pin<Box<dyn Future<Output = io::Result<T>> + 'a>>;

/// An address at which a process listens, written `tcp:HOST:PORT`, `unix:PATH` or `memory:NAME`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Address {
    /// Host and port of a TCP socket.
    Tcp(String),
    /// Path of a Unix domain socket.
    Unix(String),
    /// Name in a [`MemoryNetwork`](crate::MemoryNetwork).
    Memory(String),
}

/// The error for text that is not an [`Address`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("address '{text}': tcp:HOST:PORT or unix:PATH is expected")]
pub struct ParseAddressError {
    text: String,
}

impl From<ParseAddressError> for String {
    fn from(error: ParseAddressError) -> Self {
        error.to_string()
    }
}

impl std::str::FromStr for Address {
    type Err = ParseAddressError;

    fn from_str(text: &str) -> Result<Self, ParseAddressError> {
        match text.split_once(':') {
            Some(("tcp", rest)) if rest.contains(':') => Ok(Self::Tcp(rest.into())),
            Some(("unix", rest)) if !rest.is_empty() => Ok(Self::Unix(rest.into())),
            Some(("memory", rest)) if !rest.is_empty() => Ok(Self::Memory(rest.into())),
            _ => Err(ParseAddressError {
                text: text.to_owned(),
            }),
        }
    }
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Tcp(host_and_port) => write!(f, "tcp:{host_and_port}"),
            Self::Unix(path) => write!(f, "unix:{path}"),
            Self::Memory(name) => write!(f, "memory:{name}"),
        }
    }
}

/// Opens connections and listens for them.
pub trait Network {
    /// Connects to an address. Applies no timeout; callers set their own.
    fn dial<'a>(&'a self, address: &'a Address) -> IoFuture<'a, Stream>;
    /// Listens at an address. Returns the listener and its actual address, in which port 0 is replaced by the assigned port.
    fn listen<'a>(&'a self, address: &'a Address) -> IoFuture<'a, (Box<dyn Listener>, Address)>;
}

/// Accepts connections at one address.
pub trait Listener {
    /// Waits for the next connection.
    fn accept(&mut self) -> IoFuture<'_, Stream>;
}

/// A handle to a stream that two tasks of one thread share for reading and writing.
#[derive(Clone)]
pub struct StreamHalf(Rc<RefCell<Stream>>);

/// Splits a stream into two handles. The stream closes when the last handle is dropped.
pub fn split(stream: Stream) -> (StreamHalf, StreamHalf) {
    let shared = Rc::new(RefCell::new(stream));
    (StreamHalf(shared.clone()), StreamHalf(shared))
}

impl AsyncRead for StreamHalf {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_read(cx, buf)
    }
}

impl AsyncWrite for StreamHalf {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_shutdown(cx)
    }
}
