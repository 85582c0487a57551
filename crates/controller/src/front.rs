//! The native path: JSON-RPC in, multiplexed links out, round the desk.

use crate::clients::Reply;
use crate::desk::{self, Desk, Final, Owed, Reach, Sending, Told};
use crate::going::{Going, Look};
use crate::links::Link;
use crate::names::{Names, NamesAt};
use crate::policy::MakePolicy;
use crate::redial::Dials;
use crate::{clients, links, list, names};
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
pub struct Seat {
    pub controller: u32,
    pub incarnation: u64,
    pub seed: u64,
    pub zone: u8,
    /// Where clients come in.
    pub clients: Vec<Address>,
    /// Lists of invokers: one at a time is followed, the next when it is lost. Several are those of one fleet.
    pub lists: Vec<Address>,
    pub terms: Rc<Terms>,
    /// Where names that are not in the terms are looked up; none: there are no others.
    pub names: Option<NamesAt>,
    pub going: Going,
    /// Clients come in once invokers can be reached: before that everything would be throttled, and there are others.
    pub opens_when_ready: bool,
}

pub(crate) type Front = desk::Front<Links>;
pub(crate) type State = desk::State<Links>;

/// How invokers are reached here: one multiplexed link each.
pub(crate) struct Links {
    pub terms: Rc<Terms>,
    pub functions: BTreeMap<FunctionId, String>,
    pub links: BTreeMap<InvokerId, Link>,
    pub dials: Dials,
    pub rng: fastrand::Rng,
    pub list_revision: Option<u64>,
    pub listed: bool,
    pub names: Option<Names>,
}

/// What goes along with an invocation's dispatches.
pub(crate) struct Carried {
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

impl Owed for Caller {
    fn answer(self, id: InvocationId, how: Final, hops: u8, until: Ticks) {
        let Self { reply, of_passage } = self;
        match how {
            Final::Succeeded(output) => {
                let output = std::str::from_utf8(output).unwrap_or("null");
                let result = format!(r#"{{"output":{output},"dispatches":{hops}{of_passage}}}"#);
                reply.result(id, &result, until);
            }
            Final::Throttled(wait) => {
                let data = format!(
                    r#"{{"come_back_ms":{},"dispatches":{hops}{of_passage}}}"#,
                    wait / MILLISECOND
                );
                reply.error(id, rpc::THROTTLED, "throttled", Some(&data), until);
            }
            Final::Errored(why) => {
                let data = format!(r#"{{"dispatches":{hops}{of_passage}}}"#);
                reply.error(id, rpc::ERRORED, why, Some(&data), until);
            }
        }
    }

    fn drop_out(self, id: InvocationId) {
        self.reply.drop_out(id);
    }
}

impl Reach for Links {
    type Carried = Carried;
    type Owed = Caller;
    type Seat = Seat;

    fn dispatch(&mut self, s: &Sending<Carried>) -> Result<u64, Outcome> {
        let Carried { call, runs } = s.carried;
        let frame = wire::DispatchOut {
            dispatch: 0,
            invocation: s.inv,
            hop: s.hop,
            function: s.function,
            name: runs.as_ref().map_or(&call.function, |r| &r.name),
            tenant: &call.tenant,
            trigger: &call.trigger,
            left_tenths: s.gone - s.now.min(s.gone),
            token: call.token.as_deref(),
            input: call
                .input
                .as_ref()
                .map_or(&b"null"[..], |i| i.get().as_bytes())
                .into(),
        };
        let link = self
            .links
            .get_mut(&s.invoker)
            .ok_or(Outcome::NoConnection)?;
        link.dispatch(frame, s.leave_by, s.inv, s.hop)
    }

    fn withdraw(&mut self, invoker: InvokerId, dispatch: u64) -> bool {
        self.links
            .get_mut(&invoker)
            .is_some_and(|link| link.withdraw(dispatch))
    }

    fn cancel(&mut self, invoker: InvokerId, dispatch: u64) -> bool {
        if let Some(link) = self.links.get_mut(&invoker) {
            link.cancel(dispatch);
        }
        // The invoker answers what came of it.
        false
    }

    fn ended(
        &mut self,
        invoker: InvokerId,
        dispatch: u64,
        carried: &Carried,
        outcome: Outcome,
        told: &Told,
    ) {
        // By dispatches, not by final answers: what erred may have been answered well by another try, or throttled.
        let well = match outcome {
            Outcome::Succeeded => Some(true),
            Outcome::Errored | Outcome::TimedOut => Some(false),
            _ => (told.found == Some(StartKind::LoadFailed)).then_some(false),
        };
        let staged = carried.runs.as_ref().and_then(|r| r.fixed.staged.as_ref());
        if let (Some(names), Some(staged), Some(well)) = (&mut self.names, staged, well) {
            names.count(staged, well);
        }
        if let Some(link) = self.links.get_mut(&invoker) {
            link.forget(dispatch);
        }
    }

    fn hold(
        &mut self,
        _: Ticks,
        invoker: InvokerId,
        function: FunctionId,
        count: u8,
    ) -> Result<u64, LoadOutcome> {
        let name = self.functions.get(&function).cloned().unwrap_or_default();
        let link = self.links.get_mut(&invoker);
        link.and_then(|link| link.hold(function, name, count))
            .ok_or(LoadOutcome::Unreachable)
    }

    fn held(&mut self, invoker: InvokerId, order: u64) {
        if let Some(link) = self.links.get_mut(&invoker) {
            link.orders.remove(&order);
        }
    }

    fn unload(&mut self, _: Ticks, invoker: InvokerId, function: FunctionId) {
        if let Some(link) = self.links.get_mut(&invoker) {
            link.unload(function);
        }
    }

    fn probe(&mut self, _: Ticks, invoker: InvokerId) {
        if let Some(link) = self.links.get_mut(&invoker) {
            link.probe();
        }
    }
}

pub(crate) fn status(front: &Front) -> String {
    front.see(|state| {
        let (d, r, c) = (&state.desk, &state.desk.reach, &state.desk.counts);
        json!({
            "controller": front.seat.controller, "incarnation": front.seat.incarnation,
            "list_revision": r.list_revision, "in_flight": d.in_flight(),
            "links": r.links.len(), "links_up": r.links.values().filter(|l| l.is_up()).count(),
            "taken": c.taken, "succeeded": c.succeeded, "throttled": c.throttled, "errored": c.errored,
            "left": c.left, "stale": c.stale, "too_late": c.too_late, "dispatches": c.dispatches,
            "names": r.names.as_ref().map(|n| n.told(front.clock.now())),
            "orders": c.orders, "broken_links": c.broken_links, "stood_still": c.stood_still,
        })
        .to_string()
    })
}

/// An invocation was read; it came at `earliest` or later.
pub(crate) fn invoke(
    state: &mut State,
    call: rpc::Invoke,
    least_left: Option<Ticks>,
    earliest: Ticks,
    mut reply: Reply,
) {
    let desk = &mut state.desk;
    let now = desk.now;
    let terms = desk.reach.terms.clone();
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
            let Some(names) = &mut desk.reach.names else {
                return reply.refuse(rpc::INVALID_PARAMS, &bad("function", &call.function));
            };
            let said = Said {
                passage: call.passage.as_deref(),
                version: call.version.as_deref(),
                until_ms: call.passage_until_ms,
            };
            match names.fix(now, &call.tenant, &call.trigger, &call.function, &said) {
                Ok(runs) => {
                    desk.reach
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
        desk.counts.stale += 1;
        return reply.forget();
    }
    let id = desk.next_inv();
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
    state.taken(
        invocation,
        gone,
        Carried { call, runs },
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
    seat: Seat,
    network: Rc<dyn Network>,
    clock: Clock,
    make: MakePolicy,
) -> std::io::Result<()> {
    let local = tokio::task::LocalSet::new();
    local.run_until(run(seat, network, clock, make)).await
}

async fn run(
    seat: Seat,
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
    let reach = Links {
        functions: terms
            .functions
            .values()
            .map(|f| (f.id, f.name.clone()))
            .collect(),
        terms,
        links: BTreeMap::new(),
        dials: Dials::new(now),
        rng: fastrand::Rng::with_seed(seat.seed ^ 0x5eed),
        list_revision: None,
        listed: false,
        names: seat.names.as_ref().map(Names::new),
    };
    let mut desk = Desk::new(now, reach, &deployment, order_timeout);
    let module = make(now, deployment, seat.seed, &mut desk);
    let front = Rc::new(Front::new(module, desk, clock, network, seat));
    let seen = Rc::downgrade(&front);
    front.seat.going.seen_by(move || {
        seen.upgrade().map_or_else(Look::default, |front| {
            front.see(|state| {
                let r = &state.desk.reach;
                let links_up = r.links.values().filter(|l| l.is_up()).count();
                let unsent_bytes = front.seat.going.unsent_bytes();
                let in_flight = state.desk.in_flight();
                Look {
                    in_flight,
                    unsent_bytes,
                    links: r.links.len(),
                    links_up,
                    listed: r.listed,
                }
            })
        })
    });
    let (turns, stood) = (front.turns.clone(), front.clone());
    tokio::task::spawn_local(run_event_loop_clock(turns, clock, move |_, gap| {
        warn!(stood_ms = gap / MILLISECOND, "this controller stood still");
        stood.tell(|state| state.desk.counts.stood_still += 1);
    }));
    tokio::task::spawn_local(list::follow(front.clone()));
    if front.seat.opens_when_ready {
        tokio::select! {
            biased;
            () = ready(&front) => {}
            () = front.run_timers() => {}
        }
    }
    let mut doors = Vec::new();
    for address in &front.seat.clients {
        let listening = front.network.listen(address).await;
        doors.push(listening.inspect_err(|e| error!(%address, %e, "can't listen"))?);
    }
    if let Some(at) = front.seat.names.clone() {
        tokio::task::spawn_local(names::keep(front.clone(), at));
    }
    for (door, address) in doors {
        info!(controller = front.seat.controller, %address, "listening");
        tokio::task::spawn_local(clients::receive(front.clone(), door));
    }
    front.run_timers().await;
    Ok(())
}

/// The list is in, and half of its invokers are linked, or that took too long.
async fn ready(front: &Front) {
    let mut listed_looks = 0;
    while listed_looks < READY_LOOKS {
        let look = front.seat.going.look();
        if look.listed && look.links_up > 0 && look.links_up * 2 >= look.links {
            return;
        }
        listed_looks += u32::from(look.listed);
        tokio::time::sleep(READY_LOOK).await;
    }
}

/// Makes sure that an invoker has a link of its own; the list names it for the first time.
pub(crate) fn reach(front: &Rc<Front>, invoker: InvokerId) {
    tokio::task::spawn_local(links::keep(front.clone(), invoker));
}
