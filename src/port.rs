//! What a controller is told and how it acts, free of any wire.
//!
//! Times are whole tenths of a millisecond on the host's clock; ids are the host's own and carry no meaning.

pub type Tenths = u64;
pub type InvId = u32;
pub type InvokerId = u32;
pub type FnId = u64;

pub const MILLI: Tenths = 10;
pub const SECOND: Tenths = 1_000 * MILLI;

/// What a repeat of an invocation does to the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    /// Carries a mark by which invokers of one scope drop a repeat for a while.
    Tokened,
    NonIdempotent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug)]
pub struct TriggerType {
    pub objective: Tenths,
    pub client_timeout: Tenths,
    pub effect: Effect,
    pub scope: Scope,
    pub repeat_window: Tenths,
    pub billed_value: f64,
    pub late_share: f64,
}

#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    /// Invocations a second, over all controllers, that count as within its share.
    pub quota: f64,
}

/// The deployment a controller is started in, as far as it is stated.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    pub controllers: u32,
    pub zone: u8,
    pub trigger_types: Vec<TriggerType>,
    pub tenants: Vec<Tenant>,
    pub over_share_value: f64,
    /// Memory of an invoker by machine kind, in MB.
    pub kind_memory: Vec<f64>,
    pub dispatch_limit: u8,
    pub parallel_dispatches: bool,
    pub may_cancel: bool,
    pub may_probe: bool,
    pub may_order: bool,
    /// True where an invoker without the function answers `Miss` instead of loading it.
    pub misses: bool,
    pub keep_alive: Tenths,
    pub come_back_max: Option<Tenths>,
    pub tick: Tenths,
    pub order_window: Tenths,
    pub orders_free: f64,
    pub orders_share: f64,
    pub drain_grace: Tenths,
    pub cold_share: f64,
    pub cold_time: Tenths,
    pub tip_factor: f64,
    pub tip_window: Tenths,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Life {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// One line of the list of invokers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Listed {
    pub invoker: InvokerId,
    pub zone: u8,
    pub kind: u16,
    pub cell: u16,
    pub life: Life,
    pub size: f64,
    /// None: long past.
    pub started: Option<Tenths>,
}

#[derive(Clone, Debug)]
pub struct Invocation {
    pub id: InvId,
    pub trigger: usize,
    pub tenant: usize,
    pub function: FnId,
    /// The earliest time at which it can have come. It may be read late: whatever counts invocations by the time at which
    /// they came goes by this.
    pub came: Tenths,
    /// When the client gives up on this try.
    pub expires: Tenths,
    pub work_hint: Option<Tenths>,
    /// Of one instance, in MB.
    pub memory: f64,
    /// Invocations that one instance runs at a time.
    pub lanes: f64,
    pub load_hint: Option<Tenths>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Succeeded,
    Errored,
    Full,
    TimedOut,
    NoConnection,
    Reset,
    Cancelled,
    NotSent,
    Miss,
}

impl Outcome {
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Self::Full | Self::NoConnection | Self::NotSent | Self::Miss
        )
    }
}

/// How the invocation found its function at the invoker, where answers tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    Warm,
    BeganLoad,
    JoinedLoad,
    LoadFailed,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Share of the invoker's cores that is busy.
    pub util: Option<f64>,
    /// Invocations waiting at the invoker.
    pub queue: Option<f64>,
}

/// How one dispatch ended.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    pub inv: InvId,
    pub invoker: InvokerId,
    pub hop: u8,
    /// The invocation is finished: nothing more is owed.
    pub finished: bool,
    pub outcome: Outcome,
    pub found: Option<Found>,
    /// Invocations of the same function that the invoker held on arrival.
    pub crowd: Option<u8>,
    pub took: Tenths,
    pub report: Report,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldOutcome {
    Standing,
    NoRoom,
    LoadFailed,
    Unreachable,
    TimedOut,
    /// It never left, and that tells nothing of the invoker.
    NotSent,
}

/// How one hold order ended.
#[derive(Clone, Copy, Debug)]
pub struct HoldAnswer {
    pub invoker: InvokerId,
    pub function: FnId,
    pub outcome: HoldOutcome,
    pub standing: u8,
    pub took: Tenths,
    /// When it had left whole, where that is seen; else it is taken to have left when it was given.
    pub left: Option<Tenths>,
}

/// What a controller believes of an invoker, for logs and for those who compare it with what the sockets saw.
#[derive(Clone, Copy, Debug)]
pub struct Belief {
    pub invoker: InvokerId,
    /// Dispatches that are out there.
    pub out: u32,
    /// Time taken over time expected.
    pub slow: f64,
    /// Share of recent dispatches that ended ill.
    pub errors: f64,
    /// Nothing is sent there for now.
    pub shut: bool,
}

/// What a controller holds and has done, by count: for those who bound its work without a clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counted {
    pub invokers: usize,
    pub functions: usize,
    /// Places of copies that are believed or remembered, over all functions.
    pub places: usize,
    /// Invokers held in rank order, over all functions.
    pub ranked: usize,
    /// Steps taken to rank them: invokers that were looked at, since the start.
    pub rank_steps: u64,
    /// Orders to load that count against the window's budget now.
    pub orders_counted: usize,
    /// Invocations that widen that budget now.
    pub invocations_counted: usize,
}

/// All that a controller can do.
pub trait Acts {
    /// `time_out` 0: until the client gives up.
    fn dispatch(&mut self, inv: InvId, invoker: InvokerId, time_out: Tenths);
    /// As `dispatch`, where nothing of it may begin to leave from `leave_by` on: a repeat that leaves at once, or not at all,
    /// need not heed it.
    fn dispatch_by(&mut self, inv: InvId, invoker: InvokerId, time_out: Tenths, _leave_by: Tenths) {
        self.dispatch(inv, invoker, time_out);
    }
    /// Final answer: it never ran, or may run again; come back after `come_back` (0: no advice).
    fn throttle(&mut self, inv: InvId, come_back: Tenths);
    /// Final answer that promises nothing.
    fn error(&mut self, inv: InvId);
    fn cancel(&mut self, inv: InvId, hop: u8);
    fn hold(&mut self, invoker: InvokerId, function: FnId, count: u8);
    fn unload(&mut self, invoker: InvokerId, function: FnId);
    fn probe(&mut self, invoker: InvokerId);
    fn wake(&mut self, at: Tenths, token: u64);
    fn note(&mut self, text: &str);
}
