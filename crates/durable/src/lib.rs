//! Files and databases that outlive the process.
//!
//! Files are written atomically: content goes to a temporary file in the same folder, is synced to disk and renamed, so a kill at any
//! point leaves the complete file or none. A failure reports whether it is transient, as that of a full disk is, so that a caller can
//! retry.
//!
//! Start with [`database::open`] and [`file::write_atomically`].

pub mod database;
pub mod failure;
pub mod file;

pub use failure::DiskFailure;
