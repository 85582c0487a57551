//! Determines the earliest time at which data that is read now can have arrived.
//!
//! Bytes, and connections in a listener's queue, may have waited in the kernel for a long time before they are read, because
//! the process was stopped or other tasks ran first. An [`ArrivalClock`] records when the kernel reported the source as ready.
//! The data arrived after the kernel poll before that (`PollTimes::last_poll_bound`), however late it is read.

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

/// Marks that no wake-up was recorded.
const NOT_WOKEN: u64 = u64::MAX;

/// The waker that a source is polled with. Forwards wake-ups to the task, and records the earliest arrival of the data.
struct ArrivalWaker {
    clock: Clock,
    poll_times: Arc<PollTimes>,
    /// The earliest arrival of the data for which the waker was woken.
    woken_since: AtomicU64,
    task: Mutex<Option<Waker>>,
}

impl ArrivalWaker {
    fn take_woken_since(&self) -> Option<Ticks> {
        let woken_since = self.woken_since.swap(NOT_WOKEN, Ordering::Relaxed);
        (woken_since != NOT_WOKEN).then_some(woken_since)
    }

    fn is_woken(&self) -> bool {
        self.woken_since.load(Ordering::Relaxed) != NOT_WOKEN
    }

    /// Restores an earlier record after a wake-up that does not indicate new data of the source.
    fn restore_earlier(&self, earlier: Option<Ticks>) {
        if let Some(earlier) = earlier {
            self.woken_since.fetch_min(earlier, Ordering::Relaxed);
        }
    }

    fn set_task(&self, task: &Waker) {
        let mut current = self.task.lock().unwrap_or_else(PoisonError::into_inner);
        if current.as_ref().is_none_or(|waker| !waker.will_wake(task)) {
            *current = Some(task.clone());
        }
    }
}

impl Wake for ArrivalWaker {
    fn wake(self: Arc<Self>) {
        let bound = self.poll_times.last_poll_bound();
        // Of several wake-ups before the task runs, only the first is recorded.
        let _ = self.woken_since.compare_exchange(
            NOT_WOKEN,
            bound,
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
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

/// Reports whether a source may have data that was not read yet.
#[derive(Clone)]
pub struct ReadBacklog {
    is_unread: Rc<Cell<bool>>,
    is_endless: Rc<Cell<bool>>,
    waker: Option<Arc<ArrivalWaker>>,
}

impl ReadBacklog {
    /// Creates a backlog that never has unread data.
    pub fn empty() -> Self {
        Self {
            is_unread: Rc::default(),
            is_endless: Rc::default(),
            waker: None,
        }
    }

    /// Records that the source had unread data for too long, because data arrives as fast as it is read.
    pub fn set_endless(&self) {
        self.is_endless.set(true);
    }

    /// Whether the source had unread data for too long, and was not found empty since.
    pub fn is_endless(&self) -> bool {
        self.is_endless.get()
    }

    /// Whether there may be unread data: true from the readiness event until a poll finds the source empty.
    pub fn has_unread(&self) -> bool {
        self.is_unread.get() || self.waker.as_ref().is_some_and(|waker| waker.is_woken())
    }
}

/// Tracks the arrival times of one source, which is a stream or a listener.
pub struct ArrivalClock {
    arrival_waker: Arc<ArrivalWaker>,
    waker: Waker,
    is_unread: Rc<Cell<bool>>,
    /// Set by a [`ReadBacklog`], until the source is found empty.
    is_endless: Rc<Cell<bool>>,
    /// When the source was last known to be empty.
    empty_at: Ticks,
    /// Whether the last poll found the source empty, so that its reader waits.
    is_waiting: bool,
    earliest_arrival: Ticks,
}

impl ArrivalClock {
    /// Tracks a source that may have had data since `opened_at`.
    pub fn new(opened_at: Ticks, clock: Clock, event_loop: &EventLoopClock) -> Self {
        let (woken_since, task) = (AtomicU64::new(NOT_WOKEN), Mutex::default());
        let arrival_waker = Arc::new(ArrivalWaker {
            clock,
            poll_times: event_loop.poll_times(),
            woken_since,
            task,
        });
        let waker = Waker::from(arrival_waker.clone());
        Self {
            arrival_waker,
            waker,
            is_unread: Rc::default(),
            is_endless: Rc::default(),
            empty_at: opened_at,
            is_waiting: false,
            earliest_arrival: opened_at,
        }
    }

    /// Polls the source once, through `poll`.
    pub fn poll<T>(
        &mut self,
        cx: &mut Context<'_>,
        poll: impl FnOnce(&mut Context<'_>) -> Poll<T>,
    ) -> Poll<T> {
        let woken_since = self.arrival_waker.take_woken_since();
        self.arrival_waker.set_task(cx.waker());
        let polls_without_call_before = polls_without_call();
        // The clock is read before the poll: a stop takes effect as a system call returns, so data that arrives during the stop
        // arrived after the source was found empty.
        let now = self.arrival_waker.clock.now();
        let polled = poll(&mut Context::from_waker(&self.waker));
        let made_call = polls_without_call() == polls_without_call_before;
        if polled.is_pending() {
            // A source that wakes its reader during the poll has deferred the poll without checking for data.
            if self.arrival_waker.is_woken() {
                self.arrival_waker.restore_earlier(woken_since);
            } else {
                // Without a system call, the source is only known to have been empty at the last poll of the kernel.
                let empty_at = if made_call {
                    now
                } else {
                    self.arrival_waker.poll_times.last_poll_bound()
                };
                (self.empty_at, self.is_waiting) = (self.empty_at.max(empty_at), true);
                self.is_unread.set(false);
                self.is_endless.set(false);
            }
            return Poll::Pending;
        }
        if self.is_waiting {
            let woken_since =
                woken_since.unwrap_or_else(|| self.arrival_waker.poll_times.last_poll_bound());
            self.earliest_arrival = woken_since.max(self.empty_at);
        }
        self.is_waiting = false;
        self.is_unread.set(true);
        polled
    }

    /// Waits for the next connection of a listener.
    pub async fn accept(&mut self, listener: &mut dyn Listener) -> io::Result<Stream> {
        let mut next = listener.accept();
        poll_fn(|cx| self.poll(cx, |cx| next.as_mut().poll(cx))).await
    }

    /// Returns the earliest time at which the data of the last successful poll can have arrived.
    pub fn earliest_arrival(&self) -> Ticks {
        self.earliest_arrival
    }

    /// Returns a handle that reports whether the source may have unread data.
    pub fn backlog(&self) -> ReadBacklog {
        ReadBacklog {
            is_unread: self.is_unread.clone(),
            is_endless: self.is_endless.clone(),
            waker: Some(self.arrival_waker.clone()),
        }
    }
}

impl Drop for ArrivalClock {
    /// Clears the backlog, because nothing more is read.
    fn drop(&mut self) {
        self.is_unread.set(false);
        self.arrival_waker.take_woken_since();
    }
}
