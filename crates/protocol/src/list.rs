//! Between a controller and the invoker list: the whole list first, changes after.

use crate::messages;
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Follow {
    pub version: u16,
    pub controller: u32,
    pub incarnation: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Life {
    Ready,
    Draining,
    Gone,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub invoker: u32,
    /// `tcp:HOST:PORT`, `unix:PATH` or, inside one process, `memory:NAME`.
    pub address: String,
    pub zone: u8,
    pub kind: u16,
    pub cell: u16,
    pub life: Life,
    /// Without unit, comparable across invokers.
    pub size: f32,
    /// Differs at each start of the invoker.
    pub incarnation: u64,
    /// Since it started, when this line left.
    pub age_tenths: u64,
    /// Where its agent serves chunks to peers, as `address`; none where it has no agent.
    pub agent: Option<String>,
}

/// The list as it is. What it does not name is gone, if it is settled; a list that has only just started says what
/// it knows without saying that this is all.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Whole {
    pub revision: u64,
    pub settled: bool,
    pub entries: Vec<Entry>,
}

/// Lines that are new or other than before. `revision` is one above that of the message before.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    pub revision: u64,
    pub entries: Vec<Entry>,
}

messages! {
    /// All that a controller says to the list.
    ToList { 33 => Follow }
}
messages! {
    /// All that the list says.
    FromList { 97 => Whole, 98 => Change }
}
