//! Load that can be trusted: what comes does not wait for what was answered, and latency counts from when an invocation
//! was meant to be sent.
//!
//! `shape`, `popularity`, `retry`, `lag` and `mend` decide and do no I/O; `trace` reads and writes recorded load as
//! Parquet files; `drive` sends it over whatever [`saltdrum_transport::Network`] it is handed.

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
