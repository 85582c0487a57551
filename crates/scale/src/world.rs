//! A model of invokers in the same process: which instances they have loaded, and how long invocations and loads take.

use saltdrum::interface::*;
use std::collections::BTreeMap;

/// The size of the fleet and the distribution of the load.
#[derive(Clone, Debug)]
pub struct Workload {
    pub invokers: u32,
    pub functions: u64,
    /// Invocations per second at this controller.
    pub rate: f64,
    /// The n-th function is called with a frequency proportional to 1 / n^skew. With 1.5, half of 94,000 functions are
    /// called less than once a minute in a whole fleet with 460,000 invocations per second; with 1, each controller
    /// sees many more functions.
    pub skew: f64,
    pub seed: u64,
}

const RUN_TIME: Ticks = 150 * MILLISECOND;
const LOAD_TIME: Ticks = 500 * MILLISECOND;
/// How long an idle instance stays loaded.
const KEEP_ALIVE: Ticks = 9 * SECOND;
/// Probability that the invoker chosen first has the function loaded by another controller.
const LOADED_BY_OTHERS_SHARE: f64 = 0.9;
/// Controllers and invokers of the target fleet. Smaller fleets have the same ratio.
const TARGET_FLEET: (u32, u32) = (2_900, 10_000);
/// Number of zones over which invokers are spread.
pub const ZONES: u8 = 5;

/// The settings of the platform's first site, with the number of controllers scaled to the fleet.
pub fn deployment(invokers: u32) -> Deployment {
    Deployment {
        controllers: (invokers * TARGET_FLEET.0 / TARGET_FLEET.1).max(1),
        zone: 0,
        memory_bytes: None,
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

/// The endpoint list's entry for an invoker.
pub fn invoker_record(
    invoker: InvokerId,
    status: InvokerStatus,
    started_at: Option<Ticks>,
) -> InvokerRecord {
    let zone = (invoker % u32::from(ZONES)) as u8;
    InvokerRecord {
        invoker,
        zone,
        machine_kind: 0,
        cell: u16::from(zone),
        status,
        capacity: 4.0,
        started_at,
    }
}

/// Draws functions by their call frequency.
pub struct Popularity {
    /// Cumulative shares up to each function.
    cumulative_shares: Vec<f64>,
}

impl Popularity {
    /// A distribution over `functions` functions with the weights 1 / n^`skew`.
    pub fn new(functions: u64, skew: f64) -> Self {
        let mut sum = 0.0;
        let mut cumulative_shares: Vec<f64> = (1..=functions)
            .map(|n| {
                sum += (n as f64).powf(-skew);
                sum
            })
            .collect();
        cumulative_shares.iter_mut().for_each(|s| *s /= sum);
        Self { cumulative_shares }
    }

    /// Draws a function.
    pub fn draw(&self, rng: &mut fastrand::Rng) -> FunctionId {
        let target = rng.f64();
        self.cumulative_shares.partition_point(|s| *s < target) as FunctionId
    }
}

/// The instances that this controller has loaded. Those of other controllers are drawn at random.
pub struct InvokerModel {
    rng: fastrand::Rng,
    /// Expiry times of loaded instances.
    instances: BTreeMap<(InvokerId, FunctionId), Ticks>,
    pub misses: u64,
    pub dispatches: u64,
    pub load_orders: u64,
}

impl InvokerModel {
    pub fn new(seed: u64) -> Self {
        let rng = fastrand::Rng::with_seed(seed ^ 0x0707);
        Self {
            rng,
            instances: BTreeMap::new(),
            misses: 0,
            dispatches: 0,
            load_orders: 0,
        }
    }

    /// The outcome of a dispatch and its duration.
    pub fn dispatch(
        &mut self,
        now: Ticks,
        invoker: InvokerId,
        function: FunctionId,
    ) -> (Outcome, Ticks) {
        self.dispatches += 1;
        let is_own = self
            .instances
            .get(&(invoker, function))
            .is_some_and(|expiry| now < *expiry);
        if !is_own && self.rng.f64() >= LOADED_BY_OTHERS_SHARE {
            self.misses += 1;
            return (Outcome::Miss, MILLISECOND);
        }
        self.instances.insert((invoker, function), now + KEEP_ALIVE);
        let duration = (RUN_TIME as f64 * (0.5 + self.rng.f64())) as Ticks;
        (Outcome::Succeeded, duration)
    }

    /// Starts a load and returns its duration.
    pub fn load(&mut self, now: Ticks, invoker: InvokerId, function: FunctionId) -> Ticks {
        self.load_orders += 1;
        let is_loaded = self
            .instances
            .get(&(invoker, function))
            .is_some_and(|expiry| now < *expiry);
        let duration = if is_loaded { MILLISECOND } else { LOAD_TIME };
        self.instances
            .insert((invoker, function), now + duration + KEEP_ALIVE);
        duration
    }

    /// Removes expired instances, so that the model's memory stays bounded.
    pub fn remove_expired(&mut self, now: Ticks) {
        self.instances.retain(|_, expiry| now < *expiry);
    }
}
