//! The events that a policy handles and the actions that it requests, independent of any wire format.
//!
//! Times are [`Ticks`] of the host's clock. Identifiers are assigned by the host and are opaque to the policy.

mod probes;
mod sizes;

pub use probes::{ProbeOutcome, ProbeResult, ReadinessCounts};
pub use sizes::{ScanCounts, TableSizes};

/// A point in time or a duration, in tenths of a millisecond (100 us).
pub type Ticks = u64;
/// Identifies an invocation within one controller. Unique among the invocations that the policy still tracks.
pub type InvocationId = u32;
/// Identifies an invoker. The same at every controller, and the same after the invoker's process restarts.
pub type InvokerId = u32;
/// Identifies a function.
pub type FunctionId = u64;

/// One millisecond.
pub const MILLISECOND: Ticks = 10;
/// One second.
pub const SECOND: Ticks = 1_000 * MILLISECOND;

/// Whether running an invocation more than once has a further effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Running the invocation again has no further effect.
    Idempotent,
    /// The invocation carries an idempotency key: invokers that share a [`KeyScope`] drop a repetition within the
    /// idempotency window.
    IdempotencyKey,
    /// Running the invocation again repeats its effect.
    NonIdempotent,
}

/// The set of invokers that recognise each other's idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All invokers.
    All,
    /// Invokers of one zone.
    Zone,
    /// Invokers of one cell.
    Cell,
}

/// The configuration of a class of invocations.
#[derive(Clone, Debug)]
pub struct TriggerType {
    /// A response within this time earns its full value.
    pub latency_objective: Ticks,
    /// The client abandons an invocation after this time.
    pub client_timeout: Ticks,
    /// Whether a repeated run has a further effect.
    pub effect: Effect,
    /// The invokers among which an idempotency key is recognised.
    pub key_scope: KeyScope,
    /// How long an invoker recognises an idempotency key, measured from the first attempt.
    pub idempotency_window: Ticks,
    /// Value of a response within the latency objective.
    pub billed_value: f64,
    /// Share of that value that a later response earns.
    pub late_value_share: f64,
}

/// The configuration of a tenant.
#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    /// The tenant's quota, in invocations per second over all controllers.
    pub quota_per_second: f64,
}

/// The configuration of the deployment that a controller runs in.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// Number of controllers in the deployment.
    pub controllers: u32,
    /// Zone of this controller.
    pub zone: u8,
    /// Memory of this controller's process, in bytes; none: not stated.
    pub memory_bytes: Option<u64>,
    /// Classes of invocations; [`Invocation::trigger`] is an index into them.
    pub trigger_types: Vec<TriggerType>,
    /// Tenants; [`Invocation::tenant`] is an index into them.
    pub tenants: Vec<Tenant>,
    /// Share of its value that an invocation in excess of its tenant's quota earns.
    pub over_quota_value_share: f64,
    /// Memory of an invoker in MB, by machine kind.
    pub machine_memory_mb: Vec<f64>,
    /// Maximum number of attempts per invocation.
    pub attempt_limit: u8,
    /// Whether two attempts of one invocation may be in flight at once.
    pub may_attempt_in_parallel: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether invokers may be probed.
    pub may_probe: bool,
    /// Whether invokers may be ordered to load and unload functions.
    pub may_load: bool,
    /// Whether an invoker without the function responds with [`Outcome::Miss`]; otherwise it loads the function.
    pub reports_misses: bool,
    /// Minimum time for which an invoker keeps an idle instance.
    pub keep_alive: Ticks,
    /// Maximum `retry_after` of a rejection; none: rejections carry no `retry_after`.
    pub max_retry_after: Option<Ticks>,
    /// Maximum time between two rounds of event delivery by the host.
    pub max_event_interval: Ticks,
    /// Window over which load orders are limited (rule 5); 0: no limit.
    pub load_window: Ticks,
    /// Number of load orders that are always allowed within a window.
    pub free_loads: f64,
    /// Number of further load orders that each invocation within that window allows.
    pub loads_per_invocation: f64,
    /// How long the endpoint list counts as current after its last refresh. A status change that the list would have
    /// reported counts as notified after this time, even if the list was unreachable. None: the list is always current.
    pub list_lifetime: Option<Ticks>,
    /// How long new work may still reach an invoker after it was reported as draining (rule 3).
    pub drain_grace: Ticks,
    /// Share of its full capacity that an invoker has when it starts.
    pub initial_capacity_share: f64,
    /// Time that an invoker takes from its start to reach its full capacity.
    pub warm_up_time: Ticks,
    /// An invoker that is warming up becomes overloaded when it receives this multiple of its current capacity (rule
    /// 4).
    pub overload_factor: f64,
    /// Window over which the received work is summed.
    pub overload_window: Ticks,
}

/// The status of an invoker's process in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InvokerStatus {
    /// Accepts new work.
    #[default]
    Ready,
    /// Completes its current work and accepts no new work.
    Draining,
    /// Not running.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub struct InvokerRecord {
    /// The invoker that the entry describes.
    pub invoker: InvokerId,
    /// Zone of the invoker.
    pub zone: u8,
    /// Machine kind of the invoker, an index into [`Deployment::machine_memory_mb`].
    pub machine_kind: u16,
    /// Cell of the invoker.
    pub cell: u16,
    /// Whether the invoker accepts new work.
    pub status: InvokerStatus,
    /// Nominal capacity relative to other invokers.
    pub capacity: f64,
    /// When the process started; none: long ago, or not reported.
    pub started_at: Option<Ticks>,
}

/// A client's request to run a function.
#[derive(Clone, Debug)]
pub struct Invocation {
    /// Identifier of the invocation.
    pub id: InvocationId,
    /// Trigger type, an index into [`Deployment::trigger_types`].
    pub trigger: usize,
    /// Tenant, an index into [`Deployment::tenants`].
    pub tenant: usize,
    /// The function to run.
    pub function: FunctionId,
    /// The earliest time at which the request can have arrived; the host may read it later. Counts of invocations by
    /// time use this time.
    pub earliest_arrival: Ticks,
    /// When the client times out.
    pub expires_at: Ticks,
    /// Run time predicted by the client, if any.
    pub work_hint: Option<Ticks>,
    /// Memory of one instance, in MB.
    pub memory_mb: f64,
    /// Number of invocations that one instance runs concurrently.
    pub concurrency_limit: f64,
    /// Usual time to load the function, if known.
    pub load_time_hint: Option<Ticks>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The function ran and returned a response.
    Succeeded,
    /// The invoker responded with an error.
    Errored,
    /// The invoker's queue was full; the attempt did not run.
    Full,
    /// No response within the timeout.
    TimedOut,
    /// The connection could not be established; the attempt did not run.
    NoConnection,
    /// The connection was reset after the request had been sent.
    Reset,
    /// The attempt was cancelled.
    Cancelled,
    /// The request was not sent, for a reason unrelated to the invoker.
    NotSent,
    /// The function was not loaded at the invoker; the attempt did not run.
    Miss,
}

impl Outcome {
    /// Whether the attempt provably never ran (rule 2).
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Self::Full | Self::NoConnection | Self::NotSent | Self::Miss
        )
    }
}

/// Whether an attempt found a loaded instance, as reported by the invoker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartKind {
    /// An instance was already loaded.
    Warm,
    /// The attempt started a load.
    BeganLoad,
    /// The attempt waited for a load that was already in progress.
    JoinedLoad,
    /// The load that the attempt waited for failed.
    LoadFailed,
}

/// An invoker's report of its own load, sent with a response.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Share of the invoker's cores that are busy.
    pub utilization: Option<f64>,
    /// Number of invocations queued at the invoker.
    pub queue_length: Option<f64>,
}

/// The result of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// The invocation.
    pub invocation: InvocationId,
    /// The invoker to which the attempt was sent.
    pub invoker: InvokerId,
    /// Zero-based number of the attempt.
    pub attempt: u8,
    /// Whether the invocation is finished: its final response was sent, or is no longer expected.
    pub invocation_finished: bool,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether the attempt found a loaded instance, if reported.
    pub start_kind: Option<StartKind>,
    /// Number of invocations of the same function at the invoker on arrival, if reported.
    pub concurrency: Option<u8>,
    /// Time from the dispatch to the end of the attempt.
    pub duration: Ticks,
    /// The invoker's load report.
    pub report: LoadReport,
}

/// How a load order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadOutcome {
    /// The instances are loaded.
    Loaded,
    /// The invoker has no capacity for the instances.
    NoCapacity,
    /// The load failed.
    LoadFailed,
    /// The invoker could not be reached.
    Unreachable,
    /// No response within the timeout.
    TimedOut,
    /// The order was not sent, for a reason unrelated to the invoker.
    NotSent,
}

/// The result of one load order.
#[derive(Clone, Copy, Debug)]
pub struct LoadResult {
    /// The invoker to which the order was sent.
    pub invoker: InvokerId,
    /// The function to load.
    pub function: FunctionId,
    /// How the order ended.
    pub outcome: LoadOutcome,
    /// Number of instances loaded at the invoker now.
    pub loaded_instances: u8,
    /// Time from the issue of the order to its end.
    pub duration: Ticks,
    /// When the order had been sent completely, if known. Otherwise the time of its issue counts.
    pub sent_at: Option<Ticks>,
}

/// A policy's view of one invoker, for logs and for comparison with the state of the sockets.
#[derive(Clone, Copy, Debug)]
pub struct InvokerView {
    /// The invoker.
    pub invoker: InvokerId,
    /// Number of attempts in flight at the invoker.
    pub in_flight: u32,
    /// Ratio of the actual to the expected duration of attempts.
    pub slowdown: f64,
    /// Share of recent attempts that failed with an error.
    pub error_rate: f64,
    /// Whether the invoker is ejected, so that no attempts are sent to it for now.
    pub is_ejected: bool,
}

/// The actions that a policy can request from its host. The host carries out each action before the method returns, or
/// queues it.
pub trait Actions {
    /// Sends an invocation to an invoker. `timeout` 0: the client timeout applies.
    fn dispatch(&mut self, invocation: InvocationId, invoker: InvokerId, timeout: Ticks);
    /// Like [`Actions::dispatch`], but sending must begin before `send_by`, or not at all. A host that sends
    /// immediately, or never, does not need to override it.
    fn dispatch_by(
        &mut self,
        invocation: InvocationId,
        invoker: InvokerId,
        timeout: Ticks,
        _send_by: Ticks,
    ) {
        self.dispatch(invocation, invoker, timeout);
    }
    /// Sends the final response for an invocation that never ran or may safely run again. The client may retry after
    /// `retry_after` (0: not specified).
    fn throttle(&mut self, invocation: InvocationId, retry_after: Ticks);
    /// Sends the final response for an invocation that failed and may have run.
    fn error(&mut self, invocation: InvocationId);
    /// Cancels an attempt. Its end is reported like that of any other attempt.
    fn cancel(&mut self, invocation: InvocationId, attempt: u8);
    /// Orders an invoker to keep at least `count` instances of a function loaded.
    fn load(&mut self, invoker: InvokerId, function: FunctionId, count: u8);
    /// Like [`Actions::load`], but sending must begin before `send_by`, or not at all. A host that sends immediately,
    /// or never, does not need to override it.
    fn load_by(&mut self, invoker: InvokerId, function: FunctionId, count: u8, _send_by: Ticks) {
        self.load(invoker, function, count);
    }
    /// Orders an invoker to unload idle instances of a function.
    fn unload(&mut self, invoker: InvokerId, function: FunctionId);
    /// Probes whether an invoker accepts new work. The result is reported through
    /// [`probe_ended`](crate::DispatchPolicy::probe_ended).
    fn probe(&mut self, invoker: InvokerId);
    /// Schedules one call of [`timer_fired`](crate::DispatchPolicy::timer_fired) with `token` at `at`.
    fn set_timer(&mut self, at: Ticks, token: u64);
    /// Withdraws a timer that is no longer needed. A host may still fire it, which has no effect; one whose clients may
    /// abandon any number of invocations overrides this, so that it does not retain their timers.
    fn cancel_timer(&mut self, _token: u64) {}
    /// Writes a warning to the host's log.
    fn log(&mut self, text: &str);
}
