//! Slow start (rule 4): an invoker that is warming up collapses when all controllers together send it too much. Each
//! controller keeps to the share of it that corresponds to its share of the fleet's work.

use super::DispatchPolicy;
use super::RATE_TIME_CONSTANTS_S;
use super::estimates::{TimedValue, decay};
use super::invokers::InvokerState;
use super::ranking::HASH_MULTIPLIER;
use crate::interface::{SECOND, Ticks};

/// This controller's share of what a warming invoker may get is kept under the limit by this factor.
const SAFETY_FACTOR: f64 = 0.6;
/// Time constant, in seconds, over which completed work is smoothed and the capacity that did it decays.
const WORK_TIME_CONSTANT_S: f64 = RATE_TIME_CONSTANTS_S[1];
/// Least capacity that shares are computed of.
const MIN_CAPACITY: f64 = 0.01;

/// Work that was sent to an invoker.
pub(super) struct SentWork {
    pub at: Ticks,
    /// Mean run time of its class, in ticks.
    pub work: f64,
}

/// The work that this controller gets done. Only completed work counts: work sent in vain must not widen its share.
#[derive(Default)]
pub(super) struct CompletedWork {
    /// Completed work a tick, in ticks of run time.
    rate: TimedValue,
    /// Capacity of the fleet on which it was done. It decays like the rate when most of the fleet is lost.
    fleet_capacity: f64,
}

impl CompletedWork {
    /// The ready invokers have this capacity.
    pub(super) fn fleet_grew(&mut self, ready_capacity: f64) {
        self.fleet_capacity = self.fleet_capacity.max(ready_capacity);
    }

    /// The same, after `elapsed` in which the remembered capacity decays.
    pub(super) fn decay_fleet(&mut self, ready_capacity: f64, elapsed: Ticks) {
        self.fleet_capacity =
            ready_capacity.max(self.fleet_capacity * decay(elapsed, WORK_TIME_CONSTANT_S));
    }

    /// Work of `run_time` ticks was completed.
    pub(super) fn completed(&mut self, now: Ticks, run_time: f64) {
        let decayed = self.rate.decayed(now, WORK_TIME_CONSTANT_S);
        let value = decayed + run_time / (WORK_TIME_CONSTANT_S * SECOND as f64);
        self.rate = TimedValue { value, at: now };
    }
}

impl DispatchPolicy {
    /// Share of its full capacity that an invoker has at least, by the slowest configured warm-up.
    pub(super) fn warm_up_share(&self, invoker: &InvokerState) -> f64 {
        let seen = invoker.first_seen.max(self.possible_start(invoker));
        let Some(started_at) = invoker.record.started_at.max(seen) else {
            return 1.0;
        };
        let age =
            self.now.saturating_sub(started_at) as f64 / self.deployment.warm_up_time.max(1) as f64;
        let initial = self.deployment.initial_capacity_share;
        (initial + (1.0 - initial) * age).min(1.0)
    }

    /// Work, in ticks of run time, that this controller may send to an invoker now. Where its share of a window is less than
    /// one invocation of `run_time`, a draw for each window allows one as often as the share says.
    pub(super) fn slow_start_allowance(&self, invoker: &InvokerState, run_time: f64) -> f64 {
        let warm_up_share = self.warm_up_share(invoker);
        if warm_up_share >= 1.0 {
            return f64::INFINITY;
        }
        let window = self.deployment.overload_window;
        let completed = &self.completed_work;
        let our_share = completed.rate.value * invoker.record.capacity
            / completed.fleet_capacity.max(MIN_CAPACITY);
        let limit = SAFETY_FACTOR
            * self.deployment.overload_factor
            * warm_up_share
            * our_share
            * window as f64;
        let drawn = self.draw_for_window(invoker, window);
        let recent = invoker
            .sent_work
            .iter()
            .filter(|sent| sent.at + window > self.now);
        let sent: f64 = recent.map(|sent| sent.work).sum();
        limit + drawn * run_time - sent
    }

    /// A draw between 0 and 1 that stays the same within one window.
    fn draw_for_window(&self, invoker: &InvokerState, window: Ticks) -> f64 {
        let invoker_bits = u64::from(invoker.record.invoker).wrapping_mul(HASH_MULTIPLIER);
        fastrand::Rng::with_seed(self.seed ^ invoker_bits ^ (self.now / window.max(1))).f64()
    }
}
