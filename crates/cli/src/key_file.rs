//! Key files: readable by their owner alone, written atomically, and never overwriting an existing file.

use saltdrum_durable::file;
use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

const OWNER_READ_WRITE_MODE: u32 = 0o600;

/// Fails if the path exists already.
pub fn check_absent(path: &Path) -> io::Result<()> {
    if path.exists() {
        Err(io::ErrorKind::AlreadyExists.into())
    } else {
        Ok(())
    }
}

/// Writes the key to the temporary file beside its path, and syncs it.
pub fn write_temporary(path: &Path, key: &str) -> io::Result<()> {
    let temporary = file::unfinished_path(path);
    file::remove_if_exists(&temporary)?;
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(OWNER_READ_WRITE_MODE)
        .open(temporary)?;
    file.write_all(format!("{key}\n").as_bytes())?;
    file.sync_all()
}

/// Reads the key from the temporary file.
pub fn read_temporary(path: &Path) -> io::Result<String> {
    Ok(fs::read_to_string(file::unfinished_path(path))?
        .trim()
        .to_owned())
}

/// Renames the temporary file to the path of the key.
pub fn finish(path: &Path) -> io::Result<()> {
    check_absent(path)?;
    file::rename(&file::unfinished_path(path), path)
}

/// Writes a key to a new file.
pub fn write(path: &Path, key: &str) -> io::Result<()> {
    check_absent(path)?;
    write_temporary(path, key)?;
    finish(path)
}
