//! Logs the controller's counters, the policy's view of each invoker, and changes of the readiness that invokers
//! report.

use super::{InvokerPools, RequestKind};
use crate::state::{ControllerState, NodeConfig};
use saltdrum::interface::{InvokerId, InvokerView, MILLISECOND, ProbeOutcome, Ticks};
use saltdrum_platform_wire::feed::format_invoker_id;
use tracing::{Level, debug, enabled, info, warn};

/// Logs the counters, and the policy's view of each invoker with the state of its connections.
pub(crate) fn log_invoker_views(state: &ControllerState, config: &NodeConfig) {
    if !enabled!(Level::INFO) {
        return;
    }
    log_counters(state, config);
    for view in state.policy.invoker_views(state.invocations.now) {
        log_invoker_view(state, &view);
    }
}

fn log_counters(state: &ControllerState, config: &NodeConfig) {
    let (feed, client_memory) = (&config.feed, &config.clients.memory);
    let transport = &state.invocations.transport;
    let response_memory = &transport.response_memory;
    let transactions = &config.clients.transactions;
    let counters = &state.invocations.counters;
    let sizes = state.policy.table_sizes();
    let readiness = state.policy.readiness_counts();
    info!(
        taken = counters.accepted,
        stale = counters.expired_on_arrival,
        succeeded = counters.succeeded,
        throttled = counters.throttled,
        errored = counters.errored,
        left = counters.abandoned,
        too_late = counters.answered_too_late,
        dispatches = counters.attempts,
        turned_away = counters.attempts_rejected,
        orders = counters.load_orders,
        orders_turned_away = counters.load_orders_rejected,
        orders_counted = sizes.loads_counted,
        invocations_counted = sizes.invocations_counted,
        functions = sizes.functions,
        functions_unproven = sizes.unproven_functions,
        functions_evicted = sizes.evicted_functions,
        untracked = sizes.untracked_invocations,
        instances = sizes.instances,
        ranked = sizes.ranked,
        policy_timers = sizes.timers,
        load_waits = sizes.load_waits,
        scanned_unload = sizes.scanned.unload,
        scanned_timers = sizes.scanned.timers,
        longest_scan = sizes.scanned.longest_event,
        timers = state.invocations.timers(),
        in_flight = state.invocations.in_flight(),
        client_lines = config.clients.lines.used(),
        client_lines_refused = config.clients.lines.refused(),
        lines = transport.open_connections.get(),
        clients = config.clients.count(),
        held_bytes = transport.held_bytes.get(),
        client_bytes = client_memory.used(),
        unread_bytes = client_memory.queued_bytes(),
        client_memory_refused = client_memory.refused(),
        clients_closed_for_memory = client_memory.ended(),
        response_bytes = response_memory.used(),
        response_memory_refused = response_memory.refused(),
        ids_recent = transactions.recent_count(),
        ids_forgotten = transactions.forgotten(),
        ids_refused = transactions.refused(),
        list_event = feed.last_event(),
        list_age_ms = feed.age(state.invocations.now) / MILLISECOND,
        feed_losses = feed.losses(),
        probes = readiness.probes,
        probes_not_ready = readiness.not_ready,
        probes_unanswered = readiness.unanswered,
        probe_waits = readiness.waits,
        "counts"
    );
}

fn log_invoker_view(state: &ControllerState, view: &InvokerView) {
    let transport = &state.invocations.transport;
    let requests = transport.requests.values();
    let requests = requests.filter(|request| request.invoker == view.invoker);
    let attempts = requests.filter(|request| matches!(request.kind, RequestKind::Dispatch { .. }));
    let sent = attempts.clone().count();
    let on_sockets = attempts.filter(|attempt| attempt.is_at_invoker()).count();
    let pool = transport.pools.get(&view.invoker);
    info!(
        id = format_invoker_id(view.invoker),
        out = view.in_flight,
        sent,
        on_sockets,
        idle = pool.map_or(0, |pool| pool.idle.len()),
        slow = view.slowdown,
        errors = view.error_rate,
        shut = view.is_ejected,
        "belief"
    );
}

impl InvokerPools {
    /// Logs when the readiness that an invoker reports changes.
    pub(crate) fn log_readiness(&mut self, invoker: InvokerId, outcome: ProbeOutcome) {
        let Some(pool) = self.pools.get_mut(&invoker) else {
            return;
        };
        let id = format_invoker_id(invoker);
        let was_not_ready = pool.is_not_ready;
        match outcome {
            ProbeOutcome::NotReady => pool.is_not_ready = true,
            ProbeOutcome::Ready => pool.is_not_ready = false,
            _ => debug!(id, ?outcome, "probe not answered"),
        }
        match (was_not_ready, pool.is_not_ready) {
            (false, true) => warn!(id, "invoker reported not ready"),
            (true, false) => warn!(id, "invoker reported ready again"),
            _ => {}
        }
    }

    /// Logs, once per loss of the feed, that invokers are probed before they receive new work.
    pub(super) fn log_list_out_of_date(&self, now: Ticks) {
        if let Some(handle) = self.handle.upgrade() {
            handle.config.feed.log_out_of_date(now);
        }
    }
}
