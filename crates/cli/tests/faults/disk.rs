//! Injects failures and kills into the system calls that write to regular files, so that tests cover the state a restart finds.
//!
//! `FAULTS_DISK_FAILS=path`: while that file exists, writes and syncs fail with ENOSPC and EIO in turn.
//! `FAULTS_DISK_DIES_AT=n`: the n-th call writes half of what it should, and the process is killed.

use crate::set_errno;
use std::ffi::{CStr, CString, c_char, c_int, c_void};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

const EIO: c_int = 5;
const ENOSPC: c_int = 28;
const SIGKILL: c_int = 9;
const F_OK: c_int = 0;
const S_IFMT: u32 = 0o170_000;
const S_IFREG: u32 = 0o100_000;
/// Larger than the C library's `struct stat` on any 64-bit Linux.
const STAT_BYTES: usize = 256;
/// Offset of `st_mode` in it, by architecture.
const MODE_OFFSET: usize = if cfg!(target_arch = "x86_64") { 24 } else { 16 };

unsafe extern "C" {
    fn fstat(fd: c_int, status: *mut c_void) -> c_int;
    fn access(path: *const c_char, mode: c_int) -> c_int;
    fn raise(signal: c_int) -> c_int;
}

fn is_regular_file(fd: c_int) -> bool {
    let mut status = [0u64; STAT_BYTES / 8];
    if unsafe { fstat(fd, status.as_mut_ptr().cast()) } != 0 {
        return false;
    }
    let mode = unsafe { status.as_ptr().cast::<u8>().add(MODE_OFFSET).cast::<u32>().read_unaligned() };
    mode & S_IFMT == S_IFREG
}

/// What happens to a call.
enum Fault {
    Fail(c_int),
    Kill,
}

/// The number of the call at which the process is killed; zero: none.
fn kill_at() -> u64 {
    static CALL: OnceLock<u64> = OnceLock::new();
    *CALL.get_or_init(|| std::env::var("FAULTS_DISK_DIES_AT").ok().and_then(|n| n.parse().ok()).unwrap_or(0))
}

fn is_failing() -> bool {
    static SWITCH: OnceLock<Option<CString>> = OnceLock::new();
    let path = SWITCH.get_or_init(|| CString::new(std::env::var("FAULTS_DISK_FAILS").ok()?).ok());
    path.as_deref().is_some_and(|path: &CStr| unsafe { access(path.as_ptr(), F_OK) } == 0)
}

/// The fault of this call that changes a file, if any.
fn fault() -> Option<Fault> {
    static CALLS: AtomicU64 = AtomicU64::new(0);
    let call = CALLS.fetch_add(1, Ordering::Relaxed) + 1;
    if call == kill_at() {
        return Some(Fault::Kill);
    }
    is_failing().then(|| Fault::Fail(if call.is_multiple_of(2) { ENOSPC } else { EIO }))
}

/// Executes `call` for the whole length, or for half of it before the process is killed.
fn write_or_fail(fd: c_int, length: usize, call: impl Fn(usize) -> isize) -> isize {
    match is_regular_file(fd).then(fault).flatten() {
        None => call(length),
        Some(Fault::Fail(code)) => {
            set_errno(code);
            -1
        }
        Some(Fault::Kill) => {
            call(length / 2);
            unsafe { raise(SIGKILL) };
            -1
        }
    }
}

/// Executes `call`, or fails without effect.
fn call_or_fail(call: impl Fn() -> c_int) -> c_int {
    match fault() {
        None => call(),
        Some(Fault::Fail(code)) => {
            set_errno(code);
            -1
        }
        Some(Fault::Kill) => {
            unsafe { raise(SIGKILL) };
            -1
        }
    }
}

#[unsafe(no_mangle)]
pub extern "C" fn write(fd: c_int, bytes: *const c_void, length: usize) -> isize {
    let real = real!("write", extern "C" fn(c_int, *const c_void, usize) -> isize);
    write_or_fail(fd, length, |length| real(fd, bytes, length))
}

#[unsafe(no_mangle)]
pub extern "C" fn pwrite64(fd: c_int, bytes: *const c_void, length: usize, at: i64) -> isize {
    let real = real!("pwrite64", extern "C" fn(c_int, *const c_void, usize, i64) -> isize);
    write_or_fail(fd, length, |length| real(fd, bytes, length, at))
}

#[unsafe(no_mangle)]
pub extern "C" fn ftruncate64(fd: c_int, length: i64) -> c_int {
    let real = real!("ftruncate64", extern "C" fn(c_int, i64) -> c_int);
    call_or_fail(|| real(fd, length))
}

#[unsafe(no_mangle)]
pub extern "C" fn fsync(fd: c_int) -> c_int {
    let real = real!("fsync", extern "C" fn(c_int) -> c_int);
    call_or_fail(|| real(fd))
}

#[unsafe(no_mangle)]
pub extern "C" fn fdatasync(fd: c_int) -> c_int {
    let real = real!("fdatasync", extern "C" fn(c_int) -> c_int);
    call_or_fail(|| real(fd))
}

#[unsafe(no_mangle)]
pub extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    let real = real!("rename", extern "C" fn(*const c_char, *const c_char) -> c_int);
    call_or_fail(|| real(from, to))
}
