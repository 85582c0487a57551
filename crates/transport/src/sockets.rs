//! The machine's own sockets.
//!
//! System calls fail in ways that say nothing of the peer: a signal interrupts them, descriptors or buffers are short for a
//! moment, a connection in the queue was given up before it was accepted. Such failures are met here, by trying again.

use crate::steady::{Steady, note_unasked_poll};
use crate::{Address, Listener, Network, Stream};
use rustix::io::Errno;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use tokio::time::Instant;

type Later<'a, T> = Pin<Box<dyn Future<Output = io::Result<T>> + 'a>>;

/// A call that failed for want of something of this machine's own is tried again after a wait that doubles, so that a dozen
/// tries and more fit into a dial's time.
const RETRY_FIRST: Duration = Duration::from_millis(2);
const RETRY_WAIT_MOST: Duration = Duration::from_millis(10);
/// For so long a dial is tried again: within the time limits of whoever dials, which would take the want for a peer that does
/// not answer.
const DIAL_RETRIES_MOST: Duration = Duration::from_millis(150);
/// For so long a listener is tried again: whoever had the address may just be ending.
const LISTEN_RETRIES_MOST: Duration = Duration::from_secs(5);
/// Connections in the queue that failed before they were accepted, skipped one after the other in one turn.
const SKIPPED_MOST: usize = 64;

/// Sockets of this machine.
#[derive(Clone, Copy, Default)]
pub struct SocketNetwork;

/// Whether a dial failed for want of something of this machine's own, so that it tells nothing of the peer.
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

/// Whether accept(2) failed by the connection that it would have given: the next one is not harmed.
fn is_of_one_connection(e: &io::Error) -> bool {
    const OF_ONE: [Errno; 10] = [
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
        .is_some_and(|code| OF_ONE.iter().any(|one| one.raw_os_error() == code))
}

/// Tries `call` again for so long while it fails in a way that `passes`.
async fn again<T, F>(
    most: Duration,
    passes: fn(&io::Error) -> bool,
    mut call: impl FnMut() -> F,
) -> io::Result<T>
where
    F: Future<Output = io::Result<T>>,
{
    let ends = Instant::now() + most;
    let mut wait = RETRY_FIRST;
    loop {
        match call().await {
            Err(e) if passes(&e) && Instant::now() + wait < ends => {
                tokio::time::sleep(wait).await;
                wait = (2 * wait).min(RETRY_WAIT_MOST);
            }
            done => return done,
        }
    }
}

fn may_become_free(e: &io::Error) -> bool {
    is_local_failure(e) || e.kind() == io::ErrorKind::AddrInUse
}

/// A stream over TCP. That small writes wait for each other is only a loss of time: where it can't be turned off, the stream
/// serves all the same.
fn over_tcp(stream: TcpStream) -> Stream {
    let _ = stream.set_nodelay(true);
    Box::new(Steady(stream))
}

impl Network for SocketNetwork {
    fn dial<'a>(&'a self, address: &'a Address) -> Later<'a, Stream> {
        Box::pin(async move {
            match address {
                Address::Tcp(at) => {
                    let dial = || TcpStream::connect(at.as_str());
                    Ok(over_tcp(
                        again(DIAL_RETRIES_MOST, is_local_failure, dial).await?,
                    ))
                }
                Address::Unix(path) => {
                    let dial = || UnixStream::connect(path);
                    Ok(Box::new(Steady(
                        again(DIAL_RETRIES_MOST, is_local_failure, dial).await?,
                    )) as Stream)
                }
                Address::Memory(_) => Err(io::ErrorKind::Unsupported.into()),
            }
        })
    }

    fn listen<'a>(&'a self, address: &'a Address) -> Later<'a, (Box<dyn Listener>, Address)> {
        Box::pin(async move {
            match address {
                Address::Tcp(at) => {
                    let bind = || TcpListener::bind(at.as_str());
                    let listener = again(LISTEN_RETRIES_MOST, may_become_free, bind).await?;
                    let real = Address::Tcp(listener.local_addr()?.to_string());
                    Ok((Box::new(listener) as Box<dyn Listener>, real))
                }
                Address::Unix(path) => {
                    // A socket file outlives the process that made it: one that nobody answers on is in the way.
                    if UnixStream::connect(path).await.is_err() {
                        let _ = std::fs::remove_file(path);
                    }
                    let bind = || std::future::ready(UnixListener::bind(path));
                    let listener = again(LISTEN_RETRIES_MOST, is_local_failure, bind).await?;
                    Ok((Box::new(listener) as Box<dyn Listener>, address.clone()))
                }
                Address::Memory(_) => Err(io::ErrorKind::Unsupported.into()),
            }
        })
    }
}

/// Waits for a connection. Nobody can tell from outside whether a listener that has none was asked.
async fn next_connection<T>(accept: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let mut accept = std::pin::pin!(accept);
    std::future::poll_fn(|cx| {
        let polled = accept.as_mut().poll(cx);
        if polled.is_pending() {
            note_unasked_poll();
        }
        polled
    })
    .await
}

/// Waits for the next connection that does not fail before it is accepted.
async fn next_sound_connection<T>(mut accept: impl AsyncFnMut() -> io::Result<T>) -> io::Result<T> {
    let mut skipped = 0;
    loop {
        match next_connection(accept()).await {
            Err(e) if is_of_one_connection(&e) && skipped < SKIPPED_MOST => skipped += 1,
            done => return done,
        }
    }
}

impl Listener for TcpListener {
    fn accept(&mut self) -> Later<'_, Stream> {
        Box::pin(async move {
            let (stream, _) =
                next_sound_connection(async || TcpListener::accept(self).await).await?;
            Ok(over_tcp(stream))
        })
    }
}

impl Listener for UnixListener {
    fn accept(&mut self) -> Later<'_, Stream> {
        Box::pin(async move {
            let (stream, _) =
                next_sound_connection(async || UnixListener::accept(self).await).await?;
            Ok(Box::new(Steady(stream)) as Stream)
        })
    }
}
