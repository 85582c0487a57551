//! A simulated network: named hosts in one process, with delay, jitter, bandwidth and partitions between them.
//!
//! `lines` computes arrival times and does not depend on streams; `streams` provides the streams that controllers and fakes
//! use in place of sockets; `stop` pauses a whole simulated process. Everything runs on one thread under tokio's clock, and
//! the same seed gives the same run. Timers fire at whole milliseconds: shorter delays are rounded up to one, and a delay of
//! zero stays zero.

pub mod lines;
mod stop;
mod streams;

pub use lines::{Link, Links};
pub use stop::{ProcessPause, pausable};
pub use streams::SimulatedNetwork;
