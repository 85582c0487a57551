//! Records the requests for which the process was stopped between its last reading of the clock and the system call that sent
//! them. No program can detect such a stop: the time limit that it sends is outdated.

use crate::{CLOCK_MONOTONIC, Timespec};
use std::cell::Cell;
use std::ffi::{c_int, c_void};
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::sync::OnceLock;

/// Shorter gaps are ordinary execution time of the program.
const GAP_MIN_MS: i64 = 20;
/// Header fields with the id of a request, and with its time limit.
const ID_FIELD: &str = "x-txn: ";
const LIMIT_FIELD: &str = "x-limit-ms: ";

thread_local! {
    static LAST_READ_MS: Cell<i64> = const { Cell::new(0) };
}

fn to_ms(time: &Timespec) -> i64 {
    time.seconds * 1_000 + time.nanoseconds / 1_000_000
}

/// Notes that the program has read its monotonic clock.
pub fn note_clock_reading(time: &Timespec) {
    LAST_READ_MS.set(to_ms(time));
}

/// The value of a header field.
fn header_field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.split_once(name)?.1.split("\r\n").next()
}

/// Called before the program's bytes are sent. After a long gap, writes a line with the request's id, its limit and the gap,
/// both in milliseconds.
pub fn record_send(bytes: &[u8]) {
    let Some(mut file) = trace_file() else { return };
    let real = real!("clock_gettime", extern "C" fn(c_int, *mut c_void) -> c_int);
    let mut now = Timespec { seconds: 0, nanoseconds: 0 };
    real(CLOCK_MONOTONIC, (&raw mut now).cast());
    let gap_ms = to_ms(&now) - LAST_READ_MS.get();
    if gap_ms < GAP_MIN_MS {
        return;
    }
    let Ok(head) = std::str::from_utf8(bytes) else { return };
    if let (Some(id), Some(limit_ms)) = (header_field(head, ID_FIELD), header_field(head, LIMIT_FIELD)) {
        let _ = writeln!(file, "{id} {limit_ms} {gap_ms}");
    }
}

/// The trace file, if one is set.
fn trace_file() -> Option<&'static File> {
    static FILE: OnceLock<Option<File>> = OnceLock::new();
    let open = || {
        let path = std::env::var_os("FAULTS_TRACE")?;
        OpenOptions::new().create(true).append(true).open(path).ok()
    };
    FILE.get_or_init(open).as_ref()
}
