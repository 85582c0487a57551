//! Messages between an invoker and the model store: sequential fetches on one connection.

use crate::messages;
use serde::{Deserialize, Serialize};

/// Requests a function's model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fetch {
    pub invoker: u32,
    pub function: u64,
    /// How long the fetch takes while the store is not overloaded.
    pub usual_tenths: u64,
}

/// The fetch succeeded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fetched {
    pub function: u64,
}

/// The fetch was rejected because too many are in progress.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refused {
    pub function: u64,
    /// Delay after which to retry.
    pub come_back_tenths: u64,
}

messages! {
    /// Messages from an invoker to the store.
    ToStore { 49 => Fetch }
}
messages! {
    /// Messages from the store to an invoker.
    FromStore { 113 => Fetched, 114 => Refused }
}
