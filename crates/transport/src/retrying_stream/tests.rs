use super::*;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::task::Waker;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// A socket whose calls do what the script says: move so many bytes at the most, be interrupted, or block. It gives its word
/// to be ready once; only a call that would block takes it back, and it is not given again.
struct Scripted {
    script: RefCell<VecDeque<Option<usize>>>,
    to_read: RefCell<VecDeque<u8>>,
    written: RefCell<Vec<u8>>,
    is_ready: Cell<bool>,
}

impl Scripted {
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

    /// How many bytes this call moves at the most.
    fn next(&self) -> io::Result<usize> {
        match self.script.borrow_mut().pop_front() {
            Some(Some(most)) => Ok(most),
            Some(None) => Err(io::ErrorKind::Interrupted.into()),
            None => Ok(usize::MAX),
        }
    }

    fn word(&self) -> Poll<io::Result<()>> {
        if self.is_ready.get() {
            Poll::Ready(Ok(()))
        } else {
            Poll::Pending
        }
    }
}

impl SocketCalls for Scripted {
    fn poll_readable(&self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.word()
    }
    fn poll_writable(&self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.word()
    }
    fn read(&self, bytes: &mut [u8]) -> io::Result<usize> {
        let most = self.next()?;
        let mut left = self.to_read.borrow_mut();
        if left.is_empty() {
            self.is_ready.set(false);
            return Err(io::ErrorKind::WouldBlock.into());
        }
        let moved = most.min(left.len()).min(bytes.len());
        left.drain(..moved)
            .zip(bytes)
            .for_each(|(from, to)| *to = from);
        Ok(moved)
    }
    fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        let moved = self.next()?.min(bytes.len());
        self.written.borrow_mut().extend_from_slice(&bytes[..moved]);
        Ok(moved)
    }
}

/// It is written through [`SocketCalls`]; flush and shutdown have nothing to do.
impl AsyncWrite for Scripted {
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
async fn reads_everything_over_short_and_interrupted_calls_and_then_waits() {
    let mut stream = RetryingStream(Scripted::new(b"what was sent", &SHORT_AND_INTERRUPTED));
    let mut got = [0; 13];
    stream.read_exact(&mut got).await.unwrap();
    assert_eq!(&got, b"what was sent");
    let mut cx = Context::from_waker(Waker::noop());
    let (mut byte, stream) = ([0], Pin::new(&mut stream));
    assert!(
        stream
            .poll_read(&mut cx, &mut ReadBuf::new(&mut byte))
            .is_pending()
    );
}

#[tokio::test]
async fn writes_everything_over_short_and_interrupted_calls() {
    let mut stream = RetryingStream(Scripted::new(b"", &SHORT_AND_INTERRUPTED));
    stream.write_all(b"what is sent").await.unwrap();
    assert_eq!(*stream.0.written.borrow(), b"what is sent");
}
