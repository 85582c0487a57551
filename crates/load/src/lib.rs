//! Open-loop load generation: sending does not wait for responses, and latency is measured from the time at which an
//! invocation was scheduled to be sent.
//!
//! `shape`, `popularity`, `retry`, `lag`, `latency` and `mend` do no I/O; `trace` reads and writes recorded load as
//! Parquet files; `drive` sends load over a given [`saltdrum_transport::Network`].

pub mod drive;
pub mod lag;
pub mod latency;
pub mod mend;
pub mod popularity;
pub mod retry;
pub mod shape;
pub mod trace;

pub use drive::{LoadRun, Outcome, send_load};
pub use lag::{Lag, Verdict};
pub use latency::Latencies;
pub use popularity::Popularity;
pub use shape::Shape;
pub use trace::TraceEntry;
