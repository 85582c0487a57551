//! What a part of the fleet costs at sizes that no machine holds, measured on the real code with nothing round it.
//!
//! [`controller`] runs the real module under the real desk, without sockets, against a model of invokers in the same
//! process, in virtual time. [`members`] runs real stewards and real members over the emulated network. Both give one row a
//! size; [`fit`] makes slopes of rows. Processor time is the thread's own ([`meter`]), so that a busy machine stretches it
//! little; memory is the process's resident set, so each size wants a process of its own.
//!
//! It decides nothing. What it does not do: sockets, kernels, schedulers, clients. Those are the same at every size, and
//! `docs/CAPACITY.md` sets real processes beside hollow ones.

pub mod controller;
pub mod fit;
pub mod members;
pub mod meter;
pub mod world;
