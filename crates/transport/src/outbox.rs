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

/// Number of a frame on its outbox, from 1.
pub type Ticket = u64;

struct Item {
    ticket: Ticket,
    bytes: Bytes,
    /// Its first byte does not leave from then on.
    until: Ticks,
}

#[derive(Default)]
struct Inner {
    items: VecDeque<Item>,
    waiting_bytes: usize,
    most_bytes: usize,
    last: Ticket,
    left: Ticket,
    /// A frame of which a part has left.
    begun: Option<Ticket>,
    closed: bool,
    waker: Option<Waker>,
    batch: Vec<u8>,
}

/// What waits to go out on one stream, bounded in bytes. A frame can be withdrawn until its first byte has left, also
/// while the stream takes nothing; none is withdrawn after.
#[derive(Clone, Default)]
pub struct SendQueue {
    inner: Rc<RefCell<Inner>>,
}

impl Inner {
    fn withdraw(&mut self, now: Ticks, gone: &mut Vec<Ticket>) {
        if self.items.iter().all(|i| now < i.until) {
            return;
        }
        let waiting_bytes = &mut self.waiting_bytes;
        self.items.retain(|i| {
            if now >= i.until {
                *waiting_bytes -= i.bytes.len();
                gone.push(i.ticket);
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
    pub fn new(most_bytes: usize) -> Self {
        Self {
            inner: Rc::new(RefCell::new(Inner {
                most_bytes,
                ..Default::default()
            })),
        }
    }

    /// Queues a frame; `None` when there is no room for it, or the stream is no more.
    pub fn put(&self, bytes: Bytes, until: Ticks) -> Option<Ticket> {
        let mut inner = self.inner.borrow_mut();
        if inner.closed || inner.waiting_bytes + bytes.len() > inner.most_bytes {
            return None;
        }
        inner.waiting_bytes += bytes.len();
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
    pub fn has_left(&self, ticket: Ticket) -> bool {
        ticket <= self.inner.borrow().left
    }

    /// Withdraws what may not leave any more, and what `unwanted` names; gives the tickets.
    pub fn withdraw(&self, now: Ticks, unwanted: impl Fn(Ticket) -> bool) -> Vec<Ticket> {
        let (mut inner, mut gone) = (self.inner.borrow_mut(), Vec::new());
        inner
            .items
            .iter_mut()
            .filter(|i| unwanted(i.ticket))
            .for_each(|i| i.until = 0);
        inner.withdraw(now, &mut gone);
        gone
    }

    /// The frame of which a part has left and a part has not: it can't be withdrawn, only cut off with the stream.
    pub fn begun(&self) -> Option<Ticket> {
        self.inner.borrow().begun
    }

    pub fn waiting_bytes(&self) -> usize {
        self.inner.borrow().waiting_bytes
    }

    /// Whether nothing more is taken.
    pub fn is_closed(&self) -> bool {
        self.inner.borrow().closed
    }

    /// Takes nothing more; the writer ends when what waits has left.
    pub fn close(&self) {
        let mut inner = self.inner.borrow_mut();
        inner.closed = true;
        inner.wake();
    }

    /// Writes until the stream fails or the outbox is closed and empty. `withdrawn` hears of frames that grew too old.
    pub async fn write_to(
        &self,
        stream: &mut (impl AsyncWrite + Unpin),
        now: impl Fn() -> Ticks,
        mut withdrawn: impl FnMut(Ticket),
    ) -> io::Result<()> {
        loop {
            let (mut gone, mut ended) = (Vec::new(), false);
            // The batch is put together at each poll: what waits behind a stuck stream has not begun to leave.
            let rest = poll_fn(|cx| {
                let inner = &mut *self.inner.borrow_mut();
                inner.withdraw(now(), &mut gone);
                let mut batch = std::mem::take(&mut inner.batch);
                batch.clear();
                for item in &inner.items {
                    batch.extend_from_slice(&item.bytes);
                    if batch.len() >= WRITE_BYTES {
                        break;
                    }
                }
                let polled = if batch.is_empty() && !gone.is_empty() {
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
                            inner.waiting_bytes -= item.bytes.len().min(n);
                            if n < item.bytes.len() {
                                let rest = item.bytes.split_off(n);
                                let ticket = item.ticket;
                                inner.waiting_bytes -= rest.len();
                                inner.items.pop_front();
                                return Ok(Some((ticket, rest)));
                            }
                            n -= item.bytes.len();
                            inner.left = item.ticket;
                            inner.items.pop_front();
                        }
                        Ok(None)
                    }
                    Err(e) => Err(e),
                })
            })
            .await;
            gone.into_iter().for_each(&mut withdrawn);
            if ended {
                return Ok(());
            }
            let done = match rest {
                Ok(Some((ticket, rest))) => {
                    self.inner.borrow_mut().begun = Some(ticket);
                    let done = stream.write_all(&rest).await;
                    self.inner.borrow_mut().begun = None;
                    done.map(|()| self.inner.borrow_mut().left = ticket)
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
