//! Bounded queues of frames that wait to be sent on one stream.

use bytes::Bytes;
use saltdrum::interface::Ticks;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use tokio::io::{AsyncWrite, AsyncWriteExt};

/// How much is handed to the stream at once.
const WRITE_BYTES: usize = 64 << 10;

/// Number of a frame on its [`SendQueue`], from 1.
pub type Ticket = u64;

struct Item {
    ticket: Ticket,
    bytes: Bytes,
    /// Its first byte is not sent from then on.
    until: Ticks,
}

#[derive(Default)]
struct Inner {
    items: VecDeque<Item>,
    queued_bytes: usize,
    max_bytes: usize,
    last: Ticket,
    sent: Ticket,
    /// A frame of which a part was handed to the stream.
    partially_sent: Option<Ticket>,
    closed: bool,
    waker: Option<Waker>,
    batch: Vec<u8>,
}

/// A frame that was written in part.
struct PartialFrame {
    ticket: Ticket,
    rest: Bytes,
}

/// What became of a write.
enum Written {
    /// Frames were written; the last possibly in part.
    Batch(Option<PartialFrame>),
    /// The queue is closed and empty.
    Closed,
}

/// Frames that wait to be sent on one stream, bounded in bytes. A frame can be withdrawn until its first byte was handed to the
/// stream, also while the stream takes nothing; none is withdrawn after that. Clones share the queue.
#[derive(Clone, Default)]
pub struct SendQueue {
    inner: Rc<RefCell<Inner>>,
}

impl Inner {
    fn withdraw(&mut self, now: Ticks, expired: &mut Vec<Ticket>) {
        if self.items.iter().all(|i| now < i.until) {
            return;
        }
        let queued_bytes = &mut self.queued_bytes;
        self.items.retain(|i| {
            if now >= i.until {
                *queued_bytes -= i.bytes.len();
                expired.push(i.ticket);
            }
            now < i.until
        });
    }

    /// Polls the stream with the frames that wait now: what waits behind a stalled stream has not begun to be sent.
    fn poll_write(
        &mut self,
        cx: &mut Context<'_>,
        stream: &mut (impl AsyncWrite + Unpin),
        has_expired: bool,
    ) -> Poll<io::Result<Written>> {
        let mut batch = std::mem::take(&mut self.batch);
        batch.clear();
        for item in &self.items {
            batch.extend_from_slice(&item.bytes);
            if batch.len() >= WRITE_BYTES {
                break;
            }
        }
        if batch.is_empty() {
            self.batch = batch;
            return self.poll_empty(cx, has_expired);
        }
        let polled = Pin::new(stream).poll_write(cx, &batch);
        self.batch = batch;
        Poll::Ready(match ready!(polled) {
            Ok(0) => Err(io::ErrorKind::WriteZero.into()),
            Ok(written_bytes) => Ok(Written::Batch(self.remove_written(written_bytes))),
            Err(error) => Err(error),
        })
    }

    /// Nothing waits: ends when frames expired, which have to be reported, or when the queue is closed.
    fn poll_empty(&mut self, cx: &mut Context<'_>, has_expired: bool) -> Poll<io::Result<Written>> {
        if has_expired {
            return Poll::Ready(Ok(Written::Batch(None)));
        }
        self.waker = Some(cx.waker().clone());
        if self.closed {
            return Poll::Ready(Ok(Written::Closed));
        }
        Poll::Pending
    }

    /// Removes the frames of which bytes were written; gives the rest of the last, if it was written in part.
    fn remove_written(&mut self, mut written_bytes: usize) -> Option<PartialFrame> {
        while written_bytes > 0 {
            let mut item = self.items.pop_front()?;
            self.queued_bytes -= item.bytes.len();
            if written_bytes < item.bytes.len() {
                let rest = item.bytes.split_off(written_bytes);
                return Some(PartialFrame {
                    ticket: item.ticket,
                    rest,
                });
            }
            written_bytes -= item.bytes.len();
            self.sent = item.ticket;
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
    /// An empty queue of at most `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            inner: Rc::new(RefCell::new(Inner {
                max_bytes,
                ..Default::default()
            })),
        }
    }

    /// Queues a frame; `None` when there is no capacity for it, or the queue is closed.
    pub fn push(&self, bytes: Bytes, until: Ticks) -> Option<Ticket> {
        let mut inner = self.inner.borrow_mut();
        if inner.closed || inner.queued_bytes + bytes.len() > inner.max_bytes {
            return None;
        }
        inner.queued_bytes += bytes.len();
        inner.last += 1;
        let ticket = inner.last;
        inner.items.push_back(Item {
            ticket,
            bytes,
            until,
        });
        inner.wake();
        Some(ticket)
    }

    /// Whether the whole frame was handed to the stream. Where the stream failed in mid-frame it was not, and the
    /// receiver cannot have read it.
    pub fn is_sent(&self, ticket: Ticket) -> bool {
        ticket <= self.inner.borrow().sent
    }

    /// Withdraws frames whose time is over at `now`, and those that `unwanted` names; gives their tickets.
    pub fn withdraw(&self, now: Ticks, unwanted: impl Fn(Ticket) -> bool) -> Vec<Ticket> {
        let (mut inner, mut expired) = (self.inner.borrow_mut(), Vec::new());
        inner
            .items
            .iter_mut()
            .filter(|i| unwanted(i.ticket))
            .for_each(|i| i.until = 0);
        inner.withdraw(now, &mut expired);
        expired
    }

    /// The frame of which a part was handed to the stream: it cannot be withdrawn, only cut off with the stream.
    pub fn partially_sent(&self) -> Option<Ticket> {
        self.inner.borrow().partially_sent
    }

    /// Bytes that wait.
    pub fn queued_bytes(&self) -> usize {
        self.inner.borrow().queued_bytes
    }

    /// Whether the queue takes no more frames.
    pub fn is_closed(&self) -> bool {
        self.inner.borrow().closed
    }

    /// Takes no more frames; the writer ends when all that wait have been sent.
    pub fn close(&self) {
        let mut inner = self.inner.borrow_mut();
        inner.closed = true;
        inner.wake();
    }

    /// Writes until the stream fails or the queue is closed and empty. Calls `on_withdrawn` for frames whose time was over.
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
                inner.withdraw(now(), &mut expired);
                inner.poll_write(cx, stream, !expired.is_empty())
            })
            .await;
            expired.into_iter().for_each(&mut on_withdrawn);
            let done = match written {
                Ok(Written::Closed) => return Ok(()),
                Ok(Written::Batch(None)) => Ok(()),
                Ok(Written::Batch(Some(partial))) => self.write_rest(stream, partial).await,
                Err(error) => Err(error),
            };
            if done.is_err() {
                self.inner.borrow_mut().closed = true;
                return done;
            }
        }
    }

    /// Writes the rest of a frame that was written in part.
    async fn write_rest(
        &self,
        stream: &mut (impl AsyncWrite + Unpin),
        partial: PartialFrame,
    ) -> io::Result<()> {
        self.inner.borrow_mut().partially_sent = Some(partial.ticket);
        let done = stream.write_all(&partial.rest).await;
        let inner = &mut *self.inner.borrow_mut();
        inner.partially_sent = None;
        if done.is_ok() {
            inner.sent = partial.ticket;
        }
        done
    }
}

#[cfg(test)]
mod tests;
