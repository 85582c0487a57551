//! Health of invokers and of the fleet: outliers are ejected for a while, silent invokers are detected, and attempts whose
//! answer seems lost are retried elsewhere.

use super::admission::DEADLINE_MARGIN;
use super::estimates::{QuantileMean, TimedValue, decay, step_median};
use super::invokers::InvokerState;
use super::{DispatchPolicy, INITIAL_RUN_TIME, InvocationState};
use crate::interface::{Actions, InvocationId, InvokerId, MILLISECOND, SECOND, Ticks};
use std::collections::{BTreeMap, BTreeSet};
use std::f64::consts::LN_10;

/// How often silence is checked for.
pub(super) const HEALTH_CHECK_INTERVAL: Ticks = 50 * MILLISECOND;
/// Silence this unlikely, as a negative decimal logarithm, makes an invoker suspect.
const SUSPICION_THRESHOLD: f64 = 3.0;
/// Least expected lateness of answers, in ticks.
const MIN_LATENESS: f64 = 30.0 * MILLISECOND as f64;
/// Weight of a new sample in the mean lateness.
const LATENESS_WEIGHT: f64 = 0.05;
/// Length of a first ejection; it doubles while the invoker stays an outlier.
pub(super) const EJECTION_TIME_BASE: Ticks = 500 * MILLISECOND;
/// Longest ejection.
pub(super) const EJECTION_TIME_MAX: Ticks = 4 * SECOND;
/// Time constant, in seconds, with which the slowdown of invokers and of the fleet decays.
const SLOWDOWN_TIME_CONSTANT_S: f64 = 5.0;
/// Timeouts arrive late: beyond this they do not raise the fleet's slowdown.
const MAX_SLOWDOWN_BY_TIMEOUTS: f64 = 5.0;
/// The fleet is congested when the median attempt takes this much longer than alone.
pub(super) const CONGESTION_THRESHOLD: f64 = 1.5;
/// Median of run times over their mean.
const MEDIAN_OVER_MEAN: f64 = 0.75;

/// What this controller knows of the fleet as a whole.
pub(super) struct FleetHealth {
    /// Attempts in flight.
    pub in_flight: u32,
    /// Median duration of attempts over the duration expected.
    pub slowdown: TimedValue,
    /// Mean time past due at which invokers are heard, over all of them: each is heard too seldom. In ticks.
    mean_lateness: f64,
    /// Lateness of answers that come after they were due, in ticks.
    late_answers: QuantileMean,
    /// Invokers that are or were ejected, and possibly some more.
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
            late_answers: QuantileMean::new(INITIAL_RUN_TIME),
            suspects: BTreeSet::new(),
        }
    }

    /// Slowdown of the fleet: it decays to 1.
    pub(super) fn current_slowdown(&self, now: Ticks) -> f64 {
        let elapsed = now - self.slowdown.at;
        1.0 + (self.slowdown.value - 1.0) * decay(elapsed, SLOWDOWN_TIME_CONSTANT_S)
    }

    /// An invoker was heard `lateness` ticks past what was expected of it, with an answer `overdue` ticks past due.
    pub(super) fn record_lateness(&mut self, lateness: f64, overdue: f64) {
        self.mean_lateness += LATENESS_WEIGHT * (lateness - self.mean_lateness);
        self.mean_lateness = self.mean_lateness.max(MIN_LATENESS);
        self.late_answers.update(overdue);
    }

    /// An attempt took `ratio` times as long as expected.
    pub(super) fn record_duration(&mut self, now: Ticks, ratio: f64) {
        let fleet = self.current_slowdown(now);
        let value = step_median(fleet, ratio > MEDIAN_OVER_MEAN * fleet);
        self.slowdown = TimedValue { value, at: now };
    }

    /// An attempt timed out. Left out, an overload would be judged by the answers that still come.
    pub(super) fn record_timeout(&mut self, now: Ticks) {
        let value = step_median(self.current_slowdown(now), true).min(MAX_SLOWDOWN_BY_TIMEOUTS);
        self.slowdown = TimedValue { value, at: now };
    }

    /// An invoker had no capacity for an attempt.
    pub(super) fn record_full(&mut self, now: Ticks) {
        let value = step_median(self.current_slowdown(now), true);
        self.slowdown = TimedValue { value, at: now };
    }

    /// Whether silence since `since` is unlikely for an invoker that works.
    fn is_suspicious_silence(&self, now: Ticks, since: Ticks) -> bool {
        now.saturating_sub(since) as f64 / self.mean_lateness / LN_10 > SUSPICION_THRESHOLD
    }

    /// An attempt that was due before this is taken for lost. In congestion lateness is no sign of loss, and a retry would
    /// add to it.
    fn loss_horizon(&self, now: Ticks) -> Ticks {
        let is_congested = self.current_slowdown(now) > CONGESTION_THRESHOLD;
        let usual = if is_congested {
            f64::INFINITY
        } else {
            self.late_answers.mean().max(MIN_LATENESS)
        };
        now.saturating_sub((usual * SUSPICION_THRESHOLD * LN_10) as Ticks)
    }
}

impl InvokerState {
    /// Slowdown of this invoker: it decays to the fleet's, as a controller hears of one invoker too seldom.
    pub(super) fn current_slowdown(&self, now: Ticks, fleet_slowdown: f64) -> f64 {
        let elapsed = now.saturating_sub(self.slowdown.at);
        fleet_slowdown
            + (self.slowdown.value - fleet_slowdown) * decay(elapsed, SLOWDOWN_TIME_CONSTANT_S)
    }

    /// Whether an attempt may go there. After an ejection a single one may, whose end decides.
    pub(super) fn is_available(&self, now: Ticks) -> bool {
        now >= self.ejected_until && (self.ejection_time == 0 || self.in_flight == 0)
    }

    /// No connection could be made. When that happens again, at once or in the trial after an ejection, its process is down,
    /// and will start anew.
    pub(super) fn record_unreachable(&mut self, now: Ticks, duration: Ticks) {
        let failed_at_once = duration < DEADLINE_MARGIN;
        let is_down =
            self.ejection_time > 0 && (failed_at_once || now - duration >= self.ejected_until);
        if is_down {
            self.first_seen = Some(now);
        }
        self.eject(now);
    }

    /// Sends nothing there for a while.
    pub(super) fn eject(&mut self, now: Ticks) {
        if now >= self.ejected_until {
            self.ejection_time =
                (2 * self.ejection_time).clamp(EJECTION_TIME_BASE, EJECTION_TIME_MAX);
            self.ejected_until = now + self.ejection_time;
        }
    }
}

impl DispatchPolicy {
    /// Runs at each [`HEALTH_CHECK_INTERVAL`]: looks for silent invokers and lost answers, and fills some pools.
    pub(super) fn check_health(&mut self, actions: &mut dyn Actions) {
        self.schedule(
            self.now + HEALTH_CHECK_INTERVAL,
            actions,
            Box::new(Self::check_health),
        );
        let silent = self.eject_silent_invokers();
        for id in self.overdue_invocations(&silent) {
            self.retry_elsewhere(id, actions);
        }
        self.fill_pools(actions);
    }

    /// Ejects invokers from which nothing was heard for unusually long although an answer is due; gives them.
    fn eject_silent_invokers(&mut self) -> Vec<InvokerId> {
        let mut silent = Vec::new();
        for (invoker_id, due_at) in self.earliest_due() {
            let Some(invoker) = self.invokers.get_mut(&invoker_id) else {
                continue;
            };
            let silent_since = invoker.last_heard.max(due_at);
            if self.fleet.is_suspicious_silence(self.now, silent_since) {
                invoker.eject(self.now);
                self.fleet.suspects.insert(invoker_id);
                silent.push(invoker_id);
            }
        }
        silent
    }

    /// For each invoker that owes an answer, when the first was due.
    fn earliest_due(&self) -> BTreeMap<InvokerId, Ticks> {
        let mut earliest: BTreeMap<InvokerId, Ticks> = BTreeMap::new();
        for (invoker_id, due_at) in self.invocations.values().filter_map(awaited_answer) {
            let first = earliest.entry(invoker_id).or_insert(due_at);
            *first = due_at.min(*first);
        }
        earliest
    }

    /// Invocations whose answer seems lost, or whose answer is due from a silent invoker.
    fn overdue_invocations(&self, silent: &[InvokerId]) -> Vec<InvocationId> {
        let loss_horizon = self.fleet.loss_horizon(self.now);
        let is_overdue = |(invoker_id, due_at)| {
            due_at < loss_horizon || (due_at < self.now && silent.contains(&invoker_id))
        };
        let overdue = self
            .invocations
            .iter()
            .filter(|(_, state)| awaited_answer(state).is_some_and(is_overdue));
        overdue.map(|(id, _)| *id).collect()
    }
}

/// The invoker that owes an answer, and when it was due.
fn awaited_answer(state: &InvocationState) -> Option<(InvokerId, Ticks)> {
    let attempt = state.in_flight.as_ref().filter(|_| !state.is_finished)?;
    Some((attempt.invoker, attempt.due_at))
}
