//! Deadlines in virtual time: silent feeds, drains within the grace, shutdown before the kill, and extreme settings.
//! Races within single event loop turns are in `races`.

use crate::lifecycle::shut_down;
use crate::tests::support::{
    ATTEMPT_ENDS, CONNECTION_REUSABLE_MS, TestController, configuration, expect_response,
    feed_address, first_invoker_policy, invoker_address, run_test, sleep_ms,
};
use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use saltdrum::interface::*;
use saltdrum_controller::dispatch_policy;
use saltdrum_fakes::platform::{Call, ResponseFault, ServerFrame, endpoint_record};
use saltdrum_platform_wire::config;
use saltdrum_platform_wire::feed::{Event, encode};
use saltdrum_platform_wire::frames::{self, Code};
use saltdrum_transport::{Address, Stream};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::spawn_local;

/// The behaviour of the feed on one connection.
#[derive(Clone, Copy, Debug)]
enum FeedBehaviour {
    /// This number of heartbeats, a second apart, then nothing more.
    BecomesSilent(u64),
    /// Accepts the connection and sends nothing.
    Silent,
    /// Sends an event, one byte every 300 ms.
    SendsSlowly,
    /// Sends only heartbeats, with the number of an event that was not sent.
    OmitsEvents,
    /// Sends the event, then heartbeats.
    SendsEvent,
}

fn event() -> (u64, Event) {
    (
        2,
        Event::Changes(vec![endpoint_record(
            1,
            invoker_address(1),
            InvokerStatus::Draining,
            None,
        )]),
    )
}

async fn run_feed_connection(mut stream: Stream, behaviour: FeedBehaviour) {
    let Ok(last) = stream.read_u64().await else {
        return;
    };
    let heartbeat = |number| encode(number, &Event::Heartbeat);
    let (number, event) = event();
    let frame_at = |n: u64| match behaviour {
        FeedBehaviour::BecomesSilent(count) => (n < count).then(|| heartbeat(last)),
        FeedBehaviour::Silent | FeedBehaviour::SendsSlowly => None,
        FeedBehaviour::OmitsEvents => Some(heartbeat(number)),
        FeedBehaviour::SendsEvent => Some(if n == 0 {
            encode(number, &event)
        } else {
            heartbeat(number)
        }),
    };
    if matches!(behaviour, FeedBehaviour::SendsSlowly) {
        for byte in encode(number, &event) {
            if stream.write_all(&[byte]).await.is_err() {
                return;
            }
            sleep_ms(300).await;
        }
    }
    for n in 0.. {
        let Some(bytes) = frame_at(n) else {
            return std::future::pending().await;
        };
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
        sleep_ms(1_000).await;
    }
}

/// Returns how many ms after the feed became silent the controller knows an event that was published since.
async fn recovery_time_ms(
    controller: &TestController,
    behaviours: &'static [FeedBehaviour],
    silent_after_ms: u64,
) -> u64 {
    let (network, at) = (controller.network.clone(), feed_address(2));
    let connections = Rc::new(Cell::new(0));
    let counted = connections.clone();
    spawn_local(async move {
        let (mut listener, _) = network.listen(&Address::Tcp(at.to_string())).await.unwrap();
        while let Ok(stream) = listener.accept().await {
            let n = counted.replace(counted.get() + 1);
            spawn_local(run_feed_connection(
                stream,
                behaviours[n.min(behaviours.len() - 1)],
            ));
        }
    });
    controller.handle.config.feed.set_address(at);
    sleep_ms(silent_after_ms).await;
    let since = controller.clock.now();
    while controller.handle.config.feed.last_event() < 2 {
        assert!(
            controller.clock.now() < since + 30 * SECOND,
            "event not received over {} connections",
            connections.get()
        );
        sleep_ms(1).await;
    }
    assert_eq!(connections.get(), behaviours.len(), "{behaviours:?}");
    (controller.clock.now() - since) / MILLISECOND
}

/// Events missed on a silent feed count as reported after 4 s, however it behaves on the next connection. Guards
/// against two silence timeouts that add up to 4.5 s, and against single bytes or heartbeats that prevent a reconnect.
#[test]
fn recovers_events_of_silent_feed_within_bound() {
    use FeedBehaviour as F;
    const CASES: [(&[F], u64); 5] = [
        (&[F::BecomesSilent(3), F::SendsEvent], 2_010),
        (&[F::BecomesSilent(3), F::Silent, F::SendsEvent], 2_010),
        (&[F::Silent, F::BecomesSilent(1), F::SendsEvent], 10),
        (&[F::SendsSlowly, F::SendsEvent], 10),
        (&[F::OmitsEvents, F::SendsEvent], 10),
    ];
    for (behaviours, silent_after_ms) in CASES {
        run_test(|| async move {
            let controller = TestController::new(dispatch_policy, &[1], 256).await;
            let ms = recovery_time_ms(&controller, behaviours, silent_after_ms).await;
            assert!(ms < 3_700, "{behaviours:?}: {ms} ms");
        });
    }
}

/// The timers of a revoked drain do not affect the next drain.
#[test]
fn repeated_drain_within_grace_uses_last_status() {
    run_test(|| async {
        // The policy ignores the list: the pool alone decides what is sent.
        let controller = TestController::new(first_invoker_policy, &[1], 256).await;
        let mut client = controller.connect_client().await;
        let statuses = [
            InvokerStatus::Draining,
            InvokerStatus::Ready,
            InvokerStatus::Draining,
        ];
        for (n, status) in statuses.into_iter().enumerate() {
            controller.feed.publish(
                2 + n as u64,
                Event::Changes(vec![endpoint_record(1, invoker_address(1), status, None)]),
            );
            sleep_ms(50).await;
        }
        // 150 ms after the first, 50 ms after the last; half the grace is 125 ms.
        client.invoke(&controller.new_call("book")).await;
        assert_eq!(
            expect_response(&mut client).await.code,
            Code::Succeeded as u8
        );
        sleep_ms(60).await;
        client.invoke(&controller.new_call("book")).await;
        assert_eq!(
            expect_response(&mut client).await.code,
            Code::Throttled as u8
        );
        assert_eq!(
            ATTEMPT_ENDS.take(),
            [(Outcome::Succeeded, true), (Outcome::NotSent, false)]
        );
        assert_eq!(controller.invokers[&1].requests.borrow().len(), 1);
        assert_eq!(controller.broken_rules(), [0u8; 0]);
    });
}

/// Guards against a response that arrives after its invoker restarted at another address under the same id: its
/// connection was returned to the new pool, and the next request was sent to the old address.
#[test]
fn does_not_reuse_connection_of_previous_incarnation() {
    run_test(|| async {
        let mut controller = TestController::new(first_invoker_policy, &[1], 256).await;
        let old = controller.invokers[&1].clone();
        let mut client = controller.connect_client().await;
        client.invoke(&controller.new_call("look")).await;
        sleep_ms(10).await;
        assert_eq!(old.requests.borrow().len(), 1, "in flight");
        controller.feed.publish(
            2,
            Event::Changes(vec![endpoint_record(
                1,
                invoker_address(1),
                InvokerStatus::Gone,
                None,
            )]),
        );
        controller.feed.publish(
            3,
            Event::Changes(vec![endpoint_record(
                1,
                invoker_address(8),
                InvokerStatus::Ready,
                None,
            )]),
        );
        controller.start_invoker(1, invoker_address(8));
        assert_eq!(
            expect_response(&mut client).await.code,
            Code::Succeeded as u8
        );
        sleep_ms(CONNECTION_REUSABLE_MS).await;
        client.invoke(&controller.new_call("look")).await;
        assert_eq!(
            expect_response(&mut client).await.code,
            Code::Succeeded as u8
        );
        assert_eq!(
            (
                old.requests.borrow().len(),
                controller.invokers[&1].requests.borrow().len()
            ),
            (1, 1)
        );
    });
}

/// Returns the configuration with a change.
fn changed_configuration(change: impl FnOnce(&mut Value)) -> String {
    let mut configuration: Value = serde_json::from_str(&configuration(&[1, 2], 256)).unwrap();
    change(&mut configuration);
    configuration.to_string()
}

/// Guards against invocations without a response when the process is killed, 3.7 s after SIGTERM, while client timeouts
/// are longer than that. During the shutdown readiness queries are answered with not ready.
#[test]
fn answers_unfinished_invocations_before_kill() {
    run_test(|| async {
        let text = changed_configuration(|c| {
            c["settings"]["classes"]
                .as_array_mut()
                .unwrap()
                .iter_mut()
                .for_each(|t| t["give_up_ms"] = json!(12_000.0));
        });
        let controller =
            TestController::with_configuration(first_invoker_policy, &[1, 2], &text).await;
        controller.invokers[&1].fault.set(ResponseFault::NeverSent);
        let mut client = controller.connect_client().await;
        client
            .invoke(&Call {
                timeout_ms: 12_000,
                ..controller.new_call("book")
            })
            .await;
        sleep_ms(20).await;
        let (handle, signalled_at) = (controller.handle.clone(), controller.clock.now());
        let shutdown = spawn_local(async move { shut_down(&handle).await });
        sleep_ms(500).await;
        client
            .invoke(&Call {
                timeout_ms: 12_000,
                ..controller.new_call("look")
            })
            .await;
        client
            .stream
            .write_all(&frames::encode_empty(32, 77))
            .await
            .unwrap();
        let mut heard = Vec::new();
        while let Some(what) = client.next_frame().await {
            heard.push(what);
        }
        let took_ms = (controller.clock.now() - signalled_at) / MILLISECOND;
        assert!((3_000..3_650).contains(&took_ms), "{took_ms} ms");
        shutdown.await.unwrap();
        assert_eq!(
            heard[..2],
            [
                ServerFrame::GoAway,
                ServerFrame::Ready {
                    stream: 77,
                    code: Code::Throttled as u8
                }
            ]
        );
        let codes = heard[2..].iter().map(|h| match h {
            ServerFrame::Response(a) => a.code,
            other => panic!("{other:?}"),
        });
        assert_eq!(
            codes.collect::<Vec<_>>(),
            [Code::Errored as u8; 2],
            "both may have run"
        );
        assert_eq!(controller.broken_rules(), [0u8; 0]);
    });
}

/// All instances are lost at once while the traffic is low, as when new versions are published. The load orders stay
/// within their budget, which the checker verifies on the traffic, and all functions are served again.
#[test]
fn reloads_lost_instances_without_load_spike() {
    run_test(|| async {
        let controller = TestController::new(dispatch_policy, &[1, 2], 256).await;
        let mut client = controller.connect_client().await;
        let call = |n: u64| Call {
            function: 700 + n % 12,
            timeout_ms: 2_500,
            ..controller.new_call("look")
        };
        let order_count = || {
            let orders_to = |invoker: u32| {
                controller.invokers[&invoker]
                    .requests
                    .borrow()
                    .iter()
                    .filter(|a| a.method == "PUT")
                    .count()
            };
            orders_to(1) + orders_to(2)
        };
        for n in 0..120 {
            client.invoke(&call(n)).await;
            expect_response(&mut client).await;
        }
        let before = order_count();
        controller
            .invokers
            .values()
            .for_each(|i| i.fault.set(ResponseFault::Miss));
        for n in 0..12 {
            client.invoke(&call(n)).await;
        }
        sleep_ms(200).await;
        let orders = order_count() - before;
        controller
            .invokers
            .values()
            .for_each(|i| i.fault.set(ResponseFault::None));
        for _ in 0..12 {
            expect_response(&mut client).await;
        }
        // The budget is 3 and a tenth of the 132 admitted invocations; reloading all instances would take 24 orders.
        assert!(
            (1..=16).contains(&orders),
            "{orders} orders for 12 functions"
        );
        for n in 0..60 {
            client.invoke(&call(n)).await;
            assert_eq!(
                expect_response(&mut client).await.code,
                Code::Succeeded as u8
            );
        }
        assert_eq!(controller.broken_rules(), [0u8; 0]);
    });
}

/// Collects the paths of all scalar settings.
fn collect_paths(path: String, value: &Value, paths: &mut Vec<String>) {
    match value {
        Value::Object(members) => members
            .iter()
            .for_each(|(name, member)| collect_paths(format!("{path}/{name}"), member, paths)),
        Value::Array(items) => items
            .iter()
            .enumerate()
            .for_each(|(index, item)| collect_paths(format!("{path}/{index}"), item, paths)),
        _ => paths.push(path),
    }
}

thread_local! {
    /// Numbers of accepted and rejected configurations.
    static OUTCOMES: RefCell<(usize, usize)> = const { RefCell::new((0, 0)) };
}

/// Up to two settings are replaced by random or extreme values, or removed. Either the file is rejected with an error
/// of one line, or the controller starts, responds to each invocation once and in time, and keeps the rules.
#[test]
fn random_settings_are_rejected_in_one_line_or_served_by_the_rules() {
    let mut setting_paths = Vec::new();
    let base: Value = serde_json::from_str(&configuration(&[1, 2], 256)).unwrap();
    collect_paths("/settings".into(), &base["settings"], &mut setting_paths);
    let value = prop_oneof![
        Just(None),
        prop_oneof![
            Just(0.0),
            Just(0.1),
            Just(1.0),
            Just(7.0),
            Just(50.0),
            Just(400.0),
            Just(1e7),
            Just(-1.0)
        ]
        .prop_map(|n| Some(json!(n))),
        prop_oneof![
            Just(""),
            Just("safe"),
            Just("zone"),
            Just("cell"),
            Just("miss"),
            Just("load"),
            Just("ä. b/c")
        ]
        .prop_map(|t| Some(json!(t))),
        any::<bool>().prop_map(|b| Some(json!(b))),
        prop_oneof![Just(0), Just(1), Just(2), Just(255)].prop_map(|n: i64| Some(json!(n))),
    ];
    let change = (prop::sample::select(setting_paths), value);
    let fixed_seed_config = Config {
        cases: 800,
        rng_seed: RngSeed::Fixed(29),
        failure_persistence: None,
        ..Config::default()
    };
    OUTCOMES.take();
    let result =
        TestRunner::new(fixed_seed_config).run(&prop::collection::vec(change, 1..3), |changes| {
            let text = changed_configuration(|c| {
                for (path, value) in &changes {
                    match value {
                        Some(value) => c
                            .pointer_mut(path)
                            .into_iter()
                            .for_each(|at| *at = value.clone()),
                        None => {
                            let (parent, name) = path.rsplit_once('/').unwrap();
                            if let Some(parent) =
                                c.pointer_mut(parent).and_then(Value::as_object_mut)
                            {
                                parent.remove(name);
                            }
                        }
                    }
                }
            });
            match config::parse(&text) {
                Err(fault) => {
                    OUTCOMES.with_borrow_mut(|outcomes| outcomes.1 += 1);
                    let error = fault.to_string();
                    prop_assert!(!error.contains('\n') && error.len() < 300, "{error}");
                }
                Ok(config) => {
                    OUTCOMES.with_borrow_mut(|outcomes| outcomes.0 += 1);
                    check_served(&text, &config.trigger_names, &config.deployment);
                }
            }
            Ok(())
        });
    result.unwrap();
    let (started, rejected) = OUTCOMES.take();
    assert!(
        started > 100 && rejected > 100,
        "{started} started, {rejected} rejected"
    );
}

/// Sends invocations of each type, with a drain between them. Each gets one response, within its time limit and the
/// grace of half a second.
fn check_served(text: &str, names: &[String], deployment: &Deployment) {
    let (names, timeouts) = (
        names.to_vec(),
        deployment
            .trigger_types
            .iter()
            .map(|t| t.client_timeout / MILLISECOND),
    );
    let timeouts: Vec<u64> = timeouts.collect();
    run_test(|| async move {
        let controller = TestController::with_configuration(dispatch_policy, &[1, 2], text).await;
        let mut client = controller.connect_client().await;
        let mut sent = 0;
        for round in 0..3u64 {
            for (name, timeout) in names.iter().zip(&timeouts).filter(|(_, t)| **t > 0) {
                let token = Some(format!("{:032x}", 100 + sent));
                let limit_ms = (*timeout).min(800);
                client
                    .invoke(&Call {
                        token,
                        timeout_ms: limit_ms,
                        trigger: name.clone(),
                        ..controller.new_call("look")
                    })
                    .await;
                sent += 1;
            }
            if round == 1 {
                controller.feed.publish(
                    2,
                    Event::Changes(vec![endpoint_record(
                        1,
                        invoker_address(1),
                        InvokerStatus::Draining,
                        None,
                    )]),
                );
            }
            sleep_ms(30).await;
        }
        let mut streams = std::collections::BTreeSet::new();
        for _ in 0..sent {
            let heard =
                tokio::time::timeout(Duration::from_millis(1_500), client.next_frame()).await;
            match heard {
                Ok(Some(ServerFrame::Response(a))) => {
                    assert!(streams.insert(a.stream), "answered twice: {a:?}")
                }
                other => panic!(
                    "{other:?} with {sent} sent, {} answered, on {text}",
                    streams.len()
                ),
            }
        }
        let more = tokio::time::timeout(Duration::from_millis(600), client.next_frame()).await;
        assert!(more.is_err(), "{more:?} after all responses");
    });
}

/// Clients close or cancel while their invocation is dispatched, or waits for a load, for the load budget or for a
/// retry. The checker finds no attempt that was sent more than 0.1 s later, and no invocation stays in the tables.
#[test]
fn never_dispatches_after_client_left_at_any_time() {
    const SPOILT: [ResponseFault; 6] = [
        ResponseFault::None,
        ResponseFault::Miss,
        ResponseFault::Full,
        ResponseFault::NeverSent,
        ResponseFault::ClosedUnread,
        ResponseFault::TruncatedBody,
    ];
    let requests = Rc::new(Cell::new(0));
    for seed in 0..24 {
        let requests = requests.clone();
        run_test(|| async move {
            let mut rng = fastrand::Rng::with_seed(seed);
            let controller = TestController::new(dispatch_policy, &[1, 2], 256).await;
            for n in 0..60 {
                controller
                    .invokers
                    .values()
                    .for_each(|i| i.fault.set(SPOILT[rng.usize(..SPOILT.len())]));
                let mut client = controller.connect_client().await;
                // Not "charge": the test invokers do not share idempotency tokens.
                let trigger = if rng.bool() { "look" } else { "book" };
                // One function is loaded after a while; the others are not loaded anywhere and wait for a load.
                let function = if rng.bool() { 0xf1 } else { 0x1_000 + n };
                let stream = client
                    .invoke(&Call {
                        function,
                        ..controller.new_call(trigger)
                    })
                    .await;
                sleep_ms(rng.u64(0..300)).await;
                if rng.bool() {
                    client.cancel(stream).await;
                    sleep_ms(rng.u64(0..30)).await;
                }
                client.close();
            }
            sleep_ms(200).await;
            assert_eq!(
                controller.handle.inspect(|s| s.invocations.in_flight()),
                0,
                "seed {seed}"
            );
            let arrived = controller
                .invokers
                .values()
                .map(|i| i.requests.borrow().len())
                .sum::<usize>();
            requests.set(requests.get() + arrived);
            assert_eq!(controller.broken_rules(), [0u8; 0], "seed {seed}");
        });
    }
    assert!(requests.get() >= 24 * 30, "{} requests", requests.get());
}

/// After a malformed frame of the feed the controller reconnects, and the last list remains in use.
#[test]
fn ignores_malformed_feed_data() {
    run_test(|| async {
        let controller = TestController::new(dispatch_policy, &[1], 256).await;
        let (network, at) = (controller.network.clone(), feed_address(3));
        let requested = Rc::new(RefCell::new(Vec::new()));
        let requested_events = requested.clone();
        spawn_local(async move {
            let (mut listener, _) = network.listen(&Address::Tcp(at.to_string())).await.unwrap();
            while let Ok(mut stream) = listener.accept().await {
                let Ok(last) = stream.read_u64().await else {
                    continue;
                };
                requested_events.borrow_mut().push(last);
                let malformed = [
                    encode(1, &Event::Heartbeat),
                    vec![0, 0, 0, 10, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9],
                ]
                .concat();
                let _ = stream.write_all(&Bytes::from(malformed)).await;
                sleep_ms(50).await;
            }
        });
        controller.handle.config.feed.set_address(at);
        sleep_ms(3_000).await;
        let requested = requested.borrow().clone();
        assert!(
            (5..40).contains(&requested.len()) && requested.iter().all(|n| *n == 1),
            "{requested:?}"
        );
        let mut client = controller.connect_client().await;
        client.invoke(&controller.new_call("look")).await;
        assert_eq!(
            expect_response(&mut client).await.code,
            Code::Succeeded as u8
        );
    });
}
