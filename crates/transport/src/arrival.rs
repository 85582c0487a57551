//! When what is read now came at the earliest.
//!
//! Bytes, and connections in a listener's queue, may have lain in the machine for long before they are read: the process
//! was stopped, or others were served first. An [`ArrivalClock`] notes the moment at which the machine said that there was
//! something. What it said came after the machine was asked before that (`PollTimes::looked_before`), however late it is read.

use crate::steady::unasked_polls;
use crate::turns::PollTimes;
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

/// Stands between a source and the task that waits for it, and keeps since when there can be something.
struct WakeNote {
    clock: Clock,
    looks: Arc<PollTimes>,
    /// The earliest arrival of what the source was woken for.
    since: AtomicU64,
    task: Mutex<Option<Waker>>,
}

impl WakeNote {
    fn take_since(&self) -> Option<Ticks> {
        let since = self.since.swap(NOT_WOKEN, Ordering::Relaxed);
        (since != NOT_WOKEN).then_some(since)
    }

    fn is_woken(&self) -> bool {
        self.since.load(Ordering::Relaxed) != NOT_WOKEN
    }

    /// What was noted before counts on, where the wake-up since was no news of the source.
    fn keep_earlier(&self, before: Option<Ticks>) {
        if let Some(before) = before {
            self.since.fetch_min(before, Ordering::Relaxed);
        }
    }

    fn waits_for(&self, task: &Waker) {
        let mut waiting = self.task.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.as_ref().is_none_or(|w| !w.will_wake(task)) {
            *waiting = Some(task.clone());
        }
    }
}

impl Wake for WakeNote {
    fn wake(self: Arc<Self>) {
        let bound = self.looks.looked_before(self.clock.now());
        // Of several wake-ups before the task has its turn, the first counts.
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

/// Whether a source may have something that was not read yet.
#[derive(Clone)]
pub struct ReadBacklog {
    unread: Rc<Cell<bool>>,
    note: Option<Arc<WakeNote>>,
}

impl ReadBacklog {
    /// Of a source that is never behind, or that a test sets by hand.
    pub fn none() -> Self {
        Self {
            unread: Rc::default(),
            note: None,
        }
    }

    /// True from the machine's word that there is something until the source was found empty.
    pub fn is_behind(&self) -> bool {
        self.unread.get() || self.note.as_ref().is_some_and(|note| note.is_woken())
    }
}

/// Watches one source: a stream, or a listener.
pub struct ArrivalClock {
    note: Arc<WakeNote>,
    waker: Waker,
    unread: Rc<Cell<bool>>,
    /// When the source was last known to be empty.
    empty_at: Ticks,
    /// It was found empty the last time, so that whoever asks waits.
    is_waiting: bool,
    earliest: Ticks,
}

impl ArrivalClock {
    /// Of a source that may have had something since `opened`.
    pub fn new(opened: Ticks, clock: Clock, turns: &EventLoopClock) -> Self {
        let (since, task) = (AtomicU64::new(NOT_WOKEN), Mutex::default());
        let note = Arc::new(WakeNote {
            clock,
            looks: turns.looks(),
            since,
            task,
        });
        let waker = Waker::from(note.clone());
        Self {
            note,
            waker,
            unread: Rc::default(),
            empty_at: opened,
            is_waiting: false,
            earliest: opened,
        }
    }

    /// Asks the source once, through `poll`.
    pub fn poll<T>(
        &mut self,
        cx: &mut Context<'_>,
        poll: impl FnOnce(&mut Context<'_>) -> Poll<T>,
    ) -> Poll<T> {
        let woken = self.note.take_since();
        self.note.waits_for(cx.waker());
        let unasked_before = unasked_polls();
        let polled = poll(&mut Context::from_waker(&self.waker));
        let is_asked = unasked_polls() == unasked_before;
        let now = self.note.clock.now();
        if polled.is_pending() {
            // A source that wakes whoever asks it while it is asked has not been looked at: it puts them off.
            if self.note.is_woken() {
                self.note.keep_earlier(woken);
            } else {
                // Without a call the source is known to be empty as of when the machine was asked last.
                let empty_at = if is_asked {
                    now
                } else {
                    self.note.looks.looked_before(now)
                };
                (self.empty_at, self.is_waiting) = (self.empty_at.max(empty_at), true);
                self.unread.set(false);
            }
            return Poll::Pending;
        }
        if self.is_waiting {
            let since = woken.unwrap_or_else(|| self.note.looks.looked_before(now));
            self.earliest = since.max(self.empty_at);
        }
        self.is_waiting = false;
        self.unread.set(true);
        polled
    }

    /// The next connection at a door, asked through this watch.
    pub async fn accept(&mut self, door: &mut dyn Listener) -> io::Result<Stream> {
        let mut next = door.accept();
        poll_fn(|cx| self.poll(cx, |cx| next.as_mut().poll(cx))).await
    }

    /// The earliest time at which what was got last can have come.
    pub fn earliest(&self) -> Ticks {
        self.earliest
    }

    /// Tells others whether something was not read yet.
    pub fn backlog(&self) -> ReadBacklog {
        ReadBacklog {
            unread: self.unread.clone(),
            note: Some(self.note.clone()),
        }
    }
}

impl Drop for ArrivalClock {
    /// Nothing more is read: nobody is to wait for that.
    fn drop(&mut self) {
        self.unread.set(false);
        self.note.take_since();
    }
}
