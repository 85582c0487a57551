//! Messages between a controller and an invoker. Times are whole tenths of a millisecond and always durations, never
//! clock times, because the two clocks need not agree.

use crate::{Malformed, messages};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// Protocol version of this build.
pub const VERSION: u16 = 1;
/// Oldest protocol version that this build accepts.
pub const MIN_VERSION: u16 = 1;

/// First frame from a controller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    pub version_least: u16,
    pub version_most: u16,
    pub controller: u32,
    /// Differs at each start of the controller.
    pub incarnation: u64,
    /// The invoker that the controller expects at this address.
    pub invoker: u32,
}

/// Runs an invocation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Sequence number on this link, from 1 without gaps.
    pub dispatch: u64,
    /// The controller's number for the invocation; the same for all its attempts.
    pub invocation: u32,
    /// Number of the attempt, from 0.
    pub hop: u8,
    pub function: u64,
    pub name: String,
    pub tenant: String,
    pub trigger: String,
    /// Time left until the client timeout.
    pub left_tenths: u64,
    /// Idempotency key.
    pub token: Option<String>,
    /// Input as JSON.
    pub input: ByteBuf,
}

/// A borrowed [`Dispatch`], which is encoded without copying its parts first.
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
    /// Encodes it as a frame of a [`Dispatch`].
    pub fn encode(&self) -> bytes::Bytes {
        crate::frame::encode_as(<Dispatch as crate::frame::Message>::KIND, self)
    }
}

/// Cancels a dispatch; the dispatch's [`Answer`] reports the outcome.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Cancel {
    pub dispatch: u64,
}

/// A load order: keeps at least `count` instances loaded. A `count` of 0 only queries the number loaded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hold {
    pub order: u64,
    pub function: u64,
    pub name: String,
    pub count: u8,
}

/// Unloads idle instances. It has no response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Unload {
    pub function: u64,
}

/// A health check, answered by [`Probed`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Probe {
    pub probe: u64,
}

messages! {
    /// Messages from a controller to an invoker.
    FromController { 1 => Hello, 2 => Dispatch, 3 => Cancel, 4 => Hold, 5 => Unload, 6 => Probe }
}

/// First frame from an invoker that accepts the link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Welcome {
    pub version: u16,
    pub invoker: u32,
    /// Differs at each start of the invoker.
    pub incarnation: u64,
    /// Time since the invoker started.
    pub age_tenths: u64,
}

/// First and last frame from an invoker that rejects the link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Unwelcome {
    pub why: String,
}

/// Outcome of a dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[repr(u8)]
pub enum Ended {
    Succeeded = 0,
    /// It may have run.
    Errored = 1,
    /// Rejected before it ran, because the invoker is at its limit.
    Full = 2,
    /// The function is not loaded and not being loaded, or the load that it waited for failed; it never ran.
    Miss = 3,
    /// It may have run.
    Cancelled = 4,
}

/// State of the function at the invoker when a dispatch arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Found {
    Warm,
    BeganLoad,
    JoinedLoad,
    LoadFailed,
}

/// Load report of an invoker, which may be stale.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Utilization of its cores, 0 to 1.
    pub cores_busy: Option<f32>,
    /// Queued invocations.
    pub waiting: Option<f32>,
}

/// The result of a dispatch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    pub dispatch: u64,
    pub ended: Ended,
    pub found: Option<Found>,
    /// Concurrency of the function at the invoker when this dispatch arrived.
    pub crowd: Option<u8>,
    pub load: Load,
    /// The result as JSON, or an error message as plain text.
    pub output: ByteBuf,
}

/// Outcome of a load order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HoldEnded {
    /// The instances are loaded.
    Standing,
    /// There is no room for the instances.
    NoRoom,
    LoadFailed,
}

/// The response to a load order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Held {
    pub order: u64,
    pub ended: HoldEnded,
    /// Instances of the function that are loaded.
    pub standing: u8,
}

/// The response to a health check.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Probed {
    pub probe: u64,
    pub load: Load,
}

messages! {
    /// Messages from an invoker to a controller.
    FromInvoker { 65 => Welcome, 66 => Unwelcome, 67 => Answer, 68 => Held, 69 => Probed }
}

/// Chooses, for the invoker, the protocol version to use with the sender of a hello.
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
