//! Process-level functions shared by the subcommands: runtime, signals, clock and disk files.

use std::future::Future;
use std::time::Duration;
use tokio::task::LocalSet;
use tracing::warn;

/// Delay before a disk file is opened again after a transient failure; doubles with each attempt, up to the maximum.
const OPEN_RETRY_MIN: Duration = Duration::from_millis(50);
const OPEN_RETRY_MAX: Duration = Duration::from_secs(1);

/// A failure to open a disk file.
pub trait OpenFailure: std::fmt::Display {
    /// Whether a later attempt may succeed.
    fn is_retryable(&self) -> bool;
}

impl OpenFailure for saltdrum_durable::DiskFailure {
    fn is_retryable(&self) -> bool {
        self.is_transient
    }
}

impl OpenFailure for saltdrum_registry::store::StoreError {
    fn is_retryable(&self) -> bool {
        self.is_transient()
    }
}

impl OpenFailure for saltdrum_coordinator::disk::DiskError {
    fn is_retryable(&self) -> bool {
        self.is_transient()
    }
}

/// Opens a disk file, and retries while that fails in a transient way.
pub async fn open_on_disk<T, E: OpenFailure>(open: impl Fn() -> Result<T, E>) -> Result<T, String> {
    let mut delay = OPEN_RETRY_MIN;
    loop {
        match open() {
            Err(failure) if failure.is_retryable() => {
                warn!(%failure, "opening a disk file failed; retrying");
                tokio::time::sleep(delay).await;
                delay = (2 * delay).min(OPEN_RETRY_MAX);
            }
            opened => return opened.map_err(|failure| failure.to_string()),
        }
    }
}

/// Runs a future to completion on this thread alone.
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

/// Nanoseconds of the monotonic clock, which all processes of a machine share.
pub fn monotonic_ns() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000_000 + now.tv_nsec as u64
}

/// Handles SIGXFSZ, so that a write beyond the file size limit fails, as on a full disk, instead of ending the process.
pub fn handle_file_size_signal() -> Result<(), String> {
    const SIGXFSZ: i32 = 25;
    let kind = tokio::signal::unix::SignalKind::from_raw(SIGXFSZ);
    // The handler stays installed until the process ends, although the stream is dropped.
    tokio::signal::unix::signal(kind)
        .map(drop)
        .map_err(|e| e.to_string())
}
