//! The invocations: invocations, timers, the one answer, each dispatch's end. Both paths share it.
//!
//! Two narrow seams keep it free of any wire: [`Responder`], whom an answer is owed, and [`InvokerTransport`], how invokers are reached.

use crate::policy::Policy;
use bytes::Bytes;
use saltdrum::interface::*;
use saltdrum_transport::{Clock, EventLoopClock, Network};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use tokio::sync::Notify;
use tracing::{Span, debug, info, info_span, warn};

/// A dispatch is timed out so long before its invocation expires that the policy can still give the final answer.
const RESPONSE_MARGIN: Ticks = 5 * MILLISECOND;
/// A timer later than this comes after a stop: what lies in the sockets came first.
const LATE_TIMER_THRESHOLD: Ticks = 40 * MILLISECOND;

pub type TimerCallback<R> = Box<dyn FnOnce(&mut ControllerState<R>)>;

/// A final answer on its way to the client.
pub enum FinalResponse<'a> {
    /// With the invoker's output, byte for byte.
    Succeeded(&'a Bytes),
    /// Come back after so long; 0: no advice.
    Throttled(Ticks),
    Errored(&'a str),
}

/// Whom an answer is owed.
pub trait Responder {
    /// The one final answer; nothing of it leaves from `until` on.
    fn respond(self, id: InvocationId, how: FinalResponse, hops: u8, until: Ticks);
    /// Nothing is sent: the client waits no more.
    fn abandon(self, id: InvocationId);
}

/// One dispatch on its way to an invoker.
pub struct OutgoingDispatch<'a, C> {
    pub invocation: InvocationId,
    pub attempt: u8,
    pub invoker: InvokerId,
    pub function: FunctionId,
    pub payload: &'a C,
    pub now: Ticks,
    /// It has ended by then.
    pub deadline: Ticks,
    /// Nothing of it begins to leave from then on.
    pub send_by: Ticks,
    /// When the client stops waiting.
    pub client_deadline: Ticks,
}

/// What an invoker's answer told beside its outcome.
#[derive(Default)]
pub struct AttemptReport {
    pub start_kind: Option<StartKind>,
    pub concurrency: Option<u8>,
    pub load_report: LoadReport,
    pub output: Bytes,
}

/// How invokers are reached. Numbers of dispatches and orders are its own.
pub trait InvokerTransport: Sized + 'static {
    /// What of an invocation goes along with its dispatches.
    type Payload;
    type Responder: Responder;
    /// Where the controller sits, on this path.
    type Config;

    /// `Err`: it did not go out, and this is its end.
    fn dispatch(&mut self, sending: &OutgoingDispatch<Self::Payload>) -> Result<u64, Outcome>;
    /// Takes back what provably never ran because it has not left. False: it may have run.
    fn withdraw(&mut self, invoker: InvokerId, dispatch: u64) -> bool;
    /// Nobody waits for it any more. True: nothing more will be heard of it.
    fn cancel(&mut self, invoker: InvokerId, dispatch: u64) -> bool;
    /// It has ended, one way or another.
    fn attempt_ended(
        &mut self,
        invoker: InvokerId,
        dispatch: u64,
        carried: &Self::Payload,
        outcome: Outcome,
        told: &AttemptReport,
    );
    /// `Err`: the order can't leave, and this is its end.
    fn load(
        &mut self,
        now: Ticks,
        invoker: InvokerId,
        function: FunctionId,
        count: u8,
    ) -> Result<u64, LoadOutcome>;
    /// When an order had left whole, where that is seen.
    fn load_sent_at(&self, _order: u64) -> Option<Ticks> {
        None
    }
    /// An order has ended, one way or another.
    fn load_ended(&mut self, invoker: InvokerId, order: u64);
    fn unload(&mut self, now: Ticks, invoker: InvokerId, function: FunctionId);
    fn probe(&mut self, now: Ticks, invoker: InvokerId);
}

/// One controller: its state, and what it is handed to live on.
pub struct ControllerHandle<R: InvokerTransport> {
    state: RefCell<ControllerState<R>>,
    pub clock: Clock,
    pub network: Rc<dyn Network>,
    pub event_loop: EventLoopClock,
    pub config: R::Config,
    timer_added: Notify,
}

/// The policy and all it acts through. They lie side by side, so that the policy can be called with the invocations.
pub struct ControllerState<R: InvokerTransport> {
    pub policy: Box<dyn Policy>,
    pub invocations: InvocationTable<R>,
}

#[derive(Clone, Default)]
pub struct Counters {
    pub accepted: u64,
    pub succeeded: u64,
    pub throttled: u64,
    pub errored: u64,
    pub client_left: u64,
    /// Read after their client had given up: not taken.
    pub expired_on_arrival: u64,
    /// Settled, but no answer was owed any more: nothing was sent.
    pub answered_too_late: u64,
    pub attempts: u64,
    pub load_orders: u64,
    pub broken_connections: u64,
    pub process_stops: u64,
}

pub struct InvocationTable<R: InvokerTransport> {
    pub now: Ticks,
    pub transport: R,
    pub counters: Counters,
    /// An order that is not answered within this has ended.
    order_timeout: Ticks,
    may_cancel: bool,
    entries: BTreeMap<InvocationId, InvocationEntry<R>>,
    load_orders: BTreeMap<(InvokerId, u64), LoadOrder>,
    timers: BTreeMap<(Ticks, u64), TimerCallback<R>>,
    last_timer: u64,
    /// What is owed to the policy once it has returned.
    deferred: VecDeque<TimerCallback<R>>,
    last_id: InvocationId,
}

/// One invocation, from its reading to its last dispatch's end.
struct InvocationEntry<R: InvokerTransport> {
    payload: R::Payload,
    function: FunctionId,
    expires_at: Ticks,
    /// When no answer is owed any more: nothing is sent from then on.
    client_deadline: Ticks,
    responder: Option<R::Responder>,
    attempts: u8,
    in_flight: BTreeMap<u8, AttemptEntry>,
    span: Span,
}

struct AttemptEntry {
    invoker: InvokerId,
    dispatch: u64,
    sent_at: Ticks,
    timer: (Ticks, u64),
    span: Span,
}

struct LoadOrder {
    function: FunctionId,
    sent_at: Ticks,
    timer: (Ticks, u64),
}

impl<R: InvokerTransport> ControllerHandle<R> {
    pub fn new(
        policy: Box<dyn Policy>,
        invocations: InvocationTable<R>,
        clock: Clock,
        network: Rc<dyn Network>,
        seat: R::Config,
    ) -> Self {
        let (state, turns) = (
            RefCell::new(ControllerState {
                policy,
                invocations,
            }),
            EventLoopClock::default(),
        );
        Self {
            state,
            clock,
            network,
            event_loop: turns,
            config: seat,
            timer_added: Notify::new(),
        }
    }

    /// Lets `then` work on the state, and does what it leaves behind.
    pub fn update<T>(&self, then: impl FnOnce(&mut ControllerState<R>) -> T) -> T {
        let state = &mut *self.state.borrow_mut();
        state.invocations.now = self.clock.now().max(state.invocations.now);
        let first = state.invocations.timers.keys().next().copied();
        let done = then(state);
        while let Some(owed) = state.invocations.deferred.pop_front() {
            owed(state);
        }
        if state.invocations.timers.keys().next().copied() < first || first.is_none() {
            self.timer_added.notify_one();
        }
        done
    }

    /// Lets `look` see the state.
    pub fn inspect<T>(&self, look: impl FnOnce(&ControllerState<R>) -> T) -> T {
        look(&self.state.borrow())
    }

    pub async fn run_timers(&self) {
        loop {
            let first = self
                .state
                .borrow()
                .invocations
                .timers
                .keys()
                .next()
                .copied();
            let Some((at, _)) = first else {
                self.timer_added.notified().await;
                continue;
            };
            tokio::select! {
                biased;
                () = self.clock.sleep_until(at) => {}
                () = self.timer_added.notified() => continue,
            }
            if self.clock.now() > at + LATE_TIMER_THRESHOLD {
                tokio::time::sleep(std::time::Duration::from_millis(2)).await;
            }
            self.update(|state| {
                while let Some(entry) = state.invocations.timers.first_entry() {
                    if entry.key().0 > state.invocations.now {
                        break;
                    }
                    entry.remove()(state);
                    while let Some(owed) = state.invocations.deferred.pop_front() {
                        owed(state);
                    }
                }
            });
        }
    }
}

impl<R: InvokerTransport> InvocationTable<R> {
    pub fn new(now: Ticks, reach: R, d: &Deployment, order_timeout: Ticks) -> Self {
        Self {
            now,
            transport: reach,
            counters: Counters::default(),
            order_timeout,
            may_cancel: d.may_cancel,
            entries: BTreeMap::new(),
            load_orders: BTreeMap::new(),
            timers: BTreeMap::new(),
            last_timer: 0,
            deferred: VecDeque::new(),
            last_id: 0,
        }
    }

    /// Invocations that are not forgotten.
    pub fn in_flight(&self) -> usize {
        self.entries.len()
    }

    /// Invocations whose answer is owed.
    pub fn awaiting_response(&self) -> usize {
        self.entries
            .values()
            .filter(|inv| inv.responder.is_some())
            .count()
    }

    /// Runs `due` at `at`. The key takes it back.
    pub fn schedule(&mut self, at: Ticks, due: TimerCallback<R>) -> (Ticks, u64) {
        self.last_timer += 1;
        let key = (at, self.last_timer);
        self.timers.insert(key, due);
        key
    }

    pub fn defer(&mut self, due: TimerCallback<R>) {
        self.deferred.push_back(due);
    }

    /// The number of the next invocation.
    pub fn next_invocation(&mut self) -> InvocationId {
        loop {
            self.last_id = self.last_id.wrapping_add(1);
            if !self.entries.contains_key(&self.last_id) {
                return self.last_id;
            }
        }
    }

    /// Sends the one final answer, if the client still waits for it.
    fn respond(&mut self, id: InvocationId, how: FinalResponse) {
        let Some(inv) = self.entries.get_mut(&id) else {
            return;
        };
        let Some(owed) = inv.responder.take() else {
            return;
        };
        let _in = inv.span.clone().entered();
        let counts = &mut self.counters;
        if self.now >= inv.client_deadline {
            counts.answered_too_late += 1;
            warn!("settled after an answer was owed: nothing is sent");
            owed.abandon(id);
            drop(_in);
            return self.forget_if_finished(id);
        }
        match how {
            FinalResponse::Succeeded(_) => {
                counts.succeeded += 1;
                debug!(outcome = "succeeded");
            }
            FinalResponse::Throttled(wait) => {
                counts.throttled += 1;
                debug!(
                    outcome = "throttled",
                    wait_ms = wait / MILLISECOND,
                    hops = inv.attempts,
                    left_ms = (inv.client_deadline - self.now) / MILLISECOND
                );
            }
            FinalResponse::Errored(why) => {
                counts.errored += 1;
                debug!(outcome = "errored", why);
            }
        }
        owed.respond(id, how, inv.attempts, inv.client_deadline);
        // Also where the policy answers in a timer's turn, on nobody's call: else it would stay for good.
        drop(_in);
        self.forget_if_finished(id);
    }

    /// Nothing is out for it and nothing owed: it is forgotten.
    fn forget_if_finished(&mut self, id: InvocationId) {
        if self
            .entries
            .get(&id)
            .is_some_and(|inv| inv.responder.is_none() && inv.in_flight.is_empty())
        {
            self.entries.remove(&id);
        }
    }
}

impl<R: InvokerTransport> ControllerState<R> {
    /// An invocation is taken: from here on its one answer is owed, until `gone`.
    pub fn accept(
        &mut self,
        invocation: Invocation,
        gone: Ticks,
        carried: R::Payload,
        owed: R::Responder,
        span: Span,
    ) {
        let (id, function, expires) = (invocation.id, invocation.function, invocation.expires_at);
        self.invocations.counters.accepted += 1;
        let (owed, out) = (Some(owed), BTreeMap::new());
        self.invocations.entries.insert(
            id,
            InvocationEntry {
                payload: carried,
                function,
                expires_at: expires,
                client_deadline: gone,
                responder: owed,
                attempts: 0,
                in_flight: out,
                span,
            },
        );
        self.policy
            .invocation_arrived(self.invocations.now, invocation, &mut self.invocations);
        self.invocations.forget_if_finished(id);
    }

    /// The client that waited for it has hung up.
    pub fn client_left(&mut self, id: InvocationId) {
        let invocations = &mut self.invocations;
        let Some(inv) = invocations.entries.get_mut(&id) else {
            return;
        };
        invocations.counters.client_left += u64::from(inv.responder.take().is_some());
        let out: Vec<(u8, InvokerId, u64)> = inv
            .in_flight
            .iter()
            .map(|(hop, o)| (*hop, o.invoker, o.dispatch))
            .collect();
        for (hop, invoker, dispatch) in out {
            if invocations.transport.withdraw(invoker, dispatch) {
                invocations.defer(Box::new(move |state| {
                    state.attempt_ended(id, hop, Outcome::NotSent, &AttemptReport::default())
                }));
            } else if invocations.may_cancel && invocations.transport.cancel(invoker, dispatch) {
                // Left to its time-out, it would look as if the invoker were late.
                let told = AttemptReport::default();
                invocations.defer(Box::new(move |state| {
                    state.attempt_ended(id, hop, Outcome::Cancelled, &told)
                }));
            }
        }
        self.policy.client_left(self.invocations.now, id);
        self.invocations.forget_if_finished(id);
    }

    /// The process ends: what is still owed is answered at once, as nobody will answer it later. Gives how many.
    pub fn answer_all(&mut self) -> usize {
        let owed = |(id, inv): (&InvocationId, &InvocationEntry<R>)| {
            inv.responder.is_some().then_some(*id)
        };
        let owed: Vec<InvocationId> = self.invocations.entries.iter().filter_map(owed).collect();
        owed.iter().for_each(|id| self.abandon(*id));
        owed.len()
    }

    /// Answers an invocation at once, as nobody will be able to later: refused where it was never sent on.
    pub fn abandon(&mut self, id: InvocationId) {
        let Some(inv) = self.invocations.entries.get(&id) else {
            return;
        };
        let how = if inv.attempts == 0 {
            FinalResponse::Throttled(0)
        } else {
            FinalResponse::Errored("given up")
        };
        self.invocations.respond(id, how);
        self.client_left(id);
    }

    /// One dispatch has ended: the client hears of a success, the policy of everything.
    pub fn attempt_ended(
        &mut self,
        id: InvocationId,
        hop: u8,
        outcome: Outcome,
        told: &AttemptReport,
    ) {
        let invocations = &mut self.invocations;
        let Some(inv) = invocations.entries.get_mut(&id) else {
            return;
        };
        let Some(out) = inv.in_flight.remove(&hop) else {
            return;
        };
        out.span.in_scope(|| {
            debug!(
                ?outcome,
                took_ms = (invocations.now - out.sent_at) / MILLISECOND
            )
        });
        invocations.timers.remove(&out.timer);
        invocations
            .transport
            .attempt_ended(out.invoker, out.dispatch, &inv.payload, outcome, told);
        if outcome == Outcome::Succeeded {
            invocations.respond(id, FinalResponse::Succeeded(&told.output));
        }
        let finished = invocations
            .entries
            .get(&id)
            .is_none_or(|inv| inv.responder.is_none());
        let answer = AttemptResult {
            invocation: id,
            invoker: out.invoker,
            attempt: hop,
            finished,
            outcome,
            start_kind: told.start_kind,
            concurrency: told.concurrency,
            duration: invocations.now.saturating_sub(out.sent_at),
            report: told.load_report,
        };
        self.policy
            .attempt_ended(self.invocations.now, answer, &mut self.invocations);
        self.invocations.forget_if_finished(id);
    }

    /// An order to hold has ended.
    pub fn load_ended(
        &mut self,
        invoker: InvokerId,
        order: u64,
        outcome: LoadOutcome,
        standing: u8,
    ) {
        let left = self.invocations.transport.load_sent_at(order);
        let Some(o) = self.invocations.load_orders.remove(&(invoker, order)) else {
            return;
        };
        self.invocations.timers.remove(&o.timer);
        self.invocations.transport.load_ended(invoker, order);
        let took = self.invocations.now - o.sent_at;
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
        self.policy
            .load_ended(self.invocations.now, answer, &mut self.invocations);
    }
}

impl<R: InvokerTransport> Actions for InvocationTable<R> {
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
        let Some(inv) = self.entries.get_mut(&id) else {
            return;
        };
        let hop = inv.attempts;
        inv.attempts = inv.attempts.saturating_add(1);
        self.counters.attempts += 1;
        let span = info_span!(parent: &inv.span, "dispatch", hop, invoker);
        let last = inv.expires_at.saturating_sub(RESPONSE_MARGIN);
        let until = if time_out == 0 {
            last
        } else {
            last.min(self.now + time_out)
        };
        let (function, carried, now, gone) =
            (inv.function, &inv.payload, self.now, inv.client_deadline);
        let leave_by = leave_by.min(until);
        let sending = OutgoingDispatch {
            invocation: id,
            attempt: hop,
            invoker,
            function,
            payload: carried,
            now,
            deadline: until,
            send_by: leave_by,
            client_deadline: gone,
        };
        let sent = match inv.responder {
            None => Err(Outcome::NotSent),
            Some(_) => self.transport.dispatch(&sending),
        };
        span.in_scope(|| debug!(?sent));
        let timer = (until, self.last_timer + 1);
        let dispatch = sent.unwrap_or(0);
        inv.in_flight.insert(
            hop,
            AttemptEntry {
                invoker,
                dispatch,
                sent_at: self.now,
                timer,
                span,
            },
        );
        if let Err(outcome) = sent {
            return self.defer(Box::new(move |state| {
                state.attempt_ended(id, hop, outcome, &AttemptReport::default())
            }));
        }
        self.schedule(
            until,
            Box::new(move |state| {
                // What has not left by now never will.
                let never = state.invocations.transport.withdraw(invoker, dispatch);
                let outcome = if never {
                    Outcome::NotSent
                } else {
                    Outcome::TimedOut
                };
                state.attempt_ended(id, hop, outcome, &AttemptReport::default());
            }),
        );
    }

    fn throttle(&mut self, id: InvocationId, come_back: Ticks) {
        self.respond(id, FinalResponse::Throttled(come_back));
    }

    fn error(&mut self, id: InvocationId) {
        self.respond(id, FinalResponse::Errored("whether it ran is not known"));
    }

    fn cancel(&mut self, id: InvocationId, hop: u8) {
        let Some(out) = self
            .entries
            .get(&id)
            .and_then(|inv| inv.in_flight.get(&hop))
        else {
            return;
        };
        let never = self.transport.withdraw(out.invoker, out.dispatch);
        if !never {
            self.transport.cancel(out.invoker, out.dispatch);
        }
        let outcome = if never {
            Outcome::NotSent
        } else {
            Outcome::Cancelled
        };
        self.defer(Box::new(move |state| {
            state.attempt_ended(id, hop, outcome, &AttemptReport::default())
        }));
    }

    fn load(&mut self, invoker: InvokerId, function: FunctionId, count: u8) {
        self.counters.load_orders += 1;
        let (at, sent) = (self.now + self.order_timeout, self.now);
        match self.transport.load(sent, invoker, function, count) {
            Ok(order) => {
                debug!(
                    invoker,
                    function = format_args!("{function:016x}"),
                    count,
                    order,
                    "order to load"
                );
                let due = move |state: &mut ControllerState<R>| {
                    state.load_ended(invoker, order, LoadOutcome::TimedOut, 0)
                };
                let timer = self.schedule(at, Box::new(due));
                self.load_orders.insert(
                    (invoker, order),
                    LoadOrder {
                        function,
                        sent_at: sent,
                        timer,
                    },
                );
            }
            Err(outcome) => self.defer(Box::new(move |state| {
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
                    .policy
                    .load_ended(state.invocations.now, answer, &mut state.invocations);
            })),
        }
    }

    fn unload(&mut self, invoker: InvokerId, function: FunctionId) {
        self.transport.unload(self.now, invoker, function);
    }

    fn probe(&mut self, invoker: InvokerId) {
        self.transport.probe(self.now, invoker);
    }

    fn set_timer(&mut self, at: Ticks, token: u64) {
        let due = move |state: &mut ControllerState<R>| {
            state
                .policy
                .timer_fired(state.invocations.now, token, &mut state.invocations)
        };
        self.schedule(at, Box::new(due));
    }

    fn log(&mut self, text: &str) {
        info!(text, "policy");
    }
}
