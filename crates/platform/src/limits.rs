//! What this machine has room for, derived from its limits.

use saltdrum_platform_wire::config::MachineLimits;

/// Standard streams, epoll and its waker, the signal pipe, listener, feed (an old and a new one), the file at a
/// reload, a connection that is only accepted to be turned away, and some to spare.
const RESERVED_DESCRIPTORS: usize = 24;

/// Past these a controller stops reading, closes the silent and refuses: it never grows, and never fails for want of
/// a descriptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to invokers, idle ones among them.
    pub lines: usize,
    /// Bytes of inputs that are held for invocations.
    pub bytes: usize,
}

impl ResourceLimits {
    /// Derives the bounds from the configured limits of the machine.
    pub fn of(limits: &MachineLimits) -> Self {
        let left = limits
            .descriptors
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(8);
        // Clients keep to a third of the limit; strangers beside them are closed first.
        let clients = (limits.descriptors / 3 + left / 20).min(left / 2);
        let bytes = (limits.memory_mb * 1_048_576.0 / 8.0) as usize;
        Self {
            clients,
            lines: left - clients,
            bytes,
        }
    }
}

#[cfg(test)]
mod tests;
