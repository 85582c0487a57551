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

pub use evict::{Kept, STORE_OVER_PEER, Shelf};
pub use fetch::{Ask, Ended, Fetcher, LoadId, Need, Next, Source};
pub use homes::{HOMES, Member, homes};
pub use limit::Limit;
pub use serve::{Serving, Verdict};
pub use suspect::Suspects;
