//! The registry under faults of disk, network and administrators.

mod interleave;
mod kills;
mod service;
mod state;
mod support;
