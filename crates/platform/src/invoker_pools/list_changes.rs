//! Applies changes of the endpoint list to the pools before the policy sees them.

use super::{PendingRequest, Pool, RequestKind};
use crate::state::ControllerState;
use saltdrum::interface::*;
use saltdrum_controller::AttemptReport;
use saltdrum_platform_wire::feed::EndpointRecord;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;

/// Applies a complete list or an event to the pools and then to the policy, so that the policy's actions use the
/// current pools. It arrived at `arrived_at` at the earliest, and the drain grace counts from then, however late it is
/// read. `start_time` converts a start in Unix milliseconds to the controller's clock.
pub(crate) fn apply_list_change(
    state: &mut ControllerState,
    is_complete: bool,
    records: &[EndpointRecord],
    arrived_at: Ticks,
    start_time: impl Fn(u64) -> Ticks,
    grace: Ticks,
) {
    let now = state.invocations.now;
    let transport = &mut state.invocations.transport;
    let pools = &mut transport.pools;
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
        let is_new = !pools.contains_key(&record.invoker);
        let pool = pools
            .entry(record.invoker)
            .or_insert_with(|| Pool::new(record));
        let is_new_process = pool.apply(record, &start_time) || is_new;
        if is_new_process && record.status != InvokerStatus::Gone {
            pool.is_displaced = false;
            let previous = transport
                .by_address
                .insert(record.address, record.invoker)
                .filter(|previous| *previous != record.invoker);
            displace(pools, previous, record.address);
        }
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
    end_requests(state, |request| {
        request.process_ended.get() && !request.is_sent_completely()
    });
    for invoker in not_ready {
        // Half the grace is reserved for the transit and for partially sent requests.
        set_cutoff(state, invoker, arrived_at + grace / 2);
    }
}

/// Records that another invoker has the address of `previous`: a process listens at it alone, so that of `previous` has
/// ended, even if the list does not tell so yet.
fn displace(
    pools: &mut BTreeMap<InvokerId, Pool>,
    previous: Option<InvokerId>,
    address: SocketAddrV4,
) {
    let pool = previous.and_then(|invoker| pools.get_mut(&invoker));
    if let Some(pool) = pool.filter(|pool| pool.address == address) {
        pool.is_displaced = true;
        pool.disconnect();
    }
}

/// Sets the time from which no new work begins to be sent to an invoker.
fn set_cutoff(state: &mut ControllerState, invoker: InvokerId, at: Ticks) {
    if let Some(pool) = state.invocations.transport.pools.get(&invoker) {
        pool.cutoff.set(pool.cutoff.get().min(at));
    }
    let enforce = move |state: &mut ControllerState| enforce_cutoff(state, invoker);
    state.invocations.schedule(at, Box::new(enforce));
}

/// At the cutoff of a pool, ends new work that has not begun to be sent.
fn enforce_cutoff(state: &mut ControllerState, invoker: InvokerId) {
    let now = state.invocations.now;
    let pool = state.invocations.transport.pools.get(&invoker);
    if pool.is_none_or(|pool| now < pool.cutoff.get()) {
        return;
    }
    end_requests(state, |request| {
        let socket = request.socket.as_ref();
        request.invoker == invoker && socket.is_none_or(|socket| !socket.has_begun_sending())
    });
}

/// Ends the new work that `is_ended` selects, none of which was sent completely: it never ran.
fn end_requests(state: &mut ControllerState, is_ended: impl Fn(&PendingRequest) -> bool) {
    let mut attempts = Vec::new();
    let mut orders = Vec::new();
    for (order, request) in &state.invocations.transport.requests {
        if !is_ended(request) {
            continue;
        }
        match request.kind {
            RequestKind::Dispatch {
                invocation,
                attempt,
            } => attempts.push((invocation, attempt)),
            RequestKind::Load {
                is_new_work: true, ..
            } => orders.push((request.invoker, *order)),
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
    for (invoker, order) in orders {
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
            process_ended: Rc::default(),
            is_displaced: false,
            idle: Vec::new(),
            active_requests: 0,
            is_not_ready: false,
        }
    }

    /// Closes idle connections, and prevents the reuse of those in use, as the process to which they lead has ended. What
    /// was not sent to it completely is not sent.
    fn disconnect(&mut self) {
        self.epoch += 1;
        self.idle.clear();
        std::mem::take(&mut self.process_ended).set(true);
    }

    /// Applies a record. Returns whether it tells of another process than before.
    fn apply(&mut self, record: &EndpointRecord, start_time: impl Fn(u64) -> Ticks) -> bool {
        let known_start_ms = self.started.map(|(unix_ms, _)| unix_ms);
        let has_restarted = record.started_ms.is_some() && record.started_ms != known_start_ms;
        let was_gone = self.status == InvokerStatus::Gone;
        let is_new_process = was_gone || self.address != record.address || has_restarted;
        if is_new_process || record.status == InvokerStatus::Gone {
            self.disconnect();
        }
        self.address = record.address;
        self.status = record.status;
        // The same start may be reported again; its converted time does not change then.
        let known_start = self
            .started
            .filter(|(unix_ms, _)| Some(*unix_ms) == record.started_ms);
        let reported_start = || Some((record.started_ms?, start_time(record.started_ms?)));
        self.started = known_start.or_else(reported_start);
        if record.status == InvokerStatus::Ready {
            self.cutoff.set(Ticks::MAX);
        }
        is_new_process
    }
}
