//! All decisions of a controller, every table and every tuned value. The interface is in `port.rs`.
//!
//! How to call it: `Controller::new` at start, then one call for each thing told: `listed` (the list of invokers),
//! `invoked`, `left`, `answered` (a dispatch ended), `held` (an order ended), `probed`, `woken`. Each takes the
//! time and an `Acts` through which the controller acts before the call returns. Same calls, same actions.
//! The ordinary path is `plan` (pools, each second), `order`, `pick`; `docs/design.md` tells where it is left.

use crate::port::*;
use std::collections::{BTreeMap, VecDeque};

/// The allocator runs this often, and a pool member or a stale instance stays at least a dwell.
const PLAN_EVERY: Tenths = SECOND;
const DWELL: Tenths = 10 * SECOND;
/// A function not called for this long loses its floor of one member.
const FORGET: Tenths = 25 * SECOND;
/// Pools are sized so that lanes are this full on average: calls come in bursts, a full lane queues.
const FILL: f64 = 0.5;
/// Share of the fleet's memory that pools may claim; the rest is for work and for what others loaded.
const POOL_MEMORY: f64 = 0.6;
/// Call rates are smoothed over these spans: the short one sees a hot function, the long one is steady.
const QUICK: f64 = 2.0;
const STEADY: f64 = 8.0;
/// A standing instance is renewed once this share of its keep-alive has passed without an invocation.
const RENEW_AT: f64 = 0.6;
/// Planned orders leave this share of the order ration to misses.
const PLANNED_RATION: f64 = 0.6;
/// A failed load is not repeated at the same place for this long.
const LOAD_COOLDOWN: Tenths = 3 * SECOND;
/// After a miss the place counts as lacking the function for this long, and an invocation that cannot order
/// it there asks again this often.
const LACKS: Tenths = 4 * SECOND;
const ASK_AGAIN: Tenths = 50 * MILLI;
/// Load time where none was told or seen, and run time before the first answer.
const LOAD_GUESS: f64 = SECOND as f64;
const RUN_GUESS: f64 = 150.0 * MILLI as f64;
/// Concurrent runs that an invoker of mean size does without slowing; nobody tells its cores.
const CORES: f64 = 4.0;
/// Silent invokers are looked for this often; phi is the log of how unlikely the silence is.
const LOOK_EVERY: Tenths = 50 * MILLI;
const PHI: f64 = 3.0;
const GAP_FLOOR: f64 = 30.0 * MILLI as f64;
/// An ill invoker is shut for a time that doubles while it stays ill.
const SHUT_FIRST: Tenths = 500 * MILLI;
const SHUT_MOST: Tenths = 4 * SECOND;
/// Share of recent dispatches that ended in errors from which an invoker counts as ill.
const ERRORS_ILL: f64 = 0.4;
/// A fleet on which runs take this much longer than alone, on the mean, is jammed.
const JAMMED: f64 = 1.5;
/// A member is past its target load when all lanes are taken, or when a run would take this much longer.
const TARGET: f64 = 4.0;
/// What a tenant sends beyond its share waits this much less.
const OVER_SHARE: f64 = 0.2;
/// Least billed work is turned away from this share of its objective on.
const PATIENCE_LEAST: f64 = 0.5;
/// Our share of what a cold invoker may be sent is kept this far under the stated multiple.
const COLD_MARGIN: f64 = 0.6;
/// An answer must leave this long before the client timeout to arrive in time.
const LAST_CALL: Tenths = 10 * MILLI;

type Next = Box<dyn FnOnce(&mut Controller, &mut dyn Acts)>;
type OnHold = Box<dyn FnOnce(&mut Controller, &mut dyn Acts)>;
type Later = Box<dyn FnOnce(&mut Controller, &mut dyn Acts)>;

/// One row a trigger type: what is stated, and the run time learned.
struct Row {
    stated: TriggerType,
    run: f64,
    seen: u32,
    /// Run time over the hint of work, where hints come.
    pace: f64,
}

struct Dispatch {
    hop: u8,
    invoker: InvokerId,
    sent: Tenths,
    /// When an answer is expected, had all gone as the pick foresaw.
    due: Tenths,
    warm: bool,
    work: f64,
    usual: f64,
    cancelled: bool,
    next: Next,
}

struct Inv {
    call: Invocation,
    out: Vec<Dispatch>,
    arrived: Tenths,
    over_share: bool,
    hops: u8,
    /// The first dispatch that may have run, when it was sent and where.
    may_have_run: Option<(Tenths, InvokerId)>,
    tried: Vec<InvokerId>,
    done: bool,
}

struct Invoker {
    listed: Listed,
    out: u32,
    out_work: f64,
    heard: Tenths,
    /// Mean gap between answers while one is owed.
    gap: f64,
    /// Time of answers over the time expected of them, and when that was last learned.
    slow: f64,
    slow_at: Tenths,
    errors: f64,
    shut_until: Tenths,
    shut_for: Tenths,
    /// What was sent to it while cold: when, and how much work.
    cold_sent: VecDeque<(Tenths, f64)>,
}

#[derive(Default)]
struct Place {
    warm: bool,
    touched: Tenths,
    loading: Option<Tenths>,
    ordered: bool,
    waiting: Vec<OnHold>,
    placed: bool,
    off_since: Option<Tenths>,
    cooldown: Tenths,
    lacks_until: Tenths,
    out: u32,
}

struct Function {
    trigger: usize,
    quick: f64,
    steady: f64,
    called: Tenths,
    run: f64,
    lanes: f64,
    memory: f64,
    load_told: Option<f64>,
    load_seen: f64,
    /// Members wanted, and since when fewer would do.
    members: usize,
    surplus_since: Option<Tenths>,
    order: Vec<InvokerId>,
    order_version: u64,
    places: BTreeMap<InvokerId, Place>,
}

enum Choice {
    /// `spread`: where a further copy would end it earlier still.
    Go {
        invoker: InvokerId,
        warm: bool,
        finish: f64,
        spread: Option<InvokerId>,
    },
    Await(InvokerId),
    /// It was told lately that no copy is there, and a dispatch would bring none.
    Order(InvokerId),
    Nobody,
}

pub struct Controller {
    now: Tenths,
    stated: Deployment,
    rng: fastrand::Rng,
    rows: Vec<Row>,
    invokers: BTreeMap<InvokerId, Invoker>,
    list_version: u64,
    functions: BTreeMap<FnId, Function>,
    invs: BTreeMap<InvId, Inv>,
    timers: BTreeMap<u64, Later>,
    token: u64,
    taken: VecDeque<Tenths>,
    orders: VecDeque<Tenths>,
    orders_out: usize,
    /// Work dispatched a tenth, smoothed.
    work_rate: f64,
    work_at: Tenths,
    /// What is left of each tenant's share, and when that was last right.
    tenants: Vec<(f64, Tenths)>,
}

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

fn decay(dt: Tenths, span_s: f64) -> f64 {
    (-(dt as f64) / (span_s * SECOND as f64)).exp()
}

/// Run time of one invocation alone: by its hint, where it has one, else as its function's are.
fn expected(call: &Invocation, f: &Function, row: &Row) -> f64 {
    call.work_hint.map_or(f.run, |h| h as f64 * row.pace)
}

impl Function {
    fn load(&self) -> f64 {
        self.load_told.unwrap_or(if self.load_seen > 0.0 { self.load_seen } else { LOAD_GUESS })
    }

    fn warm(&self, w: InvokerId, now: Tenths, keep: Tenths) -> bool {
        self.places.get(&w).is_some_and(|p| p.warm && (p.out > 0 || now < p.touched + keep))
    }

    /// Calls a second; the short span counts only as far as chance cannot explain it.
    fn rate(&self, now: Tenths) -> f64 {
        let quick = self.quick * decay(now - self.called, QUICK);
        let steady = self.steady * decay(now - self.called, STEADY);
        steady.max(quick - (quick / QUICK).sqrt())
    }
}

impl Invoker {
    fn new(listed: Listed, now: Tenths) -> Self {
        let (out, out_work, gap, slow, errors) = (0, 0.0, GAP_FLOOR, 1.0, 0.0);
        let (heard, slow_at, shut_until, shut_for, cold_sent) = (now, now, 0, 0, VecDeque::new());
        Self { listed, out, out_work, heard, gap, slow, slow_at, errors, shut_until, shut_for, cold_sent }
    }

    fn slow(&self, now: Tenths) -> f64 {
        1.0 + (self.slow - 1.0) * decay(now.saturating_sub(self.slow_at), 3.0)
    }
}

impl Controller {
    pub fn new(now: Tenths, stated: Deployment, seed: u64, acts: &mut dyn Acts) -> Self {
        let row = |t: &TriggerType| Row { stated: t.clone(), run: RUN_GUESS, seen: 0, pace: 1.0 };
        let mut c = Self {
            now,
            rng: fastrand::Rng::with_seed(seed),
            tenants: stated.tenants.iter().map(|t| (t.quota / f64::from(stated.controllers), now)).collect(),
            rows: stated.trigger_types.iter().map(row).collect(),
            stated,
            invokers: BTreeMap::new(),
            list_version: 1,
            functions: BTreeMap::new(),
            invs: BTreeMap::new(),
            timers: BTreeMap::new(),
            token: 0,
            taken: VecDeque::new(),
            orders: VecDeque::new(),
            orders_out: 0,
            work_rate: 0.0,
            work_at: now,
        };
        c.plan(acts);
        c.look(acts);
        c
    }

    pub fn trigger_types(&self) -> usize {
        self.rows.len()
    }

    pub fn listed(&mut self, now: Tenths, whole: bool, entries: &[Listed], _acts: &mut dyn Acts) {
        self.now = now;
        self.list_version += 1;
        if whole {
            for v in self.invokers.values_mut() {
                v.listed.life = Life::Gone;
            }
        }
        for l in entries {
            let v = self.invokers.entry(l.invoker).or_insert_with(|| Invoker::new(*l, now));
            let restarted = l.started.is_some() && l.started != v.listed.started;
            v.listed = *l;
            if restarted {
                (v.shut_until, v.shut_for, v.errors, v.slow) = (0, 0, 0.0, 1.0);
                self.forget_copies(l.invoker);
            }
        }
    }

    /// A process that died or started anew holds nothing.
    fn forget_copies(&mut self, w: InvokerId) {
        for f in self.functions.values_mut() {
            if let Some(p) = f.places.get_mut(&w) {
                (p.warm, p.loading, p.placed) = (false, None, false);
            }
        }
    }

    pub fn invoked(&mut self, now: Tenths, call: Invocation, acts: &mut dyn Acts) {
        self.now = now;
        self.taken.push_back(now);
        // A tenant's share is a bucket of two seconds; this controller fills its part of it.
        let mut over_share = false;
        if let (Some(t), Some((left, at))) =
            (self.stated.tenants.get(call.tenant), self.tenants.get_mut(call.tenant))
        {
            let quota = t.quota / f64::from(self.stated.controllers);
            *left = (*left + quota * (now - *at) as f64 / SECOND as f64).min(2.0 * quota);
            *at = now;
            over_share = *left < 1.0;
            *left -= if over_share { 0.0 } else { 1.0 };
        }
        let run = call.work_hint.map_or(self.rows[call.trigger].run, |h| h as f64);
        let f = self.functions.entry(call.function).or_insert_with(|| Function {
            trigger: call.trigger,
            quick: 0.0,
            steady: 0.0,
            called: now,
            run,
            lanes: 1.0,
            memory: 0.0,
            load_told: None,
            load_seen: 0.0,
            members: 1,
            surplus_since: None,
            order: Vec::new(),
            order_version: 0,
            places: BTreeMap::new(),
        });
        let dt = now - f.called;
        f.quick = f.quick * decay(dt, QUICK) + 1.0 / QUICK;
        f.steady = f.steady * decay(dt, STEADY) + 1.0 / STEADY;
        f.called = now;
        (f.lanes, f.memory) = (call.lanes, call.memory);
        f.load_told = call.load_hint.map(|l| l as f64);
        for p in f.places.values_mut() {
            p.off_since = p.off_since.map(|_| now);
        }
        let id = call.id;
        let inv = Inv {
            call,
            out: Vec::new(),
            arrived: now,
            over_share,
            hops: 0,
            may_have_run: None,
            tried: Vec::new(),
            done: false,
        };
        self.invs.insert(id, inv);
        self.send(id, acts);
    }

    pub fn left(&mut self, now: Tenths, id: InvId, _acts: &mut dyn Acts) {
        self.now = now;
        self.finish_inv(id);
    }

    fn finish_inv(&mut self, id: InvId) {
        if let Some(inv) = self.invs.get_mut(&id) {
            inv.done = true;
            if inv.out.is_empty() {
                self.invs.remove(&id);
            }
        }
    }

    /// Rule 2: whether a further dispatch to `w` can do no harm.
    fn may_send(&self, inv: &Inv, w: InvokerId) -> bool {
        if inv.hops >= self.stated.dispatch_limit || (!inv.out.is_empty() && !self.stated.parallel_dispatches)
        {
            return false;
        }
        let row = &self.rows[inv.call.trigger].stated;
        let out = inv.out.iter().map(|d| (d.sent, d.invoker)).min();
        let Some((sent, at)) = inv.may_have_run.into_iter().chain(out).min() else { return true };
        let (Some(a), Some(b)) = (self.invokers.get(&at), self.invokers.get(&w)) else { return false };
        let same = match row.scope {
            Scope::All => true,
            Scope::Zone => a.listed.zone == b.listed.zone,
            Scope::Cell => a.listed.cell == b.listed.cell,
        };
        match row.effect {
            Effect::Idempotent => true,
            Effect::Tokened => same && self.now + self.stated.tick < sent + row.repeat_window,
            Effect::NonIdempotent => false,
        }
    }

    fn may_throttle(&self, inv: &Inv) -> bool {
        let row = &self.rows[inv.call.trigger].stated;
        match row.effect {
            Effect::Idempotent => true,
            Effect::Tokened if row.scope == Scope::All => true,
            _ => inv.may_have_run.is_none() && inv.out.is_empty(),
        }
    }

    /// The final answer, at once: whoever is given up on may try again elsewhere.
    fn settle(&mut self, id: InvId, acts: &mut dyn Acts) {
        let Some(inv) = self.invs.get(&id) else { return };
        if inv.done || !inv.out.is_empty() {
            return;
        }
        if self.may_throttle(inv) {
            let wait = self.rows[inv.call.trigger].stated.objective / 2;
            acts.throttle(id, self.stated.come_back_max.map_or(0, |most| wait.min(most)));
        } else {
            acts.error(id);
        }
        self.finish_inv(id);
    }

    fn send(&mut self, id: InvId, acts: &mut dyn Acts) {
        let Some(inv) = self.invs.get(&id) else { return };
        if inv.done {
            return;
        }
        if self.now + LAST_CALL >= inv.call.expires {
            return self.settle(id, acts);
        }
        let (fid, expires) = (inv.call.function, inv.call.expires);
        match self.pick(id) {
            Choice::Go { invoker, warm, finish, spread } => {
                if let Some(w) = spread {
                    self.order_load(w, fid, 1, PLANNED_RATION, acts);
                }
                self.dispatch(id, invoker, warm, finish, acts)
            }
            Choice::Await(w) => self.await_hold(id, w, acts),
            Choice::Order(w) if self.order_load(w, fid, 1, 1.0, acts) => self.await_hold(id, w, acts),
            // The ration or the pending cap is used up: it frees up with time, tries don't.
            Choice::Order(_) => {
                let at = (self.now + ASK_AGAIN).min(expires - LAST_CALL);
                self.later(at, acts, move |c, acts| c.send(id, acts))
            }
            Choice::Nobody => self.settle(id, acts),
        }
    }

    fn dispatch(&mut self, id: InvId, w: InvokerId, warm: bool, finish: f64, acts: &mut dyn Acts) {
        let fid = self.invs[&id].call.function;
        if !warm && !self.stated.misses {
            self.make_room(w, fid, acts);
        }
        let (Some(inv), Some(f)) = (self.invs.get_mut(&id), self.functions.get_mut(&fid)) else { return };
        let Some(v) = self.invokers.get_mut(&w) else { return };
        let row = &self.rows[inv.call.trigger];
        if v.out == 0 {
            v.heard = self.now;
        }
        v.out += 1;
        let run = expected(&inv.call, f, row);
        v.out_work += f.run;
        v.cold_sent.push_back((self.now, row.run));
        let p = f.places.entry(w).or_default();
        p.out += 1;
        p.touched = self.now;
        if !warm && !self.stated.misses && p.loading.is_none() {
            p.loading = Some(self.now);
        }
        inv.out.push(Dispatch {
            hop: inv.hops,
            invoker: w,
            sent: self.now,
            due: self.now + finish as Tenths,
            warm,
            work: run,
            usual: f.run,
            cancelled: false,
            next: Box::new(move |c, acts| c.after(id, acts)),
        });
        inv.hops += 1;
        acts.dispatch(id, w, 0);
    }

    pub fn answered(&mut self, now: Tenths, a: Answer, acts: &mut dyn Acts) {
        self.now = now;
        let Some(inv) = self.invs.get_mut(&a.inv) else { return };
        let Some(i) = inv.out.iter().position(|d| d.hop == a.hop) else { return };
        let d = inv.out.remove(i);
        if !a.outcome.never_ran() {
            let first = inv.may_have_run.map_or((d.sent, d.invoker), |m| m.min((d.sent, d.invoker)));
            inv.may_have_run = Some(first);
        }
        if a.outcome != Outcome::Succeeded && a.outcome != Outcome::Miss {
            inv.tried.push(d.invoker);
        }
        inv.done |= a.finished;
        let (fid, trigger, hint) = (inv.call.function, inv.call.trigger, inv.call.work_hint);
        self.learn(fid, trigger, hint.map(|h| (h as f64).max(1.0)), &d, &a);
        (d.next)(self, acts);
    }

    /// What an answer says of the invoker's health, of the function there, and of run times.
    fn learn(&mut self, fid: FnId, trigger: usize, hint: Option<f64>, d: &Dispatch, a: &Answer) {
        let now = self.now;
        let (Some(f), Some(v)) = (self.functions.get_mut(&fid), self.invokers.get_mut(&d.invoker)) else {
            return;
        };
        v.out -= 1;
        v.out_work = (v.out_work - d.usual).max(0.0);
        let p = f.places.entry(d.invoker).or_default();
        p.out -= 1;
        let silent = matches!(a.outcome, Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent);
        if !silent {
            v.gap += 0.1 * ((now - v.heard) as f64 - v.gap);
            v.gap = v.gap.max(GAP_FLOOR);
            v.heard = now;
        }
        let took = a.took as f64;
        let mut ill = false;
        match a.outcome {
            Outcome::Succeeded => {
                v.errors *= 0.8;
                // Only what was done counts: work sent in vain must not widen what cold invokers get (rule 4).
                let row = &mut self.rows[trigger];
                let faded = self.work_rate * decay(now - self.work_at, STEADY);
                (self.work_rate, self.work_at) = (faded + row.run / (STEADY * SECOND as f64), now);
                (v.shut_until, v.shut_for) = (0, 0);
                let was_warm = a.found.map_or(d.warm, |found| found == Found::Warm);
                if was_warm {
                    let ratio = (took / d.work.max(1.0)).min(10.0);
                    v.slow = v.slow(now) + 0.1 * (ratio - v.slow(now));
                    v.slow_at = now;
                    // Run times learned in a jam would make demand, and with it the pools, grow with the jam.
                    let alone = took / v.slow(now).max(1.0);
                    if let Some(h) = hint {
                        row.pace += (alone / h - row.pace) / (row.seen.min(100) + 1) as f64;
                    }
                    f.run += 0.1 * (alone.min(3.0 * f.run) - f.run);
                    row.run += (alone - row.run) / (row.seen.min(100) + 1) as f64;
                    row.seen += 1;
                } else if a.found == Some(Found::BeganLoad) {
                    f.load_seen = f.load_seen.max(took - d.work);
                }
                (p.warm, p.loading) = (true, None);
            }
            Outcome::Errored => {
                v.errors += 0.2 * (1.0 - v.errors);
                ill = v.errors > ERRORS_ILL;
            }
            Outcome::Miss => {
                (p.warm, p.loading, p.lacks_until) = (false, None, now + LACKS);
            }
            Outcome::NoConnection | Outcome::Reset => ill = true,
            Outcome::Full => {
                (v.slow, v.slow_at) = (v.slow(now).max(3.0), now);
                v.shut_until = v.shut_until.max(now + 100 * MILLI);
            }
            _ => {}
        }
        if ill {
            self.shut(d.invoker);
        }
        if matches!(a.outcome, Outcome::Reset) {
            self.forget_copies(d.invoker);
        }
    }

    fn shut(&mut self, w: InvokerId) {
        let Some(v) = self.invokers.get_mut(&w) else { return };
        if self.now >= v.shut_until {
            v.shut_for = (2 * v.shut_for).clamp(SHUT_FIRST, SHUT_MOST);
            v.shut_until = self.now + v.shut_for;
        }
    }

    /// What follows a dispatch that has ended.
    fn after(&mut self, id: InvId, acts: &mut dyn Acts) {
        let Some(inv) = self.invs.get(&id) else { return };
        if inv.done {
            return self.finish_inv(id);
        }
        if !inv.out.is_empty() {
            return;
        }
        self.send(id, acts);
    }

    fn await_hold(&mut self, id: InvId, w: InvokerId, acts: &mut dyn Acts) {
        let Some(inv) = self.invs.get(&id) else { return };
        let (fid, expires) = (inv.call.function, inv.call.expires);
        let hops = inv.hops;
        if let Some(p) = self.functions.get_mut(&fid).and_then(|f| f.places.get_mut(&w)) {
            p.waiting.push(Box::new(move |c, acts| {
                if c.invs.get(&id).is_some_and(|inv| inv.hops == hops) {
                    c.send(id, acts);
                }
            }));
        }
        self.later(expires.saturating_sub(LAST_CALL), acts, move |c, acts| {
            if c.invs.get(&id).is_some_and(|inv| inv.hops == hops) {
                c.settle(id, acts);
            }
        });
    }

    fn later(
        &mut self,
        at: Tenths,
        acts: &mut dyn Acts,
        then: impl FnOnce(&mut Self, &mut dyn Acts) + 'static,
    ) {
        self.token += 1;
        self.timers.insert(self.token, Box::new(then));
        acts.wake(at, self.token);
    }

    pub fn woken(&mut self, now: Tenths, token: u64, acts: &mut dyn Acts) {
        self.now = now;
        if let Some(then) = self.timers.remove(&token) {
            then(self, acts);
        }
    }

    pub fn probed(
        &mut self,
        now: Tenths,
        _w: InvokerId,
        _ok: bool,
        _took: Tenths,
        _report: Report,
        _acts: &mut dyn Acts,
    ) {
        self.now = now;
    }

    /// The rendezvous order of a function: a hash of both, weighted by size, the same at every controller.
    fn order(&mut self, fid: FnId) {
        let version = self.list_version;
        let Some(f) = self.functions.get_mut(&fid) else { return };
        if f.order_version == version {
            return;
        }
        let mut scored: Vec<(f64, InvokerId)> = Vec::new();
        for (w, v) in self.invokers.iter().filter(|(_, v)| v.listed.life == Life::Ready) {
            let unit = (mix(mix(fid) ^ u64::from(*w)) >> 11) as f64 / (1u64 << 53) as f64;
            scored.push((-unit.max(1e-18).ln() / v.listed.size.max(0.01), *w));
        }
        scored.sort_by(|a, b| a.partial_cmp(b).expect("scores are numbers"));
        f.order = scored.into_iter().map(|(_, w)| w).collect();
        f.order_version = version;
    }

    fn mean_size(&self) -> f64 {
        let ready = self.invokers.values().filter(|v| v.listed.life == Life::Ready);
        let (n, sum) = ready.fold((0.0, 0.0), |(n, sum), v| (n + 1.0, sum + v.listed.size));
        if n > 0.0 { (sum / n).max(0.01) } else { 1.0 }
    }

    /// How slow the fleet is on the whole: one jammed pool or a few ill invokers are no overload.
    fn fleet_slow(&self) -> f64 {
        let ready = self.invokers.values().filter(|v| v.listed.life == Life::Ready);
        let (n, sum) = ready.fold((0.0, 0.0), |(n, sum), v| (n + 1.0, sum + v.slow(self.now)));
        if n > 0.0 { sum / n } else { 1.0 }
    }

    /// What part of its full capacity an invoker has at least, by the stated slowest rise.
    fn risen(&self, v: &Invoker) -> f64 {
        let Some(started) = v.listed.started else { return 1.0 };
        let age = self.now.saturating_sub(started) as f64 / self.stated.cold_time.max(1) as f64;
        (self.stated.cold_share + (1.0 - self.stated.cold_share) * age).min(1.0)
    }

    /// Rule 4: work that may still be sent now. What we send an invoker of its size on average stands for our
    /// share of its capacity; all controllers doing so together stay below it while the fleet is not overloaded.
    fn cold_room(&self, v: &Invoker) -> f64 {
        let risen = self.risen(v);
        if risen >= 1.0 {
            return f64::INFINITY;
        }
        let ready: f64 =
            self.invokers.values().filter(|v| v.listed.life == Life::Ready).map(|v| v.listed.size).sum();
        let share = self.work_rate * v.listed.size / ready.max(0.01);
        let window = self.stated.tip_window;
        let sent: f64 = v.cold_sent.iter().filter(|(at, _)| at + window > self.now).map(|(_, w)| w).sum();
        COLD_MARGIN * self.stated.tip_factor * risen * share * window as f64 - sent
    }

    /// An ill invoker whose shut time is over gets one invocation, whose answer decides.
    fn well(&self, v: &Invoker) -> bool {
        self.now >= v.shut_until && (v.shut_for == 0 || v.out == 0)
    }

    fn open(&self, v: &Invoker, work: f64) -> bool {
        v.listed.life == Life::Ready && self.well(v) && self.cold_room(v) >= work
    }

    /// How long a wait at the best invoker is still worth it: less for what earns little, so that in an
    /// overload the least billed value is turned away first and what is taken is answered in time.
    fn patience(&self, inv: &Inv) -> f64 {
        let row = &self.rows[inv.call.trigger].stated;
        let most = self.rows.iter().map(|r| r.stated.billed_value).fold(0.0, f64::max);
        let value = row.billed_value / most.max(1e-9);
        let share = if inv.over_share { OVER_SHARE } else { 1.0 };
        let left = row.objective.saturating_sub(self.now - inv.arrived) as f64;
        share * left * (PATIENCE_LEAST + (1.0 - PATIENCE_LEAST) * value)
    }

    /// Earliest finish in the pool; along the order when all members are past their target load.
    fn pick(&mut self, id: InvId) -> Choice {
        let fid = self.invs[&id].call.function;
        self.order(fid);
        let inv = &self.invs[&id];
        let f = &self.functions[&fid];
        let (size, keep, now) = (self.mean_size(), self.stated.keep_alive, self.now);
        let row = &self.rows[inv.call.trigger];
        let (work, alone) = (row.run, expected(&inv.call, f, row));
        let ready = f.order.len();
        let shut = f.order.iter().filter(|w| self.now < self.invokers[w].shut_until).count();
        // Most of the fleet ill at once says more about the network or ourselves than about each of them.
        let all_ill = 2 * shut > ready;
        let mut best: Vec<(u64, InvokerId, bool, bool)> = Vec::new();
        let mut shortest = f64::INFINITY;
        let mut members = 0;
        let mut below_target = false;
        for w in &f.order {
            let v = &self.invokers[w];
            let cold = self.cold_room(v);
            if cold < work || (!self.well(v) && !all_ill) || inv.tried.contains(w) || !self.may_send(inv, *w)
            {
                continue;
            }
            if members >= f.members && below_target {
                break;
            }
            members += 1;
            let p = f.places.get(w);
            if self.stated.misses && p.is_some_and(|p| now < p.cooldown) {
                continue;
            }
            let out = p.map_or(0, |p| p.out) as f64;
            let warm = f.warm(*w, now, keep);
            let loading = p.and_then(|p| p.loading);
            let load = match loading {
                _ if warm => 0.0,
                Some(since) => (f.load() - (now - since) as f64).max(0.1 * f.load()),
                None => f.load(),
            };
            let slow = v.slow(now) / self.risen(v);
            let queue = slow * f.run * out / f.lanes + v.out_work * size / (CORES * v.listed.size);
            let usual = slow * f.run + queue;
            let finish = load + slow * alone + queue;
            shortest = shortest.min(usual);
            below_target |= out < f.lanes && usual < TARGET * f.run;
            let awaited = !warm && self.stated.misses && p.is_some_and(|p| p.ordered);
            best.push(((finish / MILLI as f64) as u64, *w, warm, awaited));
        }
        // Where a dispatch loads nothing, one without a copy only burns a try: copies come by orders.
        let mut spread = None;
        if self.stated.misses && best.iter().any(|b| b.2) {
            spread = best.iter().min().filter(|b| !b.2 && !b.3).map(|b| b.1);
            best.retain(|b| b.2 || b.3);
        }
        let Some(least) = best.iter().map(|b| b.0).min() else { return Choice::Nobody };
        if shortest > self.patience(inv) && self.fleet_slow() > JAMMED && self.may_throttle(inv) {
            return Choice::Nobody;
        }
        best.retain(|b| b.0 == least);
        let (finish, invoker, warm, awaited) = best[self.rng.usize(..best.len())];
        if awaited {
            Choice::Await(invoker)
        } else {
            if self.stated.misses && !warm && f.places.get(&invoker).is_some_and(|p| now < p.lacks_until) {
                Choice::Order(invoker)
            } else {
                Choice::Go { invoker, warm, finish: (finish * MILLI) as f64, spread }
            }
        }
    }

    /// Pools: sizes from demand, then members' holds within the budgets, every second.
    fn plan(&mut self, acts: &mut dyn Acts) {
        self.later(self.now + PLAN_EVERY, acts, |c, acts| c.plan(acts));
        let now = self.now;
        self.functions.retain(|_, f| {
            now < f.called + 2 * FORGET || f.places.values().any(|p| p.out > 0 || p.ordered || p.placed)
        });
        for f in self.functions.values_mut() {
            let keep = self.stated.keep_alive;
            f.places.retain(|_, p| p.out > 0 || p.ordered || now < p.touched + keep || now < p.cooldown);
        }
        let window = self.stated.order_window.max(SECOND);
        while self.taken.front().is_some_and(|at| at + window <= now) {
            self.taken.pop_front();
        }
        for v in self.invokers.values_mut() {
            while v.cold_sent.front().is_some_and(|(at, _)| at + self.stated.tip_window <= now) {
                v.cold_sent.pop_front();
            }
        }
        let ids: Vec<FnId> = self.functions.keys().copied().collect();
        for fid in &ids {
            self.order(*fid);
        }
        let ready: Vec<&Invoker> = self.invokers.values().filter(|v| v.listed.life == Life::Ready).collect();
        let memory_of =
            |v: &Invoker| self.stated.kind_memory.get(v.listed.kind as usize).copied().unwrap_or(0.0);
        let total: f64 = ready.iter().map(|v| memory_of(v)).sum();
        let mut room = if total > 0.0 { total * POOL_MEMORY } else { f64::INFINITY };
        let n = ready.len();
        // Floors first, then by what the calls are worth.
        let mut want: Vec<(f64, FnId, usize)> = Vec::new();
        for (fid, f) in self.functions.iter().filter(|(_, f)| now < f.called + FORGET) {
            let rate = f.rate(now);
            let demand = rate * self.stated.controllers as f64 * f.run / SECOND as f64;
            let members = (demand / (f.lanes * FILL)).ceil().clamp(1.0, n.max(1) as f64);
            want.push((rate * self.rows[f.trigger].stated.billed_value, *fid, members as usize));
            room -= f.memory;
        }
        want.sort_by(|a, b| b.partial_cmp(a).expect("rates are numbers"));
        for f in self.functions.values_mut().filter(|f| now >= f.called + FORGET) {
            f.members = 0;
        }
        for (_, fid, members) in &want {
            let Some(f) = self.functions.get_mut(fid) else { continue };
            let extra = ((members - 1) as f64).min((room / f.memory.max(1.0)).max(0.0).floor()) as usize;
            room -= extra as f64 * f.memory;
            let members = 1 + extra;
            if members >= f.members {
                (f.members, f.surplus_since) = (members, None);
            } else if now >= *f.surplus_since.get_or_insert(now) + DWELL {
                (f.members, f.surplus_since) = (f.members - 1, Some(now));
            }
        }
        let mut moves = n.max(1);
        for (_, fid, _) in want {
            if moves == 0 {
                break;
            }
            moves -= self.fill_pool(fid, moves, acts);
        }
    }

    /// Orders holds for members without a warm belief, and renews those about to lapse.
    fn fill_pool(&mut self, fid: FnId, most: usize, acts: &mut dyn Acts) -> usize {
        let (now, keep) = (self.now, self.stated.keep_alive);
        let f = &self.functions[&fid];
        let able = |w: &&InvokerId| self.open(&self.invokers[*w], 0.0);
        let members: Vec<InvokerId> = f.order.iter().filter(able).take(f.members).copied().collect();
        let mut used = 0;
        let Some(f) = self.functions.get_mut(&fid) else { return 0 };
        for (w, p) in &mut f.places {
            let off = !members.contains(w);
            p.off_since = if off { p.off_since.or(Some(now)) } else { None };
        }
        for w in members {
            let f = &self.functions[&fid];
            let p = f.places.get(&w);
            let due = match p {
                Some(p) if f.warm(w, now, keep) => {
                    p.out == 0 && now >= p.touched + (keep as f64 * RENEW_AT) as Tenths
                }
                Some(p) => p.loading.is_none() && !p.ordered && now >= p.cooldown,
                None => true,
            };
            if due && used < most && self.order_load(w, fid, 1, PLANNED_RATION, acts) {
                used += 1;
            }
        }
        used
    }

    /// One hold order, if the pending cap and the ration allow it.
    fn order_load(&mut self, w: InvokerId, fid: FnId, count: u8, ration: f64, acts: &mut dyn Acts) -> bool {
        let now = self.now;
        let d = &self.stated;
        let ready = self.invokers.values().filter(|v| v.listed.life == Life::Ready).count();
        let cap = (2 * ready / d.controllers as usize).max(2);
        if !d.may_order
            || self.orders_out >= cap
            || self.invokers.get(&w).is_none_or(|v| v.listed.life != Life::Ready)
        {
            return false;
        }
        if d.order_window > 0 {
            let since = |at: &&Tenths| **at + d.order_window > now;
            let taken = self.taken.iter().rev().take_while(since).count() as f64;
            while self.orders.front().is_some_and(|at| at + d.order_window + MILLI <= now) {
                self.orders.pop_front();
            }
            if self.orders.len() as f64 + 1.0 > (d.orders_free + d.orders_share * taken) * ration {
                return false;
            }
        }
        let keep = d.keep_alive;
        let Some(f) = self.functions.get_mut(&fid) else { return false };
        let warm = f.warm(w, now, keep);
        let p = f.places.entry(w).or_default();
        if p.ordered || now < p.cooldown {
            return false;
        }
        p.ordered = true;
        p.placed = true;
        if !warm {
            p.loading = Some(now);
            self.make_room(w, fid, acts);
        }
        if self.stated.order_window > 0 {
            self.orders.push_back(now);
        }
        self.orders_out += 1;
        acts.hold(w, fid, count);
        true
    }

    /// Before a load at `w`: our own idle instances there that have been planned off for a dwell and not called.
    fn make_room(&mut self, w: InvokerId, fid: FnId, acts: &mut dyn Acts) {
        if !self.stated.may_order {
            return;
        }
        for (g, f) in self.functions.iter_mut().filter(|(g, _)| **g != fid) {
            let Some(p) = f.places.get_mut(&w) else { continue };
            let stale = p.off_since.is_some_and(|since| self.now >= since + DWELL);
            if p.placed && p.warm && stale && p.out == 0 && !p.ordered {
                (p.warm, p.placed) = (false, false);
                acts.unload(w, *g);
            }
        }
    }

    pub fn held(&mut self, now: Tenths, a: HoldAnswer, acts: &mut dyn Acts) {
        self.now = now;
        self.orders_out = self.orders_out.saturating_sub(1);
        let Some(f) = self.functions.get_mut(&a.function) else { return };
        let p = f.places.entry(a.invoker).or_default();
        (p.ordered, p.loading) = (false, None);
        p.warm = a.outcome == HoldOutcome::Standing;
        p.lacks_until = 0;
        if p.warm {
            p.touched = now - a.took;
            if a.took > f.load_seen as Tenths && a.took > 50 * MILLI {
                f.load_seen = a.took as f64;
            }
        } else {
            p.cooldown = now + LOAD_COOLDOWN;
            p.placed = false;
        }
        let waiting = std::mem::take(&mut p.waiting);
        if a.outcome == HoldOutcome::Unreachable {
            self.shut(a.invoker);
        }
        for then in waiting {
            then(self, acts);
        }
    }

    /// Looks for unusual silence, and moves what waits at a silent invoker where a repeat does no harm.
    fn look(&mut self, acts: &mut dyn Acts) {
        self.later(self.now + LOOK_EVERY, acts, |c, acts| c.look(acts));
        let mut due: BTreeMap<InvokerId, Tenths> = BTreeMap::new();
        for d in self.invs.values().flat_map(|inv| &inv.out) {
            let at = due.entry(d.invoker).or_insert(d.due);
            *at = d.due.min(*at);
        }
        for (w, due) in due {
            let v = &self.invokers[&w];
            let silence = self.now.saturating_sub(v.heard.max(due)) as f64;
            if silence / v.gap / std::f64::consts::LN_10 > PHI {
                self.shut(w);
                self.move_off(w, acts);
            }
        }
    }

    fn move_off(&mut self, w: InvokerId, acts: &mut dyn Acts) {
        let stuck = |inv: &Inv| {
            !inv.done && inv.out.iter().any(|d| d.invoker == w && d.due < self.now && !d.cancelled)
        };
        let ids: Vec<InvId> = self.invs.iter().filter(|(_, inv)| stuck(inv)).map(|(id, _)| *id).collect();
        for id in ids {
            let Some(inv) = self.invs.get(&id) else { continue };
            let row = &self.rows[inv.call.trigger].stated;
            if self.stated.parallel_dispatches && row.effect != Effect::NonIdempotent {
                if inv.out.len() < 2
                    && inv.hops < self.stated.dispatch_limit
                    && let Choice::Go { invoker, warm, finish, .. } = self.pick(id)
                    && invoker != w
                {
                    self.dispatch(id, invoker, warm, finish, acts);
                }
                continue;
            }
            let in_window = inv.out.iter().all(|d| self.now + SECOND < d.sent + row.repeat_window);
            let repeats = match row.effect {
                Effect::Idempotent => true,
                Effect::Tokened => row.scope == Scope::All && in_window,
                Effect::NonIdempotent => false,
            };
            if repeats && self.stated.may_cancel && inv.hops < self.stated.dispatch_limit {
                let Some(inv) = self.invs.get_mut(&id) else { continue };
                for d in inv.out.iter_mut().filter(|d| d.invoker == w) {
                    d.cancelled = true;
                    acts.cancel(id, d.hop);
                }
            }
        }
    }
}
