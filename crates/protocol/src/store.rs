//! Between an invoker and the model store: one fetch after another on a connection.

use crate::messages;
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fetch {
    pub invoker: u32,
    pub function: u64,
    /// How long the fetch takes while the store is not crowded.
    pub usual_tenths: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fetched {
    pub function: u64,
}

/// Too many fetches are under way.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refused {
    pub function: u64,
    pub come_back_tenths: u64,
}

messages! {
    /// All that an invoker says to the store.
    ToStore { 49 => Fetch }
}
messages! {
    /// All that the store says.
    FromStore { 113 => Fetched, 114 => Refused }
}
