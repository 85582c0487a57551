//! The operating system's sockets.
//!
//! System calls fail in ways that say nothing of the peer: a signal interrupts them, descriptors or buffers are short for a
//! moment, a connection in the queue was given up before it was accepted. Such calls are retried here.

use crate::retrying_stream::{RetryingStream, note_poll_without_call};
use crate::{Address, IoFuture, Listener, Network, Stream};
use rustix::io::Errno;
use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use tokio::time::Instant;

/// Backoff between retries of a call that failed for want of a local resource: it doubles from the base to the maximum, so that
/// a dozen retries fit into the time of a dial.
const BACKOFF_BASE: Duration = Duration::from_millis(2);
const BACKOFF_MAX: Duration = Duration::from_millis(10);
/// A dial is retried for this long: within the time limit of the caller, which would take the failure for a peer that does not
/// answer.
const DIAL_RETRY_LIMIT: Duration = Duration::from_millis(150);
/// Listening is retried for this long: the process that had the address may just be ending.
const LISTEN_RETRY_LIMIT: Duration = Duration::from_secs(5);
/// Connections in the queue that failed before they were accepted are skipped, this many in a row.
const MAX_SKIPPED: usize = 64;

/// TCP and Unix domain sockets of this host.
#[derive(Clone, Copy, Default)]
pub struct SocketNetwork;

/// Whether a dial failed for want of a local resource, so that it says nothing of the peer.
pub fn is_local_failure(e: &io::Error) -> bool {
    const LOCAL: [Errno; 9] = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::ADDRNOTAVAIL,
        Errno::NETUNREACH,
        Errno::NETDOWN,
        Errno::INTR,
        Errno::AGAIN,
    ];
    e.raw_os_error()
        .is_some_and(|code| LOCAL.iter().any(|local| local.raw_os_error() == code))
}

/// Whether accept(2) failed because of the connection that it would have given: the next one is not affected.
fn concerns_one_connection(e: &io::Error) -> bool {
    const ONE_CONNECTION: [Errno; 10] = [
        Errno::CONNABORTED,
        Errno::INTR,
        Errno::PROTO,
        Errno::NETDOWN,
        Errno::NOPROTOOPT,
        Errno::HOSTDOWN,
        Errno::HOSTUNREACH,
        Errno::NETUNREACH,
        Errno::OPNOTSUPP,
        Errno::TIMEDOUT,
    ];
    e.raw_os_error()
        .is_some_and(|code| ONE_CONNECTION.iter().any(|one| one.raw_os_error() == code))
}

/// Retries `call` with backoff, for at most `limit`, while `is_transient` holds for its error.
async fn retry<T, F>(
    limit: Duration,
    is_transient: fn(&io::Error) -> bool,
    mut call: impl FnMut() -> F,
) -> io::Result<T>
where
    F: Future<Output = io::Result<T>>,
{
    let ends_at = Instant::now() + limit;
    let mut wait = BACKOFF_BASE;
    loop {
        match call().await {
            Err(e) if is_transient(&e) && Instant::now() + wait < ends_at => {
                tokio::time::sleep(wait).await;
                wait = (2 * wait).min(BACKOFF_MAX);
            }
            done => return done,
        }
    }
}

fn may_become_free(e: &io::Error) -> bool {
    is_local_failure(e) || e.kind() == io::ErrorKind::AddrInUse
}

/// A stream over TCP. Without TCP_NODELAY small writes only wait for each other: where it cannot be set, the stream is used all
/// the same.
fn over_tcp(stream: TcpStream) -> Stream {
    let _ = stream.set_nodelay(true);
    Box::new(RetryingStream(stream))
}

impl Network for SocketNetwork {
    fn dial<'a>(&'a self, address: &'a Address) -> IoFuture<'a, Stream> {
        Box::pin(async move {
            match address {
                Address::Tcp(at) => {
                    let dial = || TcpStream::connect(at.as_str());
                    Ok(over_tcp(
                        retry(DIAL_RETRY_LIMIT, is_local_failure, dial).await?,
                    ))
                }
                Address::Unix(path) => {
                    let dial = || UnixStream::connect(path);
                    Ok(Box::new(RetryingStream(
                        retry(DIAL_RETRY_LIMIT, is_local_failure, dial).await?,
                    )) as Stream)
                }
                Address::Memory(_) => Err(io::ErrorKind::Unsupported.into()),
            }
        })
    }

    fn listen<'a>(&'a self, address: &'a Address) -> IoFuture<'a, (Box<dyn Listener>, Address)> {
        Box::pin(async move {
            match address {
                Address::Tcp(at) => {
                    let bind = || TcpListener::bind(at.as_str());
                    let listener = retry(LISTEN_RETRY_LIMIT, may_become_free, bind).await?;
                    let real = Address::Tcp(listener.local_addr()?.to_string());
                    Ok((Box::new(listener) as Box<dyn Listener>, real))
                }
                Address::Unix(path) => {
                    // A socket file outlives the process that made it: one that nobody answers on is in the way.
                    if UnixStream::connect(path).await.is_err() {
                        let _ = std::fs::remove_file(path);
                    }
                    let bind = || std::future::ready(UnixListener::bind(path));
                    let listener = retry(LISTEN_RETRY_LIMIT, is_local_failure, bind).await?;
                    Ok((Box::new(listener) as Box<dyn Listener>, address.clone()))
                }
                Address::Memory(_) => Err(io::ErrorKind::Unsupported.into()),
            }
        })
    }
}

/// Waits for a connection. It cannot be told from outside whether a listener without one made a system call.
async fn next_connection<T>(accept: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let mut accept = std::pin::pin!(accept);
    std::future::poll_fn(|cx| {
        let polled = accept.as_mut().poll(cx);
        if polled.is_pending() {
            note_poll_without_call();
        }
        polled
    })
    .await
}

/// Waits for the next connection that does not fail before it is accepted.
async fn next_intact_connection<T>(
    mut accept: impl AsyncFnMut() -> io::Result<T>,
) -> io::Result<T> {
    let mut skipped = 0;
    loop {
        match next_connection(accept()).await {
            Err(e) if concerns_one_connection(&e) && skipped < MAX_SKIPPED => skipped += 1,
            done => return done,
        }
    }
}

impl Listener for TcpListener {
    fn accept(&mut self) -> IoFuture<'_, Stream> {
        Box::pin(async move {
            let (stream, _) =
                next_intact_connection(async || TcpListener::accept(self).await).await?;
            Ok(over_tcp(stream))
        })
    }
}

impl Listener for UnixListener {
    fn accept(&mut self) -> IoFuture<'_, Stream> {
        Box::pin(async move {
            let (stream, _) =
                next_intact_connection(async || UnixListener::accept(self).await).await?;
            Ok(Box::new(RetryingStream(stream)) as Stream)
        })
    }
}
