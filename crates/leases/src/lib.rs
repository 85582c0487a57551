//! Fleet-wide tasks: run by one process at a time, whichever process crashes, is paused or is partitioned from the others.
//!
//! The fleet agrees on the holder and the epoch of a task's lease (`saltdrum_fleet::leases`). The steps of holders and resources
//! are decided in `saltdrum_fleet::fence`, which states the guarantees. This package does the I/O around it: `fenced_resource` is
//! the resource's side (seals on disk, confirmation by a quorum), `holder` the holder's side (seals, then effects with tokens),
//! `journal` a small append-only resource on a disk of its own, `messages` the messages between them.
//!
//! There is no guarantee for effects on resources that don't check epochs. No invocation depends on this package.

pub mod fenced_resource;
pub mod holder;
pub mod journal;
pub mod messages;

pub use fenced_resource::{FencedResource, SealError, SealStore};
pub use holder::{Effects, Holder, Task};
