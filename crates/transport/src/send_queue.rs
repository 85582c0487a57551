//! Bounded queues of frames that wait to be sent on one stream.

use bytes::Bytes;
use saltdrum::interface::Ticks;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use tokio::io::{AsyncWrite, AsyncWriteExt};

/// Frames are batched into one write until it has at least this size.
const WRITE_BATCH_BYTES: usize = 64 << 10;
/// A larger batch buffer is released after its write.
const RETAINED_BATCH_BYTES: usize = 4 << 10;
/// An empty queue with room for more frames is released.
const RETAINED_FRAMES: usize = 32;
/// Estimated memory of a queued frame besides its bytes: its entry in a queue that may be half empty, and its allocation.
const FRAME_OVERHEAD_BYTES: usize = 2 * size_of::<QueuedFrame>() + 64;

/// Number of a frame on its [`SendQueue`], from 1.
pub type Ticket = u64;

/// A queued frame.
struct QueuedFrame {
    ticket: Ticket,
    bytes: Bytes,
    /// The transmission of the frame does not begin from then on.
    expires_at: Ticks,
}

#[derive(Default)]
struct Inner {
    frames: VecDeque<QueuedFrame>,
    queued_bytes: usize,
    /// Memory of the frames that were not sent completely.
    memory: CountedMemory,
    max_bytes: usize,
    last_ticket: Ticket,
    last_sent: Ticket,
    /// The frame of which a part was written to the stream.
    partially_sent: Option<Ticket>,
    is_closed: bool,
    waker: Option<Waker>,
    batch: Vec<u8>,
}

/// A partially written frame.
struct PartialFrame {
    ticket: Ticket,
    remaining: Bytes,
    memory_bytes: usize,
}

/// Outcome of a write.
enum WriteOutcome {
    /// Frames were written, the last possibly in part, or frames expired.
    Batch(Option<PartialFrame>),
    /// The queue is closed and empty.
    Closed,
}

/// The frames to be sent on one stream, bounded in bytes. A frame can be withdrawn until its first byte is written to the
/// stream, even while the stream is stalled, and never after that. Clones share the queue.
#[derive(Clone, Default)]
pub struct SendQueue {
    inner: Rc<RefCell<Inner>>,
}

/// The memory of one queue's frames, counted in that of several queues.
#[derive(Default)]
struct CountedMemory {
    bytes: usize,
    shared: Rc<Cell<usize>>,
}

impl CountedMemory {
    fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.shared.set(self.shared.get() + bytes);
    }

    fn remove(&mut self, bytes: usize) {
        self.bytes -= bytes;
        self.shared.set(self.shared.get() - bytes);
    }
}

impl Drop for CountedMemory {
    fn drop(&mut self) {
        self.remove(self.bytes);
    }
}

impl QueuedFrame {
    fn memory_bytes(&self) -> usize {
        self.bytes.len() + FRAME_OVERHEAD_BYTES
    }
}

impl Inner {
    fn withdraw_expired(&mut self, now: Ticks, expired: &mut Vec<Ticket>) {
        if self.frames.iter().all(|frame| now < frame.expires_at) {
            return;
        }
        let (queued_bytes, mut released_bytes) = (&mut self.queued_bytes, 0);
        self.frames.retain(|frame| {
            if now >= frame.expires_at {
                *queued_bytes -= frame.bytes.len();
                released_bytes += frame.memory_bytes();
                expired.push(frame.ticket);
            }
            now < frame.expires_at
        });
        self.memory.remove(released_bytes);
    }

    /// Writes the frames that are queued now. Frames behind a stalled stream are not written, and can still be withdrawn.
    fn poll_write(
        &mut self,
        cx: &mut Context<'_>,
        stream: &mut (impl AsyncWrite + Unpin),
        has_expired: bool,
    ) -> Poll<io::Result<WriteOutcome>> {
        let mut batch = std::mem::take(&mut self.batch);
        batch.clear();
        for frame in &self.frames {
            batch.extend_from_slice(&frame.bytes);
            if batch.len() >= WRITE_BATCH_BYTES {
                break;
            }
        }
        if batch.is_empty() {
            self.batch = batch;
            return self.poll_empty(cx, has_expired);
        }
        let polled = Pin::new(stream).poll_write(cx, &batch);
        if batch.capacity() <= RETAINED_BATCH_BYTES {
            self.batch = batch;
        }
        Poll::Ready(match ready!(polled) {
            Ok(0) => Err(io::ErrorKind::WriteZero.into()),
            Ok(written_bytes) => Ok(WriteOutcome::Batch(self.remove_written(written_bytes))),
            Err(error) => Err(error),
        })
    }

    /// Polls an empty queue: ready if frames expired, which have to be reported, or if the queue is closed.
    fn poll_empty(
        &mut self,
        cx: &mut Context<'_>,
        has_expired: bool,
    ) -> Poll<io::Result<WriteOutcome>> {
        if has_expired {
            return Poll::Ready(Ok(WriteOutcome::Batch(None)));
        }
        self.waker = Some(cx.waker().clone());
        if self.frames.capacity() > RETAINED_FRAMES {
            self.frames = VecDeque::new();
        }
        if self.is_closed {
            return Poll::Ready(Ok(WriteOutcome::Closed));
        }
        Poll::Pending
    }

    /// Removes the written frames. Returns the remainder of the last one if it was partially written: its memory is counted
    /// until it is written completely.
    fn remove_written(&mut self, mut written_bytes: usize) -> Option<PartialFrame> {
        while written_bytes > 0 {
            let mut frame = self.frames.pop_front()?;
            let frame_memory_bytes = frame.memory_bytes();
            self.queued_bytes -= frame.bytes.len();
            if written_bytes < frame.bytes.len() {
                let remaining = frame.bytes.split_off(written_bytes);
                return Some(PartialFrame {
                    ticket: frame.ticket,
                    remaining,
                    memory_bytes: frame_memory_bytes,
                });
            }
            self.memory.remove(frame_memory_bytes);
            written_bytes -= frame.bytes.len();
            self.last_sent = frame.ticket;
        }
        None
    }

    fn wake(&mut self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

impl SendQueue {
    /// Creates an empty queue of at most `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self::counted_in(max_bytes, Rc::default())
    }

    /// Creates an empty queue of at most `max_bytes`, whose memory is added to `shared_memory` while it is held.
    pub fn counted_in(max_bytes: usize, shared_memory: Rc<Cell<usize>>) -> Self {
        let memory = CountedMemory {
            bytes: 0,
            shared: shared_memory,
        };
        Self {
            inner: Rc::new(RefCell::new(Inner {
                max_bytes,
                memory,
                ..Default::default()
            })),
        }
    }

    /// Queues a frame, whose transmission does not begin from `expires_at` on. Returns `None` if there is no capacity for it or
    /// the queue is closed.
    pub fn push(&self, bytes: Bytes, expires_at: Ticks) -> Option<Ticket> {
        let mut inner = self.inner.borrow_mut();
        if inner.is_closed || inner.queued_bytes + bytes.len() > inner.max_bytes {
            return None;
        }
        inner.queued_bytes += bytes.len();
        inner.last_ticket += 1;
        let ticket = inner.last_ticket;
        let frame = QueuedFrame {
            ticket,
            bytes,
            expires_at,
        };
        inner.memory.add(frame.memory_bytes());
        inner.frames.push_back(frame);
        inner.wake();
        Some(ticket)
    }

    /// Whether the whole frame was written to the stream. If the stream failed in mid-frame, it was not, and the receiver
    /// cannot have read it.
    pub fn is_sent(&self, ticket: Ticket) -> bool {
        ticket <= self.inner.borrow().last_sent
    }

    /// Withdraws the frames that have expired at `now` and those that `is_unwanted` selects. Returns their tickets.
    pub fn withdraw(&self, now: Ticks, is_unwanted: impl Fn(Ticket) -> bool) -> Vec<Ticket> {
        let (mut inner, mut expired) = (self.inner.borrow_mut(), Vec::new());
        inner
            .frames
            .iter_mut()
            .filter(|frame| is_unwanted(frame.ticket))
            .for_each(|frame| frame.expires_at = 0);
        inner.withdraw_expired(now, &mut expired);
        expired
    }

    /// Returns the partially written frame, if any. It cannot be withdrawn; only closing the stream stops it.
    pub fn partially_sent(&self) -> Option<Ticket> {
        self.inner.borrow().partially_sent
    }

    /// Returns the number of queued bytes.
    pub fn queued_bytes(&self) -> usize {
        self.inner.borrow().queued_bytes
    }

    /// Returns the estimated memory of the frames that were not sent completely.
    pub fn memory_bytes(&self) -> usize {
        self.inner.borrow().memory.bytes
    }

    /// Whether the queue accepts no more frames.
    pub fn is_closed(&self) -> bool {
        self.inner.borrow().is_closed
    }

    /// Closes the queue for new frames. The writer ends when all queued frames have been sent.
    pub fn close(&self) {
        let mut inner = self.inner.borrow_mut();
        inner.is_closed = true;
        inner.wake();
    }

    /// Writes frames until the stream fails, or the queue is closed and empty. Calls `on_withdrawn` for each expired frame.
    pub async fn write_to(
        &self,
        stream: &mut (impl AsyncWrite + Unpin),
        now: impl Fn() -> Ticks,
        mut on_withdrawn: impl FnMut(Ticket),
    ) -> io::Result<()> {
        loop {
            let mut expired = Vec::new();
            let written = poll_fn(|cx| {
                let inner = &mut *self.inner.borrow_mut();
                inner.withdraw_expired(now(), &mut expired);
                inner.poll_write(cx, stream, !expired.is_empty())
            })
            .await;
            expired.into_iter().for_each(&mut on_withdrawn);
            let result = match written {
                Ok(WriteOutcome::Closed) => return Ok(()),
                Ok(WriteOutcome::Batch(None)) => Ok(()),
                Ok(WriteOutcome::Batch(Some(partial))) => {
                    self.write_remaining(stream, partial).await
                }
                Err(error) => Err(error),
            };
            if result.is_err() {
                self.inner.borrow_mut().is_closed = true;
                return result;
            }
        }
    }

    /// Writes the remainder of a partially written frame.
    async fn write_remaining(
        &self,
        stream: &mut (impl AsyncWrite + Unpin),
        partial: PartialFrame,
    ) -> io::Result<()> {
        self.inner.borrow_mut().partially_sent = Some(partial.ticket);
        let result = stream.write_all(&partial.remaining).await;
        let inner = &mut *self.inner.borrow_mut();
        inner.partially_sent = None;
        inner.memory.remove(partial.memory_bytes);
        if result.is_ok() {
            inner.last_sent = partial.ticket;
        }
        result
    }
}

#[cfg(test)]
mod tests;
