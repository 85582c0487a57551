//! The memory of a process, as the platform counts it against the limit.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Time between two looks at the memory of a process.
const WATCH_INTERVAL: Duration = Duration::from_millis(5);

/// Resident memory of a process without the pages of files, in KiB.
pub fn memory_kib(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let is_counted = |line: &&str| line.starts_with("RssAnon:") || line.starts_with("RssShmem:");
    let kilobytes = |line: &str| {
        line.split_whitespace()
            .nth(1)
            .unwrap()
            .parse::<u64>()
            .unwrap()
    };
    status.lines().filter(is_counted).map(kilobytes).sum()
}

/// Resident memory of a process without the pages of files, in MB.
pub fn memory_mb(process: u32) -> u64 {
    memory_kib(process) / 1_024
}

/// Watches the memory of a process.
pub struct MemoryWatch {
    is_ended: Arc<AtomicBool>,
    peak_kib: Arc<AtomicU64>,
    thread: JoinHandle<()>,
}

impl MemoryWatch {
    pub fn start(process: u32) -> Self {
        let (is_ended, peak_kib) = (Arc::<AtomicBool>::default(), Arc::<AtomicU64>::default());
        let (ended, peak) = (is_ended.clone(), peak_kib.clone());
        let thread = thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                peak.fetch_max(memory_kib(process), Ordering::Relaxed);
                thread::sleep(WATCH_INTERVAL);
            }
        });
        Self {
            is_ended,
            peak_kib,
            thread,
        }
    }

    /// Ends the watch. Returns the most memory that was seen, in KiB.
    pub fn end(self) -> u64 {
        self.is_ended.store(true, Ordering::Relaxed);
        self.thread.join().unwrap();
        self.peak_kib.load(Ordering::Relaxed)
    }
}
