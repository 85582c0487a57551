//! Bounded queues of frames that wait to be sent on one stream.

use bytes::Bytes;
use saltdrum::interface::Ticks;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Poll, Waker};
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
            let (mut expired, mut ended) = (Vec::new(), false);
            // The batch is put together at each poll: what waits behind a stuck stream has not begun to leave.
            let rest = poll_fn(|cx| {
                let inner = &mut *self.inner.borrow_mut();
                inner.withdraw(now(), &mut expired);
                let mut batch = std::mem::take(&mut inner.batch);
                batch.clear();
                for item in &inner.items {
                    batch.extend_from_slice(&item.bytes);
                    if batch.len() >= WRITE_BYTES {
                        break;
                    }
                }
                let polled = if batch.is_empty() && !expired.is_empty() {
                    Poll::Ready(Ok(0))
                } else if batch.is_empty() {
                    ended = inner.closed;
                    inner.waker = Some(cx.waker().clone());
                    if ended {
                        Poll::Ready(Ok(0))
                    } else {
                        Poll::Pending
                    }
                } else {
                    Pin::new(&mut *stream).poll_write(cx, &batch)
                };
                let sent_any = !batch.is_empty();
                inner.batch = batch;
                polled.map(|got| match got {
                    Ok(0) if sent_any => Err(io::ErrorKind::WriteZero.into()),
                    Ok(mut n) => {
                        while let Some(item) = inner.items.front_mut().filter(|_| n > 0) {
                            inner.queued_bytes -= item.bytes.len().min(n);
                            if n < item.bytes.len() {
                                let rest = item.bytes.split_off(n);
                                let ticket = item.ticket;
                                inner.queued_bytes -= rest.len();
                                inner.items.pop_front();
                                return Ok(Some((ticket, rest)));
                            }
                            n -= item.bytes.len();
                            inner.sent = item.ticket;
                            inner.items.pop_front();
                        }
                        Ok(None)
                    }
                    Err(e) => Err(e),
                })
            })
            .await;
            expired.into_iter().for_each(&mut on_withdrawn);
            if ended {
                return Ok(());
            }
            let done = match rest {
                Ok(Some((ticket, rest))) => {
                    self.inner.borrow_mut().partially_sent = Some(ticket);
                    let done = stream.write_all(&rest).await;
                    self.inner.borrow_mut().partially_sent = None;
                    done.map(|()| self.inner.borrow_mut().sent = ticket)
                }
                other => other.map(|_| ()),
            };
            if done.is_err() {
                self.inner.borrow_mut().closed = true;
                return done;
            }
        }
    }
}

#[cfg(test)]
mod tests;
