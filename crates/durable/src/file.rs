//! Files that are there complete or not at all.

use std::ffi::OsString;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

/// Ends the name of a file that is being written.
const UNFINISHED_SUFFIX: &str = ".half";

/// `path` with a suffix to its name.
fn with_suffix(path: &Path, suffix: &str) -> PathBuf {
    let mut name = OsString::from(path);
    name.push(suffix);
    name.into()
}

/// Where the file for `path` is written, by the one process that creates it.
pub fn unfinished_path(path: &Path) -> PathBuf {
    with_suffix(path, UNFINISHED_SUFFIX)
}

/// Removes a file, if it is there.
pub fn remove_if_exists(path: &Path) -> io::Result<()> {
    match fs::remove_file(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
        removed => removed,
    }
}

/// Renames, and brings the name itself to disk.
///
/// After an error the file may stand under either name.
pub fn rename(from: &Path, to: &Path) -> io::Result<()> {
    fs::rename(from, to)?;
    let folder = to.parent().filter(|folder| !folder.as_os_str().is_empty());
    File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
}

/// Lets `make` write a file at the path it is given, and renames that to `path` when it is complete. What an earlier
/// process left unfinished is removed first. One process at a time may do this for a path.
///
/// `make` has to bring what it writes to disk.
pub fn create_atomically<T, E: From<io::Error>>(
    path: &Path,
    make: impl FnOnce(&Path) -> Result<T, E>,
) -> Result<T, E> {
    let unfinished = unfinished_path(path);
    remove_if_exists(&unfinished)?;
    finish(&unfinished, path, make(&unfinished))
}

/// Writes a file, complete or not at all. Any number of processes may do this for the same path: the last one stands.
pub fn write_atomically(path: &Path, bytes: &[u8]) -> io::Result<()> {
    static WRITE_COUNT: AtomicU64 = AtomicU64::new(0);
    let number = WRITE_COUNT.fetch_add(1, Ordering::Relaxed);
    let unfinished = with_suffix(
        path,
        &format!(".{}-{number}{UNFINISHED_SUFFIX}", std::process::id()),
    );
    let written = write_synced(&unfinished, bytes);
    finish(&unfinished, path, written)
}

/// Creates or overwrites a file and brings it to disk; a kill may leave a part of it.
pub fn write_synced(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}

fn finish<T, E: From<io::Error>>(
    unfinished: &Path,
    path: &Path,
    made: Result<T, E>,
) -> Result<T, E> {
    let finished = made.and_then(|made| Ok(rename(unfinished, path).map(|()| made)?));
    if finished.is_err() {
        // Frees the space of a file that nobody will read.
        let _ = fs::remove_file(unfinished);
    }
    finished
}

#[cfg(test)]
mod tests;
