//! What a controller does at its sockets: how each dispatch's end is told, what bad peers cost, JSON-RPC's rules. On
//! in-memory streams under a paused clock; peers are written out here byte by byte.

#![allow(clippy::too_many_lines, reason = "a test reads as one story")]

use bytes::{Bytes, BytesMut};
use saltdrum::interface::*;
use saltdrum_controller::shutdown::{ShutdownHandle, ShutdownPhase};
use saltdrum_controller::{ControllerConfig, Policy, PolicyFactory, serve};
use saltdrum_deployment::Terms;
use saltdrum_protocol::frame::{cut, encode};
use saltdrum_protocol::invoker::{self as wire, Ended};
use saltdrum_protocol::list;
use saltdrum_transport::{Address, Clock, MemoryNetwork, Network, Stream};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::task::{LocalSet, spawn_local};

const TERMS: &str = r#"
deployment(controllers = 1, keep_alive = "9s", cold_share = 0.3, cold_time = "5s", tip_factor = 2.5, tip_window = "1s")
machine("big", memory = "20GB", cores = 4)
invokers(kind = "big", count = 2)
trigger_type("narrate", objective = "1s", client_timeout = "3s")
tenant("hill", quota_per_s = 90)
function("voice", trigger = "narrate", memory = "2GB", lanes = 4, load_time = "700ms")
"#;

thread_local! {
    static TOLD: RefCell<Vec<(Outcome, bool)>> = const { RefCell::new(Vec::new()) };
    static HELD: RefCell<Vec<LoadOutcome>> = const { RefCell::new(Vec::new()) };
}

/// Sends everything to invoker 1 and answers by what came of it; keeps what it was told.
struct First;

fn first(_: Ticks, _: Deployment, _: u64, _: &mut dyn Actions) -> Box<dyn Policy> {
    TOLD.take();
    HELD.take();
    Box::new(First)
}

impl Policy for First {
    fn invokers_changed(&mut self, _: Ticks, _: bool, _: &[InvokerRecord]) {}
    fn invocation_arrived(&mut self, _: Ticks, call: Invocation, acts: &mut dyn Actions) {
        acts.dispatch(call.id, 1, 0);
        match call.work_hint {
            Some(1) => acts.cancel(call.id, 0),
            Some(2) => acts.load(1, call.function, 1),
            _ => {}
        }
    }
    fn invocation_abandoned(&mut self, _: Ticks, _: InvocationId) {}
    fn attempt_ended(&mut self, _: Ticks, a: AttemptResult, acts: &mut dyn Actions) {
        TOLD.with_borrow_mut(|told| told.push((a.outcome, a.invocation_finished)));
        if !a.invocation_finished && a.outcome.never_ran() {
            acts.throttle(a.invocation, 100);
        } else if !a.invocation_finished {
            acts.error(a.invocation);
        }
    }
    fn load_ended(&mut self, _: Ticks, a: LoadResult, _: &mut dyn Actions) {
        HELD.with_borrow_mut(|held| held.push(a.outcome));
    }
    fn timer_fired(&mut self, _: Ticks, _: u64, _: &mut dyn Actions) {}
}

fn at(name: &str) -> Address {
    Address::Memory(name.into())
}

fn entry(life: list::Life) -> list::Entry {
    let address = at("invoker").to_string();
    list::Entry {
        invoker: 1,
        address,
        zone: 0,
        kind: 0,
        cell: 0,
        life,
        size: 4.0,
        incarnation: 1,
        age_tenths: 900_000,
        agent: None,
    }
}

/// A frame of a peer, or the end of its link.
type Frame = Option<(u8, Bytes)>;

async fn frame(stream: &mut Stream, read: &mut BytesMut) -> Frame {
    loop {
        if let Some(frame) = cut(read).unwrap() {
            return Some(frame);
        }
        if stream.read_buf(read).await.unwrap_or(0) == 0 {
            return None;
        }
    }
}

/// Shakes hands with the controller on a new link.
async fn shaken(door: &mut Box<dyn saltdrum_transport::Listener>) -> (Stream, BytesMut) {
    let (mut stream, mut read) = (door.accept().await.unwrap(), BytesMut::new());
    let hello = frame(&mut stream, &mut read).await.unwrap();
    assert!(matches!(
        wire::FromController::read(hello.0, &hello.1),
        Ok(wire::FromController::Hello(_))
    ));
    let welcome = wire::Welcome {
        version: 1,
        invoker: 1,
        incarnation: 1,
        age_tenths: 900_000,
    };
    stream.write_all(&encode(&welcome)).await.unwrap();
    (stream, read)
}

fn answer(dispatch: u64, ended: Ended, output: &str) -> Bytes {
    let output = output.as_bytes().to_vec().into();
    encode(&wire::Answer {
        dispatch,
        ended,
        found: None,
        crowd: None,
        load: wire::Load::default(),
        output,
    })
}

async fn list_of(network: &MemoryNetwork, changes: &'static [(u64, list::Life)]) {
    let (mut door, _) = network.listen(&at("list")).await.unwrap();
    spawn_local(async move {
        loop {
            let (mut stream, mut read) = (door.accept().await.unwrap(), BytesMut::new());
            frame(&mut stream, &mut read).await;
            let whole = list::Whole {
                revision: 1,
                settled: true,
                entries: vec![entry(list::Life::Ready)],
            };
            stream.write_all(&encode(&whole)).await.unwrap();
            spawn_local(async move {
                for (n, (after_ms, life)) in changes.iter().enumerate() {
                    tokio::time::sleep(Duration::from_millis(*after_ms)).await;
                    let change = list::Change {
                        revision: 2 + n as u64,
                        entries: vec![entry(*life)],
                    };
                    if stream.write_all(&encode(&change)).await.is_err() {
                        return;
                    }
                }
                std::future::pending::<()>().await;
            });
        }
    });
}

struct Client {
    stream: BufReader<Stream>,
}

impl Client {
    async fn new(network: &MemoryNetwork) -> Self {
        Self {
            stream: BufReader::new(network.dial(&at("clients")).await.unwrap()),
        }
    }

    async fn say(&mut self, text: &str) -> bool {
        self.stream
            .get_mut()
            .write_all(format!("{text}\n").as_bytes())
            .await
            .is_ok()
    }

    async fn hear(&mut self) -> Value {
        let mut line = String::new();
        self.stream.read_line(&mut line).await.unwrap();
        serde_json::from_str(&line).unwrap_or(Value::Null)
    }

    async fn invoke(&mut self, id: Value, hint_ms: f64, left_ms: f64) -> bool {
        let params = json!({"function": "voice", "tenant": "hill", "trigger": "narrate",
            "work_hint_ms": hint_ms, "time_left_ms": left_ms});
        self.say(
            &json!({"jsonrpc": "2.0", "id": id, "method": "invoke", "params": params}).to_string(),
        )
        .await
    }
}

fn played<F: Future<Output = ()>>(make: PolicyFactory, play: impl FnOnce(MemoryNetwork) -> F) {
    played_in(make, |_| (), play);
}

fn played_in<F: Future<Output = ()>>(
    make: PolicyFactory,
    change: impl FnOnce(&mut ControllerConfig),
    play: impl FnOnce(MemoryNetwork) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async move {
        let (network, clock) = (MemoryNetwork::default(), Clock::start());
        let mut seat = ControllerConfig {
            controller: 1,
            incarnation: 1,
            seed: 1,
            zone: 0,
            client_addresses: vec![at("clients")],
            endpoint_lists: vec![at("list")],
            terms: Rc::new(Terms::load("terms.star", TERMS).unwrap().0),
            aliases: None,
            shutdown: Default::default(),
            listens_when_ready: false,
        };
        change(&mut seat);
        let handed: Rc<dyn Network> = Rc::new(network.clone());
        spawn_local(async move { serve(seat, handed, clock, make).await.unwrap() });
        play(network).await;
    });
}

fn told() -> Vec<(Outcome, bool)> {
    TOLD.take()
}

async fn a_moment() {
    tokio::time::sleep(Duration::from_millis(100)).await;
}

#[test]
fn every_end_of_a_dispatch_is_told_as_it_was() {
    played(first, |network| async move {
        list_of(&network, &[]).await;
        let (mut door, _) = network.listen(&at("invoker")).await.unwrap();
        let (mut stream, mut read) = shaken(&mut door).await;
        let mut client = Client::new(&network).await;
        let ends = [
            (
                Ended::Succeeded,
                "{\"a\":1}",
                Outcome::Succeeded,
                "/result/output/a",
            ),
            (Ended::Succeeded, "{\"a\":", Outcome::Errored, "/error/code"),
            (Ended::Errored, "oh", Outcome::Errored, "/error/code"),
            (Ended::Full, "", Outcome::Full, "/error/data/come_back_ms"),
            (Ended::Miss, "", Outcome::Miss, "/error/data/come_back_ms"),
            (Ended::Cancelled, "", Outcome::Cancelled, "/error/code"),
        ];
        for (n, (ended, output, outcome, says)) in ends.into_iter().enumerate() {
            client.invoke(json!(n), 0.0, 2_000.0).await;
            let (kind, body) = frame(&mut stream, &mut read).await.unwrap();
            let Ok(wire::FromController::Dispatch(d)) = wire::FromController::read(kind, &body)
            else {
                panic!()
            };
            assert_eq!(d.dispatch, n as u64 + 1, "numbered without gaps");
            stream
                .write_all(&answer(d.dispatch, ended, output))
                .await
                .unwrap();
            let reply = client.hear().await;
            assert!(
                reply["id"] == json!(n) && reply.pointer(says).is_some(),
                "{ended:?}: {reply}"
            );
            assert_eq!(told(), [(outcome, outcome == Outcome::Succeeded)]);
        }
        // Cancelled before its frame left: it never ran.
        client.invoke(json!(7), 0.1, 2_000.0).await;
        assert!(client.hear().await["error"]["data"]["come_back_ms"].is_number());
        assert_eq!(told(), [(Outcome::NotSent, false)]);
        // Nothing is heard until the client timeout is near.
        let began = tokio::time::Instant::now();
        client.invoke(json!(8), 0.0, 2_000.0).await;
        assert_eq!(client.hear().await["error"]["code"], json!(-32_002));
        assert!(
            (1_800..2_000).contains(&began.elapsed().as_millis()),
            "in time: {:?}",
            began.elapsed()
        );
        assert_eq!(told(), [(Outcome::TimedOut, false)]);
        // The link breaks after the frame has left, and then nobody is there.
        client.invoke(json!(9), 0.2, 2_000.0).await;
        frame(&mut stream, &mut read).await.unwrap();
        frame(&mut stream, &mut read).await.unwrap();
        drop((stream, door));
        client.hear().await;
        a_moment().await;
        assert_eq!(
            (told(), HELD.take()),
            (
                vec![(Outcome::Reset, false)],
                vec![LoadOutcome::Unreachable]
            )
        );
        client.invoke(json!(10), 0.2, 2_000.0).await;
        client.hear().await;
        assert_eq!(
            (told(), HELD.take()),
            (
                vec![(Outcome::NoConnection, false)],
                vec![LoadOutcome::Unreachable]
            )
        );
    });
}

#[test]
fn an_answer_for_what_was_never_sent_costs_that_link_alone() {
    played(first, |network| async move {
        list_of(&network, &[]).await;
        let (mut door, _) = network.listen(&at("invoker")).await.unwrap();
        let (mut stream, mut read) = shaken(&mut door).await;
        let mut client = Client::new(&network).await;
        client.invoke(json!("x"), 0.0, 2_000.0).await;
        frame(&mut stream, &mut read).await.unwrap();
        stream
            .write_all(&answer(77, Ended::Succeeded, "1"))
            .await
            .unwrap();
        assert_eq!(
            client.hear().await["error"]["code"],
            json!(-32_002),
            "it may have run"
        );
        assert_eq!(
            frame(&mut stream, &mut read).await,
            None,
            "the liar is cut off"
        );
        let (mut stream, mut read) = shaken(&mut door).await;
        client.invoke(json!("y"), 0.0, 2_000.0).await;
        frame(&mut stream, &mut read).await.unwrap();
        for _ in 0..2 {
            stream
                .write_all(&answer(1, Ended::Succeeded, "1"))
                .await
                .unwrap();
        }
        assert_eq!(client.hear().await["result"]["output"], json!(1));
        assert_eq!(
            frame(&mut stream, &mut read).await,
            None,
            "nobody answers twice"
        );
        let (mut stream, mut read) = shaken(&mut door).await;
        stream.write_all(&[9, 0, 0, 0, 200, 1, 2]).await.unwrap();
        drop(stream.shutdown().await);
        assert_eq!(
            frame(&mut stream, &mut read).await,
            None,
            "half a frame is no frame"
        );
        client
            .say(r#"{"jsonrpc":"2.0","id":1,"method":"status"}"#)
            .await;
        let status = client.hear().await;
        assert!(
            status["result"]["taken"] == 2 && status["result"]["in_flight"] == 0,
            "{status}"
        );
    });
}

/// Rule 3, with a link that takes nothing: what waited in the queue must not leave after the grace.
#[test]
fn what_waits_behind_a_stuck_link_is_not_sent_once_the_invoker_drains() {
    played(first, |network| async move {
        list_of(&network, &[(500, list::Life::Draining)]).await;
        let (mut door, _) = network.listen(&at("invoker")).await.unwrap();
        let (mut stream, mut read) = shaken(&mut door).await;
        let mut client = Client::new(&network).await;
        let big = "x".repeat(30_000);
        for id in 0..6 {
            let params =
                json!({"function": "voice", "tenant": "hill", "trigger": "narrate", "input": big});
            let call = json!({"jsonrpc": "2.0", "id": id, "method": "invoke", "params": params});
            client.say(&call.to_string()).await;
        }
        tokio::time::sleep(Duration::from_millis(800)).await;
        let outcomes: Vec<Outcome> = told().into_iter().map(|t| t.0).collect();
        // The pipe took two whole frames and a part of the third.
        let never = outcomes.iter().filter(|o| **o == Outcome::NotSent).count();
        assert_eq!((outcomes.len(), never), (6, 3), "{outcomes:?}");
        let mut read_later = 0;
        while frame(&mut stream, &mut read).await.is_some() {
            read_later += 1;
        }
        assert_eq!(read_later, 2, "the half one was cut off with the link");
        for _ in 0..6 {
            assert!(client.hear().await["error"]["code"].is_number());
        }
    });
}

#[test]
fn batches_are_answered_together_before_the_first_client_timeout() {
    played(first, |network| async move {
        list_of(&network, &[]).await;
        let (mut door, _) = network.listen(&at("invoker")).await.unwrap();
        let (mut stream, mut read) = shaken(&mut door).await;
        let mut client = Client::new(&network).await;
        let params = |left: f64| json!({"function": "voice", "tenant": "hill", "trigger": "narrate", "time_left_ms": left});
        let call = |id: Value, left: f64| json!({"jsonrpc": "2.0", "id": id, "method": "invoke", "params": params(left)});
        let note = json!({"jsonrpc": "2.0", "method": "invoke", "params": params(900.0)});
        let began = tokio::time::Instant::now();
        client
            .say(
                &json!([
                    call(json!("a"), 3_000.0),
                    call(json!(null), 1_000.0),
                    note,
                    5
                ])
                .to_string(),
            )
            .await;
        frame(&mut stream, &mut read).await.unwrap();
        stream
            .write_all(&answer(1, Ended::Succeeded, "\"first\""))
            .await
            .unwrap();
        let got = client.hear().await;
        assert!(
            began.elapsed() < Duration::from_millis(900),
            "the least of them decides: {:?}",
            began.elapsed()
        );
        let ids: Vec<&Value> = got.as_array().unwrap().iter().map(|r| &r["id"]).collect();
        assert_eq!(ids.len(), 3, "a notification has no answer: {got}");
        assert!(
            got.to_string().contains("first") && got.to_string().contains("-32600"),
            "{got}"
        );
        client
            .say(&json!([{"jsonrpc": "2.0", "method": "status"}]).to_string())
            .await;
        client.say(r#"{"jsonrpc":"2.0","id":"z","method":"invoke","params":{"function":"voice","tenant":"hil","trigger":"narrate"}}"#).await;
        let got = client.hear().await;
        assert_eq!(
            got["id"],
            json!("z"),
            "nothing came for the batch of notifications"
        );
        assert_eq!(
            got["error"]["message"],
            json!("tenant 'hil': not one of this deployment")
        );
    });
}

#[test]
fn a_client_that_hangs_up_leaves_nothing_and_one_that_reads_nothing_stops_nobody() {
    played(first, |network| async move {
        list_of(&network, &[]).await;
        let (mut door, _) = network.listen(&at("invoker")).await.unwrap();
        let (mut stream, mut read) = shaken(&mut door).await;
        let mut gone = Client::new(&network).await;
        gone.invoke(json!(1), 0.0, 2_000.0).await;
        frame(&mut stream, &mut read).await.unwrap();
        drop(gone);
        let (kind, body) = frame(&mut stream, &mut read).await.unwrap();
        assert_eq!(
            wire::FromController::read(kind, &body),
            Ok(wire::FromController::Cancel(wire::Cancel { dispatch: 1 }))
        );
        stream
            .write_all(&answer(1, Ended::Cancelled, ""))
            .await
            .unwrap();
        a_moment().await;
        assert_eq!(told(), [(Outcome::Cancelled, true)]);
        let mut silent = Client::new(&network).await;
        let mut other = Client::new(&network).await;
        let mut cut_off = false;
        for n in 0..200 {
            cut_off = !silent.invoke(json!(n), 0.0, 2_900.0).await;
            if cut_off {
                break;
            }
            let (kind, body) = frame(&mut stream, &mut read).await.unwrap();
            let Ok(wire::FromController::Dispatch(d)) = wire::FromController::read(kind, &body)
            else {
                panic!()
            };
            let big = format!("\"{}\"", "y".repeat(60_000));
            stream
                .write_all(&answer(d.dispatch, Ended::Succeeded, &big))
                .await
                .unwrap();
        }
        assert!(cut_off);
        a_moment().await;
        other
            .say(r#"{"jsonrpc":"2.0","id":1,"method":"status"}"#)
            .await;
        let status = other.hear().await;
        assert_eq!(
            status["result"]["in_flight"], 0,
            "cut off at its bound: {status}"
        );
        let mut rest = Vec::new();
        let _ = silent.stream.read_to_end(&mut rest).await;
        assert!(
            rest.len() < 400_000,
            "what it was cut off from is gone: {}",
            rest.len()
        );
    });
}

#[test]
fn a_list_that_is_lost_or_has_only_begun_makes_nobody_gone() {
    played(saltdrum_controller::random_relay, |network| async move {
        let (mut door, _) = network.listen(&at("list")).await.unwrap();
        let serving = network.clone();
        spawn_local(async move {
            for (n, settled) in [true, false, true].into_iter().enumerate() {
                let (mut stream, mut read) = (door.accept().await.unwrap(), BytesMut::new());
                frame(&mut stream, &mut read).await;
                let entries = if n == 0 {
                    vec![entry(list::Life::Ready)]
                } else {
                    Vec::new()
                };
                let whole = list::Whole {
                    revision: 1,
                    settled,
                    entries,
                };
                stream.write_all(&encode(&whole)).await.unwrap();
                tokio::time::sleep(Duration::from_secs(1)).await;
            }
            drop(serving);
            std::future::pending::<()>().await;
        });
        let (mut inv_door, _) = network.listen(&at("invoker")).await.unwrap();
        let (mut stream, mut read) = shaken(&mut inv_door).await;
        spawn_local(async move {
            while let Some((kind, body)) = frame(&mut stream, &mut read).await {
                if let Ok(wire::FromController::Dispatch(d)) =
                    wire::FromController::read(kind, &body)
                {
                    stream
                        .write_all(&answer(d.dispatch, Ended::Succeeded, "1"))
                        .await
                        .unwrap();
                }
            }
        });
        let mut client = Client::new(&network).await;
        let mut served = Vec::new();
        for n in 0..30 {
            client.invoke(json!(n), 0.0, 500.0).await;
            served.push(client.hear().await["result"].is_object());
            a_moment().await;
        }
        assert!(
            served[..20].iter().all(|s| *s),
            "lost, then not settled: {served:?}"
        );
        assert!(!served[29], "settled and without it: it is gone");
    });
}

#[test]
fn a_controller_that_goes_tells_its_clients_then_takes_nothing_new_and_answers_what_it_took() {
    let going = ShutdownHandle::default();
    let handle = going.clone();
    played_in(
        first,
        |seat| seat.shutdown = going,
        |network| async move {
            list_of(&network, &[]).await;
            let (mut door, _) = network.listen(&at("invoker")).await.unwrap();
            let (mut stream, mut read) = shaken(&mut door).await;
            let mut client = Client::new(&network).await;
            client.invoke(json!(1), 0.0, 2_000.0).await;
            frame(&mut stream, &mut read).await.unwrap();
            handle.set_phase(ShutdownPhase::Redirecting);
            assert_eq!(client.hear().await["method"], "going");
            let mut late = Client::new(&network).await;
            assert_eq!(
                late.hear().await["method"],
                "going",
                "who comes now is told at once"
            );
            client.invoke(json!(2), 0.0, 2_000.0).await;
            frame(&mut stream, &mut read).await.unwrap();
            handle.set_phase(ShutdownPhase::Rejecting);
            client.invoke(json!(3), 0.0, 2_000.0).await;
            let refused = client.hear().await;
            assert_eq!(
                (&refused["id"], &refused["error"]["data"]["going"]),
                (&json!(3), &json!(true))
            );
            assert_eq!(
                (handle.status().in_flight, handle.status().has_endpoint_list),
                (2, true)
            );
            for dispatch in [1, 2] {
                stream
                    .write_all(&answer(dispatch, Ended::Succeeded, "1"))
                    .await
                    .unwrap();
                assert_eq!(client.hear().await["id"], json!(dispatch));
            }
            assert_eq!(
                (handle.status().in_flight, handle.status().unsent_bytes),
                (0, 0)
            );
            handle.set_phase(ShutdownPhase::Serving);
            client.invoke(json!(4), 0.0, 2_000.0).await;
            frame(&mut stream, &mut read).await.unwrap();
            stream
                .write_all(&answer(3, Ended::Succeeded, "1"))
                .await
                .unwrap();
            assert_eq!(client.hear().await["id"], json!(4), "it has turned back");
        },
    );
}

/// A process that ended with its last invocation took the answers along that lay in its queues.
#[test]
fn answers_that_a_client_has_not_taken_are_seen_and_end_with_it() {
    let going = ShutdownHandle::default();
    let handle = going.clone();
    played_in(
        first,
        |seat| seat.shutdown = going,
        |network| async move {
            a_moment().await;
            let mut client = Client::new(&network).await;
            for n in 0..3_000 {
                client
                    .say(&json!({"jsonrpc": "2.0", "id": n, "method": "status"}).to_string())
                    .await;
            }
            a_moment().await;
            assert!(handle.status().unsent_bytes > 0, "it reads nothing");
            drop(client);
            a_moment().await;
            assert_eq!(handle.status().unsent_bytes, 0);
        },
    );
}

#[test]
fn a_controller_among_others_lets_clients_in_once_invokers_can_be_reached() {
    played_in(
        first,
        |seat| seat.listens_when_ready = true,
        |network| async move {
            let (mut door, _) = network.listen(&at("invoker")).await.unwrap();
            a_moment().await;
            assert!(
                network.dial(&at("clients")).await.is_err(),
                "no list, no door"
            );
            list_of(&network, &[]).await;
            let _invoker = shaken(&mut door).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
            assert!(network.dial(&at("clients")).await.is_ok());
        },
    );
}
