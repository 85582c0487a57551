//! Decisions of an agent: the homes of a chunk, sources, concurrency limits, retries, uploads and eviction.
//!
//! No I/O and no clock: the caller passes times in tenths of a millisecond, sends the returned requests and reports their
//! outcomes. Each invoker decides from its own endpoint list; lists may differ or lag, and need not agree.

mod evict;
mod fetch;
mod homes;
mod limit;
mod serve;
mod suspect;

pub use evict::{CachedChunk, EvictionPolicy, STORE_COST_FACTOR};
pub use fetch::{FetchActions, FetchOutcome, FetchRequest, Fetcher, LoadId, MissingChunk, Source};
pub use homes::{HOMES_PER_CHUNK, Member, homes};
pub use limit::ConcurrencyLimit;
pub use serve::{UploadDecision, UploadScheduler};
pub use suspect::SuspectSources;
