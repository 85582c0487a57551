//! Counts of what a controller has done, for its log and its tests.

/// What a controller has done, by count.
#[derive(Clone, Default)]
pub struct Counters {
    /// Invocations accepted.
    pub accepted: u64,
    /// Final responses: succeeded.
    pub succeeded: u64,
    /// Final responses: rejected, the client may retry.
    pub throttled: u64,
    /// Final responses: failed.
    pub errored: u64,
    /// Clients that left before their final response.
    pub client_left: u64,
    /// Invocations that were read after their client had given up, and not accepted.
    pub expired_on_arrival: u64,
    /// Final responses that came after their client had given up, and were not sent.
    pub answered_too_late: u64,
    /// Attempts made.
    pub attempts: u64,
    /// Attempts that their invoker turned away: it was full, or draining.
    pub attempts_rejected: u64,
    /// Load orders given.
    pub load_orders: u64,
    /// Load orders that their invoker turned away: it had no room, or was draining.
    pub load_orders_rejected: u64,
    /// Connections to invokers that broke.
    pub broken_connections: u64,
    /// Stops of the process that were noticed.
    pub process_stops: u64,
}
