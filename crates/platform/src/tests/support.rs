//! A controller with scripted peers on in-memory streams, with a paused clock.

use crate::invoker_pools::PoolSizes;
use crate::lifecycle::start;
use crate::start_times::WallClock;
use crate::state::ControllerHandle;
use saltdrum::interface::*;
use saltdrum_controller::{Policy, PolicyFactory};
use saltdrum_fakes::platform::{Call, Feed, FrameClient, HttpInvoker, Response, ServerFrame};
use saltdrum_fakes::record::{ControllerId, InvokerInfo, Line, Record, RuleParameters, Trigger};
use saltdrum_platform_wire::config;
use saltdrum_scenario::State as Kept;
use saltdrum_scenario::check::{check, dispatches_after_hang_up, mismatched_outputs};
use saltdrum_transport::{Clock, MemoryNetwork, Network};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};

pub(crate) const CONTROLLER: ControllerId = ControllerId {
    controller: 1,
    incarnation: 1,
};
pub(crate) const UNIX_MS: u64 = 1_800_000_000_000;

/// Returns a wall clock that starts at `UNIX_MS` now and advances with `clock`.
pub(crate) fn wall_clock(clock: Clock) -> WallClock {
    let started_at = clock.now();
    Rc::new(move || UNIX_MS + (clock.now() - started_at) / MILLISECOND)
}

/// How long an invoker runs an invocation.
pub(crate) const WORK_TIME: Duration = Duration::from_millis(40);
/// A start long ago, in Unix ms. An invoker that is listed later without a start time counts as cold.
pub(crate) const LONG_PAST_MS: Option<u64> = Some(UNIX_MS - 3_600_000);
/// Time after which the feed has sent its first heartbeat.
pub(crate) const LIST_CURRENT_MS: u64 = 1_010;
/// Time after a response after which its connection is reused.
pub(crate) const CONNECTION_REUSABLE_MS: u64 = 70;

pub(crate) fn parse_address(text: &str) -> SocketAddrV4 {
    text.parse().unwrap()
}

pub(crate) fn invoker_address(invoker: u32) -> SocketAddrV4 {
    parse_address(&format!("10.1.0.{invoker}:7001"))
}

pub(crate) fn controller_address() -> SocketAddrV4 {
    parse_address("10.0.0.4:7001")
}

pub(crate) fn feed_address(n: u8) -> SocketAddrV4 {
    parse_address(&format!("10.2.0.{n}:8500"))
}

pub(crate) fn configuration(invokers: &[u32], sockets: usize) -> String {
    let invokers: Vec<_> = invokers
        .iter()
        .map(|id| (*id, invoker_address(*id)))
        .collect();
    configuration_at(controller_address(), feed_address(1), &invokers, sockets)
}

/// Returns a configuration file in the platform's format, with a trigger type for each of the three effects.
pub(crate) fn configuration_at(
    listen: SocketAddrV4,
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
        .map(|(invoker, address)| {
            serde_json::json!({"id": format!("s-{invoker:08x}"), "host_port": address.to_string(), "locality": "a",
                "flavor": "std", "cell": 0, "phase": "up", "size": 4.0, "up_since_ms": 0})
        })
        .collect();
    serde_json::json!({
        "name": "n1", "listen": listen.to_string(), "seed": "8c1f30d27a5be964",
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

/// Returns the record line that states the deployment to the checker.
pub(crate) fn stated_line() -> Line {
    let trigger = |name: &str, effect: &str| Trigger {
        name: name.into(),
        effect: effect.into(),
        scope: "all".into(),
        repeat_window: 2 * SECOND,
        objective: SECOND,
        billed_value: 1.0,
    };
    Line::RuleParameters(RuleParameters {
        triggers: vec![
            trigger("look", "idempotent"),
            trigger("book", "non-idempotent"),
            trigger("charge", "tokened"),
        ],
        places: (1..=4)
            .map(|invoker| InvokerInfo {
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

/// A controller with its peers.
pub(crate) struct TestController {
    pub network: Rc<dyn Network>,
    pub clock: Clock,
    pub(crate) record: Record,
    pub invokers: BTreeMap<u32, Rc<HttpInvoker>>,
    pub(crate) hops: Rc<RefCell<BTreeMap<u64, u8>>>,
    pub feed: Rc<Feed>,
    pub handle: Rc<ControllerHandle>,
    pub(crate) next_call: Cell<u64>,
}

impl TestController {
    pub async fn new(make: PolicyFactory, invokers: &[u32], sockets: usize) -> Self {
        Self::with_configuration(make, invokers, &configuration(invokers, sockets)).await
    }

    /// Starts a controller with the given configuration.
    pub async fn with_configuration(make: PolicyFactory, invokers: &[u32], text: &str) -> Self {
        let (network, clock): (Rc<dyn Network>, _) =
            (Rc::new(MemoryNetwork::default()), Clock::start());
        let (record, hops) = (Record::default(), Rc::default());
        record.note(stated_line());
        let feed = Feed::new(CONTROLLER, record.clone(), clock);
        spawn_local(feed.clone().serve(network.clone(), feed_address(1)));
        let config = config::parse(text).unwrap();
        let started = start(config, wall_clock(clock), network.clone(), clock, make).await;
        let handle = started.unwrap_or_else(|e| panic!("{e}"));
        let (next_call, no_invokers) = (Cell::new(0), BTreeMap::new());
        let mut controller = Self {
            network,
            clock,
            record,
            invokers: no_invokers,
            hops,
            feed,
            handle,
            next_call,
        };
        invokers
            .iter()
            .for_each(|id| controller.start_invoker(*id, invoker_address(*id)));
        sleep_ms(10).await;
        controller
    }

    /// Starts an invoker at an address.
    pub fn start_invoker(&mut self, id: u32, address: SocketAddrV4) {
        let (record, hops) = (self.record.clone(), self.hops.clone());
        let invoker = HttpInvoker::new(id, CONTROLLER, WORK_TIME, hops, record, self.clock);
        spawn_local(invoker.clone().serve(self.network.clone(), address));
        self.invokers.insert(id, invoker);
    }

    pub async fn connect_client(&self) -> FrameClient {
        FrameClient::dial(
            &*self.network,
            controller_address(),
            CONTROLLER,
            self.record.clone(),
            self.clock,
        )
        .await
        .unwrap()
    }

    /// Creates a call with a new number, and a token for "charge".
    pub fn new_call(&self, trigger: &str) -> Call {
        self.next_call.set(self.next_call.get() + 1);
        let n = self.next_call.get();
        let token = (trigger == "charge").then(|| format!("{n:032x}"));
        let (trigger, body) = (trigger.to_owned(), vec![7; (n % 3) as usize * 50]);
        Call {
            number: n,
            attempt: 0,
            trigger,
            function: 0xf0 + n % 3,
            timeout_ms: 2_000,
            token,
            body,
        }
    }

    /// Returns the sizes of the pools, the sizes of the client tables, and the number of invocations in flight.
    pub(crate) fn sizes(&self) -> (PoolSizes, (usize, usize), usize) {
        let (sizes, in_flight) = self
            .handle
            .inspect(|s| (s.invocations.transport.sizes(), s.invocations.in_flight()));
        (sizes, self.handle.config.clients.sizes(), in_flight)
    }

    /// Returns the rules that the record shows as broken. Besides the five rules, 6: an attempt was sent long after its
    /// client had left; 7: a client received another invocation's output; 8: the time limit stated to an invoker
    /// exceeded that of the client.
    pub fn broken_rules(&self) -> Vec<u8> {
        let lines = self.record.take();
        let (verdicts, late) = (check(&lines).unwrap(), dispatches_after_hang_up(&lines));
        let others = mismatched_outputs(&lines);
        late.iter().chain(&others).for_each(|f| println!("{f:?}"));
        let broken: Vec<_> = verdicts.iter().filter(|v| v.state != Kept::Kept).collect();
        broken.iter().for_each(|v| println!("{v:?}"));
        let limit_faults = self
            .invokers
            .values()
            .flat_map(|i| i.time_limit_violations.take());
        let limit_faults: Vec<String> = limit_faults.inspect(|fault| println!("{fault}")).collect();
        broken
            .iter()
            .map(|v| v.rule)
            .chain(late.first().map(|_| 6))
            .chain(others.first().map(|_| 7))
            .chain(limit_faults.first().map(|_| 8))
            .collect()
    }
}

pub(crate) async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

pub(crate) fn run_test<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().start_paused(true).build().unwrap();
    LocalSet::new().block_on(&runtime, test());
}

thread_local! {
    /// The outcomes of attempts that were reported to the policy, and whether the invocation had finished.
    pub(crate) static ATTEMPT_ENDS: RefCell<Vec<(Outcome, bool)>> = const { RefCell::new(Vec::new()) };
    /// Invokers whose lost connections were reported to the policy.
    pub(crate) static LOST_CONNECTIONS: RefCell<Vec<InvokerId>> = const { RefCell::new(Vec::new()) };
}

/// A function whose attempts are cancelled right after their dispatch.
pub(crate) const CANCELLED_FUNCTION: FunctionId = 0xbac;

/// Sends all attempts to invoker 1, responds by their outcome, and records what is reported to it.
pub(crate) struct FirstInvokerPolicy;

pub(crate) fn first_invoker_policy(
    _: Ticks,
    _: Deployment,
    _: u64,
    _: &mut dyn Actions,
) -> Box<dyn Policy> {
    ATTEMPT_ENDS.take();
    Box::new(FirstInvokerPolicy)
}

impl Policy for FirstInvokerPolicy {
    fn invokers_changed(&mut self, _: Ticks, _: bool, _: &[InvokerRecord]) {}
    fn invocation_arrived(&mut self, _: Ticks, call: Invocation, acts: &mut dyn Actions) {
        acts.dispatch(call.id, 1, 0);
        if call.function == CANCELLED_FUNCTION {
            acts.cancel(call.id, 0);
        }
    }
    fn invocation_abandoned(&mut self, _: Ticks, _: InvocationId, _: &mut dyn Actions) {}
    fn attempt_ended(&mut self, _: Ticks, ended: AttemptResult, acts: &mut dyn Actions) {
        ATTEMPT_ENDS.with_borrow_mut(|ends| ends.push((ended.outcome, ended.invocation_finished)));
        match ended.invocation_finished {
            true => {}
            false if ended.outcome.never_ran() => acts.throttle(ended.invocation, 100),
            false => acts.error(ended.invocation),
        }
    }
    fn load_ended(&mut self, _: Ticks, _: LoadResult, _: &mut dyn Actions) {}
    fn timer_fired(&mut self, _: Ticks, _: u64, _: &mut dyn Actions) {}
    fn connection_lost(&mut self, _: Ticks, invoker: InvokerId, _: Ticks) {
        LOST_CONNECTIONS.with_borrow_mut(|lost| lost.push(invoker));
    }
}

/// Receives the next frame, which must be a response.
pub(crate) async fn expect_response(client: &mut FrameClient) -> Response {
    match client.next_frame().await {
        Some(ServerFrame::Response(answered)) => answered,
        other => panic!("{other:?} where a response was expected"),
    }
}
