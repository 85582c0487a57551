//! Sizes of a policy's tables and operation counts, for logs and for tests that bound memory and work without a clock.

/// Numbers of table entries (functions and instances) that a policy examined one after the other, since its start.
/// Entries that it finds by their keys are not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ScanCounts {
    /// Before loads: to find the instances to unload.
    pub unload: u64,
    /// In timers: to remove what is no longer needed, and to size and fill the pools.
    pub timers: u64,
    /// The most that were examined within one event.
    pub longest_event: u64,
}

/// Sizes of a policy's tables and operation counts, with which tests bound memory and work without a clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Number of known invokers.
    pub invokers: usize,
    /// Number of known functions.
    pub functions: usize,
    /// Number of those that no invoker is known to have run or loaded. Clients may request functions that do not exist.
    pub unproven_functions: usize,
    /// Number of functions that were forgotten early because unproven functions reached the bound on their memory.
    pub evicted_functions: u64,
    /// Number of invocations of unknown functions that were rejected at that bound.
    pub untracked_invocations: u64,
    /// Number of tracked instances, over all functions.
    pub instances: usize,
    /// Number of ranking entries, over all functions.
    pub ranked: usize,
    /// Number of invocations whose final response or last attempt is pending.
    pub invocations: usize,
    /// Number of steps that wait for a timer.
    pub timers: usize,
    /// Number of steps that wait for a load order.
    pub load_waits: usize,
    /// Number of steps that wait for a probe.
    pub probe_waits: usize,
    /// Number of invokers examined by rankings since the start.
    pub rank_steps: u64,
    /// Number of sums of work that was sent to invokers recently.
    pub sent_work: usize,
    /// Number of load orders that count against the budget of the window.
    pub loads_counted: usize,
    /// Number of invocations that increase that budget.
    pub invocations_counted: usize,
    /// Entries that the policy examined one after the other.
    pub scanned: ScanCounts,
}
