//! Updates from the result of an attempt: the invoker's health, the function's instance there, and run times.

use super::DispatchPolicy;
use super::estimates::TimedValue;
use super::health::{EJECTION_TIME_BASE, EJECTION_TIME_MAX};
use super::invocations::Attempt;
use super::loads::LOAD_COOLDOWN;
use crate::interface::{AttemptResult, Invocation, InvokerId, Outcome, SECOND, StartKind, Ticks};

/// How long an instance counts as missing after a miss.
const MISS_EXPIRY: Ticks = 4 * SECOND;
/// Error rate above which an invoker is an outlier.
const OUTLIER_ERROR_RATE: f64 = 0.4;
/// Weight of a new sample in an invoker's error rate.
const ERROR_WEIGHT: f64 = 0.2;
/// Weight of a new sample in an invoker's slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.1;
/// Upper bound of the slowdown of a single attempt.
const MAX_SLOWDOWN_SAMPLE: f64 = 10.0;
/// Lower bound of the slowdown of an invoker that rejects several tenants or trigger types for lack of capacity.
const MIN_REJECTING_SLOWDOWN: f64 = 3.0;
/// Number of run times of a trigger type that are learned regardless of the load of the invoker.
const MIN_RUN_TIME_SAMPLES: f64 = 20.0;
/// An attempt at an invoker without a known instance was warm if it ended within its expected run time plus this share
/// of the load time.
const WARM_START_LOAD_SHARE: f64 = 0.5;

impl DispatchPolicy {
    /// Records that a function exists, after its first success: from then on its invocations increase the load budget.
    pub(super) fn record_first_success(&mut self, request: &Invocation) {
        let Some(function) = self.functions.get_mut(&request.function) else {
            return;
        };
        if !std::mem::replace(&mut function.has_succeeded, true) {
            self.unproven.update(request.function, function, self.now);
            self.loads
                .budget
                .invocation_arrived(request.earliest_arrival);
        }
    }

    /// Updates the invoker's health, the function's instance there, and run times from the result of an attempt.
    pub(super) fn record_attempt(
        &mut self,
        request: &Invocation,
        attempt: &Attempt,
        result: &AttemptResult,
    ) {
        let now = self.now;
        let invoker_id = attempt.invoker;
        let fleet_slowdown = self.fleet.current_slowdown(now);
        let Some(target) = self.attempt_target(request.function, invoker_id) else {
            return;
        };
        let invoker = target.invoker;
        let load_time = target.function.load_time();
        let invoker_slowdown = invoker.current_slowdown(now, fleet_slowdown);
        let instance = target.function.track_instance(invoker_id, target.processes);
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
        self.update_unload_candidate(invoker_id, request.function);
        self.record_start_kind(attempt, result, load_time);
        self.record_lateness(attempt, result);
        if result.outcome != Outcome::Succeeded {
            self.fleet.suspects.insert(invoker_id);
        }
        match result.outcome {
            Outcome::Succeeded => self.record_success(request, attempt, result, invoker_slowdown),
            Outcome::Full => self.record_queue_full(request, invoker_id, invoker_slowdown),
            // Without timeouts, an overload would be judged only by the attempts that still get a response.
            Outcome::TimedOut => self.fleet.record_timeout(now),
            _ => self.record_failure(request, attempt, result),
        }
        if result.start_kind == Some(StartKind::BeganLoad) {
            self.loads.breaker.load_succeeded();
        } else if load_failed {
            self.loads.breaker.load_failed(now, invoker_id);
        }
    }

    /// Updates how often an invoker without a known instance turns out to have none.
    fn record_start_kind(&mut self, attempt: &Attempt, result: &AttemptResult, load_time: f64) {
        let shows_instance_state = matches!(result.outcome, Outcome::Succeeded | Outcome::Miss);
        if attempt.expects_instance || !shows_instance_state {
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

    /// Records the lateness of a response, unless the attempt ended without one.
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
        let lateness = now.saturating_sub(invoker.last_response_at.max(attempt.due_at)) as f64;
        invoker.last_response_at = now;
        let was_stalled_meanwhile = self.resumed_at > attempt.sent_at;
        if lateness > 0.0 && !was_stalled_meanwhile {
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
        let Some(target) = self.attempt_target(request.function, attempt.invoker) else {
            return;
        };
        let invoker = target.invoker;
        invoker.ejected_until = 0;
        invoker.ejection_time = 0;
        invoker
            .rejections
            .remove(&(request.tenant, request.trigger));
        let process = target.processes.number(attempt.invoker);
        let function = target.function;
        let instance = function.track_instance(attempt.invoker, target.processes);
        let load_state = instance.load_state_mut(process);
        load_state.is_loaded = true;
        load_state.loading_since = None;
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
            .record_completed(now, self.triggers[request.trigger].run_time.mean());
        if was_warm {
            self.learn_run_time(request, attempt, duration);
        }
    }

    /// Learns a run time, unless the invoker had no free core. Run times learned in congestion would hide the
    /// congestion and make pools grow.
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

    /// Records that the invoker had no capacity for an attempt. An invoker that rejects only one of several tenants and
    /// trigger types is healthy.
    fn record_queue_full(
        &mut self,
        request: &Invocation,
        invoker_id: InvokerId,
        invoker_slowdown: f64,
    ) {
        let now = self.now;
        let is_single_source = self.triggers.len().max(self.deployment.tenants.len()) < 2;
        let Some(invoker) = self.invokers.get_mut(&invoker_id) else {
            return;
        };
        let rejections = invoker
            .rejections
            .entry((request.tenant, request.trigger))
            .or_default();
        rejections.backoff_until =
            now + (EJECTION_TIME_BASE << rejections.count.min(5)).min(EJECTION_TIME_MAX);
        rejections.count += 1;
        if invoker.rejections.len() > 1 || is_single_source {
            invoker.slowdown = TimedValue {
                value: invoker_slowdown.max(MIN_REJECTING_SLOWDOWN),
                at: now,
            };
            self.fleet.record_queue_full(now);
        }
    }

    /// Records a failure that concerns only the invoker or the instance.
    fn record_failure(&mut self, request: &Invocation, attempt: &Attempt, result: &AttemptResult) {
        let now = self.now;
        let Some(target) = self.attempt_target(request.function, attempt.invoker) else {
            return;
        };
        let invoker = target.invoker;
        let is_outlier = invoker.error_rate > OUTLIER_ERROR_RATE;
        let process = target.processes.number(attempt.invoker);
        let instance = target
            .function
            .track_instance(attempt.invoker, target.processes);
        match result.outcome {
            // A single reset may concern one connection only. If the process died, all connections are reset, or the
            // next connection is refused.
            Outcome::Reset if is_outlier => {
                invoker.eject(now);
                target.processes.ended(attempt.invoker);
            }
            Outcome::Errored if result.start_kind == Some(StartKind::LoadFailed) => {
                instance.load_state_mut(process).loading_since = None;
                instance.load_cooldown_until = now + LOAD_COOLDOWN;
            }
            Outcome::Errored if is_outlier => invoker.eject(now),
            Outcome::Miss => {
                let load_state = instance.load_state_mut(process);
                load_state.is_loaded = false;
                load_state.loading_since = None;
                instance.miss_expires_at = now + MISS_EXPIRY;
            }
            Outcome::NoConnection => invoker.record_unreachable(now, result.duration),
            _ => {}
        }
    }
}
