//! Resource bounds of a controller, derived from the limits of its machine.

use saltdrum_platform_wire::config::MachineLimits;

/// Descriptors for the standard streams, epoll and its waker, the signal pipe, the listener, the feed (an old and a new
/// connection), the configuration file during a reload, connections that are accepted only to be rejected, and some
/// spare ones.
const RESERVED_DESCRIPTORS: usize = 24;

/// Shares of the controller's memory for what its peers make it hold, in 64ths. The rest is for the program, the decision
/// module, and what the allocator can't reuse.
const SHARE_UNIT: u64 = 64;
const CLIENT_CONNECTION_SHARE: u64 = 5;
const CLIENT_DATA_SHARE: u64 = 10;
const INVOKER_CONNECTION_SHARE: u64 = 14;
const RESPONSE_SHARE: u64 = 4;
const RECENT_ID_SHARE: u64 = 1;

/// Memory of a client's connection: its task, its state, and what was read and not decoded, in bytes.
const CLIENT_CONNECTION_BYTES: u64 = 7 << 10;
/// Memory of a connection to an invoker: its buffers, and the request on it, in bytes.
const INVOKER_CONNECTION_BYTES: u64 = 20 << 10;
/// Memory of an id in a list and in a set that may be half empty, in bytes.
const RECENT_ID_BYTES: u64 = 48;
/// Memory of an open request besides its body and its connection: its entries in the tables and its timers, in bytes.
pub(crate) const OPEN_REQUEST_BYTES: usize = 3 << 10;

/// Resource bounds of a controller. At a bound it stops accepting, closes idle connections and rejects requests, so
/// that its memory stays bounded and it never runs out of descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Client connections.
    pub clients: usize,
    /// Connections to invokers, idle ones included.
    pub lines: usize,
    /// Total bytes of frames received in part, open requests and unread responses of clients.
    pub client_bytes: usize,
    /// Total bytes of the responses of invokers that are being received.
    pub response_bytes: usize,
    /// Ids of invocations that may have run and are not used again.
    pub recent_ids: usize,
}

impl ResourceLimits {
    /// Derives the bounds from the configured limits of the machine.
    pub fn of(limits: &MachineLimits) -> Self {
        let share = |share: u64| limits.memory_bytes() * share / SHARE_UNIT;
        let connections = |bytes: u64, connection_bytes: u64| (bytes / connection_bytes) as usize;
        let available = limits
            .descriptors
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(8);
        // The platform's clients use at most a third of the limit; other connections are closed first.
        let clients = (limits.descriptors / 3 + available / 20).min(available / 2);
        let clients_in_memory =
            connections(share(CLIENT_CONNECTION_SHARE), CLIENT_CONNECTION_BYTES);
        let lines_in_memory =
            connections(share(INVOKER_CONNECTION_SHARE), INVOKER_CONNECTION_BYTES);
        Self {
            clients: clients.min(clients_in_memory),
            lines: (available - clients).min(lines_in_memory),
            client_bytes: share(CLIENT_DATA_SHARE) as usize,
            response_bytes: share(RESPONSE_SHARE) as usize,
            recent_ids: (share(RECENT_ID_SHARE) / RECENT_ID_BYTES) as usize,
        }
    }
}

#[cfg(test)]
mod tests;
