//! Tracks when a thread's event loop last polled the kernel for readiness, and provides a reader that determines the earliest
//! time at which its data can have arrived.
//!
//! A process may be stopped at any time. Data that the kernel reports afterwards arrived no earlier than the last poll before
//! the stop, so a periodic timer on the thread bounds the arrival time of everything that is read.

use crate::{ArrivalClock, Clock, ReadBacklog};
use bytes::BytesMut;
use saltdrum::interface::{MILLISECOND, Ticks};
use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, ReadBuf};

/// Interval of the event loop clock's ticks while its thread runs.
pub(crate) const TICK_INTERVAL: Ticks = 10 * MILLISECOND;
/// A longer interval between ticks means that the thread was stopped.
const STOP_THRESHOLD: Ticks = 40 * MILLISECOND;
/// Most bytes that one read returns, unless the reader has a lower limit.
const READ_BYTES: usize = 16 << 10;

/// The times of the last two ticks of a thread, which bound when it last polled the kernel.
#[derive(Default)]
pub(crate) struct PollTimes {
    last_tick: AtomicU64,
    previous_tick: AtomicU64,
}

impl PollTimes {
    /// Returns a lower bound of the arrival time of data that the kernel reports now: earlier data would have been reported
    /// before. A tick's timer fires in a poll of the kernel after the previous tick, so there was a poll between the last two
    /// ticks. There may have been none since the last tick: its task may have run first after a stop, and another stop may have
    /// followed at once.
    pub(crate) fn last_poll_bound(&self) -> Ticks {
        self.previous_tick.load(Ordering::Relaxed)
    }
}

/// Tracks when the event loop of one thread last polled the kernel. Clones share their state.
#[derive(Clone, Default)]
pub struct EventLoopClock {
    poll_times: Arc<PollTimes>,
    written_at: Rc<Cell<Option<Ticks>>>,
}

impl EventLoopClock {
    /// Records a tick. Returns the time since the previous tick if the thread was stopped in between.
    pub fn tick(&self, now: Ticks) -> Option<Ticks> {
        let last = self.poll_times.last_tick.swap(now, Ordering::Relaxed);
        self.poll_times.previous_tick.store(last, Ordering::Relaxed);
        let gap = now.saturating_sub(last);
        (last > 0 && gap > STOP_THRESHOLD).then_some(gap)
    }

    /// Returns a lower bound of the time of the last kernel poll. Data that arrived before it has been read, or its reader was
    /// woken before the calling task.
    pub fn last_polled(&self) -> Ticks {
        let bound = self.poll_times.last_poll_bound();
        if bound == 0 { 0 } else { bound + TICK_INTERVAL }
    }

    /// Records when the bytes that a stream just returned were written. Only simulated streams call this, for the rule checker;
    /// a real process cannot know it.
    pub fn set_written_at(&self, at: Ticks) {
        self.written_at.set(Some(at));
    }

    /// Returns the longest time that data reported by the kernel at `now` can have waited; 0 for a thread that has just
    /// started.
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

/// Records ticks for the lifetime of the thread. Calls `on_stop` with the current time and the gap after each stop.
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

/// Reads a stream and determines the earliest time at which its data can have arrived.
pub struct ArrivalReader<S> {
    stream: S,
    /// Bytes that were read and not consumed yet.
    pub bytes: BytesMut,
    /// Most bytes that one read returns.
    read_bytes: usize,
    arrivals: ArrivalClock,
    event_loop: EventLoopClock,
}

impl<S: AsyncRead + Unpin> ArrivalReader<S> {
    /// Creates a reader of a stream that was opened now.
    pub fn new(stream: S, clock: Clock, event_loop: EventLoopClock) -> Self {
        Self::opened_at(stream, clock.now(), clock, event_loop)
    }

    /// Creates a reader of a stream that may have been open, and may have had unread bytes, since `opened_at`.
    pub fn opened_at(
        stream: S,
        opened_at: Ticks,
        clock: Clock,
        event_loop: EventLoopClock,
    ) -> Self {
        let arrivals = ArrivalClock::new(opened_at, clock, &event_loop);
        Self {
            stream,
            bytes: BytesMut::new(),
            read_bytes: READ_BYTES,
            arrivals,
            event_loop,
        }
    }

    /// Limits the bytes that one read returns.
    pub fn limited_to(mut self, max_bytes: usize) -> Self {
        self.read_bytes = max_bytes.clamp(1, READ_BYTES);
        self
    }

    /// Returns a handle that reports whether there may be unread bytes or an unread end of stream.
    pub fn backlog(&self) -> ReadBacklog {
        self.arrivals.backlog()
    }

    /// Reads once without waiting. Returns the number of bytes; 0: none are available, or the stream has ended.
    pub fn read_available(&mut self) -> usize {
        let mut cx = Context::from_waker(Waker::noop());
        let mut chunk = [MaybeUninit::<u8>::uninit(); READ_BYTES];
        let mut buf = ReadBuf::uninit(&mut chunk[..self.read_bytes]);
        let polled = Pin::new(&mut self.stream).poll_read(&mut cx, &mut buf);
        if !matches!(polled, Poll::Ready(Ok(()))) {
            return 0;
        }
        self.bytes.extend_from_slice(buf.filled());
        buf.filled().len()
    }

    /// Releases the memory of the bytes that were consumed: the others are moved to a buffer of `capacity` bytes, or of their
    /// own length if that is greater. Without any, no memory is held.
    pub fn release_consumed(&mut self, capacity: usize) {
        if self.bytes.is_empty() {
            self.bytes = BytesMut::new();
            return;
        }
        let capacity = capacity.max(self.bytes.len());
        if self.bytes.capacity() != capacity {
            let mut moved = BytesMut::with_capacity(capacity);
            moved.extend_from_slice(&self.bytes);
            self.bytes = moved;
        }
    }

    /// Waits for more bytes. Returns the earliest time at which they can have arrived, or `None` at the end of the stream.
    /// While it waits, it holds no memory besides the unconsumed bytes.
    pub async fn read_more(&mut self) -> io::Result<Option<Ticks>> {
        let (stream, bytes, arrivals) = (&mut self.stream, &mut self.bytes, &mut self.arrivals);
        let max_bytes = self.read_bytes;
        self.event_loop.written_at.set(None);
        let read_bytes = poll_fn(|cx| {
            let mut chunk = [MaybeUninit::<u8>::uninit(); READ_BYTES];
            let mut buf = ReadBuf::uninit(&mut chunk[..max_bytes]);
            let polled = arrivals.poll(cx, |cx| Pin::new(&mut *stream).poll_read(cx, &mut buf));
            bytes.extend_from_slice(buf.filled());
            polled.map_ok(|()| buf.filled().len())
        })
        .await?;
        let earliest = self.arrivals.earliest_arrival();
        let earliest = self
            .event_loop
            .written_at
            .take()
            .map_or(earliest, |written_at| written_at.min(earliest));
        Ok((read_bytes > 0).then_some(earliest))
    }
}

#[cfg(test)]
mod tests;
