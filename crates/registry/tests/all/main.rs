//! Tests of the registry with faults of disks, networks and administrators.

mod interleave;
mod kills;
mod service;
mod state;
mod support;
