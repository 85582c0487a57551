//! Probes, with which an invoker itself reports whether it accepts new work.

use super::{InvokerId, Ticks};

/// How a probe ended: whether the invoker itself reported that it accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The invoker accepts new work.
    Ready,
    /// The invoker accepts no new work.
    NotReady,
    /// The connection could not be established, or was lost.
    Unreachable,
    /// No response within the timeout.
    TimedOut,
    /// The probe was not sent, for a reason unrelated to the invoker.
    NotSent,
}

/// The result of one probe.
#[derive(Clone, Copy, Debug)]
pub struct ProbeResult {
    /// The invoker that was probed.
    pub invoker: InvokerId,
    /// How the probe ended.
    pub outcome: ProbeOutcome,
    /// When the probe was sent. The result describes the invoker at this time or later.
    pub sent_at: Ticks,
    /// Time from the request of the probe to its end.
    pub duration: Ticks,
}

/// Counts since the start of the actions taken because the endpoint list was too old to confirm an invoker as ready.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadinessCounts {
    /// Number of probes sent.
    pub probes: u64,
    /// Number of probes with the response "not ready".
    pub not_ready: u64,
    /// Number of probes without a response or a connection.
    pub unanswered: u64,
    /// Number of times that an invocation waited for an invoker to confirm that it is ready.
    pub waits: u64,
}
