//! What is known of a function: how often it is called, how long it runs and loads, and where its instances are.

use super::estimates::{QuantileMean, TimedValue, decay};
use super::ranking::Ranking;
use super::{Continuation, DispatchPolicy, RATE_TIME_CONSTANTS_S, TriggerStats};
use crate::interface::{Invocation, InvokerId, SECOND, Ticks};
use std::collections::BTreeMap;

/// Load time that is assumed where none was reported or seen, in ticks.
const INITIAL_LOAD_TIME: f64 = SECOND as f64;
/// A controller that has just started counts calls as if it had watched for so many seconds more.
const RATE_PRIOR_S: f64 = 10.0;
/// Remaining load time is taken to be at least this share of the load time.
const MIN_REMAINING_LOAD_SHARE: f64 = 0.1;
/// The time constant, in seconds, with which news of other controllers' use of an instance decays.
const CONCURRENCY_TIME_CONSTANT_S: f64 = 5.0;

/// A function's instances at one invoker, as far as this controller knows.
#[derive(Default)]
pub(super) struct Instance {
    /// Whether one was loaded when last heard of.
    pub is_loaded: bool,
    /// When it was last used by this controller.
    pub last_used: Ticks,
    /// Since when it is loading.
    pub loading_since: Option<Ticks>,
    /// Whether a load order is in flight.
    pub has_load_order: bool,
    /// What waits for that load order.
    pub waiting: Vec<Continuation>,
    /// Whether this controller ordered the load.
    pub is_ours: bool,
    /// Since when the invoker is outside the function's pool and the function was not called.
    pub unused_since: Option<Ticks>,
    /// No load is ordered here before.
    pub load_cooldown_until: Ticks,
    /// Until then a miss is remembered.
    pub missed_until: Ticks,
    /// Attempts in flight.
    pub in_flight: u32,
    /// Invocations of the function that an answer found here.
    pub reported_concurrency: TimedValue,
}

impl Instance {
    /// Whether an instance is believed to be loaded now.
    pub(super) fn is_warm(&self, now: Ticks, keep_alive: Ticks) -> bool {
        self.is_loaded && (self.in_flight > 0 || now < self.last_used + keep_alive)
    }

    /// Invocations believed to be running or waiting here: this controller's, or those of all as last reported.
    pub(super) fn concurrency(&self, now: Ticks) -> f64 {
        f64::from(self.in_flight).max(
            self.reported_concurrency
                .decayed(now, CONCURRENCY_TIME_CONSTANT_S),
        )
    }
}

/// A function, its demand and its instances.
#[derive(Default)]
pub(super) struct FunctionState {
    pub trigger: usize,
    /// Calls seen, decaying with each of [`RATE_TIME_CONSTANTS_S`]; right at `last_called`.
    calls: [f64; 3],
    pub last_called: Ticks,
    pub run_time: QuantileMean,
    pub concurrency_limit: f64,
    pub memory_mb: f64,
    /// Load time that the last invocation brought, in ticks.
    load_time_hint: Option<f64>,
    /// Longest load time seen, in ticks; 0: none.
    pub longest_load_time: f64,
    /// Whether an invoker has run it: what strangers ask for may be no function at all.
    pub has_succeeded: bool,
    /// Invokers wanted in the pool.
    pub pool_size: usize,
    /// Since when a smaller pool would do.
    pub surplus_since: Option<Ticks>,
    pub ranking: Ranking,
    pub instances: BTreeMap<InvokerId, Instance>,
}

impl FunctionState {
    /// Expected load time, in ticks.
    pub(super) fn load_time(&self) -> f64 {
        let seen = if self.longest_load_time > 0.0 {
            self.longest_load_time
        } else {
            INITIAL_LOAD_TIME
        };
        self.load_time_hint.unwrap_or(seen)
    }

    /// Expected time until an instance is loaded at an invoker, in ticks, if a load begins now or has begun.
    pub(super) fn remaining_load_time(&self, instance: Option<&Instance>, now: Ticks) -> f64 {
        let load_time = self.load_time();
        match instance.and_then(|instance| instance.loading_since) {
            Some(since) => {
                (load_time - (now - since) as f64).max(MIN_REMAINING_LOAD_SHARE * load_time)
            }
            None => load_time,
        }
    }

    /// Expected run time of this invocation alone on an invoker, in ticks.
    pub(super) fn expected_run_time(&self, request: &Invocation, trigger: &TriggerStats) -> f64 {
        match request.work_hint {
            Some(hint) => hint as f64 * trigger.run_time_per_hint.mean(),
            None => self.run_time.mean(),
        }
    }

    /// Whether an instance is believed to be loaded at this invoker.
    pub(super) fn is_warm_at(&self, invoker: InvokerId, now: Ticks, keep_alive: Ticks) -> bool {
        self.instances
            .get(&invoker)
            .is_some_and(|instance| instance.is_warm(now, keep_alive))
    }

    /// Calls a second: over the longest time constant, or over a shorter one as far as chance cannot explain it.
    pub(super) fn call_rate(&self, now: Ticks, started_at: Ticks) -> f64 {
        let calls =
            |i: usize| self.calls[i] * decay(now - self.last_called, RATE_TIME_CONSTANTS_S[i]);
        let lower_bound = |i: usize| (calls(i) - calls(i).sqrt()) / RATE_TIME_CONSTANTS_S[i];
        let longest = RATE_TIME_CONSTANTS_S[2];
        let watched_s = longest * (1.0 - decay(now - started_at, longest));
        lower_bound(0)
            .max(lower_bound(1))
            .max(calls(2) / (watched_s + RATE_PRIOR_S))
    }

    fn count_call(&mut self, request: &Invocation, now: Ticks) {
        for (calls, time_constant_s) in self.calls.iter_mut().zip(RATE_TIME_CONSTANTS_S) {
            *calls = *calls * decay(now - self.last_called, time_constant_s) + 1.0;
        }
        self.last_called = now;
        self.concurrency_limit = request.concurrency_limit;
        self.memory_mb = request.memory_mb;
        self.load_time_hint = request.load_time_hint.map(|ticks| ticks as f64);
        for instance in self.instances.values_mut() {
            instance.unused_since = instance.unused_since.map(|_| now);
        }
    }
}

impl DispatchPolicy {
    /// Counts a call of a function.
    pub(super) fn record_call(&mut self, request: &Invocation) {
        let now = self.now;
        let run_time = &self.triggers[request.trigger].run_time;
        let function = self
            .functions
            .entry(request.function)
            .or_insert_with(|| FunctionState {
                trigger: request.trigger,
                last_called: now,
                pool_size: 1,
                run_time: run_time.clone(),
                ..FunctionState::default()
            });
        function.count_call(request, now);
        // Rule 5 counts what clients may ask for: calls of what is no function must not widen the budget.
        if function.has_succeeded {
            self.loads
                .budget
                .invocation_arrived(request.earliest_arrival);
        }
    }
}
