//! Health of the invokers and of the fleet: outliers are ejected temporarily, unresponsive invokers are detected, and
//! attempts whose response is presumed lost are retried at another invoker.

use super::admission::DEADLINE_MARGIN;
use super::estimates::{QuantileMean, TimedValue, decay, step_median};
use super::invokers::InvokerState;
use super::{DispatchPolicy, INITIAL_RUN_TIME, InvocationState};
use crate::interface::{Actions, InvocationId, InvokerId, MILLISECOND, SECOND, Ticks};
use std::collections::{BTreeMap, BTreeSet};
use std::f64::consts::LN_10;

/// Interval between checks for unresponsive invokers and lost responses.
pub(super) const HEALTH_CHECK_INTERVAL: Ticks = 50 * MILLISECOND;
/// Suspicion level at which an invoker counts as unresponsive: the negative decimal logarithm of the probability that a
/// healthy invoker sends no response for that long.
const SUSPICION_THRESHOLD: f64 = 3.0;
/// Lower bound of the expected lateness of responses, in ticks.
const MIN_LATENESS: f64 = 30.0 * MILLISECOND as f64;
/// Weight of a new sample in the mean lateness.
const LATENESS_WEIGHT: f64 = 0.05;
/// Duration of the first ejection. It doubles with each further ejection while the invoker remains an outlier.
pub(super) const EJECTION_TIME_BASE: Ticks = 500 * MILLISECOND;
/// Maximum duration of an ejection.
pub(super) const EJECTION_TIME_MAX: Ticks = 4 * SECOND;
/// Time constant, in seconds, with which the slowdown of invokers and of the fleet decays.
const SLOWDOWN_TIME_CONSTANT_S: f64 = 5.0;
/// Upper bound to which timeouts raise the slowdown of the fleet, as timeouts are reported late.
const MAX_SLOWDOWN_BY_TIMEOUTS: f64 = 5.0;
/// Slowdown of the median attempt above which the fleet is congested.
pub(super) const CONGESTION_THRESHOLD: f64 = 1.5;
/// Ratio of the median of run times to their mean.
const MEDIAN_OVER_MEAN: f64 = 0.75;

/// This controller's estimates of the health of the whole fleet.
pub(super) struct FleetHealth {
    /// Number of attempts in flight.
    pub in_flight: u32,
    /// Median ratio of the actual to the expected duration of attempts.
    pub slowdown: TimedValue,
    /// Mean lateness of the next response of an invoker with an overdue response, in ticks. Estimated over all
    /// invokers, as one invoker responds to this controller too rarely.
    mean_lateness: f64,
    /// Lateness of responses that arrive after they were due, in ticks.
    response_lateness: QuantileMean,
    /// A superset of the invokers that are ejected or on trial after an ejection.
    pub suspects: BTreeSet<InvokerId>,
}

impl FleetHealth {
    pub(super) fn new(now: Ticks) -> Self {
        Self {
            in_flight: 0,
            slowdown: TimedValue {
                value: 1.0,
                at: now,
            },
            mean_lateness: INITIAL_RUN_TIME,
            response_lateness: QuantileMean::new(INITIAL_RUN_TIME),
            suspects: BTreeSet::new(),
        }
    }

    /// Current slowdown of the fleet, which decays to 1.
    pub(super) fn current_slowdown(&self, now: Ticks) -> f64 {
        let elapsed = now - self.slowdown.at;
        1.0 + (self.slowdown.value - 1.0) * decay(elapsed, SLOWDOWN_TIME_CONSTANT_S)
    }

    /// Records a response that was `overdue` ticks past due, from an invoker that responded `lateness` ticks later than
    /// expected of it.
    pub(super) fn record_lateness(&mut self, lateness: f64, overdue: f64) {
        self.mean_lateness += LATENESS_WEIGHT * (lateness - self.mean_lateness);
        self.mean_lateness = self.mean_lateness.max(MIN_LATENESS);
        self.response_lateness.update(overdue);
    }

    /// Records an attempt that took `ratio` times as long as expected.
    pub(super) fn record_duration(&mut self, now: Ticks, ratio: f64) {
        let fleet = self.current_slowdown(now);
        let value = step_median(fleet, ratio > MEDIAN_OVER_MEAN * fleet);
        self.slowdown = TimedValue { value, at: now };
    }

    /// Records a timeout. Without timeouts, the slowdown in an overload would be estimated only from the attempts that
    /// still get a response.
    pub(super) fn record_timeout(&mut self, now: Ticks) {
        let value = step_median(self.current_slowdown(now), true).min(MAX_SLOWDOWN_BY_TIMEOUTS);
        self.slowdown = TimedValue { value, at: now };
    }

    /// Records that an invoker had no capacity for an attempt.
    pub(super) fn record_queue_full(&mut self, now: Ticks) {
        let value = step_median(self.current_slowdown(now), true);
        self.slowdown = TimedValue { value, at: now };
    }

    /// Whether a healthy invoker is unlikely to have sent no response since `since`.
    fn is_suspicious(&self, now: Ticks, since: Ticks) -> bool {
        now.saturating_sub(since) as f64 / self.mean_lateness / LN_10 > SUSPICION_THRESHOLD
    }

    /// The response of an attempt that was due before this time is presumed lost. In congestion lateness does not
    /// indicate a loss, and retries would increase the congestion.
    fn loss_cutoff(&self, now: Ticks) -> Ticks {
        let is_congested = self.current_slowdown(now) > CONGESTION_THRESHOLD;
        let usual_lateness = if is_congested {
            f64::INFINITY
        } else {
            self.response_lateness.mean().max(MIN_LATENESS)
        };
        now.saturating_sub((usual_lateness * SUSPICION_THRESHOLD * LN_10) as Ticks)
    }
}

impl InvokerState {
    /// Current slowdown of this invoker. It decays to that of the fleet, as one invoker responds to a controller too
    /// rarely.
    pub(super) fn current_slowdown(&self, now: Ticks, fleet_slowdown: f64) -> f64 {
        let elapsed = now.saturating_sub(self.slowdown.at);
        fleet_slowdown
            + (self.slowdown.value - fleet_slowdown) * decay(elapsed, SLOWDOWN_TIME_CONSTANT_S)
    }

    /// Whether an attempt may be sent to this invoker. After an ejection a single trial attempt is allowed, whose
    /// result decides whether the invoker is ejected again.
    pub(super) fn is_available(&self, now: Ticks) -> bool {
        now >= self.ejected_until && (self.ejection_time == 0 || self.in_flight == 0)
    }

    /// Records a failure to connect. If it is repeated, either immediately or in the trial after an ejection, the
    /// process is presumed down, and cold when it restarts (rule 4).
    pub(super) fn record_unreachable(&mut self, now: Ticks, duration: Ticks) {
        let failed_at_once = duration < DEADLINE_MARGIN;
        let is_down =
            self.ejection_time > 0 && (failed_at_once || now - duration >= self.ejected_until);
        if is_down {
            self.inferred_start = Some(now);
        }
        self.eject(now);
    }

    /// Ejects the invoker, so that nothing is sent to it for a while.
    pub(super) fn eject(&mut self, now: Ticks) {
        if now >= self.ejected_until {
            self.ejection_time =
                (2 * self.ejection_time).clamp(EJECTION_TIME_BASE, EJECTION_TIME_MAX);
            self.ejected_until = now + self.ejection_time;
        }
    }
}

impl DispatchPolicy {
    /// Runs every [`HEALTH_CHECK_INTERVAL`]: ejects unresponsive invokers, retries attempts with lost responses, and
    /// fills some pools.
    pub(super) fn check_health(&mut self, actions: &mut dyn Actions) {
        self.schedule(
            self.now + HEALTH_CHECK_INTERVAL,
            actions,
            Box::new(Self::check_health),
        );
        let unresponsive = self.eject_unresponsive_invokers();
        for id in self.overdue_invocations(&unresponsive) {
            self.retry_elsewhere(id, actions);
        }
        self.fill_pools(actions);
    }

    /// Ejects and returns the invokers that have an overdue response and have not responded for unusually long.
    fn eject_unresponsive_invokers(&mut self) -> Vec<InvokerId> {
        let mut unresponsive = Vec::new();
        for (invoker_id, due_at) in self.earliest_due() {
            let Some(invoker) = self.invokers.get_mut(&invoker_id) else {
                continue;
            };
            let unresponsive_since = invoker.last_response_at.max(due_at);
            if self.fleet.is_suspicious(self.now, unresponsive_since) {
                invoker.eject(self.now);
                self.fleet.suspects.insert(invoker_id);
                unresponsive.push(invoker_id);
            }
        }
        unresponsive
    }

    /// The earliest due time of the awaited responses, by invoker.
    fn earliest_due(&self) -> BTreeMap<InvokerId, Ticks> {
        let mut earliest: BTreeMap<InvokerId, Ticks> = BTreeMap::new();
        for (invoker_id, due_at) in self.invocations.values().filter_map(awaited_response) {
            let first_due = earliest.entry(invoker_id).or_insert(due_at);
            *first_due = due_at.min(*first_due);
        }
        earliest
    }

    /// Invocations whose response is presumed lost, or is overdue from an unresponsive invoker.
    fn overdue_invocations(&self, unresponsive: &[InvokerId]) -> Vec<InvocationId> {
        let loss_cutoff = self.fleet.loss_cutoff(self.now);
        let is_overdue = |(invoker_id, due_at)| {
            due_at < loss_cutoff || (due_at < self.now && unresponsive.contains(&invoker_id))
        };
        let overdue = self
            .invocations
            .iter()
            .filter(|(_, state)| awaited_response(state).is_some_and(is_overdue));
        overdue.map(|(id, _)| *id).collect()
    }
}

/// The invoker from which a response is awaited, and when it is due.
fn awaited_response(state: &InvocationState) -> Option<(InvokerId, Ticks)> {
    let attempt = state.in_flight.as_ref().filter(|_| !state.is_finished)?;
    Some((attempt.invoker, attempt.due_at))
}
