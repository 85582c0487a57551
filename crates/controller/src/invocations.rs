//! Invocations in flight, from acceptance to the one final response and the end of the last attempt.
//!
//! Independent of any wire protocol: clients are reached through [`Responder`], invokers through [`InvokerTransport`].

mod actions;
mod counters;

pub use counters::Counters;

use crate::responder::{FinalResponse, Responder};
use crate::state::{ControllerState, StateCallback};
use crate::transport::{AttemptReport, InvokerTransport};
use saltdrum::interface::{
    AttemptResult, Deployment, FunctionId, Invocation, InvocationId, InvokerId, LoadOutcome,
    LoadResult, MILLISECOND, Outcome, ProbeResult, Ticks,
};
use std::collections::{BTreeMap, VecDeque};
use tracing::{Span, debug, warn};

/// Identifies a timer and orders timers by due time. Timers with the same due time fire in the order in which they were set.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerKey {
    /// When the timer fires.
    pub at: Ticks,
    number: u64,
}

/// The invocations, load orders and timers of one controller.
pub struct InvocationTable<T: InvokerTransport> {
    /// The time of the current event.
    pub now: Ticks,
    /// Sends attempts and load orders to invokers.
    pub transport: T,
    /// Event counters.
    pub counters: Counters,
    /// A load order times out after this time without an answer.
    order_timeout: Ticks,
    may_cancel: bool,
    entries: BTreeMap<InvocationId, InvocationEntry<T>>,
    load_orders: BTreeMap<(InvokerId, u64), LoadOrder>,
    timers: BTreeMap<TimerKey, StateCallback<T>>,
    last_timer: u64,
    /// The timers that the policy has set, by its tokens.
    policy_timers: BTreeMap<u64, TimerKey>,
    /// Callbacks to run after the policy has returned.
    deferred: VecDeque<StateCallback<T>>,
    last_id: InvocationId,
}

/// One invocation, from its acceptance to the end of its last attempt.
struct InvocationEntry<T: InvokerTransport> {
    payload: T::Payload,
    function: FunctionId,
    expires_at: Ticks,
    /// When the client stops waiting; no response is sent from then on.
    client_deadline: Ticks,
    /// `None` once the final response was sent or the client has stopped waiting.
    responder: Option<T::Responder>,
    attempts: u8,
    in_flight: BTreeMap<u8, AttemptEntry>,
    span: Span,
}

struct AttemptEntry {
    invoker: InvokerId,
    dispatch: u64,
    sent_at: Ticks,
    timer: TimerKey,
    span: Span,
}

struct LoadOrder {
    function: FunctionId,
    sent_at: Ticks,
    timer: TimerKey,
}

impl<T: InvokerTransport> InvocationTable<T> {
    /// Creates an empty table. A load order times out after `order_timeout` without an answer.
    pub fn new(now: Ticks, transport: T, deployment: &Deployment, order_timeout: Ticks) -> Self {
        Self {
            now,
            transport,
            counters: Counters::default(),
            order_timeout,
            may_cancel: deployment.may_cancel,
            entries: BTreeMap::new(),
            load_orders: BTreeMap::new(),
            timers: BTreeMap::new(),
            last_timer: 0,
            policy_timers: BTreeMap::new(),
            deferred: VecDeque::new(),
            last_id: 0,
        }
    }

    /// Number of invocations without a final response or with an attempt in flight.
    pub fn in_flight(&self) -> usize {
        self.entries.len()
    }

    /// Number of invocations without a final response.
    pub fn awaiting_response(&self) -> usize {
        let awaiting = self
            .entries
            .values()
            .filter(|entry| entry.responder.is_some());
        awaiting.count()
    }

    /// Number of timers that have not fired.
    pub fn timers(&self) -> usize {
        self.timers.len()
    }

    /// Schedules `callback` to run at `at`.
    pub fn schedule(&mut self, at: Ticks, callback: StateCallback<T>) -> TimerKey {
        let key = self.next_timer_key(at);
        self.last_timer = key.number;
        self.timers.insert(key, callback);
        key
    }

    /// Defers `callback` until the policy has returned.
    pub fn defer(&mut self, callback: StateCallback<T>) {
        self.deferred.push_back(callback);
    }

    /// Allocates an unused ID for a new invocation.
    pub fn next_invocation_id(&mut self) -> InvocationId {
        loop {
            self.last_id = self.last_id.wrapping_add(1);
            if !self.entries.contains_key(&self.last_id) {
                return self.last_id;
            }
        }
    }

    fn next_timer_key(&self, at: Ticks) -> TimerKey {
        TimerKey {
            at,
            number: self.last_timer + 1,
        }
    }

    pub(crate) fn first_timer(&self) -> Option<TimerKey> {
        self.timers.keys().next().copied()
    }

    pub(crate) fn next_due_timer(&mut self) -> Option<StateCallback<T>> {
        let first = self.timers.first_entry()?;
        (first.key().at <= self.now).then(|| first.remove())
    }

    pub(crate) fn next_deferred(&mut self) -> Option<StateCallback<T>> {
        self.deferred.pop_front()
    }

    /// Sends the final response, unless one was sent or the client has stopped waiting.
    fn respond(&mut self, id: InvocationId, response: FinalResponse) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let Some(responder) = entry.responder.take() else {
            return;
        };
        let span = entry.span.clone().entered();
        if self.now >= entry.client_deadline {
            self.counters.answered_too_late += 1;
            warn!("final response decided after the client timeout, not sent");
            responder.abandon(id);
        } else {
            let remaining = entry.client_deadline - self.now;
            self.counters
                .count_response(&response, entry.attempts, remaining);
            responder.respond(id, response, entry.attempts, entry.client_deadline);
        }
        // The policy may respond from a timer, where no later call removes the invocation.
        drop(span);
        self.remove_if_finished(id);
    }

    /// Removes an invocation that has its final response and no attempt in flight.
    fn remove_if_finished(&mut self, id: InvocationId) {
        let entry = self.entries.get(&id);
        if entry.is_some_and(|entry| entry.responder.is_none() && entry.in_flight.is_empty()) {
            self.entries.remove(&id);
        }
    }
}

impl Counters {
    fn count_response(&mut self, response: &FinalResponse, attempts: u8, remaining: Ticks) {
        match response {
            FinalResponse::Succeeded(_) => {
                self.succeeded += 1;
                debug!(outcome = "succeeded");
            }
            FinalResponse::Throttled(retry_after) => {
                self.throttled += 1;
                debug!(
                    outcome = "throttled",
                    retry_after_ms = retry_after / MILLISECOND,
                    attempts,
                    remaining_ms = remaining / MILLISECOND
                );
            }
            FinalResponse::Errored(reason) => {
                self.errored += 1;
                debug!(outcome = "errored", reason);
            }
        }
    }
}

impl<T: InvokerTransport> ControllerState<T> {
    /// Accepts an invocation, which from then on has to get a final response before `client_deadline` (rule 1).
    pub fn accept(
        &mut self,
        invocation: Invocation,
        client_deadline: Ticks,
        payload: T::Payload,
        responder: T::Responder,
        span: Span,
    ) {
        let id = invocation.id;
        self.invocations.counters.accepted += 1;
        let entry = InvocationEntry {
            payload,
            function: invocation.function,
            expires_at: invocation.expires_at,
            client_deadline,
            responder: Some(responder),
            attempts: 0,
            in_flight: BTreeMap::new(),
            span,
        };
        self.invocations.entries.insert(id, entry);
        let now = self.invocations.now;
        self.policy
            .invocation_arrived(now, invocation, &mut self.invocations);
        self.invocations.remove_if_finished(id);
    }

    /// Handles a client that has stopped waiting: it gets no final response, and attempts in flight are withdrawn or cancelled.
    pub fn abandon_invocation(&mut self, id: InvocationId) {
        let table = &mut self.invocations;
        let Some(entry) = table.entries.get_mut(&id) else {
            return;
        };
        let was_waiting = entry.responder.take().is_some();
        table.counters.abandoned += u64::from(was_waiting);
        let attempts = entry.in_flight.iter();
        let attempts: Vec<(u8, InvokerId, u64)> = attempts
            .map(|(attempt, entry)| (*attempt, entry.invoker, entry.dispatch))
            .collect();
        for (attempt, invoker, dispatch) in attempts {
            if table.transport.withdraw(invoker, dispatch) {
                table.defer_attempt_end(id, attempt, Outcome::NotSent);
            } else if table.may_cancel && table.transport.cancel(invoker, dispatch) {
                // If the attempt ended by its timeout, the policy would count the invoker as slow.
                table.defer_attempt_end(id, attempt, Outcome::Cancelled);
            }
        }
        self.policy
            .invocation_abandoned(self.invocations.now, id, &mut self.invocations);
        self.invocations.remove_if_finished(id);
    }

    /// Sends the final response of every invocation at once, because the process is terminating. Returns their number.
    pub fn end_all_invocations(&mut self) -> usize {
        let entries = self.invocations.entries.iter();
        let awaiting = entries.filter(|(_, entry)| entry.responder.is_some());
        let ids: Vec<InvocationId> = awaiting.map(|(id, _)| *id).collect();
        for id in &ids {
            self.end_invocation(*id);
        }
        ids.len()
    }

    /// Sends the final response of an invocation at once, because it cannot be sent later: rejected if no attempt was made,
    /// failed otherwise.
    pub fn end_invocation(&mut self, id: InvocationId) {
        let Some(entry) = self.invocations.entries.get(&id) else {
            return;
        };
        let response = if entry.attempts == 0 {
            FinalResponse::Throttled(0)
        } else {
            FinalResponse::Errored("given up")
        };
        self.invocations.respond(id, response);
        self.abandon_invocation(id);
    }

    /// Handles the end of an attempt: sends a successful result to the client, and reports every outcome to the policy.
    pub fn attempt_ended(
        &mut self,
        id: InvocationId,
        attempt: u8,
        outcome: Outcome,
        report: &AttemptReport,
    ) {
        let table = &mut self.invocations;
        let Some(entry) = table.entries.get_mut(&id) else {
            return;
        };
        let Some(ended) = entry.in_flight.remove(&attempt) else {
            return;
        };
        let duration = table.now.saturating_sub(ended.sent_at);
        ended
            .span
            .in_scope(|| debug!(?outcome, duration_ms = duration / MILLISECOND));
        table.timers.remove(&ended.timer);
        table.counters.attempts_rejected += u64::from(outcome == Outcome::Full);
        let (invoker, dispatch) = (ended.invoker, ended.dispatch);
        table
            .transport
            .attempt_ended(invoker, dispatch, &entry.payload, outcome, report);
        if outcome == Outcome::Succeeded {
            table.respond(id, FinalResponse::Succeeded(&report.output));
        }
        let entry = table.entries.get(&id);
        let result = AttemptResult {
            invocation: id,
            invoker,
            attempt,
            invocation_finished: entry.is_none_or(|entry| entry.responder.is_none()),
            outcome,
            start_kind: report.start_kind,
            concurrency: report.concurrency,
            duration,
            report: report.load_report,
        };
        self.policy
            .attempt_ended(self.invocations.now, result, &mut self.invocations);
        self.invocations.remove_if_finished(id);
    }

    /// Reports the result of a probe to the policy.
    pub fn probe_ended(&mut self, result: ProbeResult) {
        self.policy
            .probe_ended(self.invocations.now, result, &mut self.invocations);
    }

    /// Reports the result of a load order to the policy.
    pub fn load_ended(
        &mut self,
        invoker: InvokerId,
        order: u64,
        outcome: LoadOutcome,
        loaded_instances: u8,
    ) {
        let table = &mut self.invocations;
        let sent_at = table.transport.load_sent_at(order);
        let Some(ended) = table.load_orders.remove(&(invoker, order)) else {
            return;
        };
        table.timers.remove(&ended.timer);
        let is_rejected = outcome == LoadOutcome::NoCapacity;
        table.counters.load_orders_rejected += u64::from(is_rejected);
        table.transport.load_ended(invoker, order);
        let duration = table.now - ended.sent_at;
        debug!(
            invoker,
            function = format_args!("{:016x}", ended.function),
            order,
            ?outcome,
            loaded_instances,
            duration_ms = duration / MILLISECOND,
            "load order ended"
        );
        let result = LoadResult {
            invoker,
            function: ended.function,
            outcome,
            loaded_instances,
            duration,
            sent_at,
        };
        self.policy
            .load_ended(self.invocations.now, result, &mut self.invocations);
    }
}
