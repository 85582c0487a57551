//! The registry under faults of disk, network and administrators.

mod book;
mod interleave;
mod kills;
mod service;
mod support;
