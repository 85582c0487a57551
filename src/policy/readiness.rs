//! Readiness: decides which invokers may receive new work while the endpoint list is unreachable (rule 3).
//!
//! A status change counts as notified after a fixed time, whether the list was reachable or not. The list therefore
//! confirms the readiness of its invokers only for its lifetime. After that, each invoker has to confirm its own
//! readiness in response to a probe. The confirmation is valid for a part of the drain grace, as the invoker may begin
//! to drain right afterwards. An attempt that the invoker served confirms its readiness as well.

use super::health::HEALTH_CHECK_INTERVAL;
use super::invokers::InvokerState;
use super::waits::{WaitEvent, Waiters};
use super::{Continuation, DispatchPolicy};
use crate::interface::{
    Actions, InvocationId, InvokerId, ProbeOutcome, ProbeResult, ReadinessCounts, Ticks,
};

/// How long an invocation waits for an invoker to confirm its readiness before it is placed at another one.
const CONFIRMATION_TIMEOUT: Ticks = 4 * HEALTH_CHECK_INTERVAL;

/// Up to when the endpoint list is current, and counts of the actions taken when it is too old.
#[derive(Default)]
pub(super) struct EndpointListFreshness {
    /// All changes of the list up to this time are known; none: no list was received yet.
    current_as_of: Option<Ticks>,
    pub counts: ReadinessCounts,
}

/// An invoker's own confirmations of its readiness.
#[derive(Default)]
pub(super) struct Confirmation {
    /// The latest time at which the invoker is known to have been ready.
    ready_at: Option<Ticks>,
    is_probe_in_flight: bool,
    /// Time of the last indication that the process may have ended or may be about to end: a "not ready" response to a
    /// probe, or a connection that the invoker refused or closed.
    may_have_ended_at: Option<Ticks>,
    /// When the invoker was first ready after such an indication, so that it may have just started. Valid until the
    /// next refresh of the list, which reports starts.
    possible_start: Option<Ticks>,
    /// Steps to run when the probe ends.
    pub probe_waiters: Waiters,
}

impl DispatchPolicy {
    /// Records that all changes of the endpoint list up to `current_as_of` are known. If the list has a lifetime, the
    /// host calls this for each message of the list, including those without a change.
    pub fn endpoint_list_refreshed(&mut self, now: Ticks, current_as_of: Ticks) {
        self.advance_clock(now);
        self.list_freshness.current_as_of =
            self.list_freshness.current_as_of.max(Some(current_as_of));
    }

    /// Sending of new work to an invoker must begin before this time, or not at all. Only half of the drain grace is
    /// used; the other half allows for transmission.
    pub(super) fn new_work_deadline(&self, invoker_id: InvokerId) -> Ticks {
        let Some(list_deadline) = self.list_deadline() else {
            return Ticks::MAX;
        };
        let ready_at = self
            .invokers
            .get(&invoker_id)
            .and_then(|invoker| invoker.confirmation.ready_at);
        let confirmation_deadline = ready_at.map_or(0, |at| at + self.deployment.drain_grace / 2);
        list_deadline.max(confirmation_deadline)
    }

    /// Records that an invoker refused or closed a connection, as noticed at `noticed_at`. Its process may have ended.
    pub fn connection_lost(&mut self, now: Ticks, invoker_id: InvokerId, noticed_at: Ticks) {
        self.advance_clock(now);
        if let Some(invoker) = self.invokers.get_mut(&invoker_id) {
            let ended_at = &mut invoker.confirmation.may_have_ended_at;
            *ended_at = (*ended_at).max(Some(noticed_at));
        }
    }

    /// Records that an invoker confirmed its readiness, or accepted work, at `at` or later. If its process may have
    /// ended since the list was refreshed, the invoker may be a new process that is cold (rule 4): its start is not
    /// reported while the list is unreachable.
    pub(super) fn record_ready(&mut self, invoker_id: InvokerId, at: Ticks) {
        let (now, current_as_of) = (self.now, self.list_freshness.current_as_of);
        let is_list_current = self.list_deadline().is_none_or(|deadline| now < deadline);
        let Some(invoker) = self.invokers.get_mut(&invoker_id) else {
            return;
        };
        let confirmation = &mut invoker.confirmation;
        confirmation.ready_at = confirmation.ready_at.max(Some(at));
        let may_be_new = confirmation
            .may_have_ended_at
            .is_some_and(|ended_at| Some(ended_at) > current_as_of && ended_at <= at);
        if may_be_new && !is_list_current {
            confirmation.may_have_ended_at = None;
            confirmation.possible_start = Some(now);
        }
    }

    /// When an invoker may have started without a report, if the list has not been refreshed since.
    pub(super) fn possible_start(&self, invoker: &InvokerState) -> Option<Ticks> {
        let started_at = invoker.confirmation.possible_start;
        started_at.filter(|at| Some(*at) > self.list_freshness.current_as_of)
    }

    /// Until when the list confirms the readiness of its invokers; none: it does not expire.
    fn list_deadline(&self) -> Option<Ticks> {
        let lifetime = self.deployment.list_lifetime?;
        let current_as_of = self.list_freshness.current_as_of;
        Some(current_as_of.map_or(0, |at| at + lifetime + self.deployment.drain_grace / 2))
    }

    /// Whether new work may be sent to an invoker now.
    pub(super) fn may_send_new_work(&self, invoker_id: InvokerId) -> bool {
        self.now < self.new_work_deadline(invoker_id)
    }

    /// Whether new work may be sent to an invoker now, or once a probe has confirmed that it is ready.
    pub(super) fn may_be_confirmed_ready(&self, invoker_id: InvokerId) -> bool {
        let has_usable_grace = self.deployment.drain_grace / 2 > 0;
        self.may_send_new_work(invoker_id) || (self.deployment.may_probe && has_usable_grace)
    }

    /// Probes an invoker that the list is too old to confirm as ready, and runs `continuation` when the probe has
    /// ended, with or without a response. The continuation never runs if invokers may not be probed.
    pub(super) fn run_after_probe(
        &mut self,
        invoker_id: InvokerId,
        continuation: Continuation,
        actions: &mut dyn Actions,
    ) {
        let invoker = self.invokers.get_mut(&invoker_id);
        let Some(invoker) = invoker.filter(|_| self.deployment.may_probe) else {
            return;
        };
        invoker.confirmation.probe_waiters.push(continuation);
        self.request_probe(invoker_id, actions);
    }

    /// Probes an invoker, unless a probe is in flight or invokers may not be probed.
    pub(super) fn request_probe(&mut self, invoker_id: InvokerId, actions: &mut dyn Actions) {
        let invoker = self.invokers.get_mut(&invoker_id);
        let Some(invoker) = invoker.filter(|_| self.deployment.may_probe) else {
            return;
        };
        if !std::mem::replace(&mut invoker.confirmation.is_probe_in_flight, true) {
            self.list_freshness.counts.probes += 1;
            actions.probe(invoker_id);
        }
    }

    /// Makes an invocation wait until an invoker has confirmed its readiness, or has not responded in time. Then a new
    /// decision is made.
    pub(super) fn await_confirmation(
        &mut self,
        id: InvocationId,
        invoker_id: InvokerId,
        actions: &mut dyn Actions,
    ) {
        let Some(state) = self.invocations.get(&id) else {
            return;
        };
        self.list_freshness.counts.waits += 1;
        let waiting_since = self.now;
        let deadline = (waiting_since + CONFIRMATION_TIMEOUT).min(state.response_deadline());
        let on_timeout = move |policy: &mut Self, id: InvocationId, actions: &mut dyn Actions| {
            policy.confirmation_timed_out(invoker_id, waiting_since);
            policy.route(id, actions);
        };
        self.wait_until(id, deadline, on_timeout, actions);
        self.decide_again_at(id, WaitEvent::ProbeEnded(invoker_id));
        self.request_probe(invoker_id, actions);
    }

    /// Ejects an invoker that did not confirm its readiness in time, unless this process was stalled meanwhile.
    fn confirmation_timed_out(&mut self, invoker_id: InvokerId, waiting_since: Ticks) {
        if self.resumed_at > waiting_since || self.now < waiting_since + CONFIRMATION_TIMEOUT {
            return;
        }
        if let Some(invoker) = self.invokers.get_mut(&invoker_id) {
            invoker.eject(self.now);
            self.fleet.suspects.insert(invoker_id);
        }
    }

    /// Handles the end of a probe.
    pub fn probe_ended(&mut self, now: Ticks, result: ProbeResult, actions: &mut dyn Actions) {
        self.advance_clock(now);
        let Some(invoker) = self.invokers.get_mut(&result.invoker) else {
            return;
        };
        invoker.confirmation.is_probe_in_flight = false;
        let continuations = invoker.confirmation.probe_waiters.take();
        if result.outcome != ProbeOutcome::Ready {
            self.fleet.suspects.insert(result.invoker);
        }
        match result.outcome {
            ProbeOutcome::Ready => self.record_ready(result.invoker, result.sent_at),
            ProbeOutcome::NotReady => {
                self.list_freshness.counts.not_ready += 1;
                invoker.confirmation.may_have_ended_at = Some(now);
                invoker.eject(now);
            }
            ProbeOutcome::Unreachable => {
                self.list_freshness.counts.unanswered += 1;
                invoker.record_unreachable(now, result.duration);
            }
            ProbeOutcome::TimedOut => {
                self.list_freshness.counts.unanswered += 1;
                invoker.eject(now);
            }
            ProbeOutcome::NotSent => {}
        }
        let is_not_sent = result.outcome == ProbeOutcome::NotSent;
        let is_too_old =
            result.outcome == ProbeOutcome::Ready && !self.may_send_new_work(result.invoker);
        if is_not_sent || is_too_old {
            // The cause is local to this process: an immediate second probe would have the same result.
            let retry_at = now + HEALTH_CHECK_INTERVAL;
            self.schedule(retry_at, actions, Self::run_all(continuations));
            return;
        }
        Self::run_all(continuations)(self, actions);
    }

    /// A step that runs several continuations in order.
    fn run_all(continuations: Vec<Continuation>) -> Continuation {
        Box::new(move |policy, actions| {
            for continuation in continuations {
                continuation(policy, actions);
            }
        })
    }
}
