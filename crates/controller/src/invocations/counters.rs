//! Event counters of a controller, for its status, its log and its tests.

/// Event counters of a controller since its start.
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
    /// Invocations whose client stopped waiting before their final response.
    pub abandoned: u64,
    /// Invocations that were read after their client timeout, and therefore not accepted.
    pub expired_on_arrival: u64,
    /// Final responses that were decided after the client timeout, and therefore not sent.
    pub answered_too_late: u64,
    /// Attempts made.
    pub attempts: u64,
    /// Attempts that their invoker rejected because it was full or draining.
    pub attempts_rejected: u64,
    /// Load orders issued.
    pub load_orders: u64,
    /// Load orders that their invoker rejected because it had no capacity or was draining.
    pub load_orders_rejected: u64,
    /// Invoker connections that were lost, or could not be established.
    pub broken_connections: u64,
    /// Detected stops of the process.
    pub process_stops: u64,
}
