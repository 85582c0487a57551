//! The earliest time at which what is read now can have arrived.
//!
//! Bytes, and connections in a listener's queue, may have lain in the kernel for long before they are read: the process was
//! stopped, or other tasks ran first. An [`ArrivalClock`] notes when the kernel reported that there was something. What it
//! reported arrived after the poll before that (`PollTimes::last_poll_bound`), however late it is read.

use crate::event_loop::PollTimes;
use crate::retrying_stream::polls_without_call;
use crate::{Clock, EventLoopClock, Listener, Stream};
use saltdrum::interface::Ticks;
use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Wake, Waker};

/// No wake-up was noted.
const NOT_WOKEN: u64 = u64::MAX;

/// The waker that a source is polled with: it passes wake-ups on, and keeps since when there can be something to read.
struct ArrivalWaker {
    clock: Clock,
    poll_times: Arc<PollTimes>,
    /// The earliest arrival of what the source was woken for.
    since: AtomicU64,
    task: Mutex<Option<Waker>>,
}

impl ArrivalWaker {
    fn take_since(&self) -> Option<Ticks> {
        let since = self.since.swap(NOT_WOKEN, Ordering::Relaxed);
        (since != NOT_WOKEN).then_some(since)
    }

    fn is_woken(&self) -> bool {
        self.since.load(Ordering::Relaxed) != NOT_WOKEN
    }

    /// Keeps an earlier note, where the wake-up since says nothing of the source.
    fn keep_earlier(&self, before: Option<Ticks>) {
        if let Some(before) = before {
            self.since.fetch_min(before, Ordering::Relaxed);
        }
    }

    fn set_task(&self, task: &Waker) {
        let mut waiting = self.task.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.as_ref().is_none_or(|w| !w.will_wake(task)) {
            *waiting = Some(task.clone());
        }
    }
}

impl Wake for ArrivalWaker {
    fn wake(self: Arc<Self>) {
        let bound = self.poll_times.last_poll_bound();
        // Of several wake-ups before the task runs, the first counts.
        let _ = self
            .since
            .compare_exchange(NOT_WOKEN, bound, Ordering::Relaxed, Ordering::Relaxed);
        let task = self
            .task
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(task) = task {
            task.wake();
        }
    }
}

/// Tells whether a source may have something that was not read yet.
#[derive(Clone)]
pub struct ReadBacklog {
    unread: Rc<Cell<bool>>,
    arrival: Option<Arc<ArrivalWaker>>,
}

impl ReadBacklog {
    /// The backlog of a source that is never behind.
    pub fn empty() -> Self {
        Self {
            unread: Rc::default(),
            arrival: None,
        }
    }

    /// True from the readiness event until the source was found empty.
    pub fn has_unread(&self) -> bool {
        self.unread.get()
            || self
                .arrival
                .as_ref()
                .is_some_and(|arrival| arrival.is_woken())
    }
}

/// Follows one source: a stream, or a listener.
pub struct ArrivalClock {
    arrival: Arc<ArrivalWaker>,
    waker: Waker,
    unread: Rc<Cell<bool>>,
    /// When the source was last known to be empty.
    empty_at: Ticks,
    /// Whether it was found empty the last time, so that its poller waits.
    is_waiting: bool,
    earliest: Ticks,
}

impl ArrivalClock {
    /// Follows a source that may have had something since `opened`.
    pub fn new(opened: Ticks, clock: Clock, event_loop: &EventLoopClock) -> Self {
        let (since, task) = (AtomicU64::new(NOT_WOKEN), Mutex::default());
        let arrival = Arc::new(ArrivalWaker {
            clock,
            poll_times: event_loop.poll_times(),
            since,
            task,
        });
        let waker = Waker::from(arrival.clone());
        Self {
            arrival,
            waker,
            unread: Rc::default(),
            empty_at: opened,
            is_waiting: false,
            earliest: opened,
        }
    }

    /// Polls the source once, through `poll`.
    pub fn poll<T>(
        &mut self,
        cx: &mut Context<'_>,
        poll: impl FnOnce(&mut Context<'_>) -> Poll<T>,
    ) -> Poll<T> {
        let woken = self.arrival.take_since();
        self.arrival.set_task(cx.waker());
        let without_call_before = polls_without_call();
        // Read before the poll: a stop takes effect as a system call returns, and what arrives over it came after the source
        // was found empty.
        let now = self.arrival.clock.now();
        let polled = poll(&mut Context::from_waker(&self.waker));
        let made_call = polls_without_call() == without_call_before;
        if polled.is_pending() {
            // A source that wakes its poller while it is polled defers the poll: it has not been looked at.
            if self.arrival.is_woken() {
                self.arrival.keep_earlier(woken);
            } else {
                // Without a system call the source is known to be empty as of the last poll of the kernel.
                let empty_at = if made_call {
                    now
                } else {
                    self.arrival.poll_times.last_poll_bound()
                };
                (self.empty_at, self.is_waiting) = (self.empty_at.max(empty_at), true);
                self.unread.set(false);
            }
            return Poll::Pending;
        }
        if self.is_waiting {
            let since = woken.unwrap_or_else(|| self.arrival.poll_times.last_poll_bound());
            self.earliest = since.max(self.empty_at);
        }
        self.is_waiting = false;
        self.unread.set(true);
        polled
    }

    /// Waits for the next connection of a listener.
    pub async fn accept(&mut self, listener: &mut dyn Listener) -> io::Result<Stream> {
        let mut next = listener.accept();
        poll_fn(|cx| self.poll(cx, |cx| next.as_mut().poll(cx))).await
    }

    /// The earliest time at which what the last poll gave can have arrived.
    pub fn earliest_arrival(&self) -> Ticks {
        self.earliest
    }

    /// A handle that tells whether something was not read yet.
    pub fn backlog(&self) -> ReadBacklog {
        ReadBacklog {
            unread: self.unread.clone(),
            arrival: Some(self.arrival.clone()),
        }
    }
}

impl Drop for ArrivalClock {
    /// Nothing more is read, so nothing is behind.
    fn drop(&mut self) {
        self.unread.set(false);
        self.arrival.take_since();
    }
}
