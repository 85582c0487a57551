//! What the end of an attempt tells: of the invoker's health, of the function's instance there, and of run times.

use super::DispatchPolicy;
use super::estimates::TimedValue;
use super::health::{EJECTION_TIME_BASE, EJECTION_TIME_MAX};
use super::invocations::Attempt;
use super::loads::LOAD_COOLDOWN;
use crate::interface::{AttemptResult, Invocation, InvokerId, Outcome, SECOND, StartKind, Ticks};

/// A miss is remembered for this long.
const MISS_MEMORY: Ticks = 4 * SECOND;
/// An invoker with this share of errors is an outlier.
const OUTLIER_ERROR_RATE: f64 = 0.4;
/// Weight of a new sample in an invoker's error rate.
const ERROR_WEIGHT: f64 = 0.2;
/// Weight of a new sample in an invoker's slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.1;
/// Highest slowdown that one attempt counts as.
const MAX_SLOWDOWN_SAMPLE: f64 = 10.0;
/// An invoker that rejects several tenants or classes for want of capacity has at least this slowdown.
const FULL_SLOWDOWN: f64 = 3.0;
/// So many run times of a class are learned however loaded the invoker is.
const MIN_RUN_TIME_SAMPLES: f64 = 20.0;
/// An attempt with an unknown instance took no load if it ended within its run time and this share of the load time.
const WARM_START_LOAD_SHARE: f64 = 0.5;

impl DispatchPolicy {
    /// A function's first success shows that it is one: from then on its invocations widen the load budget.
    pub(super) fn record_first_success(&mut self, request: &Invocation) {
        let Some(function) = self.functions.get_mut(&request.function) else {
            return;
        };
        if !std::mem::replace(&mut function.has_succeeded, true) {
            self.loads
                .budget
                .invocation_arrived(request.earliest_arrival);
        }
    }

    /// What the end of an attempt tells of the invoker's health, of the function's instance there, and of run times.
    pub(super) fn record_attempt(
        &mut self,
        request: &Invocation,
        attempt: &Attempt,
        result: &AttemptResult,
    ) {
        let now = self.now;
        let invoker_id = attempt.invoker;
        let fleet_slowdown = self.fleet.current_slowdown(now);
        let Some((function, invoker)) = self.function_and_invoker(request.function, invoker_id)
        else {
            return;
        };
        let load_time = function.load_time();
        let invoker_slowdown = invoker.current_slowdown(now, fleet_slowdown);
        let instance = function.instances.entry(invoker_id).or_default();
        invoker.in_flight -= 1;
        instance.in_flight -= 1;
        if let Some(concurrency) = result.concurrency {
            instance.reported_concurrency = TimedValue {
                value: f64::from(concurrency),
                at: now,
            };
        }
        let load_failed = result.start_kind == Some(StartKind::LoadFailed);
        let is_error = matches!(result.outcome, Outcome::Errored | Outcome::Reset) && !load_failed;
        invoker.error_rate += ERROR_WEIGHT * (f64::from(is_error) - invoker.error_rate);
        self.fleet.in_flight -= 1;
        self.record_start_kind(attempt, result, load_time);
        self.record_lateness(attempt, result);
        if result.outcome != Outcome::Succeeded {
            self.fleet.suspects.insert(invoker_id);
        }
        match result.outcome {
            Outcome::Succeeded => self.record_success(request, attempt, result, invoker_slowdown),
            Outcome::Full => self.record_full(request, invoker_id, invoker_slowdown),
            // Left out, an overload would be judged by the answers that still come.
            Outcome::TimedOut => self.fleet.record_timeout(now),
            _ => self.record_failure(request, attempt, result),
        }
        if result.start_kind == Some(StartKind::BeganLoad) {
            self.loads.breaker.load_succeeded();
        } else if load_failed {
            self.loads.breaker.load_failed(now, invoker_id);
        }
    }

    /// How often invokers lack an instance where none was known.
    fn record_start_kind(&mut self, attempt: &Attempt, result: &AttemptResult, load_time: f64) {
        let tells_instance = matches!(result.outcome, Outcome::Succeeded | Outcome::Miss);
        if attempt.expects_instance || !tells_instance {
            return;
        }
        let warm_duration = attempt.expected_run_time + WARM_START_LOAD_SHARE * load_time;
        let was_warm = match result.start_kind {
            Some(start_kind) => start_kind == StartKind::Warm,
            None => (result.duration as f64) < warm_duration,
        };
        self.loads
            .record_unknown_instance(!was_warm || result.outcome == Outcome::Miss);
    }

    /// Something was heard from the invoker, unless the attempt ended without it.
    fn record_lateness(&mut self, attempt: &Attempt, result: &AttemptResult) {
        if matches!(
            result.outcome,
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent
        ) {
            return;
        }
        let now = self.now;
        let Some(invoker) = self.invokers.get_mut(&attempt.invoker) else {
            return;
        };
        let lateness = now.saturating_sub(invoker.last_heard.max(attempt.due_at)) as f64;
        invoker.last_heard = now;
        let was_stopped_meanwhile = self.resumed_at > attempt.sent_at;
        if lateness > 0.0 && !was_stopped_meanwhile {
            self.fleet
                .record_lateness(lateness, (now - attempt.due_at) as f64);
        }
    }

    fn record_success(
        &mut self,
        request: &Invocation,
        attempt: &Attempt,
        result: &AttemptResult,
        invoker_slowdown: f64,
    ) {
        let now = self.now;
        let duration = result.duration as f64;
        let Some((function, invoker)) =
            self.function_and_invoker(request.function, attempt.invoker)
        else {
            return;
        };
        invoker.ejected_until = 0;
        invoker.ejection_time = 0;
        invoker
            .rejections
            .remove(&(request.tenant, request.trigger));
        let instance = function.instances.entry(attempt.invoker).or_default();
        instance.is_loaded = true;
        instance.loading_since = None;
        let was_warm = match result.start_kind {
            Some(start_kind) => start_kind == StartKind::Warm,
            None => attempt.expects_instance,
        };
        if was_warm {
            let ratio = (duration / attempt.expected_run_time.max(1.0)).min(MAX_SLOWDOWN_SAMPLE);
            let value = invoker_slowdown + SLOWDOWN_WEIGHT * (ratio - invoker_slowdown);
            invoker.slowdown = TimedValue { value, at: now };
            self.fleet.record_duration(now, ratio);
        } else if result.start_kind == Some(StartKind::BeganLoad) {
            let load_time = duration - attempt.expected_run_time;
            function.longest_load_time = function.longest_load_time.max(load_time);
        }
        self.completed_work
            .completed(now, self.triggers[request.trigger].run_time.mean());
        if was_warm {
            self.learn_run_time(request, attempt, duration);
        }
    }

    /// Learns a run time, unless the invoker was loaded: learned in congestion, run times would take it for normal, and pools
    /// would grow.
    fn learn_run_time(&mut self, request: &Invocation, attempt: &Attempt, duration: f64) {
        let trigger = &mut self.triggers[request.trigger];
        if !attempt.expects_free_core && trigger.run_time.samples >= MIN_RUN_TIME_SAMPLES {
            return;
        }
        if let Some(function) = self.functions.get_mut(&request.function) {
            function.run_time.update(duration);
        }
        trigger.run_time.update(duration);
        trigger
            .run_time_per_hint
            .update(duration / request.work_hint.unwrap_or(1).max(1) as f64);
    }

    /// The invoker had no capacity for the attempt. Where it rejects only one of several tenants and classes, it is healthy.
    fn record_full(&mut self, request: &Invocation, invoker_id: InvokerId, invoker_slowdown: f64) {
        let now = self.now;
        let is_single_class = self.triggers.len().max(self.deployment.tenants.len()) < 2;
        let Some(invoker) = self.invokers.get_mut(&invoker_id) else {
            return;
        };
        let rejections = invoker
            .rejections
            .entry((request.tenant, request.trigger))
            .or_default();
        rejections.until =
            now + (EJECTION_TIME_BASE << rejections.count.min(5)).min(EJECTION_TIME_MAX);
        rejections.count += 1;
        if invoker.rejections.len() > 1 || is_single_class {
            invoker.slowdown = TimedValue {
                value: invoker_slowdown.max(FULL_SLOWDOWN),
                at: now,
            };
            self.fleet.record_full(now);
        }
    }

    /// The attempt failed in a way that concerns the invoker or the instance alone.
    fn record_failure(&mut self, request: &Invocation, attempt: &Attempt, result: &AttemptResult) {
        let now = self.now;
        let Some((function, invoker)) =
            self.function_and_invoker(request.function, attempt.invoker)
        else {
            return;
        };
        let is_outlier = invoker.error_rate > OUTLIER_ERROR_RATE;
        let instance = function.instances.entry(attempt.invoker).or_default();
        match result.outcome {
            // A connection may break alone; where a process died, all break, or the next is refused.
            Outcome::Reset if is_outlier => {
                invoker.eject(now);
                self.forget_instances(attempt.invoker);
            }
            Outcome::Errored if result.start_kind == Some(StartKind::LoadFailed) => {
                instance.loading_since = None;
                instance.load_cooldown_until = now + LOAD_COOLDOWN;
            }
            Outcome::Errored if is_outlier => invoker.eject(now),
            Outcome::Miss => {
                instance.is_loaded = false;
                instance.loading_since = None;
                instance.missed_until = now + MISS_MEMORY;
            }
            Outcome::NoConnection => invoker.record_unreachable(now, result.duration),
            _ => {}
        }
    }
}
