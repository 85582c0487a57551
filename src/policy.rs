//! The dispatch policy: all decisions of one controller.
//!
//! # How to call it
//!
//! Create a [`DispatchPolicy`] at start, then call one method for each event: [`invokers_changed`], [`invocation_arrived`],
//! [`invocation_abandoned`], [`attempt_ended`], [`load_ended`], [`timer_fired`]; where the endpoint list can go out of date, also
//! [`endpoint_list_refreshed`] and [`probe_ended`]. Each takes the time, and most an [`Actions`] through which the policy acts before
//! it returns. The same calls give the same actions.
//!
//! # Where to read
//!
//! The ordinary path is `pool_sizing` (how many invokers a function's pool has, each second), `ranking` (which ones),
//! `placement` (the one with the earliest expected finish) and `loads` (orders that keep the pool loaded). `retries` and
//! `admission` decide what becomes of an invocation that has no answer yet, `health` and `slow_start` which invokers may get
//! work, `readiness` which may get any while the endpoint list is out of reach. `load_budget` and `load_breaker` limit load orders; `outcomes` learns from the ends of attempts, with the estimates of
//! `estimates`.
//! `docs/design.md` gives the reasons.
//!
//! [`invokers_changed`]: DispatchPolicy::invokers_changed
//! [`invocation_arrived`]: DispatchPolicy::invocation_arrived
//! [`invocation_abandoned`]: DispatchPolicy::invocation_abandoned
//! [`attempt_ended`]: DispatchPolicy::attempt_ended
//! [`load_ended`]: DispatchPolicy::load_ended
//! [`timer_fired`]: DispatchPolicy::timer_fired
//! [`endpoint_list_refreshed`]: DispatchPolicy::endpoint_list_refreshed
//! [`probe_ended`]: DispatchPolicy::probe_ended

mod admission;
mod attempts;
mod estimates;
mod functions;
mod health;
mod invocations;
mod invokers;
mod load_breaker;
mod load_budget;
mod loads;
mod observe;
mod outcomes;
mod placement;
mod pool_sizing;
mod ranking;
mod readiness;
mod retries;
mod slow_start;
mod timers;

use crate::interface::{
    Actions, Deployment, FunctionId, InvocationId, InvokerId, MILLISECOND, Ticks, TriggerType,
};
use estimates::QuantileMean;
use functions::FunctionState;
use health::FleetHealth;
use invocations::InvocationState;
use invokers::InvokerState;
use loads::Loads;
use pool_sizing::PoolSizing;
use ranking::ReadyInvokers;
use readiness::EndpointListAge;
use slow_start::CompletedWork;
use std::collections::BTreeMap;
use timers::Timers;

/// Time constants, in seconds, over which call rates are smoothed. The middle one also smooths the rate of completed work.
const RATE_TIME_CONSTANTS_S: [f64; 3] = [2.0, 8.0, 30.0];
/// Run time that is assumed before the first answer, in ticks.
const INITIAL_RUN_TIME: f64 = 150.0 * MILLISECOND as f64;

/// What is continued when an attempt, a load or a timer ends.
type Continuation = Box<dyn FnOnce(&mut DispatchPolicy, &mut dyn Actions)>;

/// What is configured for a class of invocations, and what was learned of it.
struct TriggerStats {
    settings: TriggerType,
    run_time: QuantileMean,
    /// Run time over the client's prediction.
    run_time_per_hint: QuantileMean,
}

impl TriggerStats {
    fn new(settings: &TriggerType) -> Self {
        Self {
            settings: settings.clone(),
            run_time: QuantileMean::new(INITIAL_RUN_TIME),
            run_time_per_hint: QuantileMean::new(1.0),
        }
    }
}

/// The state and the decisions of one controller.
pub struct DispatchPolicy {
    now: Ticks,
    /// When the controller last continued after its process had been stopped.
    resumed_at: Ticks,
    started_at: Ticks,
    deployment: Deployment,
    rng: fastrand::Rng,
    seed: u64,
    triggers: Vec<TriggerStats>,
    invokers: BTreeMap<InvokerId, InvokerState>,
    list_age: EndpointListAge,
    ready: ReadyInvokers,
    functions: BTreeMap<FunctionId, FunctionState>,
    invocations: BTreeMap<InvocationId, InvocationState>,
    timers: Timers,
    fleet: FleetHealth,
    loads: Loads,
    pools: PoolSizing,
    completed_work: CompletedWork,
}

impl DispatchPolicy {
    /// Starts a controller that knows its configuration and nothing else. `seed` is for random choices.
    pub fn new(now: Ticks, deployment: Deployment, seed: u64, actions: &mut dyn Actions) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let pools = PoolSizing::new(rng.f64());
        let mut policy = Self {
            now,
            resumed_at: 0,
            started_at: now,
            rng,
            seed,
            triggers: deployment
                .trigger_types
                .iter()
                .map(TriggerStats::new)
                .collect(),
            deployment,
            invokers: BTreeMap::new(),
            list_age: EndpointListAge::default(),
            ready: ReadyInvokers::new(),
            functions: BTreeMap::new(),
            invocations: BTreeMap::new(),
            timers: Timers::default(),
            fleet: FleetHealth::new(now),
            loads: Loads::default(),
            pools,
            completed_work: CompletedWork::default(),
        };
        policy.size_pools(actions);
        policy.check_health(actions);
        policy
    }
}
