//! Measures the CPU time of a run's controllers, excluding the simulated peers.

use saltdrum_controller::ControllerConfig;
use saltdrum_scenario::Serve;
use saltdrum_transport::{Clock, Network};
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

type ControllerTask = Pin<Box<dyn Future<Output = io::Result<()>>>>;

thread_local! {
    // Controllers are started by a plain function, which cannot capture these. A run stays on one thread.
    static SERVE: Cell<Serve> = const { Cell::new(saltdrum_scenario::serve) };
    static CONTROLLER_CPU_S: Cell<f64> = const { Cell::new(0.0) };
}

/// CPU time of this thread, in seconds.
pub fn cpu_s() -> f64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

struct Metered(ControllerTask);

impl Future for Metered {
    type Output = io::Result<()>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let before = cpu_s();
        let polled = self.0.as_mut().poll(cx);
        CONTROLLER_CPU_S.set(CONTROLLER_CPU_S.get() + cpu_s() - before);
        polled
    }
}

fn serve_metered(
    config: ControllerConfig,
    network: Rc<dyn Network>,
    clock: Clock,
) -> ControllerTask {
    Box::pin(Metered(SERVE.get()(config, network, clock)))
}

/// Runs `play` with metered controllers. Returns its result and the CPU time of the controllers in seconds.
pub fn metered<T>(serve: Serve, play: impl FnOnce(Serve) -> T) -> (T, f64) {
    SERVE.set(serve);
    CONTROLLER_CPU_S.set(0.0);
    let result = play(serve_metered);
    (result, CONTROLLER_CPU_S.get())
}
