//! A socket stream that tolerates interrupted and short system calls: interrupted calls are retried, and a short read or write
//! is not taken to mean that the socket is empty or full.
//!
//! Tokio's own streams treat a call that transferred fewer bytes than requested as an empty or full socket, and then wait for
//! the next readiness event. If the call was short for another reason, that event never occurs.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpStream, UnixStream};

/// Readiness of a socket, and single system calls on it.
pub(crate) trait SocketCalls {
    fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    fn poll_writable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Reads once. `WouldBlock` clears the readiness.
    fn read(&self, bytes: &mut [u8]) -> io::Result<usize>;
    fn write(&self, bytes: &[u8]) -> io::Result<usize>;
}

macro_rules! socket_calls {
    ($stream:ty) => {
        impl SocketCalls for $stream {
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

socket_calls!(TcpStream);
socket_calls!(UnixStream);

/// A stream that retries interrupted system calls and polls until one would block.
pub(crate) struct RetryingStream<S>(pub S);

thread_local! {
    static POLLS_WITHOUT_CALL: Cell<u64> = const { Cell::new(0) };
}

/// Returns how many polls of this thread returned `Pending` without a system call, based on the readiness known from the last
/// poll of the kernel. Such a poll does not show the current state of the socket: after a stop of the process, the last poll of
/// the kernel may have been long ago.
pub(crate) fn polls_without_call() -> u64 {
    POLLS_WITHOUT_CALL.get()
}

/// Counts a poll that returned `Pending` without a system call.
pub(crate) fn note_poll_without_call() {
    POLLS_WITHOUT_CALL.set(POLLS_WITHOUT_CALL.get() + 1);
}

/// Repeats `call` until it is neither interrupted nor would block.
fn poll_call<T>(
    cx: &mut Context<'_>,
    mut poll_ready: impl FnMut(&mut Context<'_>) -> Poll<io::Result<()>>,
    mut call: impl FnMut() -> io::Result<T>,
) -> Poll<io::Result<T>> {
    let mut made_call = false;
    loop {
        match poll_ready(cx) {
            Poll::Ready(ready) => ready?,
            Poll::Pending => {
                if !made_call {
                    note_poll_without_call();
                }
                return Poll::Pending;
            }
        }
        match call() {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => made_call = true,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return Poll::Ready(result),
        }
    }
}

impl<S: SocketCalls + Unpin> AsyncRead for RetryingStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let socket = &self.0;
        let read_bytes = ready!(poll_call(
            cx,
            |cx| socket.poll_readable(cx),
            || socket.read(buf.initialize_unfilled())
        ))?;
        buf.advance(read_bytes);
        Poll::Ready(Ok(()))
    }
}

impl<S: SocketCalls + AsyncWrite + Unpin> AsyncWrite for RetryingStream<S> {
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
