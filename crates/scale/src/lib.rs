//! Measures the CPU time and memory of parts of the fleet at sizes that do not fit on one machine. The parts run their
//! real code in isolation.
//!
//! [`controller`] runs the real policy and invocation table in virtual time, without sockets, against a model of
//! invokers in the same process. [`members`] runs real coordinators and members over the simulated network. Both yield
//! one row per size; [`fit`] fits lines to the rows. CPU time is that of the thread ([`meter`]), which a busy machine
//! affects little. Memory is the resident set of the process, so each size needs a process of its own.
//!
//! [`real`] measures a process of the binary for comparison; no decision depends on it. The isolated parts lack
//! sockets, kernels, schedulers and clients.

pub mod controller;
pub mod fit;
pub mod members;
pub mod meter;
pub mod real;
pub mod world;
