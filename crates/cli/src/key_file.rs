//! Files that hold a key: for their owner's eyes alone, whole or not at all, and never written over one that is there.

use saltdrum_durable::file;
use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

const OWNER_ALONE: u32 = 0o600;

/// An error where there is something at this path already.
pub fn is_free(path: &Path) -> io::Result<()> {
    if path.exists() {
        Err(io::ErrorKind::AlreadyExists.into())
    } else {
        Ok(())
    }
}

/// Writes the key beside its place, and brings it to disk.
pub fn write_unfinished(path: &Path, key: &str) -> io::Result<()> {
    let unfinished = file::unfinished_path(path);
    file::remove_if_exists(&unfinished)?;
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(OWNER_ALONE)
        .open(unfinished)?;
    file.write_all(format!("{key}\n").as_bytes())?;
    file.sync_all()
}

/// The key that was written beside its place.
pub fn read_unfinished(path: &Path) -> io::Result<String> {
    Ok(fs::read_to_string(file::unfinished_path(path))?
        .trim()
        .to_owned())
}

/// Puts what was written beside its place there.
pub fn finish(path: &Path) -> io::Result<()> {
    is_free(path)?;
    file::rename(&file::unfinished_path(path), path)
}

/// Writes a key.
pub fn write(path: &Path, key: &str) -> io::Result<()> {
    is_free(path)?;
    write_unfinished(path, key)?;
    finish(path)
}
