//! Resource bounds of a controller, derived from the limits of its machine.

use saltdrum_platform_wire::config::MachineLimits;

/// Descriptors for the standard streams, epoll and its waker, the signal pipe, the listener, the feed (an old and a new
/// connection), the configuration file during a reload, connections that are accepted only to be rejected, and some
/// spare ones.
const RESERVED_DESCRIPTORS: usize = 24;

/// The inputs of invocations may use the controller's memory divided by this.
const INPUT_MEMORY_DIVISOR: u64 = 8;

/// Resource bounds of a controller. At a bound it stops accepting, closes idle connections and rejects requests, so
/// that its memory stays bounded and it never runs out of descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Client connections.
    pub clients: usize,
    /// Connections to invokers, idle ones included.
    pub lines: usize,
    /// Total bytes of the inputs of invocations.
    pub bytes: usize,
}

impl ResourceLimits {
    /// Derives the bounds from the configured limits of the machine.
    pub fn of(limits: &MachineLimits) -> Self {
        let available = limits
            .descriptors
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(8);
        // The platform's clients use at most a third of the limit; other connections are closed first.
        let clients = (limits.descriptors / 3 + available / 20).min(available / 2);
        let bytes = (limits.memory_bytes() / INPUT_MEMORY_DIVISOR) as usize;
        Self {
            clients,
            lines: available - clients,
            bytes,
        }
    }
}

#[cfg(test)]
mod tests;
