//! Tests of a controller at its sockets: the reported outcome of each dispatch, faulty peers, and the rules of JSON-RPC. Run on
//! in-memory streams under a paused clock, with peers that write raw bytes.

#![allow(clippy::too_many_lines, reason = "each test is one sequence of steps")]

use bytes::{Bytes, BytesMut};
use saltdrum::interface::*;
use saltdrum_controller::shutdown::{ShutdownHandle, ShutdownPhase};
use saltdrum_controller::{ControllerConfig, Policy, PolicyFactory, serve};
use saltdrum_deployment::DeploymentSpec;
use saltdrum_protocol::frame::{encode, take_frame};
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

const DEPLOYMENT: &str = r#"
deployment(controllers = 1, keep_alive = "9s", cold_share = 0.3, cold_time = "5s", tip_factor = 2.5, tip_window = "1s")
machine("big", memory = "20GB", cores = 4)
invokers(kind = "big", count = 2)
trigger_type("narrate", objective = "1s", client_timeout = "3s")
tenant("hill", quota_per_s = 90)
function("voice", trigger = "narrate", memory = "2GB", lanes = 4, load_time = "700ms")
"#;

thread_local! {
    /// Outcomes of attempts reported to the policy, and whether the invocation had its final response.
    static ATTEMPT_ENDS: RefCell<Vec<(Outcome, bool)>> = const { RefCell::new(Vec::new()) };
    /// Outcomes of load orders reported to the policy.
    static LOAD_ENDS: RefCell<Vec<LoadOutcome>> = const { RefCell::new(Vec::new()) };
}

/// Dispatches every invocation to invoker 1, responds by its outcome, and records the reported outcomes. A work hint of 1 tick
/// also cancels the attempt, one of 2 ticks also sends a load order.
struct FirstInvokerPolicy;

fn first_invoker_policy(_: Ticks, _: Deployment, _: u64, _: &mut dyn Actions) -> Box<dyn Policy> {
    ATTEMPT_ENDS.take();
    LOAD_ENDS.take();
    Box::new(FirstInvokerPolicy)
}

impl Policy for FirstInvokerPolicy {
    fn invokers_changed(&mut self, _: Ticks, _: bool, _: &[InvokerRecord]) {}
    fn invocation_arrived(&mut self, _: Ticks, request: Invocation, actions: &mut dyn Actions) {
        actions.dispatch(request.id, 1, 0);
        match request.work_hint {
            Some(1) => actions.cancel(request.id, 0),
            Some(2) => actions.load(1, request.function, 1),
            _ => {}
        }
    }
    fn invocation_abandoned(&mut self, _: Ticks, _: InvocationId, _: &mut dyn Actions) {}
    fn attempt_ended(&mut self, _: Ticks, result: AttemptResult, actions: &mut dyn Actions) {
        ATTEMPT_ENDS
            .with_borrow_mut(|ends| ends.push((result.outcome, result.invocation_finished)));
        if !result.invocation_finished && result.outcome.never_ran() {
            actions.throttle(result.invocation, 100);
        } else if !result.invocation_finished {
            actions.error(result.invocation);
        }
    }
    fn load_ended(&mut self, _: Ticks, result: LoadResult, _: &mut dyn Actions) {
        LOAD_ENDS.with_borrow_mut(|ends| ends.push(result.outcome));
    }
    fn timer_fired(&mut self, _: Ticks, _: u64, _: &mut dyn Actions) {}
}

fn memory_address(name: &str) -> Address {
    Address::Memory(name.into())
}

fn list_entry(life: list::Life) -> list::Entry {
    let address = memory_address("invoker").to_string();
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

/// A frame's kind and body; `None` at the end of the connection.
type Frame = Option<(u8, Bytes)>;

async fn read_frame(stream: &mut Stream, received: &mut BytesMut) -> Frame {
    loop {
        if let Some(frame) = take_frame(received).unwrap() {
            return Some(frame);
        }
        if stream.read_buf(received).await.unwrap_or(0) == 0 {
            return None;
        }
    }
}

/// Accepts a connection of the controller and performs the handshake as invoker 1.
async fn accept_handshake(
    listener: &mut Box<dyn saltdrum_transport::Listener>,
) -> (Stream, BytesMut) {
    let (mut stream, mut received) = (listener.accept().await.unwrap(), BytesMut::new());
    let hello = read_frame(&mut stream, &mut received).await.unwrap();
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
    (stream, received)
}

fn encode_answer(dispatch: u64, ended: Ended, output: &str) -> Bytes {
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

/// Serves an endpoint list with invoker 1, then a watch event for each change, given with its delay in ms.
async fn serve_list(network: &MemoryNetwork, changes: &'static [(u64, list::Life)]) {
    let (mut listener, _) = network.listen(&memory_address("list")).await.unwrap();
    spawn_local(async move {
        loop {
            let (mut stream, mut received) = (listener.accept().await.unwrap(), BytesMut::new());
            read_frame(&mut stream, &mut received).await;
            let whole = list::Whole {
                revision: 1,
                settled: true,
                entries: vec![list_entry(list::Life::Ready)],
            };
            stream.write_all(&encode(&whole)).await.unwrap();
            spawn_local(async move {
                for (index, (delay_ms, life)) in changes.iter().enumerate() {
                    tokio::time::sleep(Duration::from_millis(*delay_ms)).await;
                    let change = list::Change {
                        revision: 2 + index as u64,
                        entries: vec![list_entry(*life)],
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
    async fn connect(network: &MemoryNetwork) -> Self {
        Self {
            stream: BufReader::new(network.dial(&memory_address("clients")).await.unwrap()),
        }
    }

    async fn send_line(&mut self, text: &str) -> bool {
        self.stream
            .get_mut()
            .write_all(format!("{text}\n").as_bytes())
            .await
            .is_ok()
    }

    async fn read_message(&mut self) -> Value {
        let mut line = String::new();
        self.stream.read_line(&mut line).await.unwrap();
        serde_json::from_str(&line).unwrap_or(Value::Null)
    }

    async fn invoke(&mut self, id: Value, work_hint_ms: f64, time_left_ms: f64) -> bool {
        let params = json!({"function": "voice", "tenant": "hill", "trigger": "narrate",
            "work_hint_ms": work_hint_ms, "time_left_ms": time_left_ms});
        self.send_line(
            &json!({"jsonrpc": "2.0", "id": id, "method": "invoke", "params": params}).to_string(),
        )
        .await
    }
}

/// Runs `test` against a controller with the policy of `make_policy`.
fn run_test<F: Future<Output = ()>>(
    make_policy: PolicyFactory,
    test: impl FnOnce(MemoryNetwork) -> F,
) {
    run_test_with_config(make_policy, |_| (), test);
}

/// Runs `test` against a controller whose configuration is changed by `change_config`.
fn run_test_with_config<F: Future<Output = ()>>(
    make_policy: PolicyFactory,
    change_config: impl FnOnce(&mut ControllerConfig),
    test: impl FnOnce(MemoryNetwork) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async move {
        let (network, clock) = (MemoryNetwork::default(), Clock::start());
        let mut config = ControllerConfig {
            controller: 1,
            incarnation: 1,
            seed: 1,
            zone: 0,
            client_addresses: vec![memory_address("clients")],
            endpoint_lists: vec![memory_address("list")],
            terms: Rc::new(DeploymentSpec::load("terms.star", DEPLOYMENT).unwrap().0),
            aliases: None,
            shutdown: Default::default(),
            listens_when_ready: false,
        };
        change_config(&mut config);
        let shared_network: Rc<dyn Network> = Rc::new(network.clone());
        spawn_local(async move {
            serve(config, shared_network, clock, make_policy)
                .await
                .unwrap();
        });
        test(network).await;
    });
}

fn take_attempt_ends() -> Vec<(Outcome, bool)> {
    ATTEMPT_ENDS.take()
}

async fn short_delay() {
    tokio::time::sleep(Duration::from_millis(100)).await;
}

#[test]
fn reports_the_outcome_of_every_kind_of_attempt_end() {
    run_test(first_invoker_policy, |network| async move {
        serve_list(&network, &[]).await;
        let (mut listener, _) = network.listen(&memory_address("invoker")).await.unwrap();
        let (mut stream, mut received) = accept_handshake(&mut listener).await;
        let mut client = Client::connect(&network).await;
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
        for (index, (ended, output, outcome, expected_field)) in ends.into_iter().enumerate() {
            client.invoke(json!(index), 0.0, 2_000.0).await;
            let (kind, body) = read_frame(&mut stream, &mut received).await.unwrap();
            let Ok(wire::FromController::Dispatch(dispatch)) =
                wire::FromController::read(kind, &body)
            else {
                panic!()
            };
            assert_eq!(
                dispatch.dispatch,
                index as u64 + 1,
                "dispatch numbers have no gaps"
            );
            stream
                .write_all(&encode_answer(dispatch.dispatch, ended, output))
                .await
                .unwrap();
            let response = client.read_message().await;
            assert!(
                response["id"] == json!(index) && response.pointer(expected_field).is_some(),
                "{ended:?}: {response}"
            );
            assert_eq!(
                take_attempt_ends(),
                [(outcome, outcome == Outcome::Succeeded)]
            );
        }
        // Cancelled before its frame was sent, so it never ran.
        client.invoke(json!(7), 0.1, 2_000.0).await;
        assert!(client.read_message().await["error"]["data"]["come_back_ms"].is_number());
        assert_eq!(take_attempt_ends(), [(Outcome::NotSent, false)]);
        // No answer before the client timeout.
        let sent_at = tokio::time::Instant::now();
        client.invoke(json!(8), 0.0, 2_000.0).await;
        assert_eq!(client.read_message().await["error"]["code"], json!(-32_002));
        assert!(
            (1_800..2_000).contains(&sent_at.elapsed().as_millis()),
            "response not shortly before the client timeout: {:?}",
            sent_at.elapsed()
        );
        assert_eq!(take_attempt_ends(), [(Outcome::TimedOut, false)]);
        // The connection breaks after the frame was sent, then no invoker is listening.
        client.invoke(json!(9), 0.2, 2_000.0).await;
        read_frame(&mut stream, &mut received).await.unwrap();
        read_frame(&mut stream, &mut received).await.unwrap();
        drop((stream, listener));
        client.read_message().await;
        short_delay().await;
        assert_eq!(
            (take_attempt_ends(), LOAD_ENDS.take()),
            (
                vec![(Outcome::Reset, false)],
                vec![LoadOutcome::Unreachable]
            )
        );
        client.invoke(json!(10), 0.2, 2_000.0).await;
        client.read_message().await;
        assert_eq!(
            (take_attempt_ends(), LOAD_ENDS.take()),
            (
                vec![(Outcome::NoConnection, false)],
                vec![LoadOutcome::Unreachable]
            )
        );
    });
}

#[test]
fn invalid_answer_closes_only_the_connection_of_its_invoker() {
    run_test(first_invoker_policy, |network| async move {
        serve_list(&network, &[]).await;
        let (mut listener, _) = network.listen(&memory_address("invoker")).await.unwrap();
        let (mut stream, mut received) = accept_handshake(&mut listener).await;
        let mut client = Client::connect(&network).await;
        client.invoke(json!("x"), 0.0, 2_000.0).await;
        read_frame(&mut stream, &mut received).await.unwrap();
        stream
            .write_all(&encode_answer(77, Ended::Succeeded, "1"))
            .await
            .unwrap();
        assert_eq!(
            client.read_message().await["error"]["code"],
            json!(-32_002),
            "it may have run"
        );
        assert_eq!(
            read_frame(&mut stream, &mut received).await,
            None,
            "the connection is closed after an answer for an unknown dispatch"
        );
        let (mut stream, mut received) = accept_handshake(&mut listener).await;
        client.invoke(json!("y"), 0.0, 2_000.0).await;
        read_frame(&mut stream, &mut received).await.unwrap();
        for _ in 0..2 {
            stream
                .write_all(&encode_answer(1, Ended::Succeeded, "1"))
                .await
                .unwrap();
        }
        assert_eq!(client.read_message().await["result"]["output"], json!(1));
        assert_eq!(
            read_frame(&mut stream, &mut received).await,
            None,
            "the connection is closed after a second answer"
        );
        let (mut stream, mut received) = accept_handshake(&mut listener).await;
        stream.write_all(&[9, 0, 0, 0, 200, 1, 2]).await.unwrap();
        drop(stream.shutdown().await);
        assert_eq!(
            read_frame(&mut stream, &mut received).await,
            None,
            "the connection is closed after an incomplete frame"
        );
        client
            .send_line(r#"{"jsonrpc":"2.0","id":1,"method":"status"}"#)
            .await;
        let status = client.read_message().await;
        assert!(
            status["result"]["taken"] == 2 && status["result"]["in_flight"] == 0,
            "{status}"
        );
    });
}

/// Rule 3 with a stalled connection: frames in the send queue must not be sent after the grace of a draining invoker.
#[test]
fn queued_frames_of_a_stalled_connection_are_withdrawn_when_the_invoker_drains() {
    run_test(first_invoker_policy, |network| async move {
        serve_list(&network, &[(500, list::Life::Draining)]).await;
        let (mut listener, _) = network.listen(&memory_address("invoker")).await.unwrap();
        let (mut stream, mut received) = accept_handshake(&mut listener).await;
        let mut client = Client::connect(&network).await;
        let large_input = "x".repeat(30_000);
        for id in 0..6 {
            let params = json!({"function": "voice", "tenant": "hill", "trigger": "narrate", "input": large_input});
            let call = json!({"jsonrpc": "2.0", "id": id, "method": "invoke", "params": params});
            client.send_line(&call.to_string()).await;
        }
        tokio::time::sleep(Duration::from_millis(800)).await;
        let outcomes: Vec<Outcome> = take_attempt_ends()
            .into_iter()
            .map(|(outcome, _)| outcome)
            .collect();
        // The stream's buffer accepted two complete frames and a part of the third.
        let not_sent = outcomes
            .iter()
            .filter(|outcome| **outcome == Outcome::NotSent)
            .count();
        assert_eq!((outcomes.len(), not_sent), (6, 3), "{outcomes:?}");
        let mut received_frames = 0;
        while read_frame(&mut stream, &mut received).await.is_some() {
            received_frames += 1;
        }
        assert_eq!(
            received_frames, 2,
            "the partial frame ended with the connection"
        );
        for _ in 0..6 {
            assert!(client.read_message().await["error"]["code"].is_number());
        }
    });
}

#[test]
fn batch_responses_are_sent_together_before_the_shortest_client_timeout() {
    run_test(first_invoker_policy, |network| async move {
        serve_list(&network, &[]).await;
        let (mut listener, _) = network.listen(&memory_address("invoker")).await.unwrap();
        let (mut stream, mut received) = accept_handshake(&mut listener).await;
        let mut client = Client::connect(&network).await;
        let params = |time_left_ms: f64| json!({"function": "voice", "tenant": "hill", "trigger": "narrate", "time_left_ms": time_left_ms});
        let call = |id: Value, time_left_ms: f64| json!({"jsonrpc": "2.0", "id": id, "method": "invoke", "params": params(time_left_ms)});
        let notification = json!({"jsonrpc": "2.0", "method": "invoke", "params": params(900.0)});
        let sent_at = tokio::time::Instant::now();
        client
            .send_line(
                &json!([
                    call(json!("a"), 3_000.0),
                    call(json!(null), 1_000.0),
                    notification,
                    5
                ])
                .to_string(),
            )
            .await;
        read_frame(&mut stream, &mut received).await.unwrap();
        stream
            .write_all(&encode_answer(1, Ended::Succeeded, "\"first\""))
            .await
            .unwrap();
        let response = client.read_message().await;
        assert!(
            sent_at.elapsed() < Duration::from_millis(900),
            "response after the shortest timeout: {:?}",
            sent_at.elapsed()
        );
        let ids: Vec<&Value> = response
            .as_array()
            .unwrap()
            .iter()
            .map(|part| &part["id"])
            .collect();
        assert_eq!(ids.len(), 3, "a notification has no response: {response}");
        assert!(
            response.to_string().contains("first") && response.to_string().contains("-32600"),
            "{response}"
        );
        client
            .send_line(&json!([{"jsonrpc": "2.0", "method": "status"}]).to_string())
            .await;
        client.send_line(r#"{"jsonrpc":"2.0","id":"z","method":"invoke","params":{"function":"voice","tenant":"hil","trigger":"narrate"}}"#).await;
        let response = client.read_message().await;
        assert_eq!(
            response["id"],
            json!("z"),
            "a batch of notifications has no response"
        );
        assert_eq!(
            response["error"]["message"],
            json!("tenant 'hil': not one of this deployment")
        );
    });
}

#[test]
fn disconnected_and_stalled_clients_do_not_affect_other_clients() {
    run_test(first_invoker_policy, |network| async move {
        serve_list(&network, &[]).await;
        let (mut listener, _) = network.listen(&memory_address("invoker")).await.unwrap();
        let (mut stream, mut received) = accept_handshake(&mut listener).await;
        let mut disconnected = Client::connect(&network).await;
        disconnected.invoke(json!(1), 0.0, 2_000.0).await;
        read_frame(&mut stream, &mut received).await.unwrap();
        drop(disconnected);
        let (kind, body) = read_frame(&mut stream, &mut received).await.unwrap();
        assert_eq!(
            wire::FromController::read(kind, &body),
            Ok(wire::FromController::Cancel(wire::Cancel { dispatch: 1 }))
        );
        stream
            .write_all(&encode_answer(1, Ended::Cancelled, ""))
            .await
            .unwrap();
        short_delay().await;
        assert_eq!(take_attempt_ends(), [(Outcome::Cancelled, true)]);
        let mut stalled = Client::connect(&network).await;
        let mut other = Client::connect(&network).await;
        let mut is_disconnected = false;
        for id in 0..200 {
            is_disconnected = !stalled.invoke(json!(id), 0.0, 2_900.0).await;
            if is_disconnected {
                break;
            }
            let (kind, body) = read_frame(&mut stream, &mut received).await.unwrap();
            let Ok(wire::FromController::Dispatch(dispatch)) =
                wire::FromController::read(kind, &body)
            else {
                panic!()
            };
            let large_output = format!("\"{}\"", "y".repeat(60_000));
            stream
                .write_all(&encode_answer(
                    dispatch.dispatch,
                    Ended::Succeeded,
                    &large_output,
                ))
                .await
                .unwrap();
        }
        assert!(is_disconnected);
        short_delay().await;
        other
            .send_line(r#"{"jsonrpc":"2.0","id":1,"method":"status"}"#)
            .await;
        let status = other.read_message().await;
        assert_eq!(
            status["result"]["in_flight"], 0,
            "the stalled client was not disconnected at its bound: {status}"
        );
        let mut remaining = Vec::new();
        let _ = stalled.stream.read_to_end(&mut remaining).await;
        assert!(
            remaining.len() < 400_000,
            "queued responses were not dropped: {} bytes",
            remaining.len()
        );
    });
}

#[test]
fn lost_or_incomplete_list_does_not_mark_invokers_as_gone() {
    run_test(saltdrum_controller::random_relay, |network| async move {
        let (mut listener, _) = network.listen(&memory_address("list")).await.unwrap();
        let network_handle = network.clone();
        spawn_local(async move {
            for (connection, settled) in [true, false, true].into_iter().enumerate() {
                let (mut stream, mut received) =
                    (listener.accept().await.unwrap(), BytesMut::new());
                read_frame(&mut stream, &mut received).await;
                let entries = if connection == 0 {
                    vec![list_entry(list::Life::Ready)]
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
            drop(network_handle);
            std::future::pending::<()>().await;
        });
        let (mut invoker_listener, _) = network.listen(&memory_address("invoker")).await.unwrap();
        let (mut stream, mut received) = accept_handshake(&mut invoker_listener).await;
        spawn_local(async move {
            while let Some((kind, body)) = read_frame(&mut stream, &mut received).await {
                if let Ok(wire::FromController::Dispatch(dispatch)) =
                    wire::FromController::read(kind, &body)
                {
                    stream
                        .write_all(&encode_answer(dispatch.dispatch, Ended::Succeeded, "1"))
                        .await
                        .unwrap();
                }
            }
        });
        let mut client = Client::connect(&network).await;
        let mut succeeded = Vec::new();
        for id in 0..30 {
            client.invoke(json!(id), 0.0, 500.0).await;
            succeeded.push(client.read_message().await["result"].is_object());
            short_delay().await;
        }
        assert!(
            succeeded[..20].iter().all(|succeeded| *succeeded),
            "failed while the list was lost or not settled: {succeeded:?}"
        );
        assert!(
            !succeeded[29],
            "the invoker is gone once a settled list does not contain it"
        );
    });
}

#[test]
fn shutdown_redirects_clients_then_rejects_new_invocations_and_answers_accepted_ones() {
    let shutdown = ShutdownHandle::default();
    let handle = shutdown.clone();
    run_test_with_config(
        first_invoker_policy,
        |config| config.shutdown = shutdown,
        |network| async move {
            serve_list(&network, &[]).await;
            let (mut listener, _) = network.listen(&memory_address("invoker")).await.unwrap();
            let (mut stream, mut received) = accept_handshake(&mut listener).await;
            let mut client = Client::connect(&network).await;
            client.invoke(json!(1), 0.0, 2_000.0).await;
            read_frame(&mut stream, &mut received).await.unwrap();
            handle.set_phase(ShutdownPhase::Redirecting);
            assert_eq!(client.read_message().await["method"], "going");
            let mut late_client = Client::connect(&network).await;
            assert_eq!(
                late_client.read_message().await["method"],
                "going",
                "a client that connects now is redirected at once"
            );
            client.invoke(json!(2), 0.0, 2_000.0).await;
            read_frame(&mut stream, &mut received).await.unwrap();
            handle.set_phase(ShutdownPhase::Rejecting);
            client.invoke(json!(3), 0.0, 2_000.0).await;
            let rejected = client.read_message().await;
            assert_eq!(
                (&rejected["id"], &rejected["error"]["data"]["going"]),
                (&json!(3), &json!(true))
            );
            assert_eq!(
                (handle.status().in_flight, handle.status().has_endpoint_list),
                (2, true)
            );
            for dispatch in [1, 2] {
                stream
                    .write_all(&encode_answer(dispatch, Ended::Succeeded, "1"))
                    .await
                    .unwrap();
                assert_eq!(client.read_message().await["id"], json!(dispatch));
            }
            assert_eq!(
                (handle.status().in_flight, handle.status().unsent_bytes),
                (0, 0)
            );
            handle.set_phase(ShutdownPhase::Serving);
            client.invoke(json!(4), 0.0, 2_000.0).await;
            read_frame(&mut stream, &mut received).await.unwrap();
            stream
                .write_all(&encode_answer(3, Ended::Succeeded, "1"))
                .await
                .unwrap();
            assert_eq!(
                client.read_message().await["id"],
                json!(4),
                "the shutdown was cancelled"
            );
        },
    );
}

/// Guards against a process that exits after its last invocation and loses the responses in its send queues: responses that a
/// client has not read count as unsent until the client disconnects.
#[test]
fn unread_responses_count_as_unsent_until_the_client_disconnects() {
    let shutdown = ShutdownHandle::default();
    let handle = shutdown.clone();
    run_test_with_config(
        first_invoker_policy,
        |config| config.shutdown = shutdown,
        |network| async move {
            short_delay().await;
            let mut client = Client::connect(&network).await;
            for id in 0..3_000 {
                client
                    .send_line(&json!({"jsonrpc": "2.0", "id": id, "method": "status"}).to_string())
                    .await;
            }
            short_delay().await;
            assert!(handle.status().unsent_bytes > 0, "the client reads nothing");
            drop(client);
            short_delay().await;
            assert_eq!(handle.status().unsent_bytes, 0);
        },
    );
}

#[test]
fn controller_with_listens_when_ready_listens_once_invokers_are_connected() {
    run_test_with_config(
        first_invoker_policy,
        |config| config.listens_when_ready = true,
        |network| async move {
            let (mut listener, _) = network.listen(&memory_address("invoker")).await.unwrap();
            short_delay().await;
            assert!(
                network.dial(&memory_address("clients")).await.is_err(),
                "listens without an endpoint list"
            );
            serve_list(&network, &[]).await;
            let _invoker = accept_handshake(&mut listener).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
            assert!(network.dial(&memory_address("clients")).await.is_ok());
        },
    );
}
