//! What the controllers of a run cost, apart from all that stands in for the rest of the world.

use saltdrum_controller::ControllerConfig;
use saltdrum_scenario::Serve;
use saltdrum_transport::{Clock, Network};
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

type Running = Pin<Box<dyn Future<Output = io::Result<()>>>>;

thread_local! {
    // A run stays on its thread, and a seat takes a plain function: there is no other way to hand it something.
    static METERED: Cell<Serve> = const { Cell::new(saltdrum_scenario::serve) };
    static SPENT_S: Cell<f64> = const { Cell::new(0.0) };
}

/// This thread's use of its core, in seconds.
pub fn cpu_s() -> f64 {
    let t = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    t.tv_sec as f64 + t.tv_nsec as f64 / 1e9
}

struct Metered(Running);

impl Future for Metered {
    type Output = io::Result<()>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let before = cpu_s();
        let polled = self.0.as_mut().poll(cx);
        SPENT_S.set(SPENT_S.get() + cpu_s() - before);
        polled
    }
}

fn seated(seat: ControllerConfig, network: Rc<dyn Network>, clock: Clock) -> Running {
    Box::pin(Metered(METERED.get()(seat, network, clock)))
}

/// Plays with controllers that are metered, and gives what came of it with the seconds they used.
pub fn metered<T>(serve: Serve, play: impl FnOnce(Serve) -> T) -> (T, f64) {
    METERED.set(serve);
    SPENT_S.set(0.0);
    let came = play(seated);
    (came, SPENT_S.get())
}
