//! A fault injection library for LD_PRELOAD: system calls on TCP sockets fail at intervals, in the ways that Linux documents,
//! and the wall clock is stepped. Built by the test that uses it. `FAULTS_EVERY=n` fails every n-th call of a kind.
//! `FAULTS_STEPS=at:by,...` sets the wall clock ahead by `by` from `at` after the start, both in milliseconds. Faults of files
//! are in `disk`. `FAULTS_TRACE=file` records the requests under which the process was stopped, in `trace`.

use std::ffi::{c_char, c_int, c_void};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

const SOL_SOCKET: c_int = 1;
const SO_DOMAIN: c_int = 39;
const AF_INET: c_int = 2;
const CLOCK_REALTIME: c_int = 0;
const CLOCK_MONOTONIC: c_int = 1;
const EINTR: c_int = 4;
const ENOMEM: c_int = 12;
const ENFILE: c_int = 23;
const EMFILE: c_int = 24;
const EADDRNOTAVAIL: c_int = 99;
const ENETUNREACH: c_int = 101;
const ECONNABORTED: c_int = 103;
const ENOBUFS: c_int = 105;

#[repr(C)]
struct Timespec {
    seconds: i64,
    nanoseconds: i64,
}

unsafe extern "C" {
    fn dlsym(handle: *mut c_void, name: *const c_char) -> *mut c_void;
    fn __errno_location() -> *mut c_int;
    fn getsockopt(fd: c_int, level: c_int, name: c_int, value: *mut c_int, length: *mut u32) -> c_int;
}

/// The C library's function of this name.
macro_rules! real {
    ($name:literal, $type:ty) => {{
        static REAL: std::sync::OnceLock<usize> = std::sync::OnceLock::new();
        let next = usize::MAX as *mut std::ffi::c_void;
        let found = *REAL
            .get_or_init(|| unsafe { $crate::dlsym(next, concat!($name, "\0").as_ptr().cast()) as usize });
        unsafe { std::mem::transmute::<usize, $type>(found) }
    }};
}

mod disk;
mod trace;

/// Sets `errno`.
fn set_errno(code: c_int) {
    unsafe { *__errno_location() = code };
}

/// Interval between two faulty calls of a kind; zero: none fails.
fn fault_interval() -> u64 {
    static INTERVAL: OnceLock<u64> = OnceLock::new();
    *INTERVAL.get_or_init(|| std::env::var("FAULTS_EVERY").ok().and_then(|n| n.parse().ok()).unwrap_or(0))
}

/// The sequence number of the fault if this call has to fail.
fn fault(calls: &AtomicU64) -> Option<u64> {
    let (call, interval) = (calls.fetch_add(1, Ordering::Relaxed) + 1, fault_interval());
    (interval > 0 && call.is_multiple_of(interval)).then(|| call / interval)
}

fn is_tcp(fd: c_int) -> bool {
    let (mut domain, mut length) = (0, 4);
    unsafe { getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &mut domain, &mut length) == 0 && domain == AF_INET }
}

/// Maximum number of bytes that a faulty call transfers; none: it is interrupted.
fn transfer_limit(fault: u64) -> Option<usize> {
    [None, Some(1), Some(3), None, Some(7)][fault as usize % 5]
}

static RECEIVED: AtomicU64 = AtomicU64::new(0);
static SENT: AtomicU64 = AtomicU64::new(0);
static ACCEPTED: AtomicU64 = AtomicU64::new(0);
static CONNECTED: AtomicU64 = AtomicU64::new(0);
static CREATED: AtomicU64 = AtomicU64::new(0);

#[unsafe(no_mangle)]
pub extern "C" fn recv(fd: c_int, bytes: *mut c_void, length: usize, flags: c_int) -> isize {
    let real = real!("recv", extern "C" fn(c_int, *mut c_void, usize, c_int) -> isize);
    match is_tcp(fd).then(|| fault(&RECEIVED)).flatten().map(transfer_limit) {
        None => real(fd, bytes, length, flags),
        Some(Some(limit)) => real(fd, bytes, length.min(limit), flags),
        Some(None) => {
            set_errno(EINTR);
            -1
        }
    }
}

#[unsafe(no_mangle)]
pub extern "C" fn send(fd: c_int, bytes: *const c_void, length: usize, flags: c_int) -> isize {
    let real = real!("send", extern "C" fn(c_int, *const c_void, usize, c_int) -> isize);
    let fault = is_tcp(fd).then(|| fault(&SENT)).flatten();
    trace::record_send(unsafe { std::slice::from_raw_parts(bytes.cast(), length) });
    match fault.map(transfer_limit) {
        None => real(fd, bytes, length, flags),
        Some(Some(limit)) => real(fd, bytes, length.min(limit), flags),
        Some(None) => {
            set_errno(EINTR);
            -1
        }
    }
}

#[unsafe(no_mangle)]
pub extern "C" fn accept4(fd: c_int, address: *mut c_void, length: *mut u32, flags: c_int) -> c_int {
    let real = real!("accept4", extern "C" fn(c_int, *mut c_void, *mut u32, c_int) -> c_int);
    match fault(&ACCEPTED) {
        None => real(fd, address, length, flags),
        Some(number) => {
            set_errno([ECONNABORTED, ENFILE, EINTR, ENOBUFS, EMFILE][number as usize % 5]);
            -1
        }
    }
}

#[unsafe(no_mangle)]
pub extern "C" fn connect(fd: c_int, address: *const c_void, length: u32) -> c_int {
    let real = real!("connect", extern "C" fn(c_int, *const c_void, u32) -> c_int);
    match is_tcp(fd).then(|| fault(&CONNECTED)).flatten() {
        None => real(fd, address, length),
        Some(number) => {
            set_errno([EADDRNOTAVAIL, ENETUNREACH, EINTR, ENOBUFS][number as usize % 4]);
            -1
        }
    }
}

#[unsafe(no_mangle)]
pub extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let real = real!("socket", extern "C" fn(c_int, c_int, c_int) -> c_int);
    match (domain == AF_INET).then(|| fault(&CREATED)).flatten() {
        None => real(domain, kind, protocol),
        Some(number) => {
            set_errno([ENFILE, ENOBUFS, EMFILE, ENOMEM][number as usize % 4]);
            -1
        }
    }
}

/// Milliseconds by which the wall clock is ahead at this time after the start.
fn ahead_ms(elapsed_ms: i64) -> i64 {
    static STEPS: OnceLock<Vec<(i64, i64)>> = OnceLock::new();
    let steps = STEPS.get_or_init(|| {
        let text = std::env::var("FAULTS_STEPS").unwrap_or_default();
        let step =
            |s: &str| s.split_once(':').and_then(|(at, by)| Some((at.parse().ok()?, by.parse().ok()?)));
        text.split(',').filter_map(step).collect()
    });
    steps.iter().filter(|(at, _)| elapsed_ms >= *at).map(|s| s.1).next_back().unwrap_or(0)
}

#[unsafe(no_mangle)]
pub extern "C" fn clock_gettime(clock: c_int, time: *mut c_void) -> c_int {
    let real = real!("clock_gettime", extern "C" fn(c_int, *mut c_void) -> c_int);
    let done = real(clock, time);
    if clock == CLOCK_MONOTONIC && done == 0 {
        trace::note_clock_reading(unsafe { &*time.cast::<Timespec>() });
    }
    if clock == CLOCK_REALTIME && done == 0 {
        static START_MS: OnceLock<i64> = OnceLock::new();
        let mut monotonic = Timespec { seconds: 0, nanoseconds: 0 };
        real(CLOCK_MONOTONIC, (&raw mut monotonic).cast());
        let now_ms = monotonic.seconds * 1_000 + monotonic.nanoseconds / 1_000_000;
        let ahead_ms = ahead_ms(now_ms - START_MS.get_or_init(|| now_ms));
        let time = unsafe { &mut *time.cast::<Timespec>() };
        time.seconds += ahead_ms.div_euclid(1_000);
        time.nanoseconds += ahead_ms.rem_euclid(1_000) * 1_000_000;
        if time.nanoseconds >= 1_000_000_000 {
            (time.seconds, time.nanoseconds) = (time.seconds + 1, time.nanoseconds - 1_000_000_000);
        }
    }
    done
}
