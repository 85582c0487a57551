//! Probes: what an invoker itself says of whether it takes new work.

use super::{InvokerId, Ticks};

/// How a probe ended: whether an invoker takes new work, by its own word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// It takes new work.
    Ready,
    /// It takes none.
    NotReady,
    /// No connection could be made, or it broke.
    Unreachable,
    /// No answer within the time limit.
    TimedOut,
    /// The probe was not sent, and that says nothing of the invoker.
    NotSent,
}

/// How one probe ended.
#[derive(Clone, Copy, Debug)]
pub struct ProbeResult {
    /// The invoker that was probed.
    pub invoker: InvokerId,
    /// How the probe ended.
    pub outcome: ProbeOutcome,
    /// The answer tells of the invoker as it was then, or later.
    pub sent_at: Ticks,
    /// Time from the probe to its end.
    pub duration: Ticks,
}

/// What was done since the start where the endpoint list did not vouch for an invoker, by count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadinessCounts {
    /// Probes sent.
    pub probes: u64,
    /// Probes answered with "not ready".
    pub not_ready: u64,
    /// Probes without an answer, or without a connection.
    pub unanswered: u64,
    /// Times that an invocation waited for an invoker to vouch for itself.
    pub waits: u64,
}
