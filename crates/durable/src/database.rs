//! Single-file redb databases.

use crate::file;
use redb::{Database, DatabaseError, StorageError};
use std::fs;
use std::io;
use std::path::Path;

fn storage_error(error: io::Error) -> DatabaseError {
    DatabaseError::Storage(StorageError::Io(error))
}

/// Whether the file exists and is not empty.
fn has_content(path: &Path) -> io::Result<bool> {
    match fs::metadata(path) {
        Ok(found) => Ok(found.len() > 0),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(false),
        Err(error) => Err(error),
    }
}

/// An error while a new database is created.
struct CreateError(DatabaseError);

impl From<io::Error> for CreateError {
    fn from(error: io::Error) -> Self {
        Self(storage_error(error))
    }
}

/// Opens the database at `path`. If there is none, an empty one is created atomically first: a kill while redb creates a
/// database in place leaves a file that it can never open again.
pub fn open(path: &Path, cache_bytes: usize) -> Result<Database, DatabaseError> {
    if !has_content(path).map_err(storage_error)? {
        let created = file::create_atomically(path, |unfinished| {
            Database::builder()
                .create(unfinished)
                .map(drop)
                .map_err(CreateError)
        });
        created.map_err(|CreateError(error)| error)?;
    }
    Database::builder().set_cache_size(cache_bytes).open(path)
}
