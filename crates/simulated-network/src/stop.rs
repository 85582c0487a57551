use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep_until};

/// Holds what is [`stoppable`] still, as a stopped process is: its timers and streams go on around it.
#[derive(Clone, Default)]
pub struct ProcessPause(Rc<Cell<Option<Instant>>>);

impl ProcessPause {
    pub fn pause_for(&self, span: Duration) {
        let until = Instant::now() + span;
        self.0
            .set(Some(self.0.get().map_or(until, |at| at.max(until))));
    }
}

struct Stoppable<F> {
    inner: Pin<Box<F>>,
    hold: ProcessPause,
    over: Pin<Box<Sleep>>,
}

impl<F: Future> Future for Stoppable<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        if let Some(until) = self.hold.0.get() {
            if self.over.deadline() != until {
                self.over.as_mut().reset(until);
            }
            if self.over.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            self.hold.0.set(None);
        }
        self.inner.as_mut().poll(cx)
    }
}

/// Runs as `inner` does, but not while held. `inner` must spawn nothing outside itself.
pub fn pausable<F: Future>(hold: ProcessPause, inner: F) -> impl Future<Output = F::Output> {
    Stoppable {
        inner: Box::pin(inner),
        hold,
        over: Box::pin(sleep_until(Instant::now())),
    }
}
