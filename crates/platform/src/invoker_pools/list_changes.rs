//! Changes of the endpoint list, applied to the pools before the policy sees them.

use super::{PendingRequest, Pool, RequestKind};
use crate::state::ControllerState;
use saltdrum::interface::*;
use saltdrum_controller::AttemptReport;
use saltdrum_platform_wire::feed::EndpointRecord;
use std::cell::Cell;
use std::rc::Rc;

/// Applies the list, or an event of it, to the pools first, so that nothing the policy then does meets an old one. It has been in
/// the feed since `arrived_at` at the earliest, and counts as notified since then, however late it is read. `start_time` gives
/// the controller's time of a start in Unix milliseconds.
pub(crate) fn apply_list_change(
    state: &mut ControllerState,
    is_complete: bool,
    records: &[EndpointRecord],
    arrived_at: Ticks,
    start_time: impl Fn(u64) -> Ticks,
    grace: Ticks,
) {
    let now = state.invocations.now;
    let pools = &mut state.invocations.transport.pools;
    let mut not_ready = Vec::new();
    if is_complete {
        for (invoker, pool) in pools.iter_mut() {
            let is_listed = records.iter().any(|record| record.invoker == *invoker);
            if pool.status != InvokerStatus::Gone && !is_listed {
                pool.status = InvokerStatus::Gone;
                pool.disconnect();
                not_ready.push(*invoker);
            }
        }
    }
    for record in records {
        if record.status == InvokerStatus::Gone && !pools.contains_key(&record.invoker) {
            continue;
        }
        let pool = pools
            .entry(record.invoker)
            .or_insert_with(|| Pool::new(record));
        pool.apply(record, &start_time);
        if record.status != InvokerStatus::Ready {
            not_ready.push(record.invoker);
        }
    }
    let started_at = |record: &EndpointRecord| {
        let pool = pools.get(&record.invoker);
        pool.and_then(|pool| Some(pool.started?.1))
    };
    let invokers = records
        .iter()
        .map(|record| record.to_invoker_record(started_at(record)));
    let invokers: Vec<InvokerRecord> = invokers.collect();
    state.policy.invokers_changed(now, is_complete, &invokers);
    for invoker in not_ready {
        // Half the grace is for the way, and for what is partially sent.
        set_cutoff(state, invoker, arrived_at + grace / 2);
    }
}

/// No new work begins to be sent to an invoker from `at` on.
fn set_cutoff(state: &mut ControllerState, invoker: InvokerId, at: Ticks) {
    if let Some(pool) = state.invocations.transport.pools.get(&invoker) {
        pool.cutoff.set(pool.cutoff.get().min(at));
    }
    let enforce = move |state: &mut ControllerState| enforce_cutoff(state, invoker);
    state.invocations.schedule(at, Box::new(enforce));
}

/// The time of a pool's cutoff has come: new work that has not begun to be sent never is.
fn enforce_cutoff(state: &mut ControllerState, invoker: InvokerId) {
    let now = state.invocations.now;
    let transport = &state.invocations.transport;
    let pool = transport.pools.get(&invoker);
    if pool.is_none_or(|pool| now < pool.cutoff.get()) {
        return;
    }
    let is_waiting = |request: &PendingRequest| {
        let socket = request.socket.as_ref();
        request.invoker == invoker && socket.is_none_or(|socket| !socket.has_begun_sending())
    };
    let mut attempts = Vec::new();
    let mut orders = Vec::new();
    for (order, request) in transport
        .requests
        .iter()
        .filter(|(_, request)| is_waiting(request))
    {
        match request.kind {
            RequestKind::Dispatch {
                invocation,
                attempt,
            } => attempts.push((invocation, attempt)),
            RequestKind::Load {
                is_new_work: true, ..
            } => orders.push(*order),
            RequestKind::Load { .. } | RequestKind::Probe | RequestKind::Background => {}
        }
    }
    for (invocation, attempt) in attempts {
        state.attempt_ended(
            invocation,
            attempt,
            Outcome::NotSent,
            &AttemptReport::default(),
        );
    }
    for order in orders {
        state.load_ended(invoker, order, LoadOutcome::NotSent, 0);
    }
}

impl Pool {
    fn new(record: &EndpointRecord) -> Self {
        Self {
            address: record.address,
            status: record.status,
            cutoff: Rc::new(Cell::new(Ticks::MAX)),
            started: None,
            epoch: 0,
            idle: Vec::new(),
            active_requests: 0,
            is_not_ready: false,
        }
    }

    /// Open connections lead to another process, or to none.
    fn disconnect(&mut self) {
        self.epoch += 1;
        self.idle.clear();
    }

    fn apply(&mut self, record: &EndpointRecord, start_time: impl Fn(u64) -> Ticks) {
        if self.address != record.address || record.status == InvokerStatus::Gone {
            self.disconnect();
        }
        self.address = record.address;
        self.status = record.status;
        // A start that is reported again is the same: a later one would be another start.
        let known = self
            .started
            .filter(|(unix_ms, _)| Some(*unix_ms) == record.started_ms);
        let reported = || Some((record.started_ms?, start_time(record.started_ms?)));
        self.started = known.or_else(reported);
        if record.status == InvokerStatus::Ready {
            self.cutoff.set(Ticks::MAX);
        }
    }
}
