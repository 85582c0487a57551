//! Crossings that are made of time, in virtual time: silences of the feed, drains within a grace, the end before a kill,
//! and settings at their edges. Those of single turns are in `crossings`.

use crate::lifecycle::leave;
use crate::tests::support::{
    RESTED, Stage, TOLD, answer, configuration, feed_at, first, invoker_at, pass, staged,
};
use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use saltdrum::interface::*;
use saltdrum_controller::dispatch_policy;
use saltdrum_fakes::platform::{Call, Heard, Spoilt, listing};
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

/// What the feed does on one of its connections, in their order.
#[derive(Clone, Copy, Debug)]
enum Does {
    /// So many empty frames, a second apart, then nothing more.
    FallsSilent(u64),
    /// Takes the connection, and is silent from the first.
    SaysNothing,
    /// An event, a byte every 300 ms.
    Drips,
    /// Only empty frames, with the number of an event that was never told.
    TellsNoEvents,
    /// The event, then empty frames.
    Tells,
}

fn event() -> (u64, Event) {
    (
        2,
        Event::Changes(vec![listing(
            1,
            invoker_at(1),
            InvokerStatus::Draining,
            None,
        )]),
    )
}

async fn plays(mut stream: Stream, does: Does) {
    let Ok(last) = stream.read_u64().await else {
        return;
    };
    let empty = |number| encode(number, &Event::Heartbeat);
    let (number, event) = event();
    let beats = |n: u64| match does {
        Does::FallsSilent(beats) => (n < beats).then(|| empty(last)),
        Does::SaysNothing | Does::Drips => None,
        Does::TellsNoEvents => Some(empty(number)),
        Does::Tells => Some(if n == 0 {
            encode(number, &event)
        } else {
            empty(number)
        }),
    };
    if matches!(does, Does::Drips) {
        for byte in encode(number, &event) {
            if stream.write_all(&[byte]).await.is_err() {
                return;
            }
            pass(300).await;
        }
    }
    for n in 0.. {
        let Some(bytes) = beats(n) else {
            return std::future::pending().await;
        };
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
        pass(1_000).await;
    }
}

/// How many ms after the feed fell silent an event was known that it has told nobody since.
async fn known_after(stage: &Stage, does: &'static [Does], silent_after: u64) -> u64 {
    let (network, at) = (stage.network.clone(), feed_at(2));
    let connections = Rc::new(Cell::new(0));
    let counted = connections.clone();
    spawn_local(async move {
        let (mut door, _) = network.listen(&Address::Tcp(at.to_string())).await.unwrap();
        while let Ok(stream) = door.accept().await {
            let n = counted.replace(counted.get() + 1);
            spawn_local(plays(stream, does[n.min(does.len() - 1)]));
        }
    });
    stage.handle.config.feed.moves(at);
    pass(silent_after).await;
    let since = stage.clock.now();
    while stage.handle.config.feed.last() < 2 {
        assert!(
            stage.clock.now() < since + 30 * SECOND,
            "never, over {} connections",
            connections.get()
        );
        pass(1).await;
    }
    assert_eq!(connections.get(), does.len(), "{does:?}");
    (stage.clock.now() - since) / MILLISECOND
}

/// What a silent feed would have told counts as told 4 s after it fell silent, whatever it does when it is asked again:
/// the waits of two silences were 4.5 s. A byte now and then, or empty frames, kept a feed from ever being asked.
#[test]
fn recovers_events_of_silent_feed_within_bound() {
    const CASES: [(&[Does], u64); 5] = [
        (&[Does::FallsSilent(3), Does::Tells], 2_010),
        (
            &[Does::FallsSilent(3), Does::SaysNothing, Does::Tells],
            2_010,
        ),
        (&[Does::SaysNothing, Does::FallsSilent(1), Does::Tells], 10),
        (&[Does::Drips, Does::Tells], 10),
        (&[Does::TellsNoEvents, Does::Tells], 10),
    ];
    for (does, silent_after) in CASES {
        staged(|| async move {
            let stage = Stage::new(dispatch_policy, &[1], 256).await;
            let ms = known_after(&stage, does, silent_after).await;
            assert!(ms < 3_700, "{does:?}: {ms} ms");
        });
    }
}

/// Sound, by test: the timers of a drain that was taken back do not act on the next one.
#[test]
fn repeated_drain_within_grace_uses_last_status() {
    staged(|| async {
        // The module takes no notice of the list: what is sent, and what is not, is the pool's doing alone.
        let stage = Stage::new(first, &[1], 256).await;
        let mut client = stage.client().await;
        let lives = [
            InvokerStatus::Draining,
            InvokerStatus::Ready,
            InvokerStatus::Draining,
        ];
        for (n, life) in lives.into_iter().enumerate() {
            stage.feed.say(
                2 + n as u64,
                Event::Changes(vec![listing(1, invoker_at(1), life, None)]),
            );
            pass(50).await;
        }
        // 150 ms after the first, 50 ms after the last; half the grace is 125 ms.
        client.ask(&stage.call("book")).await;
        assert_eq!(answer(&mut client).await.code, Code::Succeeded as u8);
        pass(60).await;
        client.ask(&stage.call("book")).await;
        assert_eq!(answer(&mut client).await.code, Code::Throttled as u8);
        assert_eq!(
            TOLD.take(),
            [(Outcome::Succeeded, true), (Outcome::NotSent, false)]
        );
        assert_eq!(stage.invokers[&1].arrived.borrow().len(), 1);
        assert_eq!(stage.broken(), [0u8; 0]);
    });
}

/// An answer came after its invoker had gone and come again under the same id elsewhere: its line went into the new pool,
/// and the next request to the old place.
#[test]
fn does_not_reuse_connection_of_previous_incarnation() {
    staged(|| async {
        let mut stage = Stage::new(first, &[1], 256).await;
        let old = stage.invokers[&1].clone();
        let mut client = stage.client().await;
        client.ask(&stage.call("look")).await;
        pass(10).await;
        assert_eq!(old.arrived.borrow().len(), 1, "under way");
        stage.feed.say(
            2,
            Event::Changes(vec![listing(1, invoker_at(1), InvokerStatus::Gone, None)]),
        );
        stage.feed.say(
            3,
            Event::Changes(vec![listing(1, invoker_at(8), InvokerStatus::Ready, None)]),
        );
        stage.invoker(1, invoker_at(8));
        assert_eq!(answer(&mut client).await.code, Code::Succeeded as u8);
        pass(RESTED).await;
        client.ask(&stage.call("look")).await;
        assert_eq!(answer(&mut client).await.code, Code::Succeeded as u8);
        assert_eq!(
            (
                old.arrived.borrow().len(),
                stage.invokers[&1].arrived.borrow().len()
            ),
            (1, 1)
        );
    });
}

fn changed(change: impl FnOnce(&mut Value)) -> String {
    let mut text: Value = serde_json::from_str(&configuration(&[1, 2], 256)).unwrap();
    change(&mut text);
    text.to_string()
}

/// With client timeouts beyond what a restart waits for, what an invoker never answered was still owed when the process was
/// killed, 3.7 s after it was told to end. Readiness asked while ending is answered no.
#[test]
fn answers_unfinished_invocations_before_kill() {
    staged(|| async {
        let text = changed(|c| {
            c["settings"]["classes"]
                .as_array_mut()
                .unwrap()
                .iter_mut()
                .for_each(|t| t["give_up_ms"] = json!(12_000.0));
        });
        let stage = Stage::with(first, &[1, 2], &text).await;
        stage.invokers[&1].spoilt.set(Spoilt::Silent);
        let mut client = stage.client().await;
        client
            .ask(&Call {
                limit_ms: 12_000,
                ..stage.call("book")
            })
            .await;
        pass(20).await;
        let (handle, told) = (stage.handle.clone(), stage.clock.now());
        let ending = spawn_local(async move { leave(&handle).await });
        pass(500).await;
        client
            .ask(&Call {
                limit_ms: 12_000,
                ..stage.call("look")
            })
            .await;
        client
            .stream
            .write_all(&frames::encode_empty(32, 77))
            .await
            .unwrap();
        let mut heard = Vec::new();
        while let Some(what) = client.hear().await {
            heard.push(what);
        }
        let took = (stage.clock.now() - told) / MILLISECOND;
        assert!((3_000..3_650).contains(&took), "{took} ms");
        ending.await.unwrap();
        assert_eq!(
            heard[..2],
            [
                Heard::GoAway,
                Heard::Ready {
                    stream: 77,
                    code: Code::Throttled as u8
                }
            ]
        );
        let codes = heard[2..].iter().map(|h| match h {
            Heard::Answer(a) => a.code,
            other => panic!("{other:?}"),
        });
        assert_eq!(
            codes.collect::<Vec<_>>(),
            [Code::Errored as u8; 2],
            "both may have run"
        );
        assert_eq!(stage.broken(), [0u8; 0]);
    });
}

/// New versions of what is loaded, on a quiet day: all copies are gone at once. No wave of orders follows (the ration is
/// judged on the traffic), and all is served again.
#[test]
fn reloads_lost_instances_without_load_spike() {
    staged(|| async {
        let stage = Stage::new(dispatch_policy, &[1, 2], 256).await;
        let mut client = stage.client().await;
        let ask = |n: u64| Call {
            function: 700 + n % 12,
            limit_ms: 2_500,
            ..stage.call("look")
        };
        let orders = || {
            let of = |w: u32| {
                stage.invokers[&w]
                    .arrived
                    .borrow()
                    .iter()
                    .filter(|a| a.method == "PUT")
                    .count()
            };
            of(1) + of(2)
        };
        for n in 0..120 {
            client.ask(&ask(n)).await;
            answer(&mut client).await;
        }
        let before = orders();
        stage
            .invokers
            .values()
            .for_each(|i| i.spoilt.set(Spoilt::Miss));
        for n in 0..12 {
            client.ask(&ask(n)).await;
        }
        pass(200).await;
        let wave = orders() - before;
        stage
            .invokers
            .values()
            .for_each(|i| i.spoilt.set(Spoilt::No));
        for _ in 0..12 {
            answer(&mut client).await;
        }
        // Stated are 3 and a tenth of the 132 that were taken; all copies together would be 24.
        assert!((1..=16).contains(&wave), "{wave} orders for 12 functions");
        for n in 0..60 {
            client.ask(&ask(n)).await;
            assert_eq!(answer(&mut client).await.code, Code::Succeeded as u8);
        }
        assert_eq!(stage.broken(), [0u8; 0]);
    });
}

/// Every path of the settings, with what it holds.
fn paths(at: String, v: &Value, all: &mut Vec<String>) {
    match v {
        Value::Object(inside) => inside
            .iter()
            .for_each(|(k, v)| paths(format!("{at}/{k}"), v, all)),
        Value::Array(items) => items
            .iter()
            .enumerate()
            .for_each(|(i, v)| paths(format!("{at}/{i}"), v, all)),
        _ => all.push(at),
    }
}

thread_local! {
    static READ: RefCell<(usize, usize)> = const { RefCell::new((0, 0)) };
}

/// Another customer's settings: any two values drawn anew, left out, zero or at an edge. The file is refused in one line,
/// or the controller starts, answers each invocation once and in time, and keeps what is judged on the traffic.
#[test]
fn random_settings_are_rejected_in_one_line_or_served_by_the_rules() {
    let mut all = Vec::new();
    let base: Value = serde_json::from_str(&configuration(&[1, 2], 256)).unwrap();
    paths("/settings".into(), &base["settings"], &mut all);
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
    let change = (prop::sample::select(all), value);
    let seeded = Config {
        cases: 800,
        rng_seed: RngSeed::Fixed(29),
        failure_persistence: None,
        ..Config::default()
    };
    READ.take();
    let done = TestRunner::new(seeded).run(&prop::collection::vec(change, 1..3), |changes| {
        let text = changed(|c| {
            for (path, value) in &changes {
                match value {
                    Some(value) => c
                        .pointer_mut(path)
                        .into_iter()
                        .for_each(|at| *at = value.clone()),
                    None => {
                        let (parent, name) = path.rsplit_once('/').unwrap();
                        if let Some(parent) = c.pointer_mut(parent).and_then(Value::as_object_mut) {
                            parent.remove(name);
                        }
                    }
                }
            }
        });
        match config::parse(&text) {
            Err(fault) => {
                READ.with_borrow_mut(|r| r.1 += 1);
                let said = fault.to_string();
                prop_assert!(!said.contains('\n') && said.len() < 300, "{said}");
            }
            Ok(config) => {
                READ.with_borrow_mut(|r| r.0 += 1);
                served(&text, &config.trigger_names, &config.deployment);
            }
        }
        Ok(())
    });
    done.unwrap();
    let (started, refused) = READ.take();
    assert!(
        started > 100 && refused > 100,
        "{started} started, {refused} refused"
    );
}

/// One invocation of each type, with a drain among them: each is answered once, within its time and the half second after.
fn served(text: &str, names: &[String], d: &Deployment) {
    let (names, timeouts) = (
        names.to_vec(),
        d.trigger_types
            .iter()
            .map(|t| t.client_timeout / MILLISECOND),
    );
    let timeouts: Vec<u64> = timeouts.collect();
    staged(|| async move {
        let stage = Stage::with(dispatch_policy, &[1, 2], text).await;
        let mut client = stage.client().await;
        let mut owed = 0;
        for round in 0..3u64 {
            for (name, timeout) in names.iter().zip(&timeouts).filter(|(_, t)| **t > 0) {
                let token = Some(format!("{:032x}", 100 + owed));
                let limit_ms = (*timeout).min(800);
                client
                    .ask(&Call {
                        token,
                        limit_ms,
                        trigger: name.clone(),
                        ..stage.call("look")
                    })
                    .await;
                owed += 1;
            }
            if round == 1 {
                stage.feed.say(
                    2,
                    Event::Changes(vec![listing(
                        1,
                        invoker_at(1),
                        InvokerStatus::Draining,
                        None,
                    )]),
                );
            }
            pass(30).await;
        }
        let mut streams = std::collections::BTreeSet::new();
        for _ in 0..owed {
            let heard = tokio::time::timeout(Duration::from_millis(1_500), client.hear()).await;
            match heard {
                Ok(Some(Heard::Answer(a))) => {
                    assert!(streams.insert(a.stream), "answered twice: {a:?}")
                }
                other => panic!(
                    "{other:?} with {owed} owed, {} answered, on {text}",
                    streams.len()
                ),
            }
        }
        let more = tokio::time::timeout(Duration::from_millis(600), client.hear()).await;
        assert!(more.is_err(), "{more:?} after all was answered");
    });
}

/// Clients that close or cancel while their invocation is dispatched, waits for a copy, for the ration, or for a further
/// try: the judge finds nothing that was sent on, first attempt or further, over 0.1 s later, and nothing is kept.
#[test]
fn never_dispatches_after_client_left_at_any_time() {
    const SPOILT: [Spoilt; 6] = [
        Spoilt::No,
        Spoilt::Miss,
        Spoilt::Full,
        Spoilt::Silent,
        Spoilt::ClosedUnread,
        Spoilt::ShortBody,
    ];
    let requests = Rc::new(Cell::new(0));
    for seed in 0..24 {
        let requests = requests.clone();
        staged(|| async move {
            let mut rng = fastrand::Rng::with_seed(seed);
            let stage = Stage::new(dispatch_policy, &[1, 2], 256).await;
            for n in 0..60 {
                stage
                    .invokers
                    .values()
                    .for_each(|i| i.spoilt.set(SPOILT[rng.usize(..SPOILT.len())]));
                let mut client = stage.client().await;
                // Not "charge": the stand-ins share no memory of tokens.
                let trigger = if rng.bool() { "look" } else { "book" };
                // Few functions, so that some have copies; some that nobody has, which wait for a load.
                let function = if rng.bool() { 0xf1 } else { 0x1_000 + n };
                let stream = client
                    .ask(&Call {
                        function,
                        ..stage.call(trigger)
                    })
                    .await;
                pass(rng.u64(0..300)).await;
                if rng.bool() {
                    client.leave(stream).await;
                    pass(rng.u64(0..30)).await;
                }
                client.close();
            }
            pass(200).await;
            assert_eq!(
                stage.handle.inspect(|s| s.invocations.in_flight()),
                0,
                "seed {seed}"
            );
            let further = stage
                .invokers
                .values()
                .map(|i| i.arrived.borrow().len())
                .sum::<usize>();
            requests.set(requests.get() + further);
            assert_eq!(stage.broken(), [0u8; 0], "seed {seed}");
        });
    }
    assert!(requests.get() >= 24 * 30, "{} requests", requests.get());
}

/// Noise in place of a frame of the feed: it is asked again, and what it told stands.
#[test]
fn ignores_malformed_feed_data() {
    staged(|| async {
        let stage = Stage::new(dispatch_policy, &[1], 256).await;
        let (network, at) = (stage.network.clone(), feed_at(3));
        let asked = Rc::new(RefCell::new(Vec::new()));
        let seen = asked.clone();
        spawn_local(async move {
            let (mut door, _) = network.listen(&Address::Tcp(at.to_string())).await.unwrap();
            while let Ok(mut stream) = door.accept().await {
                let Ok(last) = stream.read_u64().await else {
                    continue;
                };
                seen.borrow_mut().push(last);
                let noise = [
                    encode(1, &Event::Heartbeat),
                    vec![0, 0, 0, 10, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9],
                ]
                .concat();
                let _ = stream.write_all(&Bytes::from(noise)).await;
                pass(50).await;
            }
        });
        stage.handle.config.feed.moves(at);
        pass(3_000).await;
        let asked = asked.borrow().clone();
        assert!(
            (5..40).contains(&asked.len()) && asked.iter().all(|n| *n == 1),
            "{asked:?}"
        );
        let mut client = stage.client().await;
        client.ask(&stage.call("look")).await;
        assert_eq!(answer(&mut client).await.code, Code::Succeeded as u8);
    });
}
