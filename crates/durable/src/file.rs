//! Atomic creation and replacement of files.

use std::ffi::OsString;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

/// File name suffix of a file that is being written.
const UNFINISHED_SUFFIX: &str = ".half";

/// `path` with a suffix appended to its file name.
fn with_suffix(path: &Path, suffix: &str) -> PathBuf {
    let mut name = OsString::from(path);
    name.push(suffix);
    name.into()
}

/// Where [`create_atomically`] writes the content of `path` before the rename.
pub fn unfinished_path(path: &Path) -> PathBuf {
    with_suffix(path, UNFINISHED_SUFFIX)
}

/// Removes a file; succeeds if there is none.
pub fn remove_if_exists(path: &Path) -> io::Result<()> {
    match fs::remove_file(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
        removed => removed,
    }
}

/// Renames a file, and syncs the folder so that the new name is on disk.
///
/// After an error the file may have either name.
pub fn rename(from: &Path, to: &Path) -> io::Result<()> {
    fs::rename(from, to)?;
    let folder = to.parent().filter(|folder| !folder.as_os_str().is_empty());
    File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
}

/// Calls `write` with a temporary path to write the file to, then renames that file to `path`. Removes the unfinished
/// file of an earlier process first. Only one process at a time may do this for a path.
///
/// `write` must sync what it writes to disk.
pub fn create_atomically<T, E: From<io::Error>>(
    path: &Path,
    write: impl FnOnce(&Path) -> Result<T, E>,
) -> Result<T, E> {
    let unfinished = unfinished_path(path);
    remove_if_exists(&unfinished)?;
    finish(&unfinished, path, write(&unfinished))
}

/// Replaces a file atomically. Several processes may do this for the same path: the last one wins.
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

/// Creates or overwrites a file and syncs it to disk. Not atomic: a kill may leave a partial file.
pub fn write_synced(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}

fn finish<T, E: From<io::Error>>(
    unfinished: &Path,
    path: &Path,
    written: Result<T, E>,
) -> Result<T, E> {
    let finished = written.and_then(|value| Ok(rename(unfinished, path).map(|()| value)?));
    if finished.is_err() {
        // Frees the space of the partial file.
        let _ = fs::remove_file(unfinished);
    }
    finished
}

#[cfg(test)]
mod tests;
