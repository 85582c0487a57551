//! A hollow controller: the real module under the real invocations; what crosses no socket ends after a drawn time.

use crate::meter::{EventLoopClock, TurnsTold, resident_bytes, thread_cpu_ns};
use crate::world::{Popularity, Workload, World, ZONES, deployment, line};
use saltdrum::DispatchPolicy;
use saltdrum::interface::*;
use saltdrum_controller::Policy;
use saltdrum_controller::{
    AttemptReport, ControllerHandle, FinalResponse, InvocationTable, InvokerTransport,
    OutgoingDispatch, Responder,
};
use saltdrum_transport::{Clock, MemoryNetwork};
use serde::Serialize;
use std::cell::RefCell;
use std::rc::{Rc, Weak};
use tokio::task::{LocalSet, spawn_local};
use tracing::Span;

/// How long a hollow controller runs, in seconds of virtual time, and what happens to its list.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    pub load_s: u64,
    /// After the load, without any invocation.
    pub quiet_s: u64,
    /// An invoker is replaced each so many seconds.
    pub event_every_s: u64,
    /// A zone (a fifth) goes in one event at half of the load, and is back cold in one event a quarter later.
    pub zone_outage: bool,
}

/// What one size came to. CPU is this thread's; that of the module alone is told beside it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Row {
    pub invokers: u32,
    pub functions: u64,
    pub skew: f64,
    pub invocations: u64,
    pub succeeded: u64,
    pub dispatches: u64,
    pub misses: u64,
    pub orders: u64,
    pub list_events: u64,
    /// Module and invocations and model together, and the module alone.
    pub us_an_invocation: f64,
    pub module_us_an_invocation: f64,
    /// Of a core under load, all together; and the module's own turns that no invocation asks for (list, timers).
    pub share: f64,
    pub control_share: f64,
    /// Of a core, while nothing is called.
    pub quiet_share: f64,
    /// Whole lists, and changes of it.
    pub whole: TurnsTold,
    pub listed: TurnsTold,
    pub invoked: TurnsTold,
    pub answered: TurnsTold,
    pub timers: TurnsTold,
    pub held: TurnsTold,
    /// Of all but whole lists.
    pub longest_ms: f64,
    /// Resident, above what the process had before the controller was made; at half of the load and at its end.
    pub memory_half_mb: f64,
    pub memory_mb: f64,
    pub whole_list_bytes: u64,
    pub a_line_bytes: u64,
    /// What the module holds at the end of the load, and how many invokers it looked at to rank them.
    pub functions_held: usize,
    pub places_held: usize,
    pub ranked_held: usize,
    pub rank_steps: u64,
}

#[derive(Default)]
struct Tally {
    whole: EventLoopClock,
    listed: EventLoopClock,
    invoked: EventLoopClock,
    answered: EventLoopClock,
    timers: EventLoopClock,
    held: EventLoopClock,
    succeeded: u64,
}

impl Tally {
    fn total_ns(&self) -> u64 {
        let all = [
            &self.whole,
            &self.listed,
            &self.invoked,
            &self.answered,
            &self.timers,
            &self.held,
        ];
        all.iter().map(|t| t.total_ns).sum()
    }
}

/// The module, with the processor time of each of its turns noted.
struct Metered {
    inner: Rc<RefCell<DispatchPolicy>>,
    tally: Rc<RefCell<Tally>>,
}

impl Metered {
    fn turn(
        &mut self,
        of: fn(&mut Tally) -> &mut EventLoopClock,
        then: impl FnOnce(&mut DispatchPolicy),
    ) {
        let begun = thread_cpu_ns();
        then(&mut self.inner.borrow_mut());
        let took = thread_cpu_ns() - begun;
        of(&mut self.tally.borrow_mut()).note(took);
    }
}

impl Policy for Metered {
    fn invokers_changed(&mut self, now: Ticks, whole: bool, entries: &[InvokerRecord]) {
        let of: fn(&mut Tally) -> &mut EventLoopClock = if whole {
            |t| &mut t.whole
        } else {
            |t| &mut t.listed
        };
        self.turn(of, |c| c.invokers_changed(now, whole, entries));
    }
    fn invocation_arrived(&mut self, now: Ticks, call: Invocation, acts: &mut dyn Actions) {
        self.turn(
            |t| &mut t.invoked,
            |c| c.invocation_arrived(now, call, acts),
        );
    }
    fn invocation_abandoned(&mut self, now: Ticks, id: InvocationId) {
        self.inner.borrow_mut().invocation_abandoned(now, id);
    }
    fn attempt_ended(&mut self, now: Ticks, a: AttemptResult, acts: &mut dyn Actions) {
        self.turn(|t| &mut t.answered, |c| c.attempt_ended(now, a, acts));
    }
    fn load_ended(&mut self, now: Ticks, a: LoadResult, acts: &mut dyn Actions) {
        self.turn(|t| &mut t.held, |c| c.load_ended(now, a, acts));
    }
    fn timer_fired(&mut self, now: Ticks, token: u64, acts: &mut dyn Actions) {
        self.turn(|t| &mut t.timers, |c| c.timer_fired(now, token, acts));
    }
}

struct Hollow {
    handle: Weak<ControllerHandle<Self>>,
    clock: Clock,
    world: World,
    last: u64,
}

/// Nobody waits for an answer: it is counted.
struct Counts(Rc<RefCell<Tally>>);

impl Responder for Counts {
    fn respond(self, _: InvocationId, how: FinalResponse, _: u8, _: Ticks) {
        self.0.borrow_mut().succeeded += u64::from(matches!(how, FinalResponse::Succeeded(_)));
    }
    fn abandon(self, _: InvocationId) {}
}

impl Hollow {
    fn after(
        &mut self,
        takes: Ticks,
        then: impl FnOnce(&mut saltdrum_controller::ControllerState<Self>) + 'static,
    ) {
        let Some(handle) = self.handle.upgrade() else {
            return;
        };
        let at = self.clock.now() + takes;
        spawn_local(async move {
            handle.clock.sleep_until(at).await;
            handle.update(then);
        });
    }
}

impl InvokerTransport for Hollow {
    type Payload = ();
    type Responder = Counts;
    type Config = ();

    fn dispatch(&mut self, s: &OutgoingDispatch<()>) -> Result<u64, Outcome> {
        self.last += 1;
        let (outcome, takes) = self.world.dispatched(s.now, s.invoker, s.function);
        let (inv, hop) = (s.invocation, s.attempt);
        self.after(takes, move |state| {
            state.attempt_ended(inv, hop, outcome, &AttemptReport::default())
        });
        Ok(self.last)
    }
    fn withdraw(&mut self, _: InvokerId, _: u64) -> bool {
        false
    }
    fn cancel(&mut self, _: InvokerId, _: u64) -> bool {
        true
    }
    fn attempt_ended(&mut self, _: InvokerId, _: u64, (): &(), _: Outcome, _: &AttemptReport) {}
    fn load(
        &mut self,
        now: Ticks,
        invoker: InvokerId,
        function: FunctionId,
        _: u8,
        _: Ticks,
    ) -> Result<u64, LoadOutcome> {
        self.last += 1;
        let (order, takes) = (self.last, self.world.ordered(now, invoker, function));
        self.after(takes, move |state| {
            state.load_ended(invoker, order, LoadOutcome::Loaded, 1)
        });
        Ok(order)
    }
    fn load_ended(&mut self, _: InvokerId, _: u64) {}
    fn unload(&mut self, _: Ticks, _: InvokerId, _: FunctionId) {}
    fn probe(&mut self, _: Ticks, _: InvokerId) -> Result<(), ProbeOutcome> {
        Ok(())
    }
}

/// The list as the platform's feed would carry it: bytes of a whole one, and of an event with one line.
fn list_bytes(invokers: u32) -> (u64, u64) {
    use saltdrum_platform_wire::feed::{EndpointRecord, Event, encode};
    let line = |w: u32| EndpointRecord {
        invoker: w,
        address: std::net::SocketAddrV4::new(std::net::Ipv4Addr::from(0x0a00_0000 + w), 7_001),
        zone: (w % u32::from(ZONES)) as u8,
        machine_kind: 0,
        cell: 0,
        status: InvokerStatus::Ready,
        capacity: 4.0,
        started_ms: None,
    };
    let whole = encode(1, &Event::Snapshot((1..=invokers).map(line).collect()));
    let one = encode(2, &Event::Changes(vec![line(1)]));
    (whole.len() as u64, one.len() as u64)
}

/// The invokers that are listed, and how they change.
struct List {
    ready: Vec<InvokerId>,
    next: InvokerId,
    rng: fastrand::Rng,
}

impl List {
    /// One goes and another comes, cold.
    fn replaced(&mut self, now: Ticks) -> Vec<InvokerRecord> {
        let i = self.rng.usize(..self.ready.len());
        let gone = std::mem::replace(&mut self.ready[i], self.next);
        self.next += 1;
        vec![
            line(gone, InvokerStatus::Gone, None),
            line(self.next - 1, InvokerStatus::Ready, Some(now)),
        ]
    }

    fn zone(&self) -> Vec<InvokerId> {
        self.ready
            .iter()
            .copied()
            .filter(|w| w.is_multiple_of(u32::from(ZONES)))
            .collect()
    }
}

/// Runs one hollow controller.
pub fn run(load: &Workload, course: &LoadPlan) -> Row {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), play(load, course))
}

async fn play(load: &Workload, course: &LoadPlan) -> Row {
    let (popularity, before) = (Popularity::new(load.functions, load.skew), resident_bytes());
    let (clock, tally) = (Clock::start(), Rc::new(RefCell::new(Tally::default())));
    let (mut rng, d) = (
        fastrand::Rng::with_seed(load.seed),
        deployment(load.invokers),
    );
    let world = World::new(load.seed);
    let hollow = Hollow {
        handle: Weak::new(),
        clock,
        world,
        last: 0,
    };
    let mut invocations = InvocationTable::new(clock.now(), hollow, &d, 2 * SECOND);
    let inner = Rc::new(RefCell::new(DispatchPolicy::new(
        clock.now(),
        d,
        load.seed,
        &mut invocations,
    )));
    let module = Box::new(Metered {
        inner: inner.clone(),
        tally: tally.clone(),
    });
    let handle = Rc::new(ControllerHandle::new(
        module,
        invocations,
        clock,
        Rc::new(MemoryNetwork::default()),
        (),
    ));
    handle.update(|s| s.invocations.transport.handle = Rc::downgrade(&handle));
    let mut list = List {
        ready: (1..=load.invokers).collect(),
        next: load.invokers + 1,
        rng: fastrand::Rng::with_seed(load.seed ^ 0x115),
    };
    let whole: Vec<InvokerRecord> = list
        .ready
        .iter()
        .map(|w| line(*w, InvokerStatus::Ready, None))
        .collect();
    handle.update(|s| s.policy.invokers_changed(s.invocations.now, true, &whole));
    drop(whole);
    let timers = handle.clone();
    spawn_local(async move { timers.run_timers().await });

    let (begun, began_cpu) = (clock.now(), thread_cpu_ns());
    let end = begun + course.load_s * SECOND;
    let (mut next, mut event, mut row) = (
        begun,
        begun + course.event_every_s * SECOND / 2,
        Row::default(),
    );
    let (mut zone_goes, mut zone_back) = (
        begun + course.load_s * SECOND / 2,
        end - course.load_s * SECOND / 4,
    );
    if !course.zone_outage {
        (zone_goes, zone_back) = (Ticks::MAX, Ticks::MAX);
    }
    let mut half = Some(begun + course.load_s * SECOND / 2);
    let mut id = 0;
    while next < end {
        clock.sleep_until(next.min(event)).await;
        let now = clock.now();
        if now >= event {
            let lines = list.replaced(now);
            handle.update(|s| s.policy.invokers_changed(s.invocations.now, false, &lines));
            handle.update(|s| s.invocations.transport.world.sweep(s.invocations.now));
            event += course.event_every_s * SECOND;
            row.list_events += 1;
        }
        for (at, life) in [
            (&mut zone_goes, InvokerStatus::Gone),
            (&mut zone_back, InvokerStatus::Ready),
        ] {
            if now >= *at {
                *at = Ticks::MAX;
                let started = (life == InvokerStatus::Ready).then_some(now);
                let lines: Vec<InvokerRecord> = list
                    .zone()
                    .into_iter()
                    .map(|w| line(w, life, started))
                    .collect();
                handle.update(|s| s.policy.invokers_changed(s.invocations.now, false, &lines));
                row.list_events += 1;
            }
        }
        if half.is_some_and(|at| now >= at) {
            half = None;
            row.memory_half_mb = resident_bytes().saturating_sub(before) as f64 / 1_048_576.0;
        }
        if now < next {
            continue;
        }
        id += 1;
        let invocation = Invocation {
            id,
            trigger: 0,
            tenant: 0,
            function: popularity.draw(&mut rng),
            earliest_arrival: now,
            expires_at: now + 3 * SECOND - 10 * MILLISECOND,
            work_hint: None,
            memory_mb: 300.0,
            concurrency_limit: 2.0,
            load_time_hint: Some(500 * MILLISECOND),
        };
        let owed = Counts(tally.clone());
        handle.update(|s| s.accept(invocation, now + 3 * SECOND, (), owed, Span::none()));
        next += ((-(1.0 - rng.f64()).ln()) * SECOND as f64 / load.rate)
            .round()
            .max(1.0) as Ticks;
    }
    let cpu_ns = thread_cpu_ns() - began_cpu;
    row.memory_mb = resident_bytes().saturating_sub(before) as f64 / 1_048_576.0;
    {
        let t = tally.borrow();
        (row.listed, row.invoked, row.answered) =
            (t.listed.told(), t.invoked.told(), t.answered.told());
        (row.timers, row.held, row.whole) = (t.timers.told(), t.held.told(), t.whole.told());
        let turns = [
            &row.listed,
            &row.invoked,
            &row.answered,
            &row.timers,
            &row.held,
        ];
        row.longest_ms = turns.iter().map(|t| t.longest_ms).fold(0.0, f64::max);
        let load_ns = course.load_s as f64 * 1e9;
        row.share = cpu_ns as f64 / load_ns;
        row.control_share = (t.listed.total_ns + t.timers.total_ns) as f64 / load_ns;
        row.us_an_invocation = cpu_ns as f64 / 1e3 / f64::from(id.max(1));
        row.module_us_an_invocation = t.total_ns() as f64 / 1e3 / f64::from(id.max(1));
        row.succeeded = t.succeeded;
        let c = inner.borrow().table_sizes();
        (row.functions_held, row.places_held) = (c.functions, c.instances);
        (row.ranked_held, row.rank_steps) = (c.ranked, c.rank_steps);
    }
    if course.quiet_s > 0 {
        // What is under way ends first.
        clock.sleep_until(end + 4 * SECOND).await;
        let began_cpu = thread_cpu_ns();
        clock.sleep_until(end + (4 + course.quiet_s) * SECOND).await;
        row.quiet_share = (thread_cpu_ns() - began_cpu) as f64 / (course.quiet_s as f64 * 1e9);
    }
    (row.invokers, row.functions, row.skew) = (load.invokers, load.functions, load.skew);
    (row.whole_list_bytes, row.a_line_bytes) = list_bytes(load.invokers);
    handle.inspect(|s| {
        let world = &s.invocations.transport.world;
        (row.dispatches, row.misses, row.orders) = (world.dispatches, world.misses, world.orders);
    });
    row.invocations = u64::from(id);
    row
}
