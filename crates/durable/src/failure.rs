//! Why a disk did not do what was asked, and whether that may pass.

use std::fmt;
use std::io;

/// EIO: the standard library has no kind for it.
const EIO: i32 = 5;

/// A failure of a disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiskFailure {
    pub why: String,
    /// The same may succeed a while later: there was no space, or the device did not answer.
    pub may_pass: bool,
}

impl DiskFailure {
    /// A failure that trying again does not mend.
    pub fn lasting(why: impl Into<String>) -> Self {
        Self {
            why: why.into(),
            may_pass: false,
        }
    }
}

impl fmt::Display for DiskFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.why)
    }
}

impl std::error::Error for DiskFailure {}

/// Whether the same call may succeed a while later.
pub fn may_pass(error: &io::Error) -> bool {
    let is_full = matches!(
        error.kind(),
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
    );
    is_full || error.raw_os_error() == Some(EIO)
}

impl From<io::Error> for DiskFailure {
    fn from(error: io::Error) -> Self {
        Self {
            may_pass: may_pass(&error),
            why: error.to_string(),
        }
    }
}

impl From<redb::Error> for DiskFailure {
    fn from(error: redb::Error) -> Self {
        let may_pass = match &error {
            redb::Error::Io(error) => may_pass(error),
            // A write failed before: what is on disk is known once it is opened anew.
            redb::Error::PreviousIo => true,
            _ => false,
        };
        Self {
            may_pass,
            why: error.to_string(),
        }
    }
}

/// The same for the errors of one kind of call.
macro_rules! from_errors_of {
    ($($error:ident),*) => {
        $(impl From<redb::$error> for DiskFailure {
            fn from(error: redb::$error) -> Self {
                redb::Error::from(error).into()
            }
        })*
    };
}

from_errors_of!(
    CommitError,
    DatabaseError,
    StorageError,
    TableError,
    TransactionError
);
