//! Failures of a disk, and whether they are transient.

use std::fmt;
use std::io;

/// EIO: the standard library has no kind for it.
const EIO: i32 = 5;

/// A failure of a disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiskFailure {
    /// Text of the failure.
    pub reason: String,
    /// The same may succeed a while later: there was no space, or the device did not answer.
    pub is_transient: bool,
}

impl DiskFailure {
    /// A failure that a retry does not mend.
    pub fn permanent(reason: impl Into<String>) -> Self {
        Self {
            reason: reason.into(),
            is_transient: false,
        }
    }
}

impl fmt::Display for DiskFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.reason)
    }
}

impl std::error::Error for DiskFailure {}

/// Whether the same call may succeed a while later.
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
            // A write failed before: what is on disk is known once it is opened anew.
            redb::Error::PreviousIo => true,
            _ => false,
        };
        Self {
            is_transient,
            reason: error.to_string(),
        }
    }
}

/// Conversions of redb's errors of one kind of call.
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
