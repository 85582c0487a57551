//! `saltdrum node`: one controller on the platform's sockets. Reads the system's clock and environment.

use saltdrum::interface::{MILLISECOND, Ticks};
use saltdrum_controller::dispatch_policy;
use saltdrum_platform::{StartOptions, serve};
use saltdrum_transport::{Clock, SocketNetwork};
use std::env::var;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tracing::warn;

/// Interval at which the wall clock is compared with the monotonic one.
const CLOCK_COMPARISON_INTERVAL: Duration = Duration::from_millis(500);
/// Smallest change of their difference that counts as a step of the wall clock.
const STEP_MIN_MS: i64 = 100;

/// Runs the controller until it has shut down.
pub fn run() -> Result<u8, String> {
    let config =
        var("RELAY_CONFIG").map_err(|e| format!("RELAY_CONFIG: {e}: a file is expected"))?;
    let (listen, name) = (var("RELAY_LISTEN").ok(), var("RELAY_NAME").ok());
    let options = StartOptions {
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
        serve(options, Rc::new(SocketNetwork), clock, dispatch_policy).await
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

/// Logs steps of the wall clock. No decision depends on it: every wait and deadline uses the monotonic clock.
async fn watch_wall_clock(clock: Clock) {
    let mut lead_ms = wall_clock_lead_ms(clock.now());
    loop {
        tokio::time::sleep(CLOCK_COMPARISON_INTERVAL).await;
        let new_lead_ms = wall_clock_lead_ms(clock.now());
        let stepped_ms = new_lead_ms - lead_ms;
        if stepped_ms.abs() >= STEP_MIN_MS {
            warn!(stepped_ms, "wall clock stepped");
        }
        lead_ms = new_lead_ms;
    }
}

/// By how many milliseconds the wall clock is ahead of the monotonic one.
fn wall_clock_lead_ms(now: Ticks) -> i64 {
    unix_ms() as i64 - (now / MILLISECOND) as i64
}
