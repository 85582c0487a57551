//! TCP and Unix domain sockets of the operating system.
//!
//! System calls can fail for reasons unrelated to the peer: a signal interrupts them, file descriptors or buffers are
//! temporarily exhausted, or a queued connection was aborted before it was accepted. Such calls are retried here.

use crate::retrying_stream::{RetryingStream, note_poll_without_call};
use crate::{Address, IoFuture, Listener, Network, Stream};
use rustix::io::Errno;
use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use tokio::time::Instant;

/// Backoff between retries of a call that failed for lack of a local resource. It doubles from the base to the maximum, so that
/// a dozen retries fit into `DIAL_RETRY_LIMIT`.
const BACKOFF_BASE: Duration = Duration::from_millis(2);
const BACKOFF_MAX: Duration = Duration::from_millis(10);
/// Time limit of the retries of a dial. It is shorter than the caller's timeout, after which the caller would take the local
/// failure for an unresponsive peer.
const DIAL_RETRY_LIMIT: Duration = Duration::from_millis(150);
/// Time limit of the retries of a bind, because the process that used the address may still be terminating.
const LISTEN_RETRY_LIMIT: Duration = Duration::from_secs(5);
/// Upper bound of consecutive queued connections that failed before they were accepted and are skipped.
const MAX_SKIPPED_CONNECTIONS: usize = 64;

/// TCP and Unix domain sockets of this host.
#[derive(Clone, Copy, Default)]
pub struct SocketNetwork;

/// Whether a dial failed for lack of a local resource, which does not indicate a fault of the peer.
pub fn is_local_failure(error: &io::Error) -> bool {
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
    error
        .raw_os_error()
        .is_some_and(|code| LOCAL.iter().any(|local| local.raw_os_error() == code))
}

/// Whether accept(2) failed because of the connection to be accepted, which does not affect the next one.
fn concerns_one_connection(error: &io::Error) -> bool {
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
    error.raw_os_error().is_some_and(|code| {
        ONE_CONNECTION
            .iter()
            .any(|errno| errno.raw_os_error() == code)
    })
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
    let retry_deadline = Instant::now() + limit;
    let mut backoff = BACKOFF_BASE;
    loop {
        match call().await {
            Err(error) if is_transient(&error) && Instant::now() + backoff < retry_deadline => {
                tokio::time::sleep(backoff).await;
                backoff = (2 * backoff).min(BACKOFF_MAX);
            }
            result => return result,
        }
    }
}

/// Whether a bind may succeed when retried, because the address or a local resource may become available.
fn may_become_available(error: &io::Error) -> bool {
    is_local_failure(error) || error.kind() == io::ErrorKind::AddrInUse
}

/// Wraps a TCP stream and sets TCP_NODELAY, so that small writes are not delayed. If the option cannot be set, the stream is
/// used without it.
fn wrap_tcp_stream(stream: TcpStream) -> Stream {
    let _ = stream.set_nodelay(true);
    Box::new(RetryingStream(stream))
}

impl Network for SocketNetwork {
    fn dial<'a>(&'a self, address: &'a Address) -> IoFuture<'a, Stream> {
        Box::pin(async move {
            match address {
                Address::Tcp(host_and_port) => {
                    let dial = || TcpStream::connect(host_and_port.as_str());
                    Ok(wrap_tcp_stream(
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
                Address::Tcp(host_and_port) => {
                    let bind = || TcpListener::bind(host_and_port.as_str());
                    let listener = retry(LISTEN_RETRY_LIMIT, may_become_available, bind).await?;
                    let actual_address = Address::Tcp(listener.local_addr()?.to_string());
                    Ok((Box::new(listener) as Box<dyn Listener>, actual_address))
                }
                Address::Unix(path) => {
                    // A socket file outlives its process. One that does not accept connections is stale and would prevent the
                    // bind.
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

/// Waits for a connection. Whether a listener without a connection made a system call is not observable, so each pending poll
/// counts as one without a system call.
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
            Err(error) if concerns_one_connection(&error) && skipped < MAX_SKIPPED_CONNECTIONS => {
                skipped += 1
            }
            result => return result,
        }
    }
}

impl Listener for TcpListener {
    fn accept(&mut self) -> IoFuture<'_, Stream> {
        Box::pin(async move {
            let (stream, _) =
                next_intact_connection(async || TcpListener::accept(self).await).await?;
            Ok(wrap_tcp_stream(stream))
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
