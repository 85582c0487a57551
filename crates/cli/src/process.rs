//! What every sub-command that runs needs of its process.

use std::future::Future;
use std::time::Duration;
use tokio::task::LocalSet;
use tracing::warn;

/// What is kept on disk is opened again after so long, where that failed in a way that may pass; each time twice as long.
const OPEN_AGAIN_LEAST: Duration = Duration::from_millis(50);
const OPEN_AGAIN_MOST: Duration = Duration::from_secs(1);

/// A failure to open what a process keeps on disk.
pub trait OpenFailure: std::fmt::Display {
    /// Whether the same may succeed a while later.
    fn may_pass(&self) -> bool;
}

impl OpenFailure for saltdrum_durable::DiskFailure {
    fn may_pass(&self) -> bool {
        self.is_transient
    }
}

impl OpenFailure for saltdrum_registry::store::StoreError {
    fn may_pass(&self) -> bool {
        self.is_transient()
    }
}

impl OpenFailure for saltdrum_coordinator::disk::DiskError {
    fn may_pass(&self) -> bool {
        self.is_transient()
    }
}

/// Opens what a process keeps on disk, again and again while that fails in a way that may pass.
pub async fn open_on_disk<T, E: OpenFailure>(open: impl Fn() -> Result<T, E>) -> Result<T, String> {
    let mut wait = OPEN_AGAIN_LEAST;
    loop {
        match open() {
            Err(failure) if failure.may_pass() => {
                warn!(%failure, "the disk takes nothing: it is tried again");
                tokio::time::sleep(wait).await;
                wait = (2 * wait).min(OPEN_AGAIN_MOST);
            }
            opened => return opened.map_err(|failure| failure.to_string()),
        }
    }
}

/// Runs something to its end on this thread alone.
pub fn on_this_thread<T>(work: impl Future<Output = T>) -> Result<T, String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    Ok(LocalSet::new().block_on(&runtime.map_err(|e| e.to_string())?, work))
}

/// Waits for SIGINT.
pub async fn until_interrupted() {
    let _ = tokio::signal::ctrl_c().await;
}

/// Of one clock for all processes of a machine, in nanoseconds.
pub fn monotonic_ns() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000_000 + now.tv_nsec as u64
}

/// A write beyond the limit on file sizes fails, as on a full disk, in place of ending the process.
pub fn writes_may_fail() -> Result<(), String> {
    const SIGXFSZ: i32 = 25;
    let kind = tokio::signal::unix::SignalKind::from_raw(SIGXFSZ);
    // Handled for as long as the process lives, also once nobody listens.
    tokio::signal::unix::signal(kind)
        .map(drop)
        .map_err(|e| e.to_string())
}
