//! When a thread's event loop last polled the kernel for readiness, and a reader that knows the earliest time at which what it
//! reads can have arrived.
//!
//! A process may be stopped at any time. What the kernel reports afterwards arrived no earlier than the last poll before the
//! stop, so a timer that ticks on the thread bounds the arrival of everything that is read.

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

/// The event loop's clock ticks this often while its thread runs.
pub(crate) const TICK_INTERVAL: Ticks = 10 * MILLISECOND;
/// Ticks further apart mean that the thread stood still.
const STOP_THRESHOLD: Ticks = 40 * MILLISECOND;
const READ_BYTES: usize = 16 << 10;

/// When a thread last polled the kernel, as far as its last two ticks tell.
#[derive(Default)]
pub(crate) struct PollTimes {
    last: AtomicU64,
    before: AtomicU64,
}

impl PollTimes {
    /// What the kernel reports now arrived no earlier than this, as it would have been reported before. A tick's timer fires in
    /// a poll of the kernel after the tick before, so there was a poll between the last two. Since the last one there may have
    /// been none: its task may have run first after a stop, and another stop may have followed at once.
    pub(crate) fn last_poll_bound(&self) -> Ticks {
        self.before.load(Ordering::Relaxed)
    }
}

/// Knows when one thread's event loop last polled the kernel. Clones share their state.
#[derive(Clone, Default)]
pub struct EventLoopClock {
    poll_times: Arc<PollTimes>,
    written_at: Rc<Cell<Option<Ticks>>>,
}

impl EventLoopClock {
    /// Notes a tick. Gives the time since the last one if the thread was stopped meanwhile.
    pub fn tick(&self, now: Ticks) -> Option<Ticks> {
        let last = self.poll_times.last.swap(now, Ordering::Relaxed);
        self.poll_times.before.store(last, Ordering::Relaxed);
        let gap = now.saturating_sub(last);
        (last > 0 && gap > STOP_THRESHOLD).then_some(gap)
    }

    /// The kernel was last polled no earlier than this: what arrived before is known to its reader, or was queued for it before
    /// whatever asks now.
    pub fn last_polled(&self) -> Ticks {
        let bound = self.poll_times.last_poll_bound();
        if bound == 0 { 0 } else { bound + TICK_INTERVAL }
    }

    /// Called by a stream that knows when the bytes it just gave were written. Only a simulated one does, and only for a rule
    /// checker: a process cannot know it.
    pub fn set_written_at(&self, at: Ticks) {
        self.written_at.set(Some(at));
    }

    /// How long what the kernel reports at `now` can have waited at most; 0 for a thread that has just started.
    pub fn max_readiness_delay(&self, now: Ticks) -> Ticks {
        let bound = self.poll_times.last_poll_bound();
        if bound == 0 {
            0
        } else {
            now.saturating_sub(bound)
        }
    }

    pub(crate) fn poll_times(&self) -> Arc<PollTimes> {
        self.poll_times.clone()
    }
}

/// Ticks for as long as the thread runs. Calls `on_stop` with the time and the length of each stop.
pub async fn run_event_loop_clock(
    event_loop: EventLoopClock,
    clock: Clock,
    on_stop: impl Fn(Ticks, Ticks),
) {
    loop {
        let now = clock.now();
        if let Some(gap) = event_loop.tick(now) {
            on_stop(now, gap);
        }
        clock.sleep_until(now + TICK_INTERVAL).await;
    }
}

/// Reads a stream, and knows the earliest time at which what it reads can have arrived.
pub struct ArrivalReader<S> {
    stream: S,
    /// Bytes that were read and not taken yet.
    pub bytes: BytesMut,
    arrivals: ArrivalClock,
    event_loop: EventLoopClock,
}

impl<S: AsyncRead + Unpin> ArrivalReader<S> {
    /// A reader of a stream that is opened now.
    pub fn new(stream: S, clock: Clock, event_loop: EventLoopClock) -> Self {
        Self::opened_at(stream, clock.now(), clock, event_loop)
    }

    /// A reader of a stream that may have been open, with bytes in it, since `opened`.
    pub fn opened_at(stream: S, opened: Ticks, clock: Clock, event_loop: EventLoopClock) -> Self {
        let arrivals = ArrivalClock::new(opened, clock, &event_loop);
        Self {
            stream,
            bytes: BytesMut::new(),
            arrivals,
            event_loop,
        }
    }

    /// Whether there may be bytes, or the stream's end, that were not read yet.
    pub fn backlog(&self) -> ReadBacklog {
        self.arrivals.backlog()
    }

    /// Reads what is available without waiting. False: the stream has ended, or `max_bytes` were read.
    pub fn read_available(&mut self, max_bytes: usize) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        let mut chunk = [0; READ_BYTES];
        let mut read = 0;
        while read < max_bytes {
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

    /// Waits for more bytes. Gives the earliest time at which they can have arrived, `None` at the stream's end.
    pub async fn read_more(&mut self) -> io::Result<Option<Ticks>> {
        self.bytes.reserve(READ_BYTES);
        let (stream, bytes, arrivals) = (&mut self.stream, &mut self.bytes, &mut self.arrivals);
        self.event_loop.written_at.set(None);
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
        let earliest = self.arrivals.earliest_arrival();
        let earliest = self
            .event_loop
            .written_at
            .take()
            .map_or(earliest, |written| written.min(earliest));
        Ok((got > 0).then_some(earliest))
    }
}

#[cfg(test)]
mod tests;
