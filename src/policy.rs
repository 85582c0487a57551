//! The dispatch policy, which makes all decisions of one controller.
//!
//! # How to call it
//!
//! Create a [`DispatchPolicy`] at startup, then call one method for each event: [`invokers_changed`],
//! [`invocation_arrived`], [`invocation_abandoned`], [`attempt_ended`], [`load_ended`] and [`timer_fired`]. If the
//! endpoint list can become outdated, also call [`endpoint_list_refreshed`], [`connection_lost`] and [`probe_ended`].
//! Each method takes the current time, and most take an [`Actions`] through which the policy requests actions before
//! the method returns. The same calls produce the same actions.
//!
//! # Module overview
//!
//! On the usual path, `pool_sizing` decides each second how many invokers the pool of a function has, `ranking` which
//! invokers these are, `placement` selects the invoker with the earliest expected finish, and `pool_filling` orders the
//! loads that keep the pool loaded. `retries` and `admission` decide whether an invocation without a response is retried
//! or rejected. `health` and `slow_start` decide which invokers may receive work, and `readiness` which may while the
//! endpoint list is unreachable. `loads` issues load orders, `load_budget` and `load_breaker` limit them, and `unloads`
//! makes room for them. `outcomes` updates the estimates of `estimates` from the results of attempts. `waits` ends with
//! an invocation all that it waits for, `expiry` removes what is no longer needed, and `unproven_functions` bounds the
//! state of functions that may not exist. `sizing_rounds` passes through all functions in turns, and `scans` counts what
//! is examined.
//! `docs/design.md` gives the reasons.
//!
//! [`invokers_changed`]: DispatchPolicy::invokers_changed
//! [`invocation_arrived`]: DispatchPolicy::invocation_arrived
//! [`invocation_abandoned`]: DispatchPolicy::invocation_abandoned
//! [`attempt_ended`]: DispatchPolicy::attempt_ended
//! [`load_ended`]: DispatchPolicy::load_ended
//! [`timer_fired`]: DispatchPolicy::timer_fired
//! [`endpoint_list_refreshed`]: DispatchPolicy::endpoint_list_refreshed
//! [`connection_lost`]: DispatchPolicy::connection_lost
//! [`probe_ended`]: DispatchPolicy::probe_ended

mod admission;
mod attempts;
mod estimates;
mod expiry;
mod functions;
mod health;
mod instances;
mod invocations;
mod invokers;
mod load_breaker;
mod load_budget;
mod loads;
mod observe;
mod outcomes;
mod placement;
mod pool_filling;
mod pool_sizing;
mod processes;
mod ranking;
mod readiness;
mod retries;
mod scans;
mod sizing_rounds;
mod slow_start;
mod timers;
mod unloads;
mod unproven_functions;
mod waits;

use crate::interface::{
    Actions, Deployment, FunctionId, InvocationId, InvokerId, MILLISECOND, Ticks, TriggerType,
};
use estimates::QuantileMean;
use functions::FunctionState;
use health::FleetHealth;
use invocations::InvocationState;
use invokers::InvokerState;
use loads::Loads;
use observe::FunctionSums;
use pool_filling::PoolFilling;
use ranking::ReadyInvokers;
use readiness::EndpointListFreshness;
use scans::ScanCounter;
use sizing_rounds::SizingRound;
use slow_start::CompletedWork;
use std::collections::BTreeMap;
use timers::Timers;
use unproven_functions::UnprovenFunctions;

/// Time constants, in seconds, for the smoothing of call rates. The middle one also smooths the rate of completed work.
const RATE_TIME_CONSTANTS_S: [f64; 3] = [2.0, 8.0, 30.0];
/// Run time assumed before the first response, in ticks.
const INITIAL_RUN_TIME: f64 = 150.0 * MILLISECOND as f64;

/// A step that runs when an attempt, a load order or a probe ends, or when a timer fires.
type Continuation = Box<dyn FnOnce(&mut DispatchPolicy, &mut dyn Actions)>;

/// The configuration of a trigger type, and the run times learned for it.
struct TriggerStats {
    settings: TriggerType,
    run_time: QuantileMean,
    /// Ratio of the actual run time to the client's prediction.
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
    /// When the controller last resumed after a stall of its process.
    resumed_at: Ticks,
    started_at: Ticks,
    deployment: Deployment,
    rng: fastrand::Rng,
    seed: u64,
    triggers: Vec<TriggerStats>,
    invokers: BTreeMap<InvokerId, InvokerState>,
    list_freshness: EndpointListFreshness,
    ready: ReadyInvokers,
    functions: BTreeMap<FunctionId, FunctionState>,
    unproven: UnprovenFunctions,
    invocations: BTreeMap<InvocationId, InvocationState>,
    timers: Timers,
    fleet: FleetHealth,
    loads: Loads,
    pools: PoolFilling,
    /// The round of expiry and pool sizing in progress.
    sizing_round: Option<SizingRound>,
    /// Sums over all functions, as of the last round.
    function_sums: FunctionSums,
    completed_work: CompletedWork,
    scans: ScanCounter,
}

impl DispatchPolicy {
    /// Creates the policy of a controller that knows only its configuration. `seed` determines its random choices.
    pub fn new(now: Ticks, deployment: Deployment, seed: u64, actions: &mut dyn Actions) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let pools = PoolFilling::new(rng.f64());
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
            unproven: UnprovenFunctions::new(&deployment),
            deployment,
            invokers: BTreeMap::new(),
            list_freshness: EndpointListFreshness::default(),
            ready: ReadyInvokers::new(),
            functions: BTreeMap::new(),
            invocations: BTreeMap::new(),
            timers: Timers::default(),
            fleet: FleetHealth::new(now),
            loads: Loads::default(),
            pools,
            sizing_round: None,
            function_sums: FunctionSums::default(),
            completed_work: CompletedWork::default(),
            scans: ScanCounter::default(),
        };
        policy.size_pools(actions);
        policy.check_health(actions);
        policy
    }
}
