//! A socket's bytes, whatever single system calls do: interrupted ones are made again, and short ones are no sign that the
//! machine has no more to give or take.
//!
//! Tokio's own streams take a read or write that moved fewer bytes than asked for as such a sign, and then wait for the
//! machine's next word. Where the call was short for another reason, that word never comes.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpStream, UnixStream};

/// What is asked of a socket: the machine's word that it may be ready, and single calls.
pub(crate) trait Calls {
    fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    fn poll_writable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// `WouldBlock` takes the machine's word back.
    fn read(&self, bytes: &mut [u8]) -> io::Result<usize>;
    fn write(&self, bytes: &[u8]) -> io::Result<usize>;
}

macro_rules! calls_of {
    ($stream:ty) => {
        impl Calls for $stream {
            fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                self.poll_read_ready(cx)
            }
            fn poll_writable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                self.poll_write_ready(cx)
            }
            fn read(&self, bytes: &mut [u8]) -> io::Result<usize> {
                self.try_read(bytes)
            }
            fn write(&self, bytes: &[u8]) -> io::Result<usize> {
                self.try_write(bytes)
            }
        }
    };
}

calls_of!(TcpStream);
calls_of!(UnixStream);

/// A stream over single calls.
pub(crate) struct Steady<S>(pub S);

thread_local! {
    static UNASKED_POLLS: Cell<u64> = const { Cell::new(0) };
}

/// How many polls of this thread ended `Pending` by what was known of a socket since the machine was last asked about all of
/// them, without a call. Such a poll tells nothing of the socket now: after a stop that may be long ago.
pub(crate) fn unasked_polls() -> u64 {
    UNASKED_POLLS.get()
}

/// Notes such a poll.
pub(crate) fn note_unasked_poll() {
    UNASKED_POLLS.set(UNASKED_POLLS.get() + 1);
}

/// Makes `call` until it neither is interrupted nor would block.
fn poll_call<T>(
    cx: &mut Context<'_>,
    mut poll_ready: impl FnMut(&mut Context<'_>) -> Poll<io::Result<()>>,
    mut call: impl FnMut() -> io::Result<T>,
) -> Poll<io::Result<T>> {
    let mut is_asked = false;
    loop {
        match poll_ready(cx) {
            Poll::Ready(ready) => ready?,
            Poll::Pending => {
                if !is_asked {
                    note_unasked_poll();
                }
                return Poll::Pending;
            }
        }
        match call() {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => is_asked = true,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            done => return Poll::Ready(done),
        }
    }
}

impl<S: Calls + Unpin> AsyncRead for Steady<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let socket = &self.0;
        let got = ready!(poll_call(
            cx,
            |cx| socket.poll_readable(cx),
            || socket.read(buf.initialize_unfilled())
        ))?;
        buf.advance(got);
        Poll::Ready(Ok(()))
    }
}

impl<S: Calls + AsyncWrite + Unpin> AsyncWrite for Steady<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let socket = &self.0;
        poll_call(cx, |cx| socket.poll_writable(cx), || socket.write(bytes))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
