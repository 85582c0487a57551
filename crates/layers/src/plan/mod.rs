//! Who is home to a chunk, whom to ask for it, how much at once, when again, and what to serve to others.
//!
//! No I/O and no clock: times come in as tenths of a millisecond, asks go out, their ends are told. Each invoker decides
//! for itself from the list it has; lists differ and lag, and nothing here needs them to agree.

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
