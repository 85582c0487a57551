//! Fleet-wide tasks: done by one process at a time, whichever crashes, is paused or is partitioned from the others.
//!
//! The fleet agrees on who holds a task's lease and with which epoch (`saltdrum_fleet::leases`); what a holder and a resource
//! do in which order is decided in `saltdrum_fleet::fence`, which says what is promised. Here are the shells round it:
//! `fenced_resource` is a resource's side (seals on disk, the question to a quorum), `holder` a holder's side (seals, then effects with
//! tokens), `journal` a small append-only resource on a disk of its own, `messages` what they say to each other.
//!
//! Not promised: effects on anything that checks no epochs. No invocation waits for any of this.

pub mod fenced_resource;
pub mod holder;
pub mod journal;
pub mod messages;

pub use fenced_resource::{FencedResource, SealError, SealStore};
pub use holder::{Effects, Holder, Task};
