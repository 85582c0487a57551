//! Stewards and members in virtual time, on disks that lose what was not synced.

#[path = "../../../registry/tests/all/support/disk.rs"]
#[expect(
    dead_code,
    reason = "made for the registry, which bends its disks in more ways"
)]
mod disk;
mod holder;
mod leases;
mod many_days;
mod pace;
mod planted;
mod world;
