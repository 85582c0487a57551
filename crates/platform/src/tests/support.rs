//! A controller with scripted peers on in-memory streams under a paused clock.

use crate::invoker_pools::PoolSizes;
use crate::lifecycle::start;
use crate::start_times::WallClock;
use crate::state::ControllerHandle;
use saltdrum::interface::*;
use saltdrum_controller::{Policy, PolicyFactory};
use saltdrum_fakes::platform::{Answered, Call, Feed, FrameClient, Heard, HttpInvoker};
use saltdrum_fakes::record::{Line, Place, Record, Stated, Trigger, Who};
use saltdrum_platform_wire::config;
use saltdrum_scenario::State as Kept;
use saltdrum_scenario::check::{check, outputs_of_others, sent_on_after_leaving};
use saltdrum_transport::{Clock, MemoryNetwork, Network};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};

pub(crate) const WHO: Who = Who {
    controller: 1,
    incarnation: 1,
};
pub(crate) const UNIX_MS: u64 = 1_800_000_000_000;

/// A wall clock that reads `UNIX_MS` now and runs as the other does.
pub(crate) fn wall_clock(clock: Clock) -> WallClock {
    let began = clock.now();
    Rc::new(move || UNIX_MS + (clock.now() - began) / MILLISECOND)
}

pub(crate) const TAKES: Duration = Duration::from_millis(40);
/// A start long ago, in Unix ms: who is listed later without one is taken for cold.
pub(crate) const LONG_PAST_MS: Option<u64> = Some(UNIX_MS - 3_600_000);
/// In ms: by then the feed has sent its first empty frame.
pub(crate) const LIST_HEARD: u64 = 1_010;
/// In ms: after it a line that was answered on is used again.
pub(crate) const RESTED: u64 = 70;

pub(crate) fn address(text: &str) -> SocketAddrV4 {
    text.parse().unwrap()
}

pub(crate) fn invoker_at(invoker: u32) -> SocketAddrV4 {
    address(&format!("10.1.0.{invoker}:7001"))
}

pub(crate) fn here() -> SocketAddrV4 {
    address("10.0.0.4:7001")
}

pub(crate) fn feed_at(n: u8) -> SocketAddrV4 {
    address(&format!("10.2.0.{n}:8500"))
}

pub(crate) fn configuration(invokers: &[u32], sockets: usize) -> String {
    let invokers: Vec<_> = invokers.iter().map(|w| (*w, invoker_at(*w))).collect();
    configuration_at(here(), feed_at(1), &invokers, sockets)
}

/// The settings as the platform states them, with the three kinds of effect.
pub(crate) fn configuration_at(
    here: SocketAddrV4,
    feed: SocketAddrV4,
    invokers: &[(u32, SocketAddrV4)],
    sockets: usize,
) -> String {
    let class = |name: &str, effect: &str| {
        serde_json::json!({"name": name, "aim_ms": 1000.0, "give_up_ms": 3000.0, "effect": effect, "key_scope": "all",
            "repeat_window_ms": 2000.0, "worth": 1.0, "late_share": 0.2, "stream": false})
    };
    let members: Vec<_> = invokers
        .iter()
        .map(|(w, at)| {
            serde_json::json!({"id": format!("s-{w:08x}"), "host_port": at.to_string(), "locality": "a",
                "flavor": "std", "cell": 0, "phase": "up", "size": 4.0, "up_since_ms": 0})
        })
        .collect();
    serde_json::json!({
        "name": "n1", "listen": here.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets}, "feed": feed.to_string(),
        "known": {"n": 1, "events": [{"n": 1, "members": {"revision": 1, "complete": true, "members": members}}]},
        "settings": {
            "balancers": 1, "zone": 0, "zones": ["a"], "kinds": ["std"], "over_share_worth": 0.1, "tick_ms": 2.0,
            "classes": [class("look", "safe"), class("book", "unsafe"), class("charge", "keyed")],
            "bounds": {"cancel": true, "connect_timeout_ms": 250.0, "conn_idle_ms": 15000.0, "max_retry_after_ms": 500.0,
                "parallel_tries": false, "probing": true, "retry_after": true, "try_limit": 3},
            "family_info": {"kind_memory_mb": [42000.0], "linger_idle_ms": 9000.0, "load_share": 0.1,
                "load_wait_ms": 10000.0, "load_window_ms": 5000.0, "loads_anyway": 3.0, "may_order": true,
                "not_loaded": "miss"},
            "reporting": {"fields": ["queue", "util"]},
            "rules": {"drain_grace_ms": 250.0, "cold_from": 0.3, "cold_ms": 8000.0, "overload_factor": 2.0,
                "tip_after_ms": 3000.0, "grace_to_answer_ms": 16.0}
        }
    })
    .to_string()
}

pub(crate) fn stated() -> Line {
    let trigger = |name: &str, effect: &str| Trigger {
        name: name.into(),
        effect: effect.into(),
        scope: "all".into(),
        repeat_window: 2 * SECOND,
        objective: SECOND,
        billed_value: 1.0,
    };
    Line::Stated(Stated {
        triggers: vec![
            trigger("look", "idempotent"),
            trigger("book", "non-idempotent"),
            trigger("charge", "tokened"),
        ],
        places: (1..=4)
            .map(|invoker| Place {
                invoker,
                zone: 0,
                cell: 0,
                pace: 4.0,
            })
            .collect(),
        parallel_dispatches: false,
        drain_grace: 250 * MILLISECOND,
        cold_share: 0.3,
        cold_time: 8 * SECOND,
        tip_factor: 2.0,
        tip_window: 3 * SECOND,
        order_window: 5 * SECOND,
        orders_free: 3.0,
        orders_share: 0.1,
    })
}

/// A controller and its peers.
pub(crate) struct Stage {
    pub network: Rc<dyn Network>,
    pub clock: Clock,
    pub(crate) record: Record,
    pub invokers: BTreeMap<u32, Rc<HttpInvoker>>,
    pub(crate) hops: Rc<RefCell<BTreeMap<u64, u8>>>,
    pub feed: Rc<Feed>,
    pub handle: Rc<ControllerHandle>,
    pub(crate) next: Cell<u64>,
}

impl Stage {
    pub async fn new(make: PolicyFactory, invokers: &[u32], sockets: usize) -> Self {
        Self::with(make, invokers, &configuration(invokers, sockets)).await
    }

    /// With a configuration of its own.
    pub async fn with(make: PolicyFactory, invokers: &[u32], text: &str) -> Self {
        let (network, clock): (Rc<dyn Network>, _) =
            (Rc::new(MemoryNetwork::default()), Clock::start());
        let (record, hops) = (Record::default(), Rc::default());
        record.note(stated());
        let feed = Feed::new(WHO, record.clone(), clock);
        spawn_local(feed.clone().serve(network.clone(), feed_at(1)));
        let config = config::parse(text).unwrap();
        let started = start(config, wall_clock(clock), network.clone(), clock, make).await;
        let handle = started.unwrap_or_else(|e| panic!("{e}"));
        let (next, none) = (Cell::new(0), BTreeMap::new());
        let mut stage = Self {
            network,
            clock,
            record,
            invokers: none,
            hops,
            feed,
            handle,
            next,
        };
        invokers
            .iter()
            .for_each(|w| stage.invoker(*w, invoker_at(*w)));
        pass(10).await;
        stage
    }

    pub fn invoker(&mut self, w: u32, at: SocketAddrV4) {
        let (record, hops) = (self.record.clone(), self.hops.clone());
        let invoker = HttpInvoker::new(w, WHO, TAKES, hops, record, self.clock);
        spawn_local(invoker.clone().serve(self.network.clone(), at));
        self.invokers.insert(w, invoker);
    }

    pub async fn client(&self) -> FrameClient {
        FrameClient::dial(&*self.network, here(), WHO, self.record.clone(), self.clock)
            .await
            .unwrap()
    }

    pub fn call(&self, trigger: &str) -> Call {
        self.next.set(self.next.get() + 1);
        let n = self.next.get();
        let token = (trigger == "charge").then(|| format!("{n:032x}"));
        let (trigger, body) = (trigger.to_owned(), vec![7; (n % 3) as usize * 50]);
        Call {
            n,
            attempt: 0,
            trigger,
            function: 0xf0 + n % 3,
            limit_ms: 2_000,
            token,
            body,
        }
    }

    pub(crate) fn sizes(&self) -> (PoolSizes, (usize, usize), usize) {
        let (sizes, in_flight) = self
            .handle
            .inspect(|s| (s.invocations.transport.sizes(), s.invocations.in_flight()));
        (sizes, self.handle.config.clients.sizes(), in_flight)
    }

    /// Rules that were broken, by the record; 6: something was sent on long after its client had left; 7: an output went to
    /// another than it was made for; 8: an invoker was told of more time than the client had.
    pub fn broken(&self) -> Vec<u8> {
        let lines = self.record.take();
        let (verdicts, late) = (check(&lines).unwrap(), sent_on_after_leaving(&lines));
        let others = outputs_of_others(&lines);
        late.iter().chain(&others).for_each(|f| println!("{f:?}"));
        let broken: Vec<_> = verdicts.iter().filter(|v| v.state != Kept::Kept).collect();
        broken.iter().for_each(|v| println!("{v:?}"));
        let limits = self.invokers.values().flat_map(|i| i.limit_faults.take());
        let limits: Vec<String> = limits.inspect(|fault| println!("{fault}")).collect();
        broken
            .iter()
            .map(|v| v.rule)
            .chain(late.first().map(|_| 6))
            .chain(others.first().map(|_| 7))
            .chain(limits.first().map(|_| 8))
            .collect()
    }
}

pub(crate) async fn pass(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

pub(crate) fn staged<F: Future<Output = ()>>(play: impl FnOnce() -> F) {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().start_paused(true).build().unwrap();
    LocalSet::new().block_on(&runtime, play());
}

thread_local! {
    pub(crate) static TOLD: RefCell<Vec<(Outcome, bool)>> = const { RefCell::new(Vec::new()) };
    /// Invokers that were reported to have ended connections.
    pub(crate) static LOST: RefCell<Vec<InvokerId>> = const { RefCell::new(Vec::new()) };
}

/// What is dispatched for it is cancelled in the same turn.
pub(crate) const TAKEN_BACK: FunctionId = 0xbac;

/// Sends everything to invoker 1 and answers by what came of it; keeps what it was told.
pub(crate) struct First;

pub(crate) fn first(_: Ticks, _: Deployment, _: u64, _: &mut dyn Actions) -> Box<dyn Policy> {
    TOLD.take();
    Box::new(First)
}

impl Policy for First {
    fn invokers_changed(&mut self, _: Ticks, _: bool, _: &[InvokerRecord]) {}
    fn invocation_arrived(&mut self, _: Ticks, call: Invocation, acts: &mut dyn Actions) {
        acts.dispatch(call.id, 1, 0);
        if call.function == TAKEN_BACK {
            acts.cancel(call.id, 0);
        }
    }
    fn invocation_abandoned(&mut self, _: Ticks, _: InvocationId) {}
    fn attempt_ended(&mut self, _: Ticks, a: AttemptResult, acts: &mut dyn Actions) {
        TOLD.with_borrow_mut(|told| told.push((a.outcome, a.invocation_finished)));
        match a.invocation_finished {
            true => {}
            false if a.outcome.never_ran() => acts.throttle(a.invocation, 100),
            false => acts.error(a.invocation),
        }
    }
    fn load_ended(&mut self, _: Ticks, _: LoadResult, _: &mut dyn Actions) {}
    fn timer_fired(&mut self, _: Ticks, _: u64, _: &mut dyn Actions) {}
    fn connection_lost(&mut self, _: Ticks, invoker: InvokerId, _: Ticks) {
        LOST.with_borrow_mut(|lost| lost.push(invoker));
    }
}

pub(crate) async fn answer(client: &mut FrameClient) -> Answered {
    match client.hear().await {
        Some(Heard::Answer(answered)) => answered,
        other => panic!("{other:?} where an answer was expected"),
    }
}
