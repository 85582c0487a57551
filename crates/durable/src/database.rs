//! Databases of one file each.

use crate::file;
use redb::{Database, DatabaseError, StorageError};
use std::fs;
use std::io;
use std::path::Path;

fn storage_error(error: io::Error) -> DatabaseError {
    DatabaseError::Storage(StorageError::Io(error))
}

/// Whether there is a file that is not empty.
fn has_content(path: &Path) -> io::Result<bool> {
    match fs::metadata(path) {
        Ok(found) => Ok(found.len() > 0),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(false),
        Err(error) => Err(error),
    }
}

/// An error on the way to a new database.
struct CreateError(DatabaseError);

impl From<io::Error> for CreateError {
    fn from(error: io::Error) -> Self {
        Self(storage_error(error))
    }
}

/// Opens the database at `path`. Where there is none, an empty one is made first, complete or not at all: redb's own
/// way of creating one leaves, after a kill, a file that it never opens again.
pub fn open(path: &Path, cache_bytes: usize) -> Result<Database, DatabaseError> {
    if !has_content(path).map_err(storage_error)? {
        let made = file::create_atomically(path, |unfinished| {
            Database::builder()
                .create(unfinished)
                .map(drop)
                .map_err(CreateError)
        });
        made.map_err(|CreateError(error)| error)?;
    }
    Database::builder().set_cache_size(cache_bytes).open(path)
}
