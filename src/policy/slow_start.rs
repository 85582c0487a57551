//! Slow start (rule 4): an invoker that is warming up becomes overloaded if all controllers together send it too much
//! work. Each controller limits itself to the share of the invoker's capacity that corresponds to its share of the
//! fleet's work.

use super::DispatchPolicy;
use super::RATE_TIME_CONSTANTS_S;
use super::estimates::{TimedValue, decay};
use super::invokers::InvokerState;
use super::ranking::HASH_MULTIPLIER;
use crate::interface::{SECOND, Ticks};
use std::collections::VecDeque;

/// Safety margin by which this controller's share stays below the limit of an invoker that is warming up.
const SAFETY_FACTOR: f64 = 0.6;
/// Time constant, in seconds, for the smoothing of completed work and for the decay of the capacity that completed it.
const WORK_TIME_CONSTANT_S: f64 = RATE_TIME_CONSTANTS_S[1];
/// Lower bound of the fleet capacity from which shares are computed.
const MIN_CAPACITY: f64 = 0.01;

/// Number of parts of the overload window for each of which the work sent to an invoker is summed.
const WINDOW_PARTS: Ticks = 64;

/// The work sent to an invoker within the overload window. It is summed by parts of the window, so that its size does
/// not depend on the number of attempts.
#[derive(Default)]
pub(super) struct SentWork {
    /// Sums of the parts in which work was sent, ascending.
    parts: VecDeque<WorkSum>,
}

/// Work that was sent in one part of the window.
struct WorkSum {
    /// When the last of it was sent. All of it counts as sent then, so that the sum is never too low (rule 4).
    last_sent_at: Ticks,
    /// Sum of the mean run times of the trigger types, in ticks.
    work: f64,
}

impl SentWork {
    /// Records work that is sent now.
    pub(super) fn record(&mut self, now: Ticks, work: f64, window: Ticks) {
        let part_length = (window / WINDOW_PARTS).max(1);
        match self.parts.back_mut() {
            Some(last) if last.last_sent_at / part_length == now / part_length => {
                last.last_sent_at = now;
                last.work += work;
            }
            _ => self.parts.push_back(WorkSum {
                last_sent_at: now,
                work,
            }),
        }
        while self
            .parts
            .pop_front_if(|part| part.last_sent_at + window <= now)
            .is_some()
        {}
    }

    /// When the last work was sent, if it may be in the window.
    pub(super) fn last_sent_at(&self) -> Option<Ticks> {
        self.parts.back().map(|part| part.last_sent_at)
    }

    /// The work within the window that ends now, in ticks of run time.
    fn within(&self, now: Ticks, window: Ticks) -> f64 {
        let recent = self
            .parts
            .iter()
            .filter(|part| part.last_sent_at + window > now);
        recent.map(|part| part.work).sum()
    }

    /// Number of sums.
    pub(super) fn len(&self) -> usize {
        self.parts.len()
    }
}

/// The rate of work completed for this controller. Only completed work counts: failed attempts must not increase its
/// share.
#[derive(Default)]
pub(super) struct CompletedWork {
    /// Completed work per tick, in ticks of run time.
    rate: TimedValue,
    /// Capacity of the fleet that completed the work. After a loss of invokers it decays like the rate.
    fleet_capacity: f64,
}

impl CompletedWork {
    /// Raises the fleet capacity to that of the ready invokers.
    pub(super) fn raise_fleet_capacity(&mut self, ready_capacity: f64) {
        self.fleet_capacity = self.fleet_capacity.max(ready_capacity);
    }

    /// Decays the fleet capacity over `elapsed`, but not below that of the ready invokers.
    pub(super) fn decay_fleet_capacity(&mut self, ready_capacity: f64, elapsed: Ticks) {
        self.fleet_capacity =
            ready_capacity.max(self.fleet_capacity * decay(elapsed, WORK_TIME_CONSTANT_S));
    }

    /// Records completed work of `run_time` ticks.
    pub(super) fn record_completed(&mut self, now: Ticks, run_time: f64) {
        let decayed = self.rate.decayed(now, WORK_TIME_CONSTANT_S);
        let value = decayed + run_time / (WORK_TIME_CONSTANT_S * SECOND as f64);
        self.rate = TimedValue { value, at: now };
    }
}

impl DispatchPolicy {
    /// Lower bound of the share of its full capacity that an invoker has, for the slowest configured warm-up.
    pub(super) fn warm_up_share(&self, invoker: &InvokerState) -> f64 {
        let inferred = invoker.inferred_start.max(self.possible_start(invoker));
        let Some(started_at) = invoker.record.started_at.max(inferred) else {
            return 1.0;
        };
        let age =
            self.now.saturating_sub(started_at) as f64 / self.deployment.warm_up_time.max(1) as f64;
        let initial = self.deployment.initial_capacity_share;
        (initial + (1.0 - initial) * age).min(1.0)
    }

    /// Work, in ticks of run time, that this controller may send to an invoker now. If its share of a window is less
    /// than one invocation of `run_time`, a random number per window allows one with a probability equal to the share.
    pub(super) fn slow_start_allowance(&self, invoker: &InvokerState, run_time: f64) -> f64 {
        let warm_up_share = self.warm_up_share(invoker);
        if warm_up_share >= 1.0 {
            return f64::INFINITY;
        }
        let window = self.deployment.overload_window;
        let completed = &self.completed_work;
        let own_share = completed.rate.value * invoker.record.capacity
            / completed.fleet_capacity.max(MIN_CAPACITY);
        let limit = SAFETY_FACTOR
            * self.deployment.overload_factor
            * warm_up_share
            * own_share
            * window as f64;
        let random_share = self.random_for_window(invoker, window);
        limit + random_share * run_time - invoker.sent_work.within(self.now, window)
    }

    /// A pseudo-random number between 0 and 1 that is constant within one window.
    fn random_for_window(&self, invoker: &InvokerState, window: Ticks) -> f64 {
        let invoker_bits = u64::from(invoker.record.invoker).wrapping_mul(HASH_MULTIPLIER);
        fastrand::Rng::with_seed(self.seed ^ invoker_bits ^ (self.now / window.max(1))).f64()
    }
}
