//! Readiness: who may get new work while the endpoint list is out of reach (rule 3).
//!
//! What the list would have told counts as notified by a clock, whether it is heard or not. So a list vouches for its invokers
//! for its lifetime alone. Past it an invoker has to vouch for itself: it is asked, and what it answers is good for a part of
//! the drain grace, as it may begin to drain right after. Work that it took tells the same.

use super::health::HEALTH_CHECK_INTERVAL;
use super::invocations::InvocationState;
use super::invokers::InvokerState;
use super::{Continuation, DispatchPolicy};
use crate::interface::{
    Actions, InvocationId, InvokerId, ProbeOutcome, ProbeResult, ReadinessCounts, Ticks,
};

/// An invocation waits this long for an invoker to vouch for itself, then goes elsewhere.
const CONFIRMATION_TIMEOUT: Ticks = 4 * HEALTH_CHECK_INTERVAL;

/// How far the endpoint list is current, and what was done where it was not.
#[derive(Default)]
pub(super) struct EndpointListAge {
    /// Everything that it told up to then is known; none: it was not heard yet.
    heard_at: Option<Ticks>,
    pub counts: ReadinessCounts,
}

/// What an invoker itself said of its readiness.
#[derive(Default)]
pub(super) struct Confirmation {
    /// When it was ready by its own word, at the latest.
    ready_at: Option<Ticks>,
    is_probe_in_flight: bool,
    /// The last sign that its process may end or have ended: its own word that it is not ready, or a connection that it ended.
    may_have_ended_at: Option<Ticks>,
    /// When it was first ready after such a sign, so that it may have just started. Good until the list is heard, which tells.
    possible_start: Option<Ticks>,
    /// What continues when the probe ends.
    waiting: Vec<Continuation>,
}

impl DispatchPolicy {
    /// Everything that the endpoint list told up to `heard_at` is known. Where the list has a lifetime, each sign of life of it
    /// is reported here, also one that brings no change.
    pub fn endpoint_list_refreshed(&mut self, now: Ticks, heard_at: Ticks) {
        self.advance_clock(now);
        self.list_age.heard_at = self.list_age.heard_at.max(Some(heard_at));
    }

    /// New work to an invoker begins to be sent before this, or not at all. Only half of the grace is used: the other half is
    /// for its way.
    pub(super) fn new_work_deadline(&self, invoker_id: InvokerId) -> Ticks {
        let Some(by_list) = self.list_deadline() else {
            return Ticks::MAX;
        };
        let ready_at = self
            .invokers
            .get(&invoker_id)
            .and_then(|invoker| invoker.confirmation.ready_at);
        let by_itself = ready_at.map_or(0, |at| at + self.deployment.drain_grace / 2);
        by_list.max(by_itself)
    }

    /// A connection to an invoker was refused, or ended by its other side, as was noticed at `noticed_at`: its process may have
    /// ended.
    pub fn connection_lost(&mut self, now: Ticks, invoker_id: InvokerId, noticed_at: Ticks) {
        self.advance_clock(now);
        if let Some(invoker) = self.invokers.get_mut(&invoker_id) {
            let ended_at = &mut invoker.confirmation.may_have_ended_at;
            *ended_at = (*ended_at).max(Some(noticed_at));
        }
    }

    /// An invoker said that it is ready, or took work, of `at` or later. Where its process may have ended since the list was
    /// heard, it may be another process by now, and cold (rule 4): nobody tells of its start while the list is out of reach.
    pub(super) fn invoker_was_ready(&mut self, invoker_id: InvokerId, at: Ticks) {
        let (now, heard_at) = (self.now, self.list_age.heard_at);
        let list_vouches = self.list_deadline().is_none_or(|deadline| now < deadline);
        let Some(invoker) = self.invokers.get_mut(&invoker_id) else {
            return;
        };
        let confirmation = &mut invoker.confirmation;
        confirmation.ready_at = confirmation.ready_at.max(Some(at));
        let may_be_new = confirmation
            .may_have_ended_at
            .is_some_and(|ended_at| Some(ended_at) > heard_at && ended_at <= at);
        if may_be_new && !list_vouches {
            confirmation.may_have_ended_at = None;
            confirmation.possible_start = Some(now);
        }
    }

    /// When an invoker may have started, where the list has not been heard since and could not tell.
    pub(super) fn possible_start(&self, invoker: &InvokerState) -> Option<Ticks> {
        let started_at = invoker.confirmation.possible_start;
        started_at.filter(|at| Some(*at) > self.list_age.heard_at)
    }

    /// The list vouches for its invokers until then; none: for as long as the controller lives.
    fn list_deadline(&self) -> Option<Ticks> {
        let lifetime = self.deployment.list_lifetime?;
        let heard_at = self.list_age.heard_at;
        Some(heard_at.map_or(0, |at| at + lifetime + self.deployment.drain_grace / 2))
    }

    /// Whether new work may be sent to an invoker now.
    pub(super) fn may_send_new_work(&self, invoker_id: InvokerId) -> bool {
        self.now < self.new_work_deadline(invoker_id)
    }

    /// Whether an invoker may be asked to vouch for itself, where it has to.
    pub(super) fn may_become_usable(&self, invoker_id: InvokerId) -> bool {
        let outlasts_answer = self.deployment.drain_grace / 2 > 0;
        self.may_send_new_work(invoker_id) || (self.deployment.may_probe && outlasts_answer)
    }

    /// Continues once an invoker that the list does not vouch for has answered whether it is ready, or did not answer. Never,
    /// where invokers may not be probed.
    pub(super) fn when_probed(
        &mut self,
        invoker_id: InvokerId,
        continuation: Continuation,
        actions: &mut dyn Actions,
    ) {
        let invoker = self.invokers.get_mut(&invoker_id);
        let Some(invoker) = invoker.filter(|_| self.deployment.may_probe) else {
            return;
        };
        let confirmation = &mut invoker.confirmation;
        confirmation.waiting.push(continuation);
        if !std::mem::replace(&mut confirmation.is_probe_in_flight, true) {
            self.list_age.counts.probes += 1;
            actions.probe(invoker_id);
        }
    }

    /// Lets an invocation wait until an invoker has vouched for itself; then, or if it does not answer, it is decided anew.
    pub(super) fn await_confirmation(
        &mut self,
        id: InvocationId,
        invoker_id: InvokerId,
        actions: &mut dyn Actions,
    ) {
        let Some(state) = self.invocations.get(&id) else {
            return;
        };
        self.list_age.counts.waits += 1;
        let asked_at = self.now;
        let latest = (asked_at + CONFIRMATION_TIMEOUT).min(state.latest_answer());
        let when_silent = Self::unless_decided(state, move |policy, id, actions| {
            policy.confirmation_timed_out(invoker_id, asked_at);
            policy.route(id, actions);
        });
        let when_probed = Self::unless_decided(state, Self::route);
        self.schedule(latest, actions, when_silent);
        self.when_probed(invoker_id, when_probed, actions);
    }

    /// An invoker did not answer in time whether it is ready. Where this process was stopped meanwhile, that tells nothing.
    fn confirmation_timed_out(&mut self, invoker_id: InvokerId, asked_at: Ticks) {
        if self.resumed_at > asked_at || self.now < asked_at + CONFIRMATION_TIMEOUT {
            return;
        }
        if let Some(invoker) = self.invokers.get_mut(&invoker_id) {
            invoker.eject(self.now);
            self.fleet.suspects.insert(invoker_id);
        }
    }

    /// A probe has ended.
    pub fn probe_ended(&mut self, now: Ticks, result: ProbeResult, actions: &mut dyn Actions) {
        self.advance_clock(now);
        let Some(invoker) = self.invokers.get_mut(&result.invoker) else {
            return;
        };
        invoker.confirmation.is_probe_in_flight = false;
        let waiting = std::mem::take(&mut invoker.confirmation.waiting);
        if result.outcome != ProbeOutcome::Ready {
            self.fleet.suspects.insert(result.invoker);
        }
        match result.outcome {
            ProbeOutcome::Ready => self.invoker_was_ready(result.invoker, result.sent_at),
            ProbeOutcome::NotReady => {
                self.list_age.counts.not_ready += 1;
                invoker.confirmation.may_have_ended_at = Some(now);
                invoker.eject(now);
            }
            ProbeOutcome::Unreachable => {
                self.list_age.counts.unanswered += 1;
                invoker.record_unreachable(now, result.duration);
            }
            ProbeOutcome::TimedOut => {
                self.list_age.counts.unanswered += 1;
                invoker.eject(now);
            }
            ProbeOutcome::NotSent => {}
        }
        let is_not_sent = result.outcome == ProbeOutcome::NotSent;
        let is_too_old =
            result.outcome == ProbeOutcome::Ready && !self.may_send_new_work(result.invoker);
        if is_not_sent || is_too_old {
            // This machine's own doing: asked again at once, it would end the same.
            let later = now + HEALTH_CHECK_INTERVAL;
            return self.schedule(later, actions, Self::all(waiting));
        }
        Self::all(waiting)(self, actions);
    }

    fn all(continuations: Vec<Continuation>) -> Continuation {
        Box::new(move |policy, actions| {
            for continuation in continuations {
                continuation(policy, actions);
            }
        })
    }

    /// What runs for an invocation, unless something else was decided on it before.
    pub(super) fn unless_decided(
        state: &InvocationState,
        step: impl FnOnce(&mut Self, InvocationId, &mut dyn Actions) + 'static,
    ) -> Continuation {
        let (id, decision) = (state.request.id, state.decisions);
        Box::new(move |policy, actions| {
            let state = policy.invocations.get(&id);
            if state.is_some_and(|state| state.decisions == decision) {
                step(policy, id, actions);
            }
        })
    }
}
