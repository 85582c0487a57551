//! The turns of one thread, by which it is known when the machine was last asked what has come; and a reader that knows when
//! what it reads can have come.

use crate::{ArrivalClock, Clock, ReadBacklog};
use bytes::BytesMut;
use saltdrum::interface::{MILLISECOND, Ticks};
use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, ReadBuf};

/// A thread takes a turn at least this often while it runs.
pub const TURN_EVERY: Ticks = 10 * MILLISECOND;
/// EventLoopClock further apart mean that the thread stood still.
const STOOD: Ticks = 40 * MILLISECOND;
const READ_BYTES: usize = 16 << 10;

/// When a thread last asked the machine what has come, as far as its last two turns tell.
#[derive(Default)]
pub(crate) struct PollTimes {
    last: AtomicU64,
    before: AtomicU64,
}

impl PollTimes {
    fn last(&self) -> Ticks {
        self.last.load(Ordering::Relaxed)
    }

    fn before(&self) -> Ticks {
        self.before.load(Ordering::Relaxed)
    }

    /// What the machine tells of at `now` came no earlier than this, as it would have told of it before. A thread that has
    /// been stopped and not yet noted a turn was last asked before the stop; its first turn after a stop may come before the
    /// machine is asked, so only the turn before the last counts.
    pub fn looked_before(&self, now: Ticks) -> Ticks {
        if now.saturating_sub(self.last()) > STOOD {
            self.last()
        } else {
            self.before()
        }
    }
}

/// The turns of one thread.
#[derive(Clone, Default)]
pub struct EventLoopClock {
    looks: Arc<PollTimes>,
    written: Rc<Cell<Option<Ticks>>>,
}

impl EventLoopClock {
    /// Notes a turn. Gives the time stood still, if it was unusually long.
    pub fn turn(&self, now: Ticks) -> Option<Ticks> {
        let last = self.looks.last.swap(now, Ordering::Relaxed);
        self.looks.before.store(last, Ordering::Relaxed);
        let gap = now.saturating_sub(last);
        (last > 0 && gap > STOOD).then_some(gap)
    }

    /// The machine was last asked what has come no earlier than this: what came before is known to its reader, or was
    /// queued for it before whatever asks now.
    pub fn looked(&self) -> Ticks {
        let before = self.looks.before();
        if before == 0 { 0 } else { before + TURN_EVERY }
    }

    /// Said by a stream that knows when the bytes it just gave were written. Only an emulated one does, and only to
    /// those who judge: a process can't know it.
    pub fn written(&self, at: Ticks) {
        self.written.set(Some(at));
    }

    /// How long what the machine tells of at `now` can have waited, at the most: nothing for a thread that has only begun.
    pub fn waited_most(&self, now: Ticks) -> Ticks {
        let before = self.looks.looked_before(now);
        if before == 0 {
            0
        } else {
            now.saturating_sub(before)
        }
    }

    pub(crate) fn looks(&self) -> Arc<PollTimes> {
        self.looks.clone()
    }
}

/// Takes turns for as long as the thread runs, and calls `stood` when there was a gap.
pub async fn run_event_loop_clock(
    turns: EventLoopClock,
    clock: Clock,
    stood: impl Fn(Ticks, Ticks),
) {
    loop {
        let now = clock.now();
        if let Some(gap) = turns.turn(now) {
            stood(now, gap);
        }
        clock.sleep_until(now + TURN_EVERY).await;
    }
}

/// Reads a stream, and knows when what it reads can have come.
pub struct ArrivalReader<S> {
    stream: S,
    pub bytes: BytesMut,
    arrivals: ArrivalClock,
    turns: EventLoopClock,
}

impl<S: AsyncRead + Unpin> ArrivalReader<S> {
    pub fn new(stream: S, clock: Clock, turns: EventLoopClock) -> Self {
        Self::opened_at(stream, clock.now(), clock, turns)
    }

    /// For a stream that may have been open, with bytes in it, since `opened`.
    pub fn opened_at(stream: S, opened: Ticks, clock: Clock, turns: EventLoopClock) -> Self {
        let arrivals = ArrivalClock::new(opened, clock, &turns);
        Self {
            stream,
            bytes: BytesMut::new(),
            arrivals,
            turns,
        }
    }

    /// Whether there may be bytes, or the stream's end, that were not read yet.
    pub fn backlog(&self) -> ReadBacklog {
        self.arrivals.backlog()
    }

    /// What lies in the machine and can be read without a wait. False: the stream has ended, or `most` bytes were read.
    pub fn drain(&mut self, most: usize) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        let mut chunk = [0; READ_BYTES];
        let mut read = 0;
        while read < most {
            let mut buf = ReadBuf::new(&mut chunk);
            match Pin::new(&mut self.stream).poll_read(&mut cx, &mut buf) {
                Poll::Pending => return true,
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {
                    read += buf.filled().len();
                    self.bytes.extend_from_slice(buf.filled());
                }
                Poll::Ready(_) => return false,
            }
        }
        false
    }

    /// Reads more bytes; gives the earliest time they can have come, `None` at the stream's end.
    pub async fn more(&mut self) -> io::Result<Option<Ticks>> {
        self.bytes.reserve(READ_BYTES);
        let (stream, bytes, arrivals) = (&mut self.stream, &mut self.bytes, &mut self.arrivals);
        self.turns.written.set(None);
        let got = poll_fn(|cx| {
            let held = bytes.len();
            bytes.resize(held + READ_BYTES, 0);
            let mut buf = ReadBuf::new(&mut bytes[held..]);
            let polled = arrivals.poll(cx, |cx| Pin::new(&mut *stream).poll_read(cx, &mut buf));
            let got = buf.filled().len();
            bytes.truncate(held + got);
            polled.map_ok(|()| got)
        })
        .await?;
        let earliest = self.arrivals.earliest();
        let earliest = self
            .turns
            .written
            .take()
            .map_or(earliest, |written| written.min(earliest));
        Ok((got > 0).then_some(earliest))
    }
}

#[cfg(test)]
mod tests;
