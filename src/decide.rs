//! All decisions of a controller. The interface is in `port.rs`; what stands by itself has a module of its own: `estimate`
//! (values that follow what is seen), `load_budget` (rule 5), `load_breaker` (a store that fails loads everywhere).
//!
//! How to call it: `Controller::new` at start, then one call for each thing told: `listed` (the invokers),
//! `invoked`, `left`, `answered` (a dispatch ended), `held` (an order ended), `woken`. Each takes
//! the time and an `Acts` through which the controller acts before it returns. Same calls, same actions.
//! The ordinary path is `plan` (pools, each second), `rank`, `pick`; `docs/design.md` tells what is added.

mod estimate;
mod load_breaker;
mod load_budget;
mod observe;

use crate::port::*;
use estimate::{Timed, decay, follow};
use load_breaker::LoadBreaker;
use load_budget::LoadBudget;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const PLAN_EVERY: Tenths = SECOND; // so often does the allocator run
const DWELL: Tenths = 10 * SECOND; // a surplus member or a stale instance stays at least so long
const FORGET: Tenths = 25 * SECOND; // A function not called for this long loses its floor of one member
const FILL: f64 = 0.2; // a pool's lanes are this full on the mean: calls come in bursts
const POOL_MEMORY: f64 = 0.6; // of the fleet's memory; the rest is for work and what others loaded
const CROWD_FADES: f64 = 5.0; // news of others' load fades in so many seconds
const SPANS: [f64; 3] = [2.0, 8.0, 30.0]; // call rates are smoothed over these seconds
const UNKNOWN: f64 = 10.0; // a fresh controller counts its calls over so many more
const RENEW_AT: f64 = 0.6; // a standing instance is renewed at this share of its keep-alive without a call
const PLANNED_RATION: f64 = 0.4; // Planned orders leave the rest of the order ration to misses
const LOAD_COOLDOWN: Tenths = 3 * SECOND; // A failed load is not repeated at the same place for this long
const LACKS: Tenths = 4 * SECOND; // so long does a place count as lacking what it missed
const LOAD_GUESS: f64 = SECOND as f64; // where none was told or seen; run time before the first answer
const RUN_GUESS: f64 = 150.0 * MILLI as f64;
const RUNS_SEEN: f64 = 20.0; // So many run times of a trigger type are learned however crowded the invoker is
const CORES: f64 = 3.0; // runs at once that a mean invoker does without slowing; nobody tells its cores
const TARGET: f64 = 4.0; // past it too is a member on which a run takes so much longer
const LOOK_EVERY: Tenths = 50 * MILLI; // so often is silence looked for
const FILL_TURNS: usize = 5; // Pools are filled over so many looks: a turn stays short, an order comes soon
const PHI: f64 = 3.0; // of silence: the log of how unlikely it is
const STALL: Tenths = 4 * LOOK_EVERY; // a controller without a turn for so long has stood still itself
const GAP_FLOOR: f64 = 30.0 * MILLI as f64;
const SHUT_FIRST: Tenths = 500 * MILLI; // an ill invoker is shut for a time that doubles while it stays ill
const SHUT_MOST: Tenths = 4 * SECOND;
const ERRORS_ILL: f64 = 0.4; // share of recent dispatches that ended in errors
const FULL_SLOW: f64 = 3.0; // an invoker that refuses for room to more than one is at least so slow
const SLOW_FADES: f64 = 5.0;
const SLOW_MOST: f64 = 5.0; // time-outs come late: beyond this they take a fleet for no slower
const JAMMED: f64 = 1.5; // a fleet is jammed whose median run takes this much longer than alone
const MEDIAN: f64 = 0.75; // of run times, over their mean
const PATIENCE_LEAST: f64 = 0.5; // The least billed work waits this much less
const COLD_MARGIN: f64 = 0.6; // how far our part of what a cold invoker may get is kept under the multiple
const COME_BACK: Tenths = 8; // a throttled client may come back after this part of the objective
const LAST_CALL: Tenths = 10 * MILLI; // lead of a final answer on the client timeout
const TURN_STEPS: u64 = 50_000; // pools are filled in one turn until so many invokers were looked at
const RANK_MORE: usize = 24; // so many are ranked beyond a pool: on the mean twice as many, to rank seldom
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15; // spreads function ids before an invoker's is mixed in
type Next = Box<dyn FnOnce(&mut Controller, &mut dyn Acts)>; // what a step's result is handed to

struct Row {
    stated: TriggerType,
    run: Timed,
    pace: Timed, // run time over the hint of work
}

struct Dispatch {
    invoker: InvokerId,
    sent: Tenths,
    due: Tenths, // When an answer is expected, had all gone as the pick foresaw
    warm: bool,
    moved: bool, // A cancel is out for it
    uncrowded: bool,
    run: f64,
    next: Next,
}

struct Inv {
    call: Invocation,
    arrived: Tenths,
    out: Option<Dispatch>, // One at a time, also where two are allowed: a second one cost more than it won
    hops: u8,
    decided: u32, // how often it was decided what becomes of it: a wait from before is over
    may_have_run: Option<(Tenths, InvokerId)>, // the first such dispatch: when and where
    tried: Vec<InvokerId>,
    done: bool,
}

#[derive(Default)]
struct Invoker {
    listed: Listed,
    out: u32,
    heard: Tenths,
    slow: (f64, Tenths), // time taken over time expected, and when learned
    errors: f64,
    shut_until: Tenths,
    shut_for: Tenths,
    seen_start: Option<Tenths>, // it was not warm before, by what was seen: no start was told, or not yet
    /// Tenants and types refused for room since last served: how often, until when. One tells no illness.
    refused: BTreeMap<(usize, usize), (u32, Tenths)>,
    sent: VecDeque<(Tenths, f64)>, // What was sent to it in the tipping window: when, and how much work
}

#[derive(Default)]
struct Place {
    warm: bool,
    touched: Tenths,
    loading: Option<Tenths>,
    ordered: bool,
    waiting: Vec<Next>,
    placed: bool,
    off_since: Option<Tenths>,
    cooldown: Tenths,
    lacks_until: Tenths,
    out: u32,
    crowd: (f64, Tenths), // Invocations of the function that an answer found there, and when
}

/// The head of a function's rendezvous ranking: all ready invokers whose weight is `held` at the most.
#[derive(Default)]
struct Ranking {
    head: Vec<(f64, InvokerId)>,
    held: f64,
    version: u64, // of the list that it follows
}

#[derive(Default)]
struct Function {
    trigger: usize,
    calls: [f64; 3], // Calls seen, fading in each of the spans
    called: Tenths,
    run: Timed,
    lanes: f64,
    memory: f64,
    load_told: Option<f64>,
    load_seen: f64,
    proven: bool, // An invoker has run it: what strangers ask for may be no function at all
    members: usize, // Members wanted, and since when fewer would do
    surplus_since: Option<Tenths>,
    ranking: Ranking,
    places: BTreeMap<InvokerId, Place>,
}

/// An invoker that an invocation may go to now.
struct Candidate {
    finish: u64, // whole milliseconds: what is nearer together is a tie
    invoker: InvokerId,
    warm: bool,
    awaited: bool, // an order for a copy there is out
    load: f64,
    answer: f64, // from when a copy stands
}

enum Choice {
    Go(InvokerId, bool, Tenths), // where to, whether a copy is believed to stand, when an answer is due
    Hold(InvokerId, Tenths, Tenths), // only an order brings a copy: how long it takes, and the answer then
    Nobody,
}

#[derive(Default)]
pub struct Controller {
    now: Tenths,
    awake: Tenths,
    born: Tenths,
    d: Deployment,
    rng: fastrand::Rng,
    seed: u64,
    rows: Vec<Row>,
    invokers: BTreeMap<InvokerId, Invoker>,
    ready: BTreeMap<InvokerId, (f64, u64)>, // size, and the version of the list since which it is so
    ready_list: Vec<(InvokerId, f64)>,      // the same, to be gone through at once
    ready_size: f64,
    came: VecDeque<(u64, InvokerId)>, // who came to be ready, and at which version: all after the first's
    copies: BTreeSet<(InvokerId, FnId)>, // the places of all functions
    load_breaker: LoadBreaker,
    ill: BTreeSet<InvokerId>, // all that are or were shut, and some more
    list_version: u64,
    rank_steps: u64, // invokers looked at to rank them
    functions: BTreeMap<FnId, Function>,
    invs: BTreeMap<InvId, Inv>,
    timers: BTreeMap<u64, Next>,
    token: u64,
    load_budget: LoadBudget,
    to_fill: VecDeque<FnId>, // functions whose pools the last plan left to fill, and how many a look fills:
    fills: usize,            // all in one turn kept answers back until after their client timeout
    moves: f64,              // what is left of our part of the holds planned a second
    cold: f64,               // how often an unknown copy did not stand
    out: u32, // Dispatches out, and how slow the fleet is: time of answers over time expected
    slow: (f64, Tenths),
    gap: f64,    // how long past due answers come, over all invokers: few hear often of each
    late: Timed, // How late answers are that come after they were due
    size: f64, // of the fleet on which our work was done: it fades like the work when most have died
    work_rate: (f64, Tenths), // Work that ended well a tenth, smoothed, and when that was last right
}

/// In a function's rendezvous ranking: the least is the first. The same at every controller.
fn weight(fid: FnId, w: InvokerId, size: f64, most: f64) -> Option<f64> {
    let unit = fastrand::Rng::with_seed(fid.wrapping_mul(SPREAD) ^ u64::from(w)).f64();
    // The logarithm lies beyond its tangent, so only those near the head need one.
    (1.0 - unit <= most * size)
        .then(|| -unit.max(1e-18).ln() / size)
        .filter(|weight| *weight <= most)
}

fn expected(call: &Invocation, f: &Function, row: &Row) -> f64 {
    call.work_hint
        .map_or(f.run.mean(), |h| h as f64 * row.pace.mean())
}

impl Function {
    fn load(&self) -> f64 {
        self.load_told.unwrap_or(if self.load_seen > 0.0 {
            self.load_seen
        } else {
            LOAD_GUESS
        })
    }

    fn warm(&self, w: InvokerId, now: Tenths, keep: Tenths) -> bool {
        self.places
            .get(&w)
            .is_some_and(|p| p.warm && (p.out > 0 || now < p.touched + keep))
    }

    /// Calls a second: over the long span, or over a short one as far as chance can't explain it.
    fn rate(&self, now: Tenths, born: Tenths) -> f64 {
        let calls = |i: usize| self.calls[i] * decay(now - self.called, SPANS[i]);
        let sure = |i: usize| (calls(i) - calls(i).sqrt()) / SPANS[i];
        let known = SPANS[2] * (1.0 - decay(now - born, SPANS[2]));
        sure(0).max(sure(1)).max(calls(2) / (known + UNKNOWN))
    }
}

impl Invoker {
    /// Fades to the fleet's: with many controllers one hears of an invoker too seldom to know it jammed.
    fn slow(&self, now: Tenths, fleet: f64) -> f64 {
        fleet + (self.slow.0 - fleet) * decay(now.saturating_sub(self.slow.1), SLOW_FADES)
    }

    /// One whose shut time is over gets a single invocation, whose answer decides.
    fn well(&self, now: Tenths) -> bool {
        now >= self.shut_until && (self.shut_for == 0 || self.out == 0)
    }

    /// Again, at once or in the trial after a shut time: its process is down, and comes back cold.
    fn unreached(&mut self, now: Tenths, took: Tenths) {
        let down = self.shut_for > 0 && (took < LAST_CALL || now - took >= self.shut_until);
        self.seen_start = if down { Some(now) } else { self.seen_start };
        self.shut(now);
    }

    fn shut(&mut self, now: Tenths) {
        if now >= self.shut_until {
            self.shut_for = (2 * self.shut_for).clamp(SHUT_FIRST, SHUT_MOST);
            self.shut_until = now + self.shut_for;
        }
    }
}

impl Controller {
    pub fn new(now: Tenths, d: Deployment, seed: u64, acts: &mut dyn Acts) -> Self {
        let (run, pace) = (Timed::new(RUN_GUESS), Timed::new(1.0));
        let row = |t: &TriggerType| Row {
            stated: t.clone(),
            run: run.clone(),
            pace: pace.clone(),
        };
        let mut c = Self {
            now,
            born: now,
            rng: fastrand::Rng::with_seed(seed),
            seed,
            rows: d.trigger_types.iter().map(row).collect(),
            d,
            cold: 1.0,
            slow: (1.0, now),
            gap: RUN_GUESS,
            late: Timed::new(RUN_GUESS),
            list_version: 1,
            ..Default::default()
        };
        c.moves = c.rng.f64();
        c.plan(acts);
        c.look(acts);
        c
    }

    pub fn listed(&mut self, now: Tenths, whole: bool, entries: &[Listed]) {
        self.turn(now);
        self.list_version += 1;
        let first = self.invokers.is_empty();
        if whole {
            self.invokers
                .values_mut()
                .for_each(|v| v.listed.life = Life::Gone);
        }
        for l in entries {
            // Who is listed later than the first is new, and cold, also where its start is not told yet.
            let (slow, seen_start) = ((1.0, now), (!first && l.started.is_none()).then_some(now));
            let new = || Invoker {
                listed: *l,
                seen_start,
                heard: now,
                slow,
                ..Default::default()
            };
            let v = self.invokers.entry(l.invoker).or_insert_with(new);
            let restarted = l.started.is_some() && l.started != v.listed.started;
            v.listed = *l;
            if restarted {
                (v.shut_until, v.shut_for, v.errors, v.slow) = (0, 0, 0.0, (1.0, now));
                self.forget_copies(l.invoker);
            }
        }
        let mut changed: Vec<InvokerId> = entries.iter().map(|l| l.invoker).collect();
        changed.extend(self.invokers.keys().filter(|_| whole));
        changed.into_iter().for_each(|w| self.stand(w));
        self.ready_list = self.ready.iter().map(|(w, s)| (*w, s.0)).collect();
        self.ready_size = self.ready_list.iter().map(|r| r.1).sum();
        self.size = self.size.max(self.ready_size);
    }

    /// Ready or not, as listed: only one that was not, or in another size, is new to rankings.
    fn stand(&mut self, w: InvokerId) {
        let v = self
            .invokers
            .get(&w)
            .filter(|v| v.listed.life == Life::Ready);
        let (size, before) = (
            v.map(|v| v.listed.size.max(0.01)),
            self.ready.get(&w).map(|r| r.0),
        );
        if size != before {
            self.ready.remove(&w);
            self.ready
                .extend(size.map(|size| (w, (size, self.list_version))));
            self.came.extend(size.map(|_| (self.list_version, w)));
        }
        self.came
            .drain(..self.came.len().saturating_sub(self.ready.len())); // no less work than to rank anew
    }

    /// A turn far later than the next look was due: we stood still, and silence and lateness with us.
    fn turn(&mut self, now: Tenths) {
        let stood = now.saturating_sub(self.now);
        if stood > STALL {
            self.awake = now;
            self.invokers
                .values_mut()
                .for_each(|v| v.heard = (v.heard + stood).min(now));
            self.invs
                .values_mut()
                .filter_map(|inv| inv.out.as_mut())
                .for_each(|d| d.due += stood);
        }
        self.now = now;
    }

    fn forget_copies(&mut self, w: InvokerId) {
        for (_, fid) in self.copies.range((w, 0)..=(w, FnId::MAX)) {
            let place = self
                .functions
                .get_mut(fid)
                .and_then(|f| f.places.get_mut(&w));
            place
                .into_iter()
                .for_each(|p| (p.warm, p.loading, p.placed) = (false, None, false));
        }
    }

    pub fn invoked(&mut self, now: Tenths, call: Invocation, acts: &mut dyn Acts) {
        self.turn(now);
        let run = self.rows[call.trigger].run.clone();
        let new = Function {
            trigger: call.trigger,
            called: now,
            members: 1,
            run,
            ..Default::default()
        };
        let f = self.functions.entry(call.function).or_insert(new);
        for (calls, span) in f.calls.iter_mut().zip(SPANS) {
            *calls = *calls * decay(now - f.called, span) + 1.0;
        }
        (f.called, f.lanes, f.memory) = (now, call.lanes, call.memory);
        f.load_told = call.load_hint.map(|l| l as f64);
        // Rule 5 counts what clients may ask for. Who asks for no function at all must not widen the ration.
        f.proven
            .then(|| self.load_budget.invocation_came(call.came));
        f.places
            .values_mut()
            .for_each(|p| p.off_since = p.off_since.map(|_| now));
        let (id, tried, out, may_have_run, done) = (call.id, Vec::new(), None, None, false);
        let new = Inv {
            call,
            arrived: now,
            out,
            hops: 0,
            decided: 0,
            may_have_run,
            tried,
            done,
        };
        self.invs.insert(id, new);
        self.send(id, acts);
    }

    pub fn left(&mut self, now: Tenths, id: InvId) {
        self.turn(now);
        let Some(inv) = self.invs.get_mut(&id) else {
            return;
        };
        inv.done = true;
        if inv.out.is_none() {
            self.invs.remove(&id);
        }
    }

    /// Rule 2: whether sending it to `to` at `at`, or without `to` throttling it, can do no harm.
    fn harmless(&self, inv: &Inv, to: Option<InvokerId>, at: Tenths) -> bool {
        let row = &self.rows[inv.call.trigger].stated;
        let out = inv.out.as_ref().map(|d| (d.sent, d.invoker));
        let Some((sent, first)) = inv.may_have_run.or(out) else {
            return true;
        };
        let (a, b) = (
            &self.invokers[&first].listed,
            to.map(|w| &self.invokers[&w].listed),
        );
        let same = match row.scope {
            Scope::All => true,
            Scope::Zone => b.is_some_and(|b| a.zone == b.zone),
            Scope::Cell => b.is_some_and(|b| a.cell == b.cell),
        };
        match row.effect {
            Effect::Idempotent => true,
            Effect::Tokened => same && at < sent + row.repeat_window,
            Effect::NonIdempotent => false,
        }
    }

    /// The final answer, at once: the client may try again.
    fn settle(&mut self, id: InvId, copy_in: Tenths, acts: &mut dyn Acts) {
        let Some(inv) = self
            .invs
            .get(&id)
            .filter(|inv| !inv.done && inv.out.is_none())
        else {
            return;
        };
        let wait = copy_in.max(self.rows[inv.call.trigger].stated.objective / COME_BACK);
        match self.harmless(inv, None, self.now) {
            true => acts.throttle(id, self.d.come_back_max.map_or(0, |most| wait.min(most))),
            false => acts.error(id),
        }
        self.left(self.now, id);
    }

    fn send(&mut self, id: InvId, acts: &mut dyn Acts) {
        let Some(inv) = self.invs.get_mut(&id).filter(|inv| !inv.done) else {
            return;
        };
        inv.decided += 1;
        let (fid, expires) = (inv.call.function, inv.call.expires);
        if self.now + LAST_CALL >= expires {
            return self.settle(id, 0, acts);
        }
        match self.pick(id) {
            Choice::Go(w, warm, due) => self.dispatch(id, w, warm, due, acts),
            Choice::Hold(w, copy_in, answer) => {
                let ordered = self.order_load(w, fid, 1.0, acts);
                let last = expires.saturating_sub(answer.max(LAST_CALL));
                // What can't end in time is answered at once: the copy is there when the client comes back.
                if self.now + copy_in >= last {
                    self.settle(id, if ordered { copy_in } else { 0 }, acts);
                } else if ordered {
                    self.await_hold(id, w, last, acts);
                } else {
                    // The ration is used up: it frees up with time, tries don't.
                    let at = (self.now + LOOK_EVERY).min(last);
                    self.later(at, acts, Box::new(move |c, acts| c.send(id, acts)))
                }
            }
            Choice::Nobody => self.settle(id, self.load_breaker.open_for(self.now), acts),
        }
    }

    fn dispatch(
        &mut self,
        id: InvId,
        invoker: InvokerId,
        warm: bool,
        due: Tenths,
        acts: &mut dyn Acts,
    ) {
        let fid = self.invs[&id].call.function;
        let loads = !warm && !self.d.misses;
        self.make_room(invoker, fid, loads, acts);
        if loads {
            self.load_breaker.began(self.now);
        }
        let (Some(inv), Some(f)) = (self.invs.get_mut(&id), self.functions.get_mut(&fid)) else {
            return;
        };
        let (Some(v), row) = (
            self.invokers.get_mut(&invoker),
            &self.rows[inv.call.trigger],
        ) else {
            return;
        };
        let (run, sent) = (expected(&inv.call, f, row), self.now);
        v.heard = if v.out == 0 { sent } else { v.heard };
        let uncrowded = f64::from(v.out) < CORES;
        self.out += 1;
        v.out += 1;
        v.sent.push_back((sent, row.run.mean()));
        while v
            .sent
            .pop_front_if(|(at, _)| *at + self.d.tip_window <= sent)
            .is_some()
        {}
        let p = f.places.entry(invoker).or_default();
        self.copies.insert((invoker, fid));
        p.out += 1;
        p.touched = sent;
        p.loading = p.loading.or(loads.then_some(sent));
        let next: Next = Box::new(move |c, acts| match c.invs.get(&id) {
            Some(inv) if inv.done => c.left(c.now, id),
            Some(_) => c.send(id, acts),
            None => {}
        });
        inv.out = Some(Dispatch {
            invoker,
            sent,
            due,
            warm,
            moved: false,
            uncrowded,
            run,
            next,
        });
        inv.hops += 1;
        // A repeat under a token is dropped within its window alone: it leaves by then, or is decided anew.
        match (row.stated.effect, inv.may_have_run) {
            (Effect::Tokened, Some((first, _))) => {
                acts.dispatch_by(id, invoker, 0, first + row.stated.repeat_window);
            }
            _ => acts.dispatch(id, invoker, 0),
        }
    }

    pub fn answered(&mut self, now: Tenths, a: Answer, acts: &mut dyn Acts) {
        self.turn(now);
        let Some(inv) = self.invs.get_mut(&a.inv) else {
            return;
        };
        let Some(d) = inv.out.take() else { return };
        if !a.outcome.never_ran() {
            inv.may_have_run = inv.may_have_run.or(Some((d.sent, d.invoker)));
        }
        inv.tried
            .extend((a.outcome != Outcome::Miss).then_some(d.invoker));
        inv.done |= a.finished;
        let call = inv.call.clone();
        let f = self
            .functions
            .get_mut(&call.function)
            .filter(|_| a.outcome == Outcome::Succeeded);
        if f.is_some_and(|f| !std::mem::replace(&mut f.proven, true)) {
            self.load_budget.invocation_came(call.came);
        }
        self.learn(&call, &d, &a);
        (d.next)(self, acts);
    }

    /// What an answer says of the invoker's health, of the function there, and of run times.
    fn learn(&mut self, call: &Invocation, d: &Dispatch, a: &Answer) {
        let (now, took, w, key) = (
            self.now,
            a.took as f64,
            d.invoker,
            (call.tenant, call.trigger),
        );
        let (fleet, f) = (self.fleet_slow(), self.functions.get_mut(&call.function));
        let (Some(f), Some(v)) = (f, self.invokers.get_mut(&w)) else {
            return;
        };
        if !d.warm && matches!(a.outcome, Outcome::Succeeded | Outcome::Miss) {
            let stood = a
                .found
                .map_or(took < d.run + 0.5 * f.load(), |found| found == Found::Warm);
            let cold = f64::from(!stood || a.outcome == Outcome::Miss);
            self.cold += 0.05 * (cold - self.cold);
        }
        let (p, row) = (f.places.entry(w).or_default(), &mut self.rows[call.trigger]);
        let (ratio, stalled) = ((took / d.run.max(1.0)).min(10.0), self.awake > d.sent);
        let slow = v.slow(now, fleet);
        (self.out, v.out, p.out) = (self.out - 1, v.out - 1, p.out - 1);
        if !matches!(
            a.outcome,
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent
        ) {
            let late = now.saturating_sub(v.heard.max(d.due)) as f64;
            if late > 0.0 && !stalled {
                self.gap = (self.gap + 0.05 * (late - self.gap)).max(GAP_FLOOR);
                self.late.learn((now - d.due) as f64);
            }
            v.heard = now;
        }
        p.crowd = a.crowd.map_or(p.crowd, |n| (f64::from(n), now));
        let (began, failed) = (
            a.found == Some(Found::BeganLoad),
            a.found == Some(Found::LoadFailed),
        );
        let ill = matches!(a.outcome, Outcome::Errored | Outcome::Reset) && !failed;
        v.errors += 0.2 * (f64::from(ill) - v.errors);
        self.ill
            .extend((a.outcome != Outcome::Succeeded).then_some(w));
        match a.outcome {
            Outcome::Succeeded => {
                (v.shut_until, v.shut_for) = (0, 0);
                v.refused.remove(&key);
                // Only what was done counts: work sent in vain must not widen a cold invoker's part (rule 4).
                let faded = self.work_rate.0 * decay(now - self.work_rate.1, SPANS[1]);
                self.work_rate = (faded + row.run.mean() / (SPANS[1] * SECOND as f64), now);
                if a.found.map_or(d.warm, |found| found == Found::Warm) {
                    v.slow = (slow + 0.1 * (ratio - slow), now);
                    self.slow = (follow(fleet, ratio > MEDIAN * fleet), now);
                    // Learned in a jam, run times would take it for normal: unseen, and pools would grow.
                    if d.uncrowded || row.run.seen < RUNS_SEEN {
                        f.run.learn(took);
                        row.run.learn(took);
                        row.pace
                            .learn(took / call.work_hint.unwrap_or(1).max(1) as f64);
                    }
                } else if a.found == Some(Found::BeganLoad) {
                    f.load_seen = f.load_seen.max(took - d.run);
                }
                (p.warm, p.loading) = (true, None);
            }
            // A connection may break alone; where a process died, all break, or the next is refused.
            Outcome::Reset if v.errors > ERRORS_ILL => {
                v.shut(now);
                self.forget_copies(w);
            }
            Outcome::Errored if failed => (p.loading, p.cooldown) = (None, now + LOAD_COOLDOWN),
            Outcome::Errored if v.errors > ERRORS_ILL => v.shut(now),
            Outcome::Miss => (p.warm, p.loading, p.lacks_until) = (false, None, now + LACKS),
            Outcome::NoConnection => v.unreached(now, a.took),
            // Left out, an overload would be told by the answers that still come.
            Outcome::TimedOut => self.slow = (follow(fleet, true).min(SLOW_MOST), now),
            Outcome::Full => {
                let (streak, until) = v.refused.entry(key).or_default();
                (*until, *streak) = (
                    now + (SHUT_FIRST << (*streak).min(5)).min(SHUT_MOST),
                    *streak + 1,
                );
                if v.refused.len() > 1 || self.rows.len().max(self.d.tenants.len()) < 2 {
                    v.slow = (slow.max(FULL_SLOW), now);
                    self.slow = (follow(fleet, true), now);
                }
            }
            _ => {}
        }
        if began {
            self.load_breaker.succeeded();
        } else if failed {
            self.load_breaker.failed(now, w);
        }
    }

    fn await_hold(&mut self, id: InvId, w: InvokerId, last: Tenths, acts: &mut dyn Acts) {
        let Some(inv) = self.invs.get(&id) else {
            return;
        };
        let decided = inv.decided;
        let still = move |c: &Self| c.invs.get(&id).is_some_and(|inv| inv.decided == decided);
        let Some(f) = self.functions.get_mut(&inv.call.function) else {
            return;
        };
        let then = |go: fn(&mut Self, InvId, &mut dyn Acts)| -> Next {
            Box::new(move |c, acts| _ = still(c).then(|| go(c, id, acts)))
        };
        f.places
            .entry(w)
            .or_default()
            .waiting
            .push(then(Self::send));
        self.later(last, acts, then(|c, id, acts| c.settle(id, 0, acts)));
    }

    fn later(&mut self, at: Tenths, acts: &mut dyn Acts, then: Next) {
        self.token += 1;
        self.timers.insert(self.token, then);
        acts.wake(at, self.token);
    }

    pub fn woken(&mut self, now: Tenths, token: u64, acts: &mut dyn Acts) {
        self.turn(now);
        self.timers
            .remove(&token)
            .into_iter()
            .for_each(|then| then(self, acts));
    }

    /// Holds the first `want` of a function's ranking, or all. A change of the list costs what came with it.
    fn rank(&mut self, fid: FnId, want: usize) {
        let (ready, Some(f)) = (&self.ready, self.functions.get_mut(&fid)) else {
            return;
        };
        let r = &mut f.ranking;
        if r.version < self.list_version {
            r.held = if self.came.front().is_none_or(|came| r.version < came.0) {
                0.0
            } else {
                r.held
            };
            r.head
                .retain(|(x, w)| *x <= r.held && ready.get(w).is_some_and(|s| s.1 <= r.version));
            let missed = self
                .came
                .partition_point(|(version, _)| *version <= r.version);
            for (at, w) in self.came.range(missed..).filter(|_| r.held > 0.0) {
                self.rank_steps += 1;
                let size = ready.get(w).filter(|(_, since)| since == at).map(|r| r.0);
                r.head
                    .extend(size.and_then(|size| Some((weight(fid, *w, size, r.held)?, *w))));
            }
            r.head
                .sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            r.version = self.list_version;
        }
        self.rank_steps += want.min(ready.len()) as u64;
        while r.head.len() < want.min(ready.len()) {
            let far = (2.0 * want as f64 / self.ready_size).max(2.0 * r.held);
            r.held = if 4 * want > ready.len() || far <= r.held {
                f64::INFINITY
            } else {
                far
            };
            self.rank_steps += ready.len() as u64;
            let of = |(w, s): &(InvokerId, f64)| Some((weight(fid, *w, *s, r.held)?, *w));
            r.head = self.ready_list.iter().filter_map(of).collect();
            r.head.sort_by(|a, b| a.0.total_cmp(&b.0));
        }
    }

    fn fleet_slow(&self) -> f64 {
        1.0 + (self.slow.0 - 1.0) * decay(self.now - self.slow.1, SLOW_FADES)
    }

    /// Part of its full capacity that it has at least, by the stated slowest rise.
    fn risen(&self, v: &Invoker) -> f64 {
        let Some(started) = v.listed.started.max(v.seen_start) else {
            return 1.0;
        };
        let age = self.now.saturating_sub(started) as f64 / self.d.cold_time.max(1) as f64;
        (self.d.cold_share + (1.0 - self.d.cold_share) * age).min(1.0)
    }

    /// Rule 4: what may be sent now: our part is what we got done, as all controllers never do more than the
    /// fleet. Where that is under one invocation, a draw a window gives one as often.
    fn cold_room(&self, v: &Invoker, run: f64) -> f64 {
        let risen = self.risen(v);
        if risen >= 1.0 {
            return f64::INFINITY;
        }
        let window = self.d.tip_window;
        let part = self.work_rate.0 * v.listed.size / self.size.max(0.01);
        let draw = self.seed
            ^ u64::from(v.listed.invoker).wrapping_mul(SPREAD)
            ^ (self.now / window.max(1));
        let luck = fastrand::Rng::with_seed(draw).f64();
        let sent: f64 = v
            .sent
            .iter()
            .filter(|(at, _)| at + window > self.now)
            .map(|(_, work)| work)
            .sum();
        COLD_MARGIN * self.d.tip_factor * risen * part * window as f64 + luck * run - sent
    }

    /// How long a wait is still worth it: in an overload the least billed value is turned away first.
    fn patience(&self, inv: &Inv) -> f64 {
        let row = &self.rows[inv.call.trigger].stated;
        let most = self
            .rows
            .iter()
            .map(|r| r.stated.billed_value)
            .fold(1e-9, f64::max);
        let left = row.objective.saturating_sub(self.now - inv.arrived) as f64;
        left * (PATIENCE_LEAST + (1.0 - PATIENCE_LEAST) * row.billed_value / most)
    }

    /// Earliest finish in the pool; along the ranking when all members are past their target load.
    fn pick(&mut self, id: InvId) -> Choice {
        let fid = self.invs[&id].call.function;
        self.rank(fid, self.functions[&fid].members + RANK_MORE);
        let (inv, f, now) = (&self.invs[&id], &self.functions[&fid], self.now);
        let row = &self.rows[inv.call.trigger];
        let (alone, run, fleet_slow) =
            (expected(&inv.call, f, row), f.run.mean(), self.fleet_slow());
        let copy_in = |p: Option<&Place>| match p.and_then(|p| p.loading) {
            Some(since) => (f.load() - (now - since) as f64).max(0.1 * f.load()),
            None => f.load(),
        };
        let (mut best, mut shortest, mut below_target) =
            (Vec::<Candidate>::new(), f64::INFINITY, false);
        let left = inv.hops < self.d.dispatch_limit && inv.out.is_none();
        let some_warm = f.places.keys().any(|w| f.warm(*w, now, self.d.keep_alive));
        for (i, (_, w)) in f.ranking.head.iter().enumerate() {
            let (v, p) = (&self.invokers[w], f.places.get(w));
            let warm =
                p.is_some_and(|p| p.warm && (p.out > 0 || now < p.touched + self.d.keep_alive));
            let no_loads = !self.d.misses && self.load_breaker.is_open(now);
            let cooling = !warm && (no_loads || p.is_some_and(|p| now < p.cooldown));
            let refuses = v
                .refused
                .get(&(inv.call.tenant, inv.call.trigger))
                .is_some_and(|r| now < r.1);
            let barred = cooling || refuses || !left || !v.well(now) || inv.tried.contains(w);
            let cold = self.cold_room(v, row.run.mean()) < row.run.mean();
            if barred || cold || !self.harmless(inv, Some(*w), now + self.d.tick) {
                continue;
            }
            if best.len() >= f.members && below_target {
                break;
            }
            let crowd = p.map_or(0.0, |p| p.crowd.0 * decay(now - p.crowd.1, CROWD_FADES));
            let out = p.map_or(0.0, |p| f64::from(p.out)).max(crowd);
            // Where a miss costs a moment and a try, an unknown place is as good as any while tries are left.
            let tries = some_warm && inv.hops == 0 && p.is_none_or(|p| now >= p.lacks_until);
            let load = if warm || (tries && self.d.misses) {
                0.0
            } else {
                copy_in(p)
            };
            let unknown = i < f.members && p.is_none_or(|p| p.loading.is_none());
            let chance = if unknown { self.cold } else { 1.0 };
            let slow = v.slow(now, fleet_slow) / self.risen(v);
            let cores = self.ready.len() as f64 * CORES * v.listed.size / self.ready_size;
            let queue = slow * run * out / f.lanes + f64::from(v.out) * run / cores;
            let (finish, answer) = (chance * load + slow * alone + queue, slow * alone + queue);
            shortest = shortest.min(slow * run + queue);
            below_target |= out < f.lanes && slow * run + queue < TARGET * run;
            let awaited = !warm && self.d.misses && p.is_some_and(|p| p.ordered);
            best.push(Candidate {
                finish: finish as u64 / MILLI,
                invoker: *w,
                warm,
                awaited,
                load,
                answer,
            });
        }
        if (best.len() < f.members || !below_target) && f.ranking.head.len() < self.ready.len() {
            self.rank(fid, 2 * self.functions[&fid].ranking.head.len());
            return self.pick(id);
        }
        // Where a dispatch loads nothing, one without a copy only burns a try: copies come by orders.
        if self.d.misses && inv.hops > 0 && best.iter().any(|b| b.warm) {
            best.retain(|b| b.warm || b.awaited);
        }
        let Some(least) = best.iter().map(|b| b.finish).min() else {
            return Choice::Nobody;
        };
        // Slowness is old news: our part of one invocation an invoker may look how things stand.
        let look =
            self.out == 0 || f64::from(self.out * self.d.controllers) < self.ready.len() as f64;
        let jammed = fleet_slow > JAMMED && shortest > self.patience(inv);
        if jammed && !look && self.harmless(inv, None, self.now) {
            return Choice::Nobody;
        }
        best.retain(|b| b.finish == least);
        let Candidate {
            invoker,
            warm,
            awaited,
            load,
            answer,
            ..
        } = best[self.rng.usize(..best.len())];
        let place = f.places.get(&invoker);
        let lacks = self.d.misses && !warm && place.is_some_and(|p| now < p.lacks_until);
        if awaited || (lacks && self.d.may_order) {
            return Choice::Hold(invoker, copy_in(place) as Tenths, answer as Tenths);
        }
        Choice::Go(invoker, warm, now + (load + answer) as Tenths)
    }

    /// Pools: sizes from demand, then members' holds within the budgets, every second.
    fn plan(&mut self, acts: &mut dyn Acts) {
        self.later(self.now + PLAN_EVERY, acts, Box::new(Self::plan));
        let (now, keep) = (self.now, self.d.keep_alive);
        for (fid, f) in &mut self.functions {
            // Copies that we placed may stand longer than we may believe: they stay in mind for unloading.
            let kept = |p: &Place| {
                now < (p.touched + if p.placed { 3 * keep } else { keep }).max(p.cooldown)
            };
            f.places.retain(|w, p| {
                p.out > 0 || p.ordered || kept(p) || !self.copies.remove(&(*w, *fid))
            });
        }
        let longest = self
            .rows
            .iter()
            .map(|r| r.stated.client_timeout)
            .max()
            .unwrap_or(0);
        self.functions
            .retain(|_, f| now < f.called + FORGET + longest || !f.places.is_empty());
        // Ids are never used again: who is gone is kept while an invocation sent there may be in question.
        let asked =
            |v: &Invoker| v.out > 0 || v.sent.back().is_some_and(|(at, _)| now < at + 2 * longest);
        self.invokers
            .retain(|_, v| v.listed.life != Life::Gone || asked(v));
        self.ill
            .retain(|w| self.invokers.get(w).is_some_and(|v| v.shut_for > 0));
        self.load_budget.forget(now, self.d.order_window);
        let memory = |v: &Invoker| {
            self.d
                .kind_memory
                .get(usize::from(v.listed.kind))
                .copied()
                .unwrap_or(0.0)
        };
        let total: f64 = self
            .invokers
            .values()
            .filter(|v| v.listed.life == Life::Ready)
            .map(memory)
            .sum();
        let mut room = if total > 0.0 {
            total * POOL_MEMORY
        } else {
            f64::INFINITY
        };
        let ready = self.ready.len();
        self.size = self.ready_size.max(self.size * decay(PLAN_EVERY, SPANS[1]));
        // Floors first, then by what the calls are worth.
        let mut want: Vec<(f64, FnId, usize)> = Vec::new();
        for (fid, f) in &mut self.functions {
            if now >= f.called + FORGET {
                f.members = 0;
                f.places
                    .values_mut()
                    .for_each(|p| p.off_since = p.off_since.or(Some(now)));
                continue;
            }
            let rate = f.rate(now, self.born);
            let demand = rate * f64::from(self.d.controllers) * f.run.mean() / SECOND as f64;
            let members = (demand / (f.lanes * FILL))
                .ceil()
                .clamp(1.0, ready.max(1) as f64);
            want.push((
                rate * self.rows[f.trigger].stated.billed_value,
                *fid,
                members as usize,
            ));
            room -= f.memory;
        }
        want.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let (part, filled) = (
            ready as f64 / f64::from(self.d.controllers),
            self.to_fill.len() <= self.functions.len(),
        );
        self.moves = (self.moves + part).min(part.max(1.0));
        for (_, fid, members) in want {
            let Some(f) = self.functions.get_mut(&fid) else {
                continue;
            };
            let extra = (members - 1).min((room / f.memory.max(1.0)).max(0.0) as usize);
            room -= extra as f64 * f.memory;
            if 1 + extra >= f.members {
                (f.members, f.surplus_since) = (1 + extra, None);
            } else if now >= *f.surplus_since.get_or_insert(now) + DWELL {
                (f.members, f.surplus_since) = (f.members - 1, Some(now));
            }
            self.to_fill.extend(filled.then_some(fid));
        }
        self.fills = self.to_fill.len().div_ceil(FILL_TURNS);
    }

    /// Orders holds for members without a warm belief, and renews those about to lapse.
    fn fill_pool(&mut self, fid: FnId, acts: &mut dyn Acts) {
        let (now, keep) = (self.now, self.d.keep_alive);
        let Some(f) = self.functions.get_mut(&fid) else {
            return;
        };
        let (wanted, mut want) = (f.members, f.members + RANK_MORE);
        if f.ranking.head.len() > 8 * want {
            f.ranking.head = f.ranking.head[..2 * want].to_vec();
            f.ranking.held = f.ranking.head[2 * want - 1].0;
        }
        let members = loop {
            self.rank(fid, want);
            let head = self.functions[&fid].ranking.head.iter().copied();
            let well = |w: &InvokerId| !self.ill.contains(w) || self.invokers[w].well(now);
            let able: Vec<(f64, InvokerId)> = head.filter(|e| well(&e.1)).take(wanted).collect();
            if able.len() == wanted || want >= self.ready.len() {
                break able;
            }
            want *= 2;
        };
        for (w, p) in self
            .functions
            .get_mut(&fid)
            .into_iter()
            .flat_map(|f| &mut f.places)
        {
            let at = self
                .ready
                .get(w)
                .and_then(|s| weight(fid, *w, s.0, f64::INFINITY));
            let on = at.is_some_and(|at| members.binary_search_by(|e| e.0.total_cmp(&at)).is_ok());
            p.off_since = if on { None } else { p.off_since.or(Some(now)) };
        }
        for (_, w) in members {
            if self.moves < 1.0 || !self.may_order(PLANNED_RATION) {
                break;
            }
            let f = &self.functions[&fid];
            let due = f.places.get(&w).is_none_or(|p| match f.warm(w, now, keep) {
                _ if p.ordered => false,
                true => p.out == 0 && now >= p.touched + (keep as f64 * RENEW_AT) as Tenths,
                false => p.loading.is_none(),
            });
            if due && self.order_load(w, fid, PLANNED_RATION, acts) {
                self.moves -= 1.0;
            }
        }
    }

    /// Whether the pending cap and this part of the ration allow one more order.
    fn may_order(&mut self, ration: f64) -> bool {
        let most_out = (2 * self.ready.len() / self.d.controllers as usize).max(1);
        let pending = self.load_budget.orders_out() >= most_out;
        let open = self.load_budget.allows_one_more(self.now, &self.d, ration);
        self.d.may_order && open && (!pending || ration >= 1.0)
    }

    /// One hold order, or one that is out already, if it may be.
    fn order_load(&mut self, w: InvokerId, fid: FnId, ration: f64, acts: &mut dyn Acts) -> bool {
        let (now, place) = (
            self.now,
            self.functions.get(&fid).and_then(|f| f.places.get(&w)),
        );
        if place.is_some_and(|p| p.ordered) {
            return true;
        }
        let barred = self.load_breaker.is_open(now) || place.is_some_and(|p| now < p.cooldown);
        if barred || !self.ready.contains_key(&w) || !self.may_order(ration) {
            return false;
        }
        let Some(f) = self.functions.get_mut(&fid) else {
            return false;
        };
        let warm = f.warm(w, now, self.d.keep_alive);
        let p = f.places.entry(w).or_default();
        self.copies.insert((w, fid));
        (p.ordered, p.placed) = (true, true);
        p.loading = p.loading.or((!warm).then_some(now));
        self.make_room(w, fid, !warm, acts);
        if !warm {
            self.load_breaker.began(now);
        }
        self.load_budget.order_given(now);
        acts.hold(w, fid, 1);
        true
    }

    /// Before a load at `w`: our own idle instances there, planned off for a dwell and not called since.
    fn make_room(&mut self, w: InvokerId, fid: FnId, loads: bool, acts: &mut dyn Acts) {
        let all = self
            .copies
            .range((w, 0)..=(w, FnId::MAX))
            .filter(|_| loads && self.d.may_order);
        for (_, g) in all.filter(|(_, g)| *g != fid) {
            let Some(p) = self.functions.get_mut(g).and_then(|f| f.places.get_mut(&w)) else {
                continue;
            };
            if p.placed
                && p.out == 0
                && !p.ordered
                && p.off_since.is_some_and(|at| self.now >= at + DWELL)
            {
                (p.warm, p.placed) = (false, false);
                acts.unload(w, *g);
            }
        }
    }

    pub fn held(&mut self, now: Tenths, a: HoldAnswer, acts: &mut dyn Acts) {
        self.turn(now);
        self.load_budget.order_ended(now - a.took, a.left);
        let Some(f) = self.functions.get_mut(&a.function) else {
            return;
        };
        let p = f.places.entry(a.invoker).or_default();
        let loaded = p.loading.is_some() && a.outcome == HoldOutcome::Standing;
        (p.ordered, p.loading, p.lacks_until) = (false, None, 0);
        p.warm = a.outcome == HoldOutcome::Standing;
        if p.warm {
            p.touched = p.touched.max(now - a.took);
            f.load_seen = f.load_seen.max(a.took as f64);
        } else {
            let not_sent = a.outcome == HoldOutcome::NotSent;
            (p.cooldown, p.placed) = (
                now + if not_sent { LOOK_EVERY } else { LOAD_COOLDOWN },
                false,
            );
        }
        let waiting = std::mem::take(&mut p.waiting);
        if let Some(v) = self.invokers.get_mut(&a.invoker) {
            match a.outcome {
                HoldOutcome::Unreachable => v.unreached(now, a.took),
                HoldOutcome::TimedOut => v.shut(now),
                HoldOutcome::NotSent => {}
                _ => v.heard = now,
            }
            self.ill.insert(a.invoker);
        }
        let failed = a.outcome == HoldOutcome::LoadFailed;
        if failed {
            self.load_breaker.failed(now, a.invoker);
        } else if loaded {
            self.load_breaker.succeeded();
        }
        waiting.into_iter().for_each(|then| then(self, acts));
    }

    /// Unusual silence of an invoker, or of one dispatch whose invoker is heard: its answer may be lost.
    fn look(&mut self, acts: &mut dyn Acts) {
        self.later(self.now + LOOK_EVERY, acts, Box::new(Self::look));
        let mut first: BTreeMap<InvokerId, Tenths> = BTreeMap::new();
        let owed = |inv: &Inv| {
            inv.out
                .as_ref()
                .filter(|_| !inv.done)
                .map(|d| (d.invoker, d.due))
        };
        for (w, due) in self.invs.values().filter_map(owed) {
            first
                .entry(w)
                .and_modify(|first| *first = due.min(*first))
                .or_insert(due);
        }
        let mut silent = Vec::new();
        for (w, due) in &first {
            let Some(v) = self.invokers.get_mut(w) else {
                continue;
            };
            let since = v.heard.max(*due);
            if self.now.saturating_sub(since) as f64 / self.gap / std::f64::consts::LN_10 > PHI {
                v.shut(self.now);
                self.ill.insert(*w);
                silent.push(*w);
            }
        }
        // In a jam lateness is no sign of loss, and a repeat would feed it.
        let usual = if self.fleet_slow() > JAMMED {
            f64::INFINITY
        } else {
            self.late.mean().max(GAP_FLOOR)
        };
        let lost = self
            .now
            .saturating_sub((usual * PHI * std::f64::consts::LN_10) as Tenths);
        let late = |(w, due)| due < lost || (due < self.now && silent.contains(&w));
        let late: Vec<_> = self
            .invs
            .iter()
            .filter(|i| owed(i.1).is_some_and(late))
            .map(|i| *i.0)
            .collect();
        late.into_iter().for_each(|id| self.move_off(id, acts));
        let most = self.rank_steps + TURN_STEPS;
        for _ in 0..self.fills {
            let spent = self.rank_steps >= most;
            let Some(fid) = self.to_fill.pop_front_if(|_| !spent) else {
                break;
            };
            self.fill_pool(fid, acts);
        }
    }

    /// A cancel, whose outcome sends it on, if a try is left and a repeat does no harm.
    fn move_off(&mut self, id: InvId, acts: &mut dyn Acts) {
        let inv = &self.invs[&id];
        let left = self.d.may_cancel && inv.hops < self.d.dispatch_limit;
        let repeats = left && self.harmless(inv, None, self.now + SECOND);
        let Some(inv) = self.invs.get_mut(&id).filter(|_| repeats) else {
            return;
        };
        if let Some(d) = inv.out.as_mut().filter(|d| !d.moved) {
            d.moved = true;
            acts.cancel(id, inv.hops - 1);
        }
    }
}
