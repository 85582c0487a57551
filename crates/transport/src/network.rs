use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::mpsc;

pub trait Duplex: AsyncRead + AsyncWrite + Unpin {}
impl<T: AsyncRead + AsyncWrite + Unpin> Duplex for T {}

pub type Stream = Box<dyn Duplex>;
type Later<'a, T> = Pin<Box<dyn Future<Output = io::Result<T>> + 'a>>;

/// Where somebody listens: `tcp:HOST:PORT`, `unix:PATH` or `memory:NAME`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Address {
    Tcp(String),
    Unix(String),
    Memory(String),
}

impl std::str::FromStr for Address {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text.split_once(':') {
            Some(("tcp", rest)) if rest.contains(':') => Ok(Self::Tcp(rest.into())),
            Some(("unix", rest)) if !rest.is_empty() => Ok(Self::Unix(rest.into())),
            Some(("memory", rest)) if !rest.is_empty() => Ok(Self::Memory(rest.into())),
            _ => Err(format!(
                "address '{text}': tcp:HOST:PORT or unix:PATH is expected"
            )),
        }
    }
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Tcp(at) => write!(f, "tcp:{at}"),
            Self::Unix(at) => write!(f, "unix:{at}"),
            Self::Memory(at) => write!(f, "memory:{at}"),
        }
    }
}

pub trait Network {
    fn dial<'a>(&'a self, address: &'a Address) -> Later<'a, Stream>;
    /// Gives the listener and where it really listens: a port 0 has become a real one.
    fn listen<'a>(&'a self, address: &'a Address) -> Later<'a, (Box<dyn Listener>, Address)>;
}

pub trait Listener {
    fn accept(&mut self) -> Later<'_, Stream>;
}

/// Streams inside one thread. A pipe holds so many bytes each way, as a socket's buffers do.
#[derive(Clone, Default)]
pub struct MemoryNetwork {
    listeners: Rc<RefCell<BTreeMap<Address, mpsc::UnboundedSender<Stream>>>>,
}

const PIPE_BYTES: usize = 64 << 10;

impl Network for MemoryNetwork {
    fn dial<'a>(&'a self, address: &'a Address) -> Later<'a, Stream> {
        let (here, there) = tokio::io::duplex(PIPE_BYTES);
        let met = self
            .listeners
            .borrow()
            .get(address)
            .is_some_and(|l| l.send(Box::new(there)).is_ok());
        Box::pin(async move {
            if met {
                Ok(Box::new(here) as Stream)
            } else {
                Err(io::ErrorKind::ConnectionRefused.into())
            }
        })
    }

    fn listen<'a>(&'a self, address: &'a Address) -> Later<'a, (Box<dyn Listener>, Address)> {
        let (to, from) = mpsc::unbounded_channel();
        let taken = self
            .listeners
            .borrow()
            .get(address)
            .is_some_and(|l| !l.is_closed());
        if !taken {
            self.listeners.borrow_mut().insert(address.clone(), to);
        }
        Box::pin(async move {
            if taken {
                return Err(io::ErrorKind::AddrInUse.into());
            }
            Ok((Box::new(from) as Box<dyn Listener>, address.clone()))
        })
    }
}

impl Listener for mpsc::UnboundedReceiver<Stream> {
    fn accept(&mut self) -> Later<'_, Stream> {
        Box::pin(async move {
            self.recv()
                .await
                .ok_or_else(|| io::ErrorKind::ConnectionAborted.into())
        })
    }
}

/// One end of a stream, read and written by two tasks of one thread.
#[derive(Clone)]
pub struct Half(Rc<RefCell<Stream>>);

/// Both hold the stream open; it closes when the last is dropped.
pub fn halves(stream: Stream) -> (Half, Half) {
    let shared = Rc::new(RefCell::new(stream));
    (Half(shared.clone()), Half(shared))
}

impl AsyncRead for Half {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_read(cx, buf)
    }
}

impl AsyncWrite for Half {
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
