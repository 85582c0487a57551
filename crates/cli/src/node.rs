//! `saltdrum node`: one real controller on the platform's sockets. The system's clock and environment are read here.

use saltdrum::interface::{MILLISECOND, Ticks};
use saltdrum_controller::dispatch_policy;
use saltdrum_platform::{StartOptions, serve};
use saltdrum_transport::{Clock, SocketNetwork};
use std::env::var;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tracing::warn;

/// How often the wall clock is compared with the monotonic one.
const COMPARE_CLOCKS_EVERY: Duration = Duration::from_millis(500);
/// A difference that grows by more at once is a step of the wall clock.
const STEP_LEAST_MS: i64 = 100;

pub fn run() -> Result<u8, String> {
    let config =
        var("RELAY_CONFIG").map_err(|e| format!("RELAY_CONFIG: {e}: a file is expected"))?;
    let (listen, name) = (var("RELAY_LISTEN").ok(), var("RELAY_NAME").ok());
    let life = StartOptions {
        config: config.into(),
        listen,
        name,
        wall_clock: Rc::new(unix_ms),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    let clock = Clock::start();
    let served = async {
        tokio::task::spawn_local(watch_wall_clock(clock));
        serve(life, Rc::new(SocketNetwork), clock, dispatch_policy).await
    };
    tokio::task::LocalSet::new()
        .block_on(&runtime, served)
        .map_err(|e| e.to_string())?;
    Ok(0)
}

/// Milliseconds since the Unix epoch, by the wall clock.
fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

/// Logs steps of the wall clock. Nothing is decided by it: every wait and deadline is measured on the monotonic clock.
async fn watch_wall_clock(clock: Clock) {
    let mut ahead_ms = ahead_of(clock.now());
    loop {
        tokio::time::sleep(COMPARE_CLOCKS_EVERY).await;
        let now_ms = ahead_of(clock.now());
        let stepped_ms = now_ms - ahead_ms;
        if stepped_ms.abs() >= STEP_LEAST_MS {
            warn!(stepped_ms, "the wall clock was stepped");
        }
        ahead_ms = now_ms;
    }
}

/// By how many milliseconds the wall clock is ahead of the monotonic one.
fn ahead_of(now: Ticks) -> i64 {
    unix_ms() as i64 - (now / MILLISECOND) as i64
}
