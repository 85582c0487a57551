//! Changes of the invoker list, applied to the pools before the policy sees them.

use crate::state::ControllerState;
use saltdrum::interface::*;
use saltdrum_controller::AttemptReport;
use saltdrum_platform_wire::feed::EndpointRecord;
use std::cell::Cell;
use std::rc::Rc;

use super::{PendingRequest, Pool, RequestKind};

/// What the feed says reaches the pools first, so that nothing the module then does meets an old one. It has been in the feed
/// since `came` at the earliest, and counts as told since then, however late it is read.
pub(crate) fn apply_list_change(
    state: &mut ControllerState,
    whole: bool,
    lines: &[EndpointRecord],
    came: Ticks,
    started: impl Fn(u64) -> Ticks,
    grace: Ticks,
) {
    let (now, reach) = (state.invocations.now, &mut state.invocations.transport);
    let mut cut = Vec::new();
    if whole {
        for (w, p) in &mut reach.pools {
            if p.life != InvokerStatus::Gone && !lines.iter().any(|l| l.invoker == *w) {
                p.life = InvokerStatus::Gone;
                p.epoch += 1;
                p.idle.clear();
                cut.push(*w);
            }
        }
    }
    for l in lines {
        if l.life == InvokerStatus::Gone && !reach.pools.contains_key(&l.invoker) {
            continue;
        }
        let pool = reach.pools.entry(l.invoker).or_insert_with(|| Pool {
            address: l.address,
            life: l.life,
            cutoff: Rc::new(Cell::new(Ticks::MAX)),
            started: None,
            epoch: 0,
            idle: Vec::new(),
            active_requests: 0,
        });
        if pool.address != l.address || l.life == InvokerStatus::Gone {
            pool.epoch += 1;
            pool.idle.clear();
        }
        (pool.address, pool.life) = (l.address, l.life);
        // Reported again, a start is the same: a later one would be another start.
        let known = pool
            .started
            .filter(|(unix_ms, _)| Some(*unix_ms) == l.started_ms);
        pool.started = known.or_else(|| l.started_ms.map(|unix_ms| (unix_ms, started(unix_ms))));
        if l.life == InvokerStatus::Ready {
            pool.cutoff.set(Ticks::MAX);
        } else {
            cut.push(l.invoker);
        }
    }
    let start_of = |l: &EndpointRecord| {
        reach
            .pools
            .get(&l.invoker)
            .and_then(|pool| Some(pool.started?.1))
    };
    let listed: Vec<InvokerRecord> = lines.iter().map(|l| l.listed(start_of(l))).collect();
    state.policy.invokers_changed(now, whole, &listed);
    for invoker in cut {
        // Half the grace is for the way and for what has begun to leave.
        let at = came + grace / 2;
        if let Some(pool) = state.invocations.transport.pools.get(&invoker) {
            pool.cutoff.set(pool.cutoff.get().min(at));
        }
        state
            .invocations
            .schedule(at, Box::new(move |state| cut_off(state, invoker)));
    }
}

/// The time of a pool's cutoff has come: what has not begun to leave never will.
fn cut_off(state: &mut ControllerState, invoker: InvokerId) {
    let (now, reach) = (state.invocations.now, &state.invocations.transport);
    if reach
        .pools
        .get(&invoker)
        .is_none_or(|p| now < p.cutoff.get())
    {
        return;
    }
    let waits = |job: &&PendingRequest| {
        job.invoker == invoker && job.socket.as_ref().is_none_or(|s| !s.has_begun_sending())
    };
    let mut dispatches = Vec::new();
    let mut orders = Vec::new();
    for (n, job) in reach.jobs.iter().filter(|(_, job)| waits(job)) {
        match job.of {
            RequestKind::Dispatch { inv, hop } => dispatches.push((inv, hop)),
            RequestKind::Order { new_work: true } => orders.push(*n),
            RequestKind::Order { .. } | RequestKind::Aside => {}
        }
    }
    dispatches.into_iter().for_each(|(inv, hop)| {
        state.attempt_ended(inv, hop, Outcome::NotSent, &AttemptReport::default())
    });
    orders
        .into_iter()
        .for_each(|n| state.load_ended(invoker, n, LoadOutcome::NotSent, 0));
}
