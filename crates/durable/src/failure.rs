//! Failures of a disk, and whether they are transient.

use std::fmt;
use std::io;

/// EIO, for which the standard library has no error kind.
const EIO: i32 = 5;

/// A failure of a disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiskFailure {
    /// Text of the failure.
    pub reason: String,
    /// A retry may succeed later: the disk was full, or the device did not respond.
    pub is_transient: bool,
}

impl DiskFailure {
    /// A failure for which a retry is useless.
    pub fn permanent(reason: impl Into<String>) -> Self {
        Self {
            reason: reason.into(),
            is_transient: false,
        }
    }
}

impl fmt::Display for DiskFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.reason)
    }
}

impl std::error::Error for DiskFailure {}

/// Whether a retry of the call may succeed later.
pub fn is_transient(error: &io::Error) -> bool {
    let is_full = matches!(
        error.kind(),
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
    );
    is_full || error.raw_os_error() == Some(EIO)
}

impl From<io::Error> for DiskFailure {
    fn from(error: io::Error) -> Self {
        Self {
            is_transient: is_transient(&error),
            reason: error.to_string(),
        }
    }
}

impl From<redb::Error> for DiskFailure {
    fn from(error: redb::Error) -> Self {
        let is_transient = match &error {
            redb::Error::Io(error) => is_transient(error),
            // An earlier write failed. Reopening the database shows what is on disk.
            redb::Error::PreviousIo => true,
            _ => false,
        };
        Self {
            is_transient,
            reason: error.to_string(),
        }
    }
}

/// Converts redb's errors of individual operations.
macro_rules! from_redb_errors {
    ($($error:ident),*) => {
        $(impl From<redb::$error> for DiskFailure {
            fn from(error: redb::$error) -> Self {
                redb::Error::from(error).into()
            }
        })*
    };
}

from_redb_errors!(
    CommitError,
    DatabaseError,
    StorageError,
    TableError,
    TransactionError
);
