//! The events that a policy takes and the actions that it asks for, independent of any wire format.
//!
//! Times are [`Ticks`] of the host's clock. Identifiers are chosen by the host and carry no meaning.

mod probes;

pub use probes::{ProbeOutcome, ProbeResult, ReadinessCounts};

/// A time or a span in tenths of a millisecond (100 us).
pub type Ticks = u64;
/// Identifies an invocation within one controller. Unique among the invocations that are not forgotten.
pub type InvocationId = u32;
/// Identifies an invoker. The same at every controller, and the same after the invoker's process restarts.
pub type InvokerId = u32;
/// Identifies a function.
pub type FunctionId = u64;

/// One millisecond.
pub const MILLISECOND: Ticks = 10;
/// One second.
pub const SECOND: Ticks = 1_000 * MILLISECOND;

/// Whether running an invocation twice has a second effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Running it again has no further effect.
    Idempotent,
    /// It carries an idempotency key: invokers that share a [`KeyScope`] drop a repetition within the idempotency window.
    IdempotencyKey,
    /// Running it again has a second effect.
    NonIdempotent,
}

/// Which invokers recognise each other's idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All invokers.
    All,
    /// Invokers of one zone.
    Zone,
    /// Invokers of one cell.
    Cell,
}

/// What is configured for a class of invocations.
#[derive(Clone, Debug)]
pub struct TriggerType {
    /// Within this time an answer earns its full value.
    pub latency_objective: Ticks,
    /// After this time the client gives up on an invocation.
    pub client_timeout: Ticks,
    /// Whether a repetition has a second effect.
    pub effect: Effect,
    /// Which invokers recognise an idempotency key.
    pub key_scope: KeyScope,
    /// How long an invoker recognises an idempotency key, counted from the first attempt.
    pub idempotency_window: Ticks,
    /// Value of an answer within the latency objective.
    pub billed_value: f64,
    /// Share of that value which a later answer earns.
    pub late_value_share: f64,
}

/// What is configured for a tenant.
#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    /// Invocations a second, over all controllers, within the tenant's quota.
    pub quota_per_second: f64,
}

/// The configuration of the deployment that a controller runs in.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// Controllers in the deployment.
    pub controllers: u32,
    /// Zone of this controller.
    pub zone: u8,
    /// Classes of invocations; [`Invocation::trigger`] is an index into them.
    pub trigger_types: Vec<TriggerType>,
    /// Tenants; [`Invocation::tenant`] is an index into them.
    pub tenants: Vec<Tenant>,
    /// Share of its value that an invocation beyond its tenant's quota earns.
    pub over_quota_value_share: f64,
    /// Memory of an invoker by machine kind, in MB.
    pub machine_memory_mb: Vec<f64>,
    /// Attempts that one invocation may make.
    pub attempt_limit: u8,
    /// Whether two attempts of one invocation may be in flight at once.
    pub may_attempt_in_parallel: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether invokers may be probed.
    pub may_probe: bool,
    /// Whether invokers may be ordered to load and unload functions.
    pub may_load: bool,
    /// Whether an invoker without the function answers [`Outcome::Miss`]; otherwise it loads the function.
    pub reports_misses: bool,
    /// How long an invoker keeps an idle instance at least.
    pub keep_alive: Ticks,
    /// Longest `retry_after` of a rejection; none: rejections carry no advice.
    pub max_retry_after: Option<Ticks>,
    /// Longest time between two rounds in which the host delivers events.
    pub max_event_interval: Ticks,
    /// Window over which load orders are limited; 0: no limit.
    pub load_window: Ticks,
    /// Load orders that are always allowed within a window.
    pub free_loads: f64,
    /// Further load orders that each invocation of that window allows.
    pub loads_per_invocation: f64,
    /// What the endpoint list would have told counts as notified this long after it was last heard, whether it is within
    /// reach or not; none: the list is always current.
    pub list_lifetime: Option<Ticks>,
    /// After an invoker is reported as draining, new work may reach it for this long.
    pub drain_grace: Ticks,
    /// Share of its capacity that an invoker has when it starts.
    pub initial_capacity_share: f64,
    /// Time after its start within which an invoker reaches its full capacity.
    pub warm_up_time: Ticks,
    /// An invoker that is warming up collapses when it gets this multiple of its present capacity.
    pub overload_factor: f64,
    /// Window over which that work is counted.
    pub overload_window: Ticks,
}

/// What the endpoint list says of an invoker's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InvokerStatus {
    /// Takes new work.
    #[default]
    Ready,
    /// Finishes its work and takes none.
    Draining,
    /// Not running.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub struct InvokerRecord {
    /// Whom the entry describes.
    pub invoker: InvokerId,
    /// Its zone.
    pub zone: u8,
    /// Its kind of machine, an index into [`Deployment::machine_memory_mb`].
    pub machine_kind: u16,
    /// Its cell.
    pub cell: u16,
    /// Whether it takes work.
    pub status: InvokerStatus,
    /// Nominal capacity, relative to other invokers.
    pub capacity: f64,
    /// When its process started; none: long ago, or not reported.
    pub started_at: Option<Ticks>,
}

/// One request of a client to run a function.
#[derive(Clone, Debug)]
pub struct Invocation {
    /// Its identifier.
    pub id: InvocationId,
    /// Its class, an index into [`Deployment::trigger_types`].
    pub trigger: usize,
    /// Its tenant, an index into [`Deployment::tenants`].
    pub tenant: usize,
    /// The function that it runs.
    pub function: FunctionId,
    /// The earliest time at which it can have arrived; it may be read later. Whatever counts invocations by time uses
    /// this.
    pub earliest_arrival: Ticks,
    /// When the client gives up on it.
    pub expires_at: Ticks,
    /// Predicted run time, where the client gives one.
    pub work_hint: Option<Ticks>,
    /// Memory of one instance, in MB.
    pub memory_mb: f64,
    /// Invocations that one instance runs at a time.
    pub concurrency_limit: f64,
    /// Usual time to load the function, where it is known.
    pub load_time_hint: Option<Ticks>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The function ran and answered.
    Succeeded,
    /// The invoker answered with an error.
    Errored,
    /// The invoker's queue was full; it did not run.
    Full,
    /// No answer within the time limit.
    TimedOut,
    /// No connection could be made; it did not run.
    NoConnection,
    /// The connection broke after the request had been sent.
    Reset,
    /// The attempt was cancelled.
    Cancelled,
    /// The request was not sent, and that says nothing of the invoker.
    NotSent,
    /// The invoker did not hold the function; it did not run.
    Miss,
}

impl Outcome {
    /// Whether the attempt provably never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Self::Full | Self::NoConnection | Self::NotSent | Self::Miss
        )
    }
}

/// Whether an attempt found an instance, where invokers report it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartKind {
    /// An instance was loaded.
    Warm,
    /// The attempt began a load.
    BeganLoad,
    /// The attempt waited for a load that had begun before.
    JoinedLoad,
    /// The load that the attempt waited for failed.
    LoadFailed,
}

/// An invoker's own report of its load, sent with an answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Share of the invoker's cores that is busy.
    pub utilization: Option<f64>,
    /// Invocations waiting at the invoker.
    pub queue_length: Option<f64>,
}

/// How one attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// The invocation.
    pub invocation: InvocationId,
    /// Where the attempt was sent.
    pub invoker: InvokerId,
    /// Number of the attempt, from 0.
    pub attempt: u8,
    /// Whether the invocation is finished: no final answer is expected any more.
    pub invocation_finished: bool,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether it found an instance, where that is reported.
    pub start_kind: Option<StartKind>,
    /// Invocations of the same function that the invoker held on arrival, where that is reported.
    pub concurrency: Option<u8>,
    /// Time from dispatch to the end.
    pub duration: Ticks,
    /// The invoker's load report.
    pub report: LoadReport,
}

/// How a load order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadOutcome {
    /// The instances are loaded.
    Loaded,
    /// The invoker has no capacity for them.
    NoCapacity,
    /// The load failed.
    LoadFailed,
    /// The invoker could not be reached.
    Unreachable,
    /// No answer within the time limit.
    TimedOut,
    /// The order was not sent, and that says nothing of the invoker.
    NotSent,
}

/// How one load order ended.
#[derive(Clone, Copy, Debug)]
pub struct LoadResult {
    /// The invoker that was to load.
    pub invoker: InvokerId,
    /// What it was to load.
    pub function: FunctionId,
    /// How the order ended.
    pub outcome: LoadOutcome,
    /// Instances that are loaded there now.
    pub loaded_instances: u8,
    /// Time from the order to its end.
    pub duration: Ticks,
    /// When the order had been sent completely, where that is known; otherwise it counts from when it was given.
    pub sent_at: Option<Ticks>,
}

/// A policy's view of one invoker, for logs and for comparison with what the sockets saw.
#[derive(Clone, Copy, Debug)]
pub struct InvokerView {
    /// The invoker.
    pub invoker: InvokerId,
    /// Attempts in flight there.
    pub in_flight: u32,
    /// Duration of attempts over the duration expected.
    pub slowdown: f64,
    /// Share of recent attempts that ended in an error.
    pub error_rate: f64,
    /// Whether it is ejected: no attempts go there for now.
    pub is_ejected: bool,
}

/// Sizes of a policy's tables and the work it has done, by count, so that both can be bounded without a clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Invokers known.
    pub invokers: usize,
    /// Functions known.
    pub functions: usize,
    /// Instances known or remembered, over all functions.
    pub instances: usize,
    /// Invokers held in rank order, over all functions.
    pub ranked: usize,
    /// Invokers looked at to rank them, since the start.
    pub rank_steps: u64,
    /// Load orders that count against the window's budget.
    pub loads_counted: usize,
    /// Invocations that widen that budget.
    pub invocations_counted: usize,
}

/// What a policy can ask its host to do. Each is carried out before the call that asked for it returns, or queued by the host.
pub trait Actions {
    /// Sends an invocation to an invoker. `timeout` 0: until the client gives up.
    fn dispatch(&mut self, invocation: InvocationId, invoker: InvokerId, timeout: Ticks);
    /// Like [`Actions::dispatch`], but nothing of it may begin to be sent from `send_by` on. A host that sends at once, or
    /// not at all, need not override it.
    fn dispatch_by(
        &mut self,
        invocation: InvocationId,
        invoker: InvokerId,
        timeout: Ticks,
        _send_by: Ticks,
    ) {
        self.dispatch(invocation, invoker, timeout);
    }
    /// Final answer: it never ran, or may safely run again; the client may retry after `retry_after` (0: no advice).
    fn throttle(&mut self, invocation: InvocationId, retry_after: Ticks);
    /// Final answer that promises nothing.
    fn error(&mut self, invocation: InvocationId);
    /// Cancels an attempt; its end is reported like any other.
    fn cancel(&mut self, invocation: InvocationId, attempt: u8);
    /// Orders an invoker to hold at least `count` instances of a function.
    fn load(&mut self, invoker: InvokerId, function: FunctionId, count: u8);
    /// Like [`Actions::load`], but nothing of it may begin to be sent from `send_by` on. A host that sends at once, or not at
    /// all, need not override it.
    fn load_by(&mut self, invoker: InvokerId, function: FunctionId, count: u8, _send_by: Ticks) {
        self.load(invoker, function, count);
    }
    /// Orders an invoker to unload idle instances of a function.
    fn unload(&mut self, invoker: InvokerId, function: FunctionId);
    /// Asks an invoker whether it takes new work. The answer is reported by
    /// [`probe_ended`](crate::DispatchPolicy::probe_ended).
    fn probe(&mut self, invoker: InvokerId);
    /// Asks for one [`timer_fired`](crate::DispatchPolicy::timer_fired) with `token` at `at`.
    fn set_timer(&mut self, at: Ticks, token: u64);
    /// Writes a line to the host's log.
    fn log(&mut self, text: &str);
}
