//! Messages between a controller and the invoker list: first the complete list, then its changes.

use crate::messages;
use serde::{Deserialize, Serialize};

/// Subscribes to the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Follow {
    pub version: u16,
    pub controller: u32,
    pub incarnation: u64,
}

/// Lifecycle state of an invoker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Life {
    Ready,
    Draining,
    Gone,
}

/// One invoker of the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub invoker: u32,
    /// `tcp:HOST:PORT`, `unix:PATH` or, inside one process, `memory:NAME`.
    pub address: String,
    pub zone: u8,
    pub kind: u16,
    pub cell: u16,
    pub life: Life,
    /// Capacity without a unit, comparable across invokers.
    pub size: f32,
    /// Differs at each start of the invoker.
    pub incarnation: u64,
    /// Time since the invoker started, as of when this entry was sent.
    pub age_tenths: u64,
    /// Where its agent serves chunks to peers, in the form of `address`; `None` if it has no agent.
    pub agent: Option<String>,
}

/// The complete list. An invoker that it does not name is gone only if `settled` is set: a list that has just started
/// sends the entries that it knows so far, which may not be all.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Whole {
    pub revision: u64,
    pub settled: bool,
    pub entries: Vec<Entry>,
}

/// Entries that are new or have changed. `revision` is one above that of the previous message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    pub revision: u64,
    pub entries: Vec<Entry>,
}

messages! {
    /// Messages from a controller to the list.
    ToList { 33 => Follow }
}
messages! {
    /// Messages from the list to a controller.
    FromList { 97 => Whole, 98 => Change }
}
