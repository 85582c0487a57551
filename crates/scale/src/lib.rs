//! What a part of the fleet costs at sizes that no machine holds, measured on the real code with nothing round it.
//!
//! [`controller`] runs the real module under the real invocations, without sockets, against a model of invokers in the same
//! process, in virtual time. [`members`] runs real stewards and real members over the emulated network. Both give one row a
//! size; [`fit`] makes slopes of rows. Processor time is the thread's own ([`meter`]), so that a busy machine stretches it
//! little; memory is the process's resident set, so each size wants a process of its own.
//!
//! [`real`] sets a process of the binary beside them. It decides nothing. What the hollow ones do not have: sockets, kernels, schedulers, clients.

pub mod controller;
pub mod fit;
pub mod members;
pub mod meter;
pub mod real;
pub mod world;
