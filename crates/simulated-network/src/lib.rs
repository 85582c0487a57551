//! A network that is only stood in for: named hosts in one process, with delays, jitter, bandwidth and cuts between them.
//!
//! `lines` decides when bytes pass and knows no streams; `streams` are what controllers and stand-ins read and write in
//! place of sockets; `stop` holds a whole process still. All of it runs on one thread under tokio's clock, and the same
//! seed gives the same day. Timers fire at whole milliseconds: shorter delays are rounded up to one, none stays none.

pub mod lines;
mod stop;
mod streams;

pub use lines::{Link, Links};
pub use stop::{ProcessPause, pausable};
pub use streams::SimulatedNetwork;
