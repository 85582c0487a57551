use super::*;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::task::Waker;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// A socket whose calls follow a script: each transfers up to a number of bytes, or is interrupted. It starts ready; a call
/// that would block clears the readiness, which never returns.
struct ScriptedSocket {
    script: RefCell<VecDeque<Option<usize>>>,
    to_read: RefCell<VecDeque<u8>>,
    written: RefCell<Vec<u8>>,
    is_ready: Cell<bool>,
}

impl ScriptedSocket {
    fn new(to_read: &[u8], script: &[Option<usize>]) -> Self {
        let script = RefCell::new(script.iter().copied().collect());
        let to_read = RefCell::new(to_read.iter().copied().collect());
        Self {
            script,
            to_read,
            written: RefCell::default(),
            is_ready: Cell::new(true),
        }
    }

    /// Returns how many bytes this call transfers at most.
    fn next_call_limit(&self) -> io::Result<usize> {
        match self.script.borrow_mut().pop_front() {
            Some(Some(max_bytes)) => Ok(max_bytes),
            Some(None) => Err(io::ErrorKind::Interrupted.into()),
            None => Ok(usize::MAX),
        }
    }

    fn poll_ready(&self) -> Poll<io::Result<()>> {
        if self.is_ready.get() {
            Poll::Ready(Ok(()))
        } else {
            Poll::Pending
        }
    }
}

impl SocketCalls for ScriptedSocket {
    fn poll_readable(&self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_ready()
    }
    fn poll_writable(&self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_ready()
    }
    fn read(&self, bytes: &mut [u8]) -> io::Result<usize> {
        let max_bytes = self.next_call_limit()?;
        let mut unread = self.to_read.borrow_mut();
        if unread.is_empty() {
            self.is_ready.set(false);
            return Err(io::ErrorKind::WouldBlock.into());
        }
        let transferred = max_bytes.min(unread.len()).min(bytes.len());
        unread
            .drain(..transferred)
            .zip(bytes)
            .for_each(|(from, to)| *to = from);
        Ok(transferred)
    }
    fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        let transferred = self.next_call_limit()?.min(bytes.len());
        self.written
            .borrow_mut()
            .extend_from_slice(&bytes[..transferred]);
        Ok(transferred)
    }
}

/// Writes use [`SocketCalls`]; flush and shutdown do nothing.
impl AsyncWrite for ScriptedSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(SocketCalls::write(&*self, bytes))
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

const SHORT_AND_INTERRUPTED: [Option<usize>; 7] =
    [Some(1), None, None, Some(2), Some(1), None, Some(3)];

#[tokio::test]
async fn read_continues_after_short_and_interrupted_calls_until_it_would_block() {
    let mut stream = RetryingStream(ScriptedSocket::new(
        b"what was sent",
        &SHORT_AND_INTERRUPTED,
    ));
    let mut received = [0; 13];
    stream.read_exact(&mut received).await.unwrap();
    assert_eq!(&received, b"what was sent");
    let mut cx = Context::from_waker(Waker::noop());
    let (mut byte, stream) = ([0], Pin::new(&mut stream));
    assert!(
        stream
            .poll_read(&mut cx, &mut ReadBuf::new(&mut byte))
            .is_pending()
    );
}

#[tokio::test]
async fn write_continues_after_short_and_interrupted_calls() {
    let mut stream = RetryingStream(ScriptedSocket::new(b"", &SHORT_AND_INTERRUPTED));
    stream.write_all(b"what is sent").await.unwrap();
    assert_eq!(*stream.0.written.borrow(), b"what is sent");
}
