//! Coordinators and members in virtual time, on disks that lose unsynced writes.

#[path = "../../../registry/tests/all/support/disk.rs"]
#[expect(
    dead_code,
    reason = "shared with the registry's tests, which use more of its faults"
)]
mod disk;
mod holder;
mod leases;
mod many_days;
mod pace;
mod planted;
mod world;
