//! Databases of one file each.

use crate::file;
use redb::{Database, DatabaseError, StorageError};
use std::fs;
use std::io;
use std::path::Path;

fn disk(error: io::Error) -> DatabaseError {
    DatabaseError::Storage(StorageError::Io(error))
}

/// Whether there is a file in which something stands.
fn is_there(path: &Path) -> io::Result<bool> {
    match fs::metadata(path) {
        Ok(found) => Ok(found.len() > 0),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(false),
        Err(e) => Err(e),
    }
}

/// An error on the way to a new database.
struct Unmade(DatabaseError);

impl From<io::Error> for Unmade {
    fn from(error: io::Error) -> Self {
        Self(disk(error))
    }
}

/// Opens the database at `path`. Where there is none, an empty one is made first, whole or not at all: the database's own
/// way of making one leaves, after a kill, a file that it never opens again.
pub fn open(path: &Path, cache_bytes: usize) -> Result<Database, DatabaseError> {
    if !is_there(path).map_err(disk)? {
        let made = file::make_whole(path, |unfinished| {
            Database::builder()
                .create(unfinished)
                .map(drop)
                .map_err(Unmade)
        });
        made.map_err(|Unmade(error)| error)?;
    }
    Database::builder().set_cache_size(cache_bytes).open(path)
}
