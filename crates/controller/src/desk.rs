//! The desk: invocations, timers, the one answer, each dispatch's end. Both paths share it.
//!
//! Two narrow seams keep it free of any wire: [`Owed`], whom an answer is owed, and [`Reach`], how invokers are reached.

use crate::policy::Policy;
use bytes::Bytes;
use saltdrum::interface::*;
use saltdrum_transport::{Clock, EventLoopClock, Network};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use tokio::sync::Notify;
use tracing::{Span, debug, info, info_span, warn};

/// A dispatch is timed out so long before its invocation expires that the module can still give the final answer.
const LAST_WORD: Ticks = 5 * MILLISECOND;
/// A timer later than this comes after a stop: what lies in the sockets came first.
const LATE: Ticks = 40 * MILLISECOND;

pub type Due<R> = Box<dyn FnOnce(&mut State<R>)>;

/// A final answer on its way to the client.
pub enum Final<'a> {
    /// With the invoker's output, byte for byte.
    Succeeded(&'a Bytes),
    /// Come back after so long; 0: no advice.
    Throttled(Ticks),
    Errored(&'a str),
}

/// Whom an answer is owed.
pub trait Owed {
    /// The one final answer; nothing of it leaves from `until` on.
    fn answer(self, id: InvocationId, how: Final, hops: u8, until: Ticks);
    /// Nothing is sent: the client waits no more.
    fn drop_out(self, id: InvocationId);
}

/// One dispatch on its way to an invoker.
pub struct Sending<'a, C> {
    pub inv: InvocationId,
    pub hop: u8,
    pub invoker: InvokerId,
    pub function: FunctionId,
    pub carried: &'a C,
    pub now: Ticks,
    /// It has ended by then.
    pub until: Ticks,
    /// Nothing of it begins to leave from then on.
    pub leave_by: Ticks,
    /// When the client stops waiting.
    pub gone: Ticks,
}

/// What an invoker's answer told beside its outcome.
#[derive(Default)]
pub struct Told {
    pub found: Option<StartKind>,
    pub crowd: Option<u8>,
    pub report: LoadReport,
    pub output: Bytes,
}

/// How invokers are reached. Numbers of dispatches and orders are its own.
pub trait Reach: Sized + 'static {
    /// What of an invocation goes along with its dispatches.
    type Carried;
    type Owed: Owed;
    /// Where the controller sits, on this path.
    type Seat;

    /// `Err`: it did not go out, and this is its end.
    fn dispatch(&mut self, sending: &Sending<Self::Carried>) -> Result<u64, Outcome>;
    /// Takes back what provably never ran because it has not left. False: it may have run.
    fn withdraw(&mut self, invoker: InvokerId, dispatch: u64) -> bool;
    /// Nobody waits for it any more. True: nothing more will be heard of it.
    fn cancel(&mut self, invoker: InvokerId, dispatch: u64) -> bool;
    /// It has ended, one way or another.
    fn ended(
        &mut self,
        invoker: InvokerId,
        dispatch: u64,
        carried: &Self::Carried,
        outcome: Outcome,
        told: &Told,
    );
    /// `Err`: the order can't leave, and this is its end.
    fn hold(
        &mut self,
        now: Ticks,
        invoker: InvokerId,
        function: FunctionId,
        count: u8,
    ) -> Result<u64, LoadOutcome>;
    /// When an order had left whole, where that is seen.
    fn order_left(&self, _order: u64) -> Option<Ticks> {
        None
    }
    /// An order has ended, one way or another.
    fn held(&mut self, invoker: InvokerId, order: u64);
    fn unload(&mut self, now: Ticks, invoker: InvokerId, function: FunctionId);
    fn probe(&mut self, now: Ticks, invoker: InvokerId);
}

/// One controller: its state, and what it is handed to live on.
pub struct Front<R: Reach> {
    state: RefCell<State<R>>,
    pub clock: Clock,
    pub network: Rc<dyn Network>,
    pub turns: EventLoopClock,
    pub seat: R::Seat,
    earlier: Notify,
}

/// The module and all it acts through. They lie side by side, so that the module can be called with the desk.
pub struct State<R: Reach> {
    pub module: Box<dyn Policy>,
    pub desk: Desk<R>,
}

#[derive(Clone, Default)]
pub struct Counts {
    pub taken: u64,
    pub succeeded: u64,
    pub throttled: u64,
    pub errored: u64,
    pub left: u64,
    /// Read after their client had given up: not taken.
    pub stale: u64,
    /// Settled, but no answer was owed any more: nothing was sent.
    pub too_late: u64,
    pub dispatches: u64,
    pub orders: u64,
    pub broken_links: u64,
    pub stood_still: u64,
}

pub struct Desk<R: Reach> {
    pub now: Ticks,
    pub reach: R,
    pub counts: Counts,
    /// An order that is not answered within this has ended.
    order_timeout: Ticks,
    may_cancel: bool,
    invs: BTreeMap<InvocationId, Inv<R>>,
    orders: BTreeMap<(InvokerId, u64), Order>,
    timers: BTreeMap<(Ticks, u64), Due<R>>,
    timer: u64,
    /// What is owed to the module once it has returned.
    after: VecDeque<Due<R>>,
    last_inv: InvocationId,
}

/// One invocation, from its reading to its last dispatch's end.
struct Inv<R: Reach> {
    carried: R::Carried,
    function: FunctionId,
    expires: Ticks,
    /// When no answer is owed any more: nothing is sent from then on.
    gone: Ticks,
    owed: Option<R::Owed>,
    hops: u8,
    out: BTreeMap<u8, Out>,
    span: Span,
}

struct Out {
    invoker: InvokerId,
    dispatch: u64,
    sent: Ticks,
    timer: (Ticks, u64),
    span: Span,
}

struct Order {
    function: FunctionId,
    sent: Ticks,
    timer: (Ticks, u64),
}

impl<R: Reach> Front<R> {
    pub fn new(
        module: Box<dyn Policy>,
        desk: Desk<R>,
        clock: Clock,
        network: Rc<dyn Network>,
        seat: R::Seat,
    ) -> Self {
        let (state, turns) = (
            RefCell::new(State { module, desk }),
            EventLoopClock::default(),
        );
        Self {
            state,
            clock,
            network,
            turns,
            seat,
            earlier: Notify::new(),
        }
    }

    /// Lets `then` work on the state, and does what it leaves behind.
    pub fn tell<T>(&self, then: impl FnOnce(&mut State<R>) -> T) -> T {
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

    /// Lets `look` see the state.
    pub fn see<T>(&self, look: impl FnOnce(&State<R>) -> T) -> T {
        look(&self.state.borrow())
    }

    pub async fn run_timers(&self) {
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
}

impl<R: Reach> Desk<R> {
    pub fn new(now: Ticks, reach: R, d: &Deployment, order_timeout: Ticks) -> Self {
        Self {
            now,
            reach,
            counts: Counts::default(),
            order_timeout,
            may_cancel: d.may_cancel,
            invs: BTreeMap::new(),
            orders: BTreeMap::new(),
            timers: BTreeMap::new(),
            timer: 0,
            after: VecDeque::new(),
            last_inv: 0,
        }
    }

    /// Invocations that are not forgotten.
    pub fn in_flight(&self) -> usize {
        self.invs.len()
    }

    /// Invocations whose answer is owed.
    pub fn owing(&self) -> usize {
        self.invs.values().filter(|inv| inv.owed.is_some()).count()
    }

    /// Runs `due` at `at`. The key takes it back.
    pub fn later(&mut self, at: Ticks, due: Due<R>) -> (Ticks, u64) {
        self.timer += 1;
        let key = (at, self.timer);
        self.timers.insert(key, due);
        key
    }

    pub fn after(&mut self, due: Due<R>) {
        self.after.push_back(due);
    }

    /// The number of the next invocation.
    pub fn next_inv(&mut self) -> InvocationId {
        loop {
            self.last_inv = self.last_inv.wrapping_add(1);
            if !self.invs.contains_key(&self.last_inv) {
                return self.last_inv;
            }
        }
    }

    /// Sends the one final answer, if the client still waits for it.
    fn answer(&mut self, id: InvocationId, how: Final) {
        let Some(inv) = self.invs.get_mut(&id) else {
            return;
        };
        let Some(owed) = inv.owed.take() else { return };
        let _in = inv.span.clone().entered();
        let counts = &mut self.counts;
        if self.now >= inv.gone {
            counts.too_late += 1;
            warn!("settled after an answer was owed: nothing is sent");
            owed.drop_out(id);
            drop(_in);
            return self.forget_ended(id);
        }
        match how {
            Final::Succeeded(_) => {
                counts.succeeded += 1;
                debug!(outcome = "succeeded");
            }
            Final::Throttled(wait) => {
                counts.throttled += 1;
                debug!(
                    outcome = "throttled",
                    wait_ms = wait / MILLISECOND,
                    hops = inv.hops,
                    left_ms = (inv.gone - self.now) / MILLISECOND
                );
            }
            Final::Errored(why) => {
                counts.errored += 1;
                debug!(outcome = "errored", why);
            }
        }
        owed.answer(id, how, inv.hops, inv.gone);
        // Also where the module answers in a timer's turn, on nobody's call: else it would stay for good.
        drop(_in);
        self.forget_ended(id);
    }

    /// Nothing is out for it and nothing owed: it is forgotten.
    fn forget_ended(&mut self, id: InvocationId) {
        if self
            .invs
            .get(&id)
            .is_some_and(|inv| inv.owed.is_none() && inv.out.is_empty())
        {
            self.invs.remove(&id);
        }
    }
}

impl<R: Reach> State<R> {
    /// An invocation is taken: from here on its one answer is owed, until `gone`.
    pub fn taken(
        &mut self,
        invocation: Invocation,
        gone: Ticks,
        carried: R::Carried,
        owed: R::Owed,
        span: Span,
    ) {
        let (id, function, expires) = (invocation.id, invocation.function, invocation.expires_at);
        self.desk.counts.taken += 1;
        let (owed, out) = (Some(owed), BTreeMap::new());
        self.desk.invs.insert(
            id,
            Inv {
                carried,
                function,
                expires,
                gone,
                owed,
                hops: 0,
                out,
                span,
            },
        );
        self.module
            .invocation_arrived(self.desk.now, invocation, &mut self.desk);
        self.desk.forget_ended(id);
    }

    /// The client that waited for it has hung up.
    pub fn left(&mut self, id: InvocationId) {
        let desk = &mut self.desk;
        let Some(inv) = desk.invs.get_mut(&id) else {
            return;
        };
        desk.counts.left += u64::from(inv.owed.take().is_some());
        let out: Vec<(u8, InvokerId, u64)> = inv
            .out
            .iter()
            .map(|(hop, o)| (*hop, o.invoker, o.dispatch))
            .collect();
        for (hop, invoker, dispatch) in out {
            if desk.reach.withdraw(invoker, dispatch) {
                desk.after(Box::new(move |state| {
                    state.ended(id, hop, Outcome::NotSent, &Told::default())
                }));
            } else if desk.may_cancel && desk.reach.cancel(invoker, dispatch) {
                // Left to its time-out, it would look as if the invoker were late.
                let told = Told::default();
                desk.after(Box::new(move |state| {
                    state.ended(id, hop, Outcome::Cancelled, &told)
                }));
            }
        }
        self.module.client_left(self.desk.now, id);
        self.desk.forget_ended(id);
    }

    /// The process ends: what is still owed is answered at once, as nobody will answer it later. Gives how many.
    pub fn end(&mut self) -> usize {
        let owed = |(id, inv): (&InvocationId, &Inv<R>)| inv.owed.is_some().then_some(*id);
        let owed: Vec<InvocationId> = self.desk.invs.iter().filter_map(owed).collect();
        owed.iter().for_each(|id| self.give_up(*id));
        owed.len()
    }

    /// Answers an invocation at once, as nobody will be able to later: refused where it was never sent on.
    pub fn give_up(&mut self, id: InvocationId) {
        let Some(inv) = self.desk.invs.get(&id) else {
            return;
        };
        let how = if inv.hops == 0 {
            Final::Throttled(0)
        } else {
            Final::Errored("given up")
        };
        self.desk.answer(id, how);
        self.left(id);
    }

    /// One dispatch has ended: the client hears of a success, the module of everything.
    pub fn ended(&mut self, id: InvocationId, hop: u8, outcome: Outcome, told: &Told) {
        let desk = &mut self.desk;
        let Some(inv) = desk.invs.get_mut(&id) else {
            return;
        };
        let Some(out) = inv.out.remove(&hop) else {
            return;
        };
        out.span
            .in_scope(|| debug!(?outcome, took_ms = (desk.now - out.sent) / MILLISECOND));
        desk.timers.remove(&out.timer);
        desk.reach
            .ended(out.invoker, out.dispatch, &inv.carried, outcome, told);
        if outcome == Outcome::Succeeded {
            desk.answer(id, Final::Succeeded(&told.output));
        }
        let finished = desk.invs.get(&id).is_none_or(|inv| inv.owed.is_none());
        let answer = AttemptResult {
            invocation: id,
            invoker: out.invoker,
            attempt: hop,
            finished,
            outcome,
            start_kind: told.found,
            concurrency: told.crowd,
            duration: desk.now.saturating_sub(out.sent),
            report: told.report,
        };
        self.module
            .attempt_ended(self.desk.now, answer, &mut self.desk);
        self.desk.forget_ended(id);
    }

    /// An order to hold has ended.
    pub fn held(&mut self, invoker: InvokerId, order: u64, outcome: LoadOutcome, standing: u8) {
        let left = self.desk.reach.order_left(order);
        let Some(o) = self.desk.orders.remove(&(invoker, order)) else {
            return;
        };
        self.desk.timers.remove(&o.timer);
        self.desk.reach.held(invoker, order);
        let took = self.desk.now - o.sent;
        let function = format_args!("{:016x}", o.function);
        debug!(
            invoker,
            function,
            order,
            ?outcome,
            standing,
            took_ms = took / MILLISECOND,
            "order to load has ended"
        );
        let answer = LoadResult {
            invoker,
            function: o.function,
            outcome,
            loaded_instances: standing,
            duration: took,
            sent_at: left,
        };
        self.module
            .load_ended(self.desk.now, answer, &mut self.desk);
    }
}

impl<R: Reach> Actions for Desk<R> {
    fn dispatch(&mut self, id: InvocationId, invoker: InvokerId, time_out: Ticks) {
        self.dispatch_by(id, invoker, time_out, Ticks::MAX);
    }

    fn dispatch_by(
        &mut self,
        id: InvocationId,
        invoker: InvokerId,
        time_out: Ticks,
        leave_by: Ticks,
    ) {
        let Some(inv) = self.invs.get_mut(&id) else {
            return;
        };
        let hop = inv.hops;
        inv.hops = inv.hops.saturating_add(1);
        self.counts.dispatches += 1;
        let span = info_span!(parent: &inv.span, "dispatch", hop, invoker);
        let last = inv.expires.saturating_sub(LAST_WORD);
        let until = if time_out == 0 {
            last
        } else {
            last.min(self.now + time_out)
        };
        let (function, carried, now, gone) = (inv.function, &inv.carried, self.now, inv.gone);
        let leave_by = leave_by.min(until);
        let sending = Sending {
            inv: id,
            hop,
            invoker,
            function,
            carried,
            now,
            until,
            leave_by,
            gone,
        };
        let sent = match inv.owed {
            None => Err(Outcome::NotSent),
            Some(_) => self.reach.dispatch(&sending),
        };
        span.in_scope(|| debug!(?sent));
        let timer = (until, self.timer + 1);
        let dispatch = sent.unwrap_or(0);
        inv.out.insert(
            hop,
            Out {
                invoker,
                dispatch,
                sent: self.now,
                timer,
                span,
            },
        );
        if let Err(outcome) = sent {
            return self.after(Box::new(move |state| {
                state.ended(id, hop, outcome, &Told::default())
            }));
        }
        self.later(
            until,
            Box::new(move |state| {
                // What has not left by now never will.
                let never = state.desk.reach.withdraw(invoker, dispatch);
                let outcome = if never {
                    Outcome::NotSent
                } else {
                    Outcome::TimedOut
                };
                state.ended(id, hop, outcome, &Told::default());
            }),
        );
    }

    fn throttle(&mut self, id: InvocationId, come_back: Ticks) {
        self.answer(id, Final::Throttled(come_back));
    }

    fn error(&mut self, id: InvocationId) {
        self.answer(id, Final::Errored("whether it ran is not known"));
    }

    fn cancel(&mut self, id: InvocationId, hop: u8) {
        let Some(out) = self.invs.get(&id).and_then(|inv| inv.out.get(&hop)) else {
            return;
        };
        let never = self.reach.withdraw(out.invoker, out.dispatch);
        if !never {
            self.reach.cancel(out.invoker, out.dispatch);
        }
        let outcome = if never {
            Outcome::NotSent
        } else {
            Outcome::Cancelled
        };
        self.after(Box::new(move |state| {
            state.ended(id, hop, outcome, &Told::default())
        }));
    }

    fn load(&mut self, invoker: InvokerId, function: FunctionId, count: u8) {
        self.counts.orders += 1;
        let (at, sent) = (self.now + self.order_timeout, self.now);
        match self.reach.hold(sent, invoker, function, count) {
            Ok(order) => {
                debug!(
                    invoker,
                    function = format_args!("{function:016x}"),
                    count,
                    order,
                    "order to load"
                );
                let due = move |state: &mut State<R>| {
                    state.held(invoker, order, LoadOutcome::TimedOut, 0)
                };
                let timer = self.later(at, Box::new(due));
                self.orders.insert(
                    (invoker, order),
                    Order {
                        function,
                        sent,
                        timer,
                    },
                );
            }
            Err(outcome) => self.after(Box::new(move |state| {
                let id = format_args!("{function:016x}");
                debug!(
                    invoker,
                    function = id,
                    ?outcome,
                    "an order to load can't leave"
                );
                let answer = LoadResult {
                    invoker,
                    function,
                    outcome,
                    loaded_instances: 0,
                    duration: 0,
                    sent_at: None,
                };
                state
                    .module
                    .load_ended(state.desk.now, answer, &mut state.desk);
            })),
        }
    }

    fn unload(&mut self, invoker: InvokerId, function: FunctionId) {
        self.reach.unload(self.now, invoker, function);
    }

    fn probe(&mut self, invoker: InvokerId) {
        self.reach.probe(self.now, invoker);
    }

    fn set_timer(&mut self, at: Ticks, token: u64) {
        let due = move |state: &mut State<R>| {
            state
                .module
                .timer_fired(state.desk.now, token, &mut state.desk)
        };
        self.later(at, Box::new(due));
    }

    fn log(&mut self, text: &str) {
        info!(text, "module");
    }
}
