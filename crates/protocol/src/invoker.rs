//! Between a controller and an invoker. Times are whole tenths of a millisecond, always spans, never clock times:
//! the two clocks need not agree.

use crate::{Malformed, messages};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// The version this side speaks, and the oldest it still understands.
pub const VERSION: u16 = 1;
pub const MIN_VERSION: u16 = 1;

/// First frame of a controller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    pub version_least: u16,
    pub version_most: u16,
    pub controller: u32,
    /// Differs at each start of the controller.
    pub incarnation: u64,
    /// The invoker that the controller believes to be here.
    pub invoker: u32,
}

/// Run an invocation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Numbered from 1 on each link, without gaps.
    pub dispatch: u64,
    /// The controller's number for the invocation; the same for its repeats.
    pub invocation: u32,
    /// Which repeat it is, from 0.
    pub hop: u8,
    pub function: u64,
    pub name: String,
    pub tenant: String,
    pub trigger: String,
    /// Until the client gives up.
    pub left_tenths: u64,
    /// By which a repeat is known.
    pub token: Option<String>,
    /// JSON.
    pub input: ByteBuf,
}

/// A [`Dispatch`] on its way out, its parts where they lie.
#[derive(Debug, Clone, Serialize)]
pub struct DispatchOut<'a> {
    pub dispatch: u64,
    pub invocation: u32,
    pub hop: u8,
    pub function: u64,
    pub name: &'a str,
    pub tenant: &'a str,
    pub trigger: &'a str,
    pub left_tenths: u64,
    pub token: Option<&'a str>,
    pub input: &'a serde_bytes::Bytes,
}

impl DispatchOut<'_> {
    pub fn encode(&self) -> bytes::Bytes {
        crate::frame::encode_as(<Dispatch as crate::frame::Message>::KIND, self)
    }
}

/// Stop a dispatch; its answer says what came of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Cancel {
    pub dispatch: u64,
}

/// Hold at least so many copies loaded. 0 only asks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hold {
    pub order: u64,
    pub function: u64,
    pub name: String,
    pub count: u8,
}

/// Unload the idle copies; no answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Unload {
    pub function: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Probe {
    pub probe: u64,
}

messages! {
    /// All that a controller says.
    FromController { 1 => Hello, 2 => Dispatch, 3 => Cancel, 4 => Hold, 5 => Unload, 6 => Probe }
}

/// First frame of an invoker, when it takes the link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Welcome {
    pub version: u16,
    pub invoker: u32,
    /// Differs at each start of the invoker.
    pub incarnation: u64,
    /// Since it started.
    pub age_tenths: u64,
}

/// First and last frame of an invoker that does not take the link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Unwelcome {
    pub why: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[repr(u8)]
pub enum Ended {
    Succeeded = 0,
    /// Possibly ran.
    Errored = 1,
    /// Turned away unseen.
    Full = 2,
    /// Not loaded here and no load under way, or the load it waited for failed; never ran.
    Miss = 3,
    /// Possibly ran.
    Cancelled = 4,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Found {
    Warm,
    BeganLoad,
    JoinedLoad,
    LoadFailed,
}

/// How things stand at the invoker. May lag.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Share of its cores that is busy, 0 to 1.
    pub cores_busy: Option<f32>,
    /// Invocations that wait.
    pub waiting: Option<f32>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    pub dispatch: u64,
    pub ended: Ended,
    pub found: Option<Found>,
    /// Invocations of the function that the invoker held when this one arrived.
    pub crowd: Option<u8>,
    pub load: Load,
    /// JSON of the result, or plain text of what went wrong.
    pub output: ByteBuf,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HoldEnded {
    Standing,
    NoRoom,
    LoadFailed,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Held {
    pub order: u64,
    pub ended: HoldEnded,
    pub standing: u8,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Probed {
    pub probe: u64,
    pub load: Load,
}

messages! {
    /// All that an invoker says.
    FromInvoker { 65 => Welcome, 66 => Unwelcome, 67 => Answer, 68 => Held, 69 => Probed }
}

/// The version both sides speak, as the invoker chooses it from a hello.
pub fn negotiate_version(hello: &Hello) -> Result<u16, Malformed> {
    let version = hello.version_most.min(VERSION);
    if version >= hello.version_least && version >= MIN_VERSION {
        return Ok(version);
    }
    Err(Malformed::Version {
        least: hello.version_least,
        most: hello.version_most,
        ours: VERSION,
    })
}
