use crate::clients::Reply;
use crate::decides::{Decides, Make};
use crate::links::Link;
use crate::names::{Names, NamesAt};
use crate::redial::Dials;
use crate::{clients, links, list, names};
use saltdrum::port::*;
use saltdrum_deployment::Terms;
use saltdrum_link::{Address, Clock, Network, Turns, turning};
use saltdrum_protocol::{invoker as wire, rpc};
use saltdrum_registry::passage::{Fixed, Said, Unfixed};
use serde_json::json;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use tokio::sync::Notify;
use tracing::{Span, debug, error, info, info_span, warn};

/// A dispatch is timed out so long before its invocation expires that the module can still give the final answer.
const LAST_WORD: Tenths = 5 * MILLI;
/// A timer later than this comes after a stop: what lies in the sockets came first.
const LATE: Tenths = 40 * MILLI;

pub(crate) type Due = Box<dyn FnOnce(&mut State)>;

/// Where one controller sits.
#[derive(Clone)]
pub struct Seat {
    pub controller: u32,
    pub incarnation: u64,
    pub seed: u64,
    pub zone: u8,
    /// Where clients come in.
    pub clients: Vec<Address>,
    pub list: Address,
    pub terms: Rc<Terms>,
    /// Where names that are not in the terms are looked up; none: there are no others.
    pub names: Option<NamesAt>,
}

/// One controller: its state, and what it is handed to live on.
pub(crate) struct Front {
    state: RefCell<State>,
    pub(crate) clock: Clock,
    pub(crate) network: Rc<dyn Network>,
    pub(crate) turns: Turns,
    pub(crate) seat: Seat,
    earlier: Notify,
}

/// The module and all it acts through. They lie side by side, so that the module can be called with the desk.
pub(crate) struct State {
    pub module: Box<dyn Decides>,
    pub desk: Desk,
}

#[derive(Default)]
pub(crate) struct Counts {
    pub taken: u64,
    pub succeeded: u64,
    pub throttled: u64,
    pub errored: u64,
    pub left: u64,
    /// Read after their client had given up: not taken.
    pub stale: u64,
    /// Settled, but the client timeout had passed: nothing was sent.
    pub too_late: u64,
    pub dispatches: u64,
    pub orders: u64,
    pub broken_links: u64,
    pub stood_still: u64,
}

pub(crate) struct Desk {
    pub now: Tenths,
    pub terms: Rc<Terms>,
    pub functions: BTreeMap<FnId, String>,
    pub invs: BTreeMap<InvId, Inv>,
    pub links: BTreeMap<InvokerId, Link>,
    pub dials: Dials,
    pub rng: fastrand::Rng,
    pub counts: Counts,
    pub list_revision: Option<u64>,
    pub names: Option<Names>,
    timers: BTreeMap<(Tenths, u64), Due>,
    timer: u64,
    /// What is owed to the module once it has returned.
    after: VecDeque<Due>,
    last_inv: InvId,
}

/// One invocation, from its reading to its last dispatch's end.
pub(crate) struct Inv {
    call: rpc::Invoke,
    function: FnId,
    /// Of a version of the registry.
    runs: Option<Runs>,
    expires: Tenths,
    /// When the client stops waiting: nothing is sent from then on.
    gone: Tenths,
    reply: Option<Reply>,
    hops: u8,
    out: BTreeMap<u8, Out>,
    span: Span,
}

struct Out {
    invoker: InvokerId,
    dispatch: u64,
    sent: Tenths,
    timer: (Tenths, u64),
    span: Span,
}

/// A version, as invokers know it, and its passage.
struct Runs {
    name: String,
    fixed: Fixed,
}

/// A final answer on its way to the client.
enum Final<'a> {
    Succeeded(&'a str),
    Throttled(Tenths),
    Errored(&'a str),
}

impl Front {
    /// Lets `then` work on the state, and does what it leaves behind.
    pub(crate) fn tell<T>(&self, then: impl FnOnce(&mut State) -> T) -> T {
        let state = &mut *self.state.borrow_mut();
        state.desk.now = self.clock.now().max(state.desk.now);
        let first = state.desk.timers.keys().next().copied();
        let done = then(state);
        while let Some(owed) = state.desk.after.pop_front() {
            owed(state);
        }
        if state.desk.timers.keys().next().copied() < first || first.is_none() {
            self.earlier.notify_one();
        }
        done
    }

    async fn run_timers(&self) {
        loop {
            let first = self.state.borrow().desk.timers.keys().next().copied();
            let Some((at, _)) = first else {
                self.earlier.notified().await;
                continue;
            };
            tokio::select! {
                biased;
                () = self.clock.sleep_until(at) => {}
                () = self.earlier.notified() => continue,
            }
            if self.clock.now() > at + LATE {
                tokio::time::sleep(std::time::Duration::from_millis(2)).await;
            }
            self.tell(|state| {
                while let Some(entry) = state.desk.timers.first_entry() {
                    if entry.key().0 > state.desk.now {
                        break;
                    }
                    entry.remove()(state);
                    while let Some(owed) = state.desk.after.pop_front() {
                        owed(state);
                    }
                }
            });
        }
    }

    pub(crate) fn status(&self) -> String {
        let state = self.state.borrow();
        let (d, c) = (&state.desk, &state.desk.counts);
        json!({
            "controller": self.seat.controller, "incarnation": self.seat.incarnation,
            "list_revision": d.list_revision, "in_flight": d.invs.len(),
            "links": d.links.len(), "links_up": d.links.values().filter(|l| l.is_up()).count(),
            "taken": c.taken, "succeeded": c.succeeded, "throttled": c.throttled, "errored": c.errored,
            "left": c.left, "stale": c.stale, "too_late": c.too_late, "dispatches": c.dispatches,
            "names": d.names.as_ref().map(|n| n.told(self.clock.now())),
            "orders": c.orders, "broken_links": c.broken_links, "stood_still": c.stood_still,
        })
        .to_string()
    }
}

impl Desk {
    /// Runs `due` at `at`. The key takes it back.
    pub fn later(&mut self, at: Tenths, due: Due) -> (Tenths, u64) {
        self.timer += 1;
        let key = (at, self.timer);
        self.timers.insert(key, due);
        key
    }

    pub fn after(&mut self, due: Due) {
        self.after.push_back(due);
    }

    /// Sends the one final answer, if the client still waits for it.
    fn answer(&mut self, id: InvId, how: Final) {
        let Some(inv) = self.invs.get_mut(&id) else { return };
        let Some(reply) = inv.reply.take() else { return };
        let _in = inv.span.enter();
        let of_passage = inv.runs.as_ref().map_or_else(String::new, |r| {
            format!(r#","version":"{}","passage_until_ms":{}"#, r.name, r.fixed.until_ms)
        });
        let counts = &mut self.counts;
        if self.now >= inv.gone {
            counts.too_late += 1;
            warn!("settled after the client timeout: nothing is sent");
            return reply.drop_out(id);
        }
        match how {
            Final::Succeeded(output) => {
                counts.succeeded += 1;
                debug!(outcome = "succeeded");
                let result = format!(r#"{{"output":{output},"dispatches":{}{of_passage}}}"#, inv.hops);
                reply.result(id, &result, inv.gone);
            }
            Final::Throttled(wait) => {
                counts.throttled += 1;
                debug!(outcome = "throttled", wait_ms = wait / MILLI);
                let data =
                    format!(r#"{{"come_back_ms":{},"dispatches":{}{of_passage}}}"#, wait / MILLI, inv.hops);
                reply.error(id, rpc::THROTTLED, "throttled", Some(&data), inv.gone);
            }
            Final::Errored(why) => {
                counts.errored += 1;
                debug!(outcome = "errored", why);
                let data = format!(r#"{{"dispatches":{}{of_passage}}}"#, inv.hops);
                reply.error(id, rpc::ERRORED, why, Some(&data), inv.gone);
            }
        }
    }

    /// Nothing is out for it and nothing owed: it is forgotten.
    fn forget_ended(&mut self, id: InvId) {
        if self.invs.get(&id).is_some_and(|inv| inv.reply.is_none() && inv.out.is_empty()) {
            self.invs.remove(&id);
        }
    }
}

impl State {
    /// An invocation was read; it came at `earliest` or later.
    pub fn invoke(
        &mut self,
        call: rpc::Invoke,
        least_left: Option<Tenths>,
        earliest: Tenths,
        mut reply: Reply,
    ) {
        let desk = &mut self.desk;
        let terms = desk.terms.clone();
        let bad = |what: &str, name: &str| format!("{what} '{name}': not one of this deployment");
        let trigger = terms.trigger_names.iter().position(|n| *n == call.trigger);
        let tenant = terms.tenant_names.iter().position(|n| *n == call.tenant);
        let (Some(trigger), Some(tenant)) = (trigger, tenant) else {
            let what =
                if trigger.is_none() { bad("trigger", &call.trigger) } else { bad("tenant", &call.tenant) };
            return reply.refuse(rpc::INVALID_PARAMS, &what);
        };
        let (function, memory, lanes, load_hint, runs) = match terms.functions.get(&call.function) {
            Some(f) => (f.id, f.memory, f.lanes, f.load, None),
            None => {
                let Some(names) = &mut desk.names else {
                    return reply.refuse(rpc::INVALID_PARAMS, &bad("function", &call.function));
                };
                let said = Said {
                    passage: call.passage.as_deref(),
                    version: call.version.as_deref(),
                    until_ms: call.passage_until_ms,
                };
                match names.fix(desk.now, &call.tenant, &call.trigger, &call.function, &said) {
                    Ok(runs) => {
                        desk.functions.entry(runs.function).or_insert_with(|| runs.name.clone());
                        let kept = Runs { name: runs.name, fixed: runs.fixed };
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
        if desk.now >= gone {
            desk.counts.stale += 1;
            return reply.forget();
        }
        loop {
            desk.last_inv = desk.last_inv.wrapping_add(1);
            if !desk.invs.contains_key(&desk.last_inv) {
                break;
            }
        }
        let id = desk.last_inv;
        desk.counts.taken += 1;
        reply.opened(id);
        // Short waits keep their larger part for the work.
        let expires = gone - terms.answer_margin.min(left / 4);
        let invocation = Invocation {
            id,
            trigger,
            tenant,
            function,
            expires,
            work_hint: call.work_hint_ms.filter(|ms| *ms > 0.0).map(|ms| (ms * MILLI as f64) as Tenths),
            memory,
            lanes,
            load_hint,
        };
        let span = info_span!("invocation", id, function = call.function, tenant = call.tenant);
        let out = BTreeMap::new();
        let inv = Inv { call, function, runs, expires, gone, reply: Some(reply), hops: 0, out, span };
        desk.invs.insert(id, inv);
        self.module.invoked(self.desk.now, invocation, &mut self.desk);
        self.desk.forget_ended(id);
    }

    /// The client that waited for it has hung up.
    pub fn left(&mut self, id: InvId) {
        let Some(inv) = self.desk.invs.get_mut(&id) else { return };
        inv.reply = None;
        self.desk.counts.left += 1;
        let out: Vec<(u8, InvokerId, u64)> =
            inv.out.iter().map(|(hop, o)| (*hop, o.invoker, o.dispatch)).collect();
        for (hop, invoker, dispatch) in out {
            let Some(link) = self.desk.links.get_mut(&invoker) else { continue };
            if link.withdraw(dispatch) {
                self.desk.after(Box::new(move |state| state.ended(id, hop, Outcome::NotSent, None)));
            } else if self.desk.terms.deployment.may_cancel {
                link.cancel(dispatch);
            }
        }
        self.module.left(self.desk.now, id);
        self.desk.forget_ended(id);
    }

    /// One dispatch has ended: the client hears of a success, the module of everything.
    pub fn ended(&mut self, id: InvId, hop: u8, outcome: Outcome, told: Option<&wire::Answer>) {
        let desk = &mut self.desk;
        let Some(inv) = desk.invs.get_mut(&id) else { return };
        let Some(out) = inv.out.remove(&hop) else { return };
        out.span.in_scope(|| debug!(?outcome, took_ms = (desk.now - out.sent) / MILLI));
        // By dispatches, not by final answers: what erred may have been answered well by another try, or throttled.
        let load_failed = told.is_some_and(|t| t.found == Some(wire::Found::LoadFailed));
        let well = match outcome {
            Outcome::Succeeded => Some(true),
            Outcome::Errored | Outcome::TimedOut => Some(false),
            _ => load_failed.then_some(false),
        };
        let staged = inv.runs.as_ref().and_then(|r| r.fixed.staged.as_ref());
        if let (Some(names), Some(staged), Some(well)) = (&mut desk.names, staged, well) {
            names.count(staged, well);
        }
        desk.timers.remove(&out.timer);
        if let Some(link) = desk.links.get_mut(&out.invoker) {
            link.forget(out.dispatch);
        }
        if outcome == Outcome::Succeeded {
            let output = told.map_or("null", |t| std::str::from_utf8(&t.output).unwrap_or("null"));
            desk.answer(id, Final::Succeeded(output));
        }
        let finished = desk.invs.get(&id).is_none_or(|inv| inv.reply.is_none());
        let answer = Answer {
            inv: id,
            invoker: out.invoker,
            hop,
            finished,
            outcome,
            found: told.and_then(|t| t.found).map(|found| match found {
                wire::Found::Warm => Found::Warm,
                wire::Found::BeganLoad => Found::BeganLoad,
                wire::Found::JoinedLoad => Found::JoinedLoad,
                wire::Found::LoadFailed => Found::LoadFailed,
            }),
            crowd: told.and_then(|t| t.crowd),
            took: desk.now.saturating_sub(out.sent),
            report: told.map_or(Report::default(), |t| Report {
                util: t.load.cores_busy.filter(|x| x.is_finite()).map(f64::from),
                queue: t.load.waiting.filter(|x| x.is_finite()).map(f64::from),
            }),
        };
        self.module.answered(self.desk.now, answer, &mut self.desk);
        self.desk.forget_ended(id);
    }

    /// An order to hold has ended.
    pub fn held(&mut self, invoker: InvokerId, order: u64, outcome: HoldOutcome, standing: u8) {
        let Some(link) = self.desk.links.get_mut(&invoker) else { return };
        let Some(o) = link.orders.remove(&order) else { return };
        self.desk.timers.remove(&o.timer);
        let took = self.desk.now - o.sent;
        debug!(invoker, function = o.function, ?outcome, standing, took_ms = took / MILLI, "hold");
        let answer = HoldAnswer { invoker, function: o.function, outcome, standing, took };
        self.module.held(self.desk.now, answer, &mut self.desk);
    }
}

fn time_left(call: &rpc::Invoke, most: Tenths) -> Result<Tenths, String> {
    match call.time_left_ms {
        None => Ok(most),
        Some(ms) if ms.is_finite() && ms > 0.0 => Ok(most.min((ms * MILLI as f64) as Tenths)),
        Some(ms) => Err(format!("time_left_ms = {ms}: more than 0 is expected")),
    }
}

impl Acts for Desk {
    fn dispatch(&mut self, id: InvId, invoker: InvokerId, time_out: Tenths) {
        let Some(inv) = self.invs.get_mut(&id) else { return };
        let hop = inv.hops;
        inv.hops = inv.hops.saturating_add(1);
        self.counts.dispatches += 1;
        let span = info_span!(parent: &inv.span, "dispatch", hop, invoker);
        let last = inv.expires.saturating_sub(LAST_WORD);
        let until = if time_out == 0 { last } else { last.min(self.now + time_out) };
        let frame = wire::DispatchOut {
            dispatch: 0,
            invocation: id,
            hop,
            function: inv.function,
            name: inv.runs.as_ref().map_or(&inv.call.function, |r| &r.name),
            tenant: &inv.call.tenant,
            trigger: &inv.call.trigger,
            left_tenths: inv.gone - self.now.min(inv.gone),
            token: inv.call.token.as_deref(),
            input: inv.call.input.as_ref().map_or(&b"null"[..], |i| i.get().as_bytes()).into(),
        };
        let sent = match self.links.get_mut(&invoker) {
            _ if inv.reply.is_none() => Err(Outcome::NotSent),
            None => Err(Outcome::NoConnection),
            Some(link) => link.dispatch(frame, until, id, hop),
        };
        span.in_scope(|| debug!(sent = sent.is_ok()));
        let timer = (until, self.timer + 1);
        let dispatch = sent.unwrap_or(0);
        let out = Out { invoker, dispatch, sent: self.now, timer, span };
        self.invs.get_mut(&id).expect("it was there").out.insert(hop, out);
        if let Err(outcome) = sent {
            return self.after(Box::new(move |state| state.ended(id, hop, outcome, None)));
        }
        self.later(
            until,
            Box::new(move |state| {
                // A frame that has not left by now never will.
                let link = state.desk.links.get_mut(&invoker);
                let never = link.is_some_and(|l| l.withdraw(dispatch));
                state.ended(id, hop, if never { Outcome::NotSent } else { Outcome::TimedOut }, None)
            }),
        );
    }

    fn throttle(&mut self, id: InvId, come_back: Tenths) {
        self.answer(id, Final::Throttled(come_back));
    }

    fn error(&mut self, id: InvId) {
        self.answer(id, Final::Errored("whether it ran is not known"));
    }

    fn cancel(&mut self, id: InvId, hop: u8) {
        let Some(out) = self.invs.get(&id).and_then(|inv| inv.out.get(&hop)) else { return };
        let Some(link) = self.links.get_mut(&out.invoker) else { return };
        let never = link.withdraw(out.dispatch);
        if !never {
            link.cancel(out.dispatch);
        }
        let outcome = if never { Outcome::NotSent } else { Outcome::Cancelled };
        self.after(Box::new(move |state| state.ended(id, hop, outcome, None)));
    }

    fn hold(&mut self, invoker: InvokerId, function: FnId, count: u8) {
        self.counts.orders += 1;
        let name = self.functions.get(&function).cloned().unwrap_or_default();
        let (at, now) = (self.now + self.terms.order_timeout, self.now);
        let timer = (at, self.timer + 1);
        let order =
            self.links.get_mut(&invoker).and_then(|link| link.hold(function, name, count, now, timer));
        match order {
            Some(order) => {
                self.later(at, Box::new(move |state| state.held(invoker, order, HoldOutcome::TimedOut, 0)));
            }
            None => self.after(Box::new(move |state| {
                let outcome = HoldOutcome::Unreachable;
                let answer = HoldAnswer { invoker, function, outcome, standing: 0, took: 0 };
                state.module.held(state.desk.now, answer, &mut state.desk);
            })),
        }
    }

    fn unload(&mut self, invoker: InvokerId, function: FnId) {
        if let Some(link) = self.links.get_mut(&invoker) {
            link.unload(function);
        }
    }

    fn probe(&mut self, invoker: InvokerId) {
        if let Some(link) = self.links.get_mut(&invoker) {
            link.probe();
        }
    }

    fn wake(&mut self, at: Tenths, token: u64) {
        let due = move |state: &mut State| state.module.woken(state.desk.now, token, &mut state.desk);
        self.later(at, Box::new(due));
    }

    fn note(&mut self, text: &str) {
        info!(text, "module");
    }
}

/// Runs one controller until the future is dropped, which is as sudden as a kill. Fails when it can't listen. `make`
/// is [`by_design`](crate::by_design) but for measurements.
pub async fn serve(seat: Seat, network: Rc<dyn Network>, clock: Clock, make: Make) -> std::io::Result<()> {
    let local = tokio::task::LocalSet::new();
    local.run_until(run(seat, network, clock, make)).await
}

async fn run(seat: Seat, network: Rc<dyn Network>, clock: Clock, make: Make) -> std::io::Result<()> {
    let (now, terms) = (clock.now(), seat.terms.clone());
    let deployment = Deployment { zone: seat.zone, ..terms.deployment.clone() };
    let mut desk = Desk {
        now,
        functions: terms.functions.values().map(|f| (f.id, f.name.clone())).collect(),
        terms,
        invs: BTreeMap::new(),
        links: BTreeMap::new(),
        dials: Dials::new(now),
        rng: fastrand::Rng::with_seed(seat.seed ^ 0x5eed),
        counts: Counts::default(),
        list_revision: None,
        names: seat.names.as_ref().map(Names::new),
        timers: BTreeMap::new(),
        timer: 0,
        after: VecDeque::new(),
        last_inv: 0,
    };
    let module = make(now, deployment, seat.seed, &mut desk);
    let front = Rc::new(Front {
        state: RefCell::new(State { module, desk }),
        clock,
        network,
        turns: Turns::default(),
        seat,
        earlier: Notify::new(),
    });
    let mut doors = Vec::new();
    for address in &front.seat.clients {
        let listening = front.network.listen(address).await;
        doors.push(listening.inspect_err(|e| error!(%address, %e, "can't listen"))?);
    }
    let (turns, stood) = (front.turns.clone(), front.clone());
    tokio::task::spawn_local(turning(turns, clock, move |_, gap| {
        warn!(stood_ms = gap / MILLI, "this controller stood still");
        stood.tell(|state| state.desk.counts.stood_still += 1);
    }));
    tokio::task::spawn_local(list::follow(front.clone()));
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

/// Makes sure that an invoker has a link of its own; the list names it for the first time.
pub(crate) fn reach(front: &Rc<Front>, invoker: InvokerId) {
    tokio::task::spawn_local(links::keep(front.clone(), invoker));
}
