//! Files and databases that outlive the process.
//!
//! What is written here is there complete or not at all, wherever the process is killed: it is written beside its place, brought to
//! disk and renamed. A failure tells whether it is transient, as that of a full disk, so that a caller can try again.
//!
//! Start with [`database::open`] and [`file::write_atomically`].

pub mod database;
pub mod failure;
pub mod file;

pub use failure::DiskFailure;
