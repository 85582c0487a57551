//! A model of invokers, in the same process: who holds which copies, how long a run takes.

use saltdrum::interface::*;
use std::collections::BTreeMap;

/// How the load is spread and the fleet is made.
#[derive(Clone, Debug)]
pub struct Workload {
    pub invokers: u32,
    pub functions: u64,
    /// Invocations a second at this controller.
    pub rate: f64,
    /// The n-th function is called as often as 1 / n^skew. 1.5: half of 94,000 are called less than once a minute over a
    /// whole fleet with 460,000 invocations a second; 1: many more are seen by each controller.
    pub skew: f64,
    pub seed: u64,
}

const RUN: Ticks = 150 * MILLISECOND;
const LOADS: Ticks = 500 * MILLISECOND;
/// An instance that nobody calls stands so long.
const KEEP_ALIVE: Ticks = 9 * SECOND;
/// Of what this controller did not load itself, others hold so much where it looks first.
const OTHERS_HOLD: f64 = 0.9;
/// Controllers and invokers of the target: a smaller fleet has as many controllers less.
const TARGET: (u32, u32) = (2_900, 10_000);
pub const ZONES: u8 = 5;

/// The settings of the platform's first site, with the fleet's number of controllers.
pub fn deployment(invokers: u32) -> Deployment {
    Deployment {
        controllers: (invokers * TARGET.0 / TARGET.1).max(1),
        zone: 0,
        trigger_types: vec![TriggerType {
            latency_objective: SECOND,
            client_timeout: 3 * SECOND,
            effect: Effect::Idempotent,
            key_scope: KeyScope::All,
            idempotency_window: 2 * SECOND,
            billed_value: 1.0,
            late_value_share: 0.2,
        }],
        tenants: vec![],
        over_quota_value_share: 0.1,
        machine_memory_mb: vec![42_000.0],
        attempt_limit: 3,
        may_attempt_in_parallel: false,
        may_cancel: true,
        may_probe: true,
        may_load: true,
        reports_misses: true,
        keep_alive: KEEP_ALIVE,
        max_retry_after: Some(SECOND),
        max_event_interval: MILLISECOND,
        load_window: 5 * SECOND,
        free_loads: 3.0,
        loads_per_invocation: 0.1,
        list_lifetime: None,
        drain_grace: 250 * MILLISECOND,
        initial_capacity_share: 0.3,
        warm_up_time: 8 * SECOND,
        overload_factor: 2.0,
        overload_window: 3 * SECOND,
    }
}

pub fn line(invoker: InvokerId, life: InvokerStatus, started: Option<Ticks>) -> InvokerRecord {
    let zone = (invoker % u32::from(ZONES)) as u8;
    InvokerRecord {
        invoker,
        zone,
        machine_kind: 0,
        cell: u16::from(zone),
        status: life,
        capacity: 4.0,
        started_at: started,
    }
}

/// Draws functions by how often they are called.
pub struct Popularity {
    /// Shares up to each function.
    up_to: Vec<f64>,
}

impl Popularity {
    pub fn new(functions: u64, skew: f64) -> Self {
        let mut sum = 0.0;
        let mut up_to: Vec<f64> = (1..=functions)
            .map(|n| {
                sum += (n as f64).powf(-skew);
                sum
            })
            .collect();
        up_to.iter_mut().for_each(|s| *s /= sum);
        Self { up_to }
    }

    pub fn draw(&self, rng: &mut fastrand::Rng) -> FunctionId {
        let at = rng.f64();
        self.up_to.partition_point(|s| *s < at) as FunctionId
    }
}

/// Copies that this controller had loaded, and a draw for those of others.
pub struct World {
    rng: fastrand::Rng,
    copies: BTreeMap<(InvokerId, FunctionId), Ticks>,
    pub misses: u64,
    pub dispatches: u64,
    pub orders: u64,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let rng = fastrand::Rng::with_seed(seed ^ 0x0707);
        Self {
            rng,
            copies: BTreeMap::new(),
            misses: 0,
            dispatches: 0,
            orders: 0,
        }
    }

    /// How a dispatch ends, and after how long.
    pub fn dispatched(&mut self, now: Ticks, w: InvokerId, f: FunctionId) -> (Outcome, Ticks) {
        self.dispatches += 1;
        let ours = self.copies.get(&(w, f)).is_some_and(|until| now < *until);
        if !ours && self.rng.f64() >= OTHERS_HOLD {
            self.misses += 1;
            return (Outcome::Miss, MILLISECOND);
        }
        self.copies.insert((w, f), now + KEEP_ALIVE);
        let takes = (RUN as f64 * (0.5 + self.rng.f64())) as Ticks;
        (Outcome::Succeeded, takes)
    }

    /// How long an order takes; the copy stands then.
    pub fn ordered(&mut self, now: Ticks, w: InvokerId, f: FunctionId) -> Ticks {
        self.orders += 1;
        let stands = self.copies.get(&(w, f)).is_some_and(|until| now < *until);
        let takes = if stands { MILLISECOND } else { LOADS };
        self.copies.insert((w, f), now + takes + KEEP_ALIVE);
        takes
    }

    /// Forgets copies that nobody called: the model is not to grow.
    pub fn sweep(&mut self, now: Ticks) {
        self.copies.retain(|_, until| now < *until);
    }
}
