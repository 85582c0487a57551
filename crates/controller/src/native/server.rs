//! The native path: JSON-RPC in, multiplexed links out, round the invocations.

use crate::invocations::{
    self, AttemptReport, FinalResponse, InvocationTable, InvokerTransport, OutgoingDispatch,
    Responder,
};
use crate::native::aliases::{AliasConfig, AliasResolver};
use crate::native::clients::Reply;
use crate::native::invoker_connections::InvokerConnection;
use crate::native::{aliases, clients, endpoint_list, invoker_connections};
use crate::policy::MakePolicy;
use crate::reconnect::ConnectBudget;
use crate::shutdown::{ControllerStatus, ShutdownHandle};
use saltdrum::interface::*;
use saltdrum_deployment::Terms;
use saltdrum_protocol::{invoker as wire, rpc};
use saltdrum_registry::passage::{Fixed, Said, Unfixed};
use saltdrum_transport::{Address, Clock, Network, run_event_loop_clock};
use serde_json::json;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tracing::{error, info, info_span, warn};

/// How often it is looked whether invokers can be reached, and how often at most once the list is in.
const READY_LOOK: Duration = Duration::from_millis(10);
const READY_LOOKS: u32 = 200;

/// Where one controller sits.
#[derive(Clone)]
pub struct ControllerConfig {
    pub controller: u32,
    pub incarnation: u64,
    pub seed: u64,
    pub zone: u8,
    /// Where clients come in.
    pub client_addresses: Vec<Address>,
    /// Lists of invokers: one at a time is followed, the next when it is lost. Several are those of one fleet.
    pub endpoint_lists: Vec<Address>,
    pub terms: Rc<Terms>,
    /// Where names that are not in the terms are looked up; none: there are no others.
    pub aliases: Option<AliasConfig>,
    pub shutdown: ShutdownHandle,
    /// Clients come in once invokers can be reached: before that everything would be throttled, and there are others.
    pub listens_when_ready: bool,
}

pub(crate) type ControllerHandle = invocations::ControllerHandle<InvokerConnections>;
pub(crate) type ControllerState = invocations::ControllerState<InvokerConnections>;

/// How invokers are reached here: one multiplexed link each.
pub(crate) struct InvokerConnections {
    pub terms: Rc<Terms>,
    pub functions: BTreeMap<FunctionId, String>,
    pub by_invoker: BTreeMap<InvokerId, InvokerConnection>,
    pub connect_budget: ConnectBudget,
    pub rng: fastrand::Rng,
    pub list_revision: Option<u64>,
    pub has_endpoint_list: bool,
    pub aliases: Option<AliasResolver>,
}

/// What goes along with an invocation's dispatches.
pub(crate) struct Payload {
    call: rpc::Invoke,
    /// Of a version of the registry.
    runs: Option<Runs>,
}

/// A version, as invokers know it, and its passage.
struct Runs {
    name: String,
    fixed: Fixed,
}

/// A caller, and what its answer tells of its passage.
pub(crate) struct Caller {
    reply: Reply,
    of_passage: String,
}

impl Responder for Caller {
    fn respond(self, id: InvocationId, how: FinalResponse, hops: u8, until: Ticks) {
        let Self { reply, of_passage } = self;
        match how {
            FinalResponse::Succeeded(output) => {
                let output = std::str::from_utf8(output).unwrap_or("null");
                let result = format!(r#"{{"output":{output},"dispatches":{hops}{of_passage}}}"#);
                reply.result(id, &result, until);
            }
            FinalResponse::Throttled(wait) => {
                let data = format!(
                    r#"{{"come_back_ms":{},"dispatches":{hops}{of_passage}}}"#,
                    wait / MILLISECOND
                );
                reply.error(id, rpc::THROTTLED, "throttled", Some(&data), until);
            }
            FinalResponse::Errored(why) => {
                let data = format!(r#"{{"dispatches":{hops}{of_passage}}}"#);
                reply.error(id, rpc::ERRORED, why, Some(&data), until);
            }
        }
    }

    fn abandon(self, id: InvocationId) {
        self.reply.drop_out(id);
    }
}

impl InvokerTransport for InvokerConnections {
    type Payload = Payload;
    type Responder = Caller;
    type Config = ControllerConfig;

    fn dispatch(&mut self, s: &OutgoingDispatch<Payload>) -> Result<u64, Outcome> {
        let Payload { call, runs } = s.payload;
        let frame = wire::DispatchOut {
            dispatch: 0,
            invocation: s.invocation,
            hop: s.attempt,
            function: s.function,
            name: runs.as_ref().map_or(&call.function, |r| &r.name),
            tenant: &call.tenant,
            trigger: &call.trigger,
            left_tenths: s.client_deadline - s.now.min(s.client_deadline),
            token: call.token.as_deref(),
            input: call
                .input
                .as_ref()
                .map_or(&b"null"[..], |i| i.get().as_bytes())
                .into(),
        };
        let link = self
            .by_invoker
            .get_mut(&s.invoker)
            .ok_or(Outcome::NoConnection)?;
        link.dispatch(frame, s.send_by, s.invocation, s.attempt)
    }

    fn withdraw(&mut self, invoker: InvokerId, dispatch: u64) -> bool {
        self.by_invoker
            .get_mut(&invoker)
            .is_some_and(|link| link.withdraw(dispatch))
    }

    fn cancel(&mut self, invoker: InvokerId, dispatch: u64) -> bool {
        if let Some(link) = self.by_invoker.get_mut(&invoker) {
            link.cancel(dispatch);
        }
        // The invoker answers what came of it.
        false
    }

    fn attempt_ended(
        &mut self,
        invoker: InvokerId,
        dispatch: u64,
        carried: &Payload,
        outcome: Outcome,
        told: &AttemptReport,
    ) {
        // By dispatches, not by final answers: what erred may have been answered well by another try, or throttled.
        let well = match outcome {
            Outcome::Succeeded => Some(true),
            Outcome::Errored | Outcome::TimedOut => Some(false),
            _ => (told.start_kind == Some(StartKind::LoadFailed)).then_some(false),
        };
        let staged = carried.runs.as_ref().and_then(|r| r.fixed.staged.as_ref());
        if let (Some(names), Some(staged), Some(well)) = (&mut self.aliases, staged, well) {
            names.count(staged, well);
        }
        if let Some(link) = self.by_invoker.get_mut(&invoker) {
            link.forget(dispatch);
        }
    }

    fn load(
        &mut self,
        _: Ticks,
        invoker: InvokerId,
        function: FunctionId,
        count: u8,
    ) -> Result<u64, LoadOutcome> {
        let name = self.functions.get(&function).cloned().unwrap_or_default();
        let link = self.by_invoker.get_mut(&invoker);
        link.and_then(|link| link.load(function, name, count))
            .ok_or(LoadOutcome::Unreachable)
    }

    fn load_ended(&mut self, invoker: InvokerId, order: u64) {
        if let Some(link) = self.by_invoker.get_mut(&invoker) {
            link.load_orders.remove(&order);
        }
    }

    fn unload(&mut self, _: Ticks, invoker: InvokerId, function: FunctionId) {
        if let Some(link) = self.by_invoker.get_mut(&invoker) {
            link.unload(function);
        }
    }

    fn probe(&mut self, _: Ticks, invoker: InvokerId) {
        if let Some(link) = self.by_invoker.get_mut(&invoker) {
            link.probe();
        }
    }
}

pub(crate) fn status(handle: &ControllerHandle) -> String {
    handle.inspect(|state| {
        let (d, r, c) = (&state.invocations, &state.invocations.transport, &state.invocations.counters);
        json!({
            "controller": handle.config.controller, "incarnation": handle.config.incarnation,
            "list_revision": r.list_revision, "in_flight": d.in_flight(),
            "links": r.by_invoker.len(), "links_up": r.by_invoker.values().filter(|l| l.is_up()).count(),
            "taken": c.accepted, "succeeded": c.succeeded, "throttled": c.throttled, "errored": c.errored,
            "left": c.client_left, "stale": c.expired_on_arrival, "too_late": c.answered_too_late, "dispatches": c.attempts,
            "names": r.aliases.as_ref().map(|n| n.told(handle.clock.now())),
            "orders": c.load_orders, "broken_links": c.broken_connections, "stood_still": c.process_stops,
        })
        .to_string()
    })
}

/// An invocation was read; it came at `earliest` or later.
pub(crate) fn invoke(
    state: &mut ControllerState,
    call: rpc::Invoke,
    least_left: Option<Ticks>,
    earliest: Ticks,
    mut reply: Reply,
) {
    let invocations = &mut state.invocations;
    let now = invocations.now;
    let terms = invocations.transport.terms.clone();
    let bad = |what: &str, name: &str| format!("{what} '{name}': not one of this deployment");
    let trigger = terms.trigger_names.iter().position(|n| *n == call.trigger);
    let tenant = terms.tenant_names.iter().position(|n| *n == call.tenant);
    let (Some(trigger), Some(tenant)) = (trigger, tenant) else {
        let what = if trigger.is_none() {
            bad("trigger", &call.trigger)
        } else {
            bad("tenant", &call.tenant)
        };
        return reply.refuse(rpc::INVALID_PARAMS, &what);
    };
    let (function, memory, lanes, load_hint, runs) = match terms.functions.get(&call.function) {
        Some(f) => (f.id, f.memory, f.lanes, f.load, None),
        None => {
            let Some(names) = &mut invocations.transport.aliases else {
                return reply.refuse(rpc::INVALID_PARAMS, &bad("function", &call.function));
            };
            let said = Said {
                passage: call.passage.as_deref(),
                version: call.version.as_deref(),
                until_ms: call.passage_until_ms,
            };
            match names.fix(now, &call.tenant, &call.trigger, &call.function, &said) {
                Ok(runs) => {
                    invocations
                        .transport
                        .functions
                        .entry(runs.function)
                        .or_insert_with(|| runs.name.clone());
                    let kept = Runs {
                        name: runs.name,
                        fixed: runs.fixed,
                    };
                    (runs.function, runs.memory, runs.lanes, None, Some(kept))
                }
                Err(why @ (Unfixed::Withdrawn(_) | Unfixed::Over(_))) => {
                    return reply.refuse(rpc::PASSAGE_OVER, &why.to_string());
                }
                Err(why) => return reply.refuse(rpc::INVALID_PARAMS, &why.to_string()),
            }
        }
    };
    let stated = &terms.deployment.trigger_types[trigger];
    let left = match time_left(&call, stated.client_timeout) {
        Ok(left) => least_left.map_or(left, |least| left.min(least)),
        Err(why) => return reply.refuse(rpc::INVALID_PARAMS, &why),
    };
    let gone = earliest + left;
    if now >= gone {
        invocations.counters.expired_on_arrival += 1;
        return reply.forget();
    }
    let id = invocations.next_invocation();
    reply.opened(id);
    // Short waits keep their larger part for the work.
    let expires = gone - terms.answer_margin.min(left / 4);
    let work_hint = call
        .work_hint_ms
        .filter(|ms| *ms > 0.0)
        .map(|ms| (ms * MILLISECOND as f64) as Ticks);
    let invocation = Invocation {
        id,
        trigger,
        tenant,
        function,
        earliest_arrival: earliest,
        expires_at: expires,
        work_hint,
        memory_mb: memory,
        concurrency_limit: lanes,
        load_time_hint: load_hint,
    };
    let span = info_span!(
        "invocation",
        id,
        function = call.function,
        tenant = call.tenant
    );
    let of_passage = runs.as_ref().map_or_else(String::new, |r: &Runs| {
        format!(
            r#","version":"{}","passage_until_ms":{}"#,
            r.name, r.fixed.until_ms
        )
    });
    state.accept(
        invocation,
        gone,
        Payload { call, runs },
        Caller { reply, of_passage },
        span,
    );
}

fn time_left(call: &rpc::Invoke, most: Ticks) -> Result<Ticks, String> {
    match call.time_left_ms {
        None => Ok(most),
        Some(ms) if ms.is_finite() && ms > 0.0 => Ok(most.min((ms * MILLISECOND as f64) as Ticks)),
        Some(ms) => Err(format!("time_left_ms = {ms}: more than 0 is expected")),
    }
}

/// Runs one controller until the future is dropped, which is as sudden as a kill. Fails when it can't listen. `make`
/// is [`dispatch_policy`](crate::dispatch_policy) but for measurements.
pub async fn serve(
    seat: ControllerConfig,
    network: Rc<dyn Network>,
    clock: Clock,
    make: MakePolicy,
) -> std::io::Result<()> {
    let local = tokio::task::LocalSet::new();
    local.run_until(run(seat, network, clock, make)).await
}

async fn run(
    seat: ControllerConfig,
    network: Rc<dyn Network>,
    clock: Clock,
    make: MakePolicy,
) -> std::io::Result<()> {
    let (now, terms) = (clock.now(), seat.terms.clone());
    let deployment = Deployment {
        zone: seat.zone,
        ..terms.deployment.clone()
    };
    let order_timeout = terms.order_timeout;
    let reach = InvokerConnections {
        functions: terms
            .functions
            .values()
            .map(|f| (f.id, f.name.clone()))
            .collect(),
        terms,
        by_invoker: BTreeMap::new(),
        connect_budget: ConnectBudget::new(now),
        rng: fastrand::Rng::with_seed(seat.seed ^ 0x5eed),
        list_revision: None,
        has_endpoint_list: false,
        aliases: seat.aliases.as_ref().map(AliasResolver::new),
    };
    let mut invocations = InvocationTable::new(now, reach, &deployment, order_timeout);
    let policy = make(now, deployment, seat.seed, &mut invocations);
    let handle = Rc::new(ControllerHandle::new(
        policy,
        invocations,
        clock,
        network,
        seat,
    ));
    let seen = Rc::downgrade(&handle);
    handle.config.shutdown.set_status_source(move || {
        seen.upgrade()
            .map_or_else(ControllerStatus::default, |handle| {
                handle.inspect(|state| {
                    let r = &state.invocations.transport;
                    let links_up = r.by_invoker.values().filter(|l| l.is_up()).count();
                    let unsent_bytes = handle.config.shutdown.unsent_bytes();
                    let in_flight = state.invocations.in_flight();
                    ControllerStatus {
                        in_flight,
                        unsent_bytes,
                        connections: r.by_invoker.len(),
                        connections_up: links_up,
                        has_endpoint_list: r.has_endpoint_list,
                    }
                })
            })
    });
    let (turns, stood) = (handle.event_loop.clone(), handle.clone());
    tokio::task::spawn_local(run_event_loop_clock(turns, clock, move |_, gap| {
        warn!(stood_ms = gap / MILLISECOND, "this controller stood still");
        stood.update(|state| state.invocations.counters.process_stops += 1);
    }));
    tokio::task::spawn_local(endpoint_list::follow(handle.clone()));
    if handle.config.listens_when_ready {
        tokio::select! {
            biased;
            () = ready(&handle) => {}
            () = handle.run_timers() => {}
        }
    }
    let mut doors = Vec::new();
    for address in &handle.config.client_addresses {
        let listening = handle.network.listen(address).await;
        doors.push(listening.inspect_err(|e| error!(%address, %e, "can't listen"))?);
    }
    if let Some(at) = handle.config.aliases.clone() {
        tokio::task::spawn_local(aliases::keep(handle.clone(), at));
    }
    for (door, address) in doors {
        info!(controller = handle.config.controller, %address, "listening");
        tokio::task::spawn_local(clients::receive(handle.clone(), door));
    }
    handle.run_timers().await;
    Ok(())
}

/// The list is in, and half of its invokers are linked, or that took too long.
async fn ready(handle: &ControllerHandle) {
    let mut listed_looks = 0;
    while listed_looks < READY_LOOKS {
        let look = handle.config.shutdown.status();
        if look.has_endpoint_list
            && look.connections_up > 0
            && look.connections_up * 2 >= look.connections
        {
            return;
        }
        listed_looks += u32::from(look.has_endpoint_list);
        tokio::time::sleep(READY_LOOK).await;
    }
}

/// Makes sure that an invoker has a link of its own; the list names it for the first time.
pub(crate) fn reach(handle: &Rc<ControllerHandle>, invoker: InvokerId) {
    tokio::task::spawn_local(invoker_connections::keep(handle.clone(), invoker));
}
