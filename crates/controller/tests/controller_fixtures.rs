//! Compatibility of a controller service: its copy of the registry's names on disk, and all that it says to clients,
//! invokers, the invoker list and the registry, compared with stored fixtures.
//!
//! Peers are in-memory streams under a paused clock. Fixtures are rewritten only when `SALTDRUM_WRITE_FIXTURES` is set.

use bytes::{Bytes, BytesMut};
use saltdrum::interface::*;
use saltdrum_controller::shutdown::{ShutdownHandle, ShutdownPhase};
use saltdrum_controller::{AliasConfig, ControllerConfig, Policy, serve};
use saltdrum_deployment::DeploymentSpec;
use saltdrum_protocol::frame::{Message, encode, take_frame};
use saltdrum_protocol::invoker::{self as wire, Ended, FromController};
use saltdrum_protocol::list;
use saltdrum_registry::chain::{Entry, Head};
use saltdrum_registry::follow::{FollowConfig, LocalCopy};
use saltdrum_registry::watch::WatchEvent;
use saltdrum_transport::{Address, Clock, Listener, MemoryNetwork, Network, Stream};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::task::{LocalSet, spawn_local};

fn fixture_path(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(file)
}

/// Compares with the stored fixture, or stores it when `SALTDRUM_WRITE_FIXTURES` is set.
fn check_fixture(file: &str, actual: &str) {
    let path = fixture_path(file);
    if std::env::var_os("SALTDRUM_WRITE_FIXTURES").is_some() {
        std::fs::write(&path, actual).expect("the fixture is writable");
    }
    let stored = std::fs::read_to_string(&path)
        .unwrap_or_else(|error| panic!("fixture {}: {error}", path.display()));
    for (number, (stored, actual)) in stored.lines().zip(actual.lines()).enumerate() {
        assert_eq!(actual, stored, "{file}, line {}", number + 1);
    }
    assert_eq!(
        actual, stored,
        "{file}: the number of lines or the last line break differs"
    );
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

const DEPLOYMENT: &str = r#"
deployment(controllers = 1, keep_alive = "9s", cold_share = 0.3, cold_time = "5s", tip_factor = 2.5, tip_window = "1s")
machine("big", memory = "20GB", cores = 4)
invokers(kind = "big", count = 2)
trigger_type("narrate", objective = "1s", client_timeout = "3s")
tenant("hill", quota_per_s = 90)
function("voice", trigger = "narrate", memory = "2GB", lanes = 4, load_time = "700ms")
"#;

/// Does what an invocation's hint of work says, so that every action is taken once.
struct Scripted;

/// Hints of work, in tenths of a millisecond.
const THROTTLED: Ticks = 10;
const ERRORED: Ticks = 20;
const EVERY_ORDER: Ticks = 30;

fn scripted(_: Ticks, _: Deployment, _: u64, _: &mut dyn Actions) -> Box<dyn Policy> {
    Box::new(Scripted)
}

impl Policy for Scripted {
    fn invokers_changed(&mut self, _: Ticks, _: bool, _: &[InvokerRecord]) {}
    fn invocation_arrived(&mut self, _: Ticks, call: Invocation, acts: &mut dyn Actions) {
        match call.work_hint {
            Some(THROTTLED) => return acts.throttle(call.id, 2_500),
            Some(ERRORED) => return acts.error(call.id),
            Some(EVERY_ORDER) => {
                acts.load(1, call.function, 2);
                acts.unload(1, call.function);
                acts.probe(1);
            }
            _ => {}
        }
        acts.dispatch(call.id, 1, 0);
    }
    fn invocation_abandoned(&mut self, _: Ticks, _: InvocationId, _: &mut dyn Actions) {}
    fn attempt_ended(&mut self, _: Ticks, answer: AttemptResult, acts: &mut dyn Actions) {
        if !answer.invocation_finished && answer.outcome.never_ran() {
            acts.throttle(answer.invocation, 100);
        } else if !answer.invocation_finished {
            acts.error(answer.invocation);
        }
    }
    fn load_ended(&mut self, _: Ticks, _: LoadResult, _: &mut dyn Actions) {}
    fn timer_fired(&mut self, _: Ticks, _: u64, _: &mut dyn Actions) {}
}

fn address(name: &str) -> Address {
    Address::Memory(name.into())
}

fn seat(copy: PathBuf, going: ShutdownHandle) -> ControllerConfig {
    let following = FollowConfig {
        registry: address("registry"),
        key: "alice.secret".into(),
        follower_name: "controller 7".into(),
        copy_path: Some(copy),
    };
    ControllerConfig {
        controller: 7,
        incarnation: 0x0102_0304_0506,
        seed: 5,
        zone: 0,
        client_addresses: vec![address("clients")],
        endpoint_lists: vec![address("list")],
        terms: Rc::new(DeploymentSpec::load("terms.star", DEPLOYMENT).unwrap().0),
        aliases: Some(AliasConfig {
            registry: following,
            pin_duration: 60 * SECOND,
            epoch_ms: 1_700_000_000_000,
        }),
        shutdown: going,
        listens_when_ready: false,
    }
}

/// The changes of the registry up to its whole book, and those that follow one by one.
fn history() -> (Head, Vec<Entry>, Head) {
    let version = |digit: &str, memory_mb: u64, lanes: u32| {
        json!({"manifest": format!("sha256:{}", digit.repeat(64)), "bytes": 1_000_000 + memory_mb,
            "memory_mb": memory_mb, "lanes": lanes, "trigger_types": ["narrate", "other"]})
    };
    let push = |name: &str, version: Value| json!({"change": "push", "model": "chant", "name": name, "version": version});
    let stage = json!({"to": "v2", "per_mille": 999, "errors_per_mille": 50, "answers": 1_000});
    let until_whole = [
        json!({"change": "add-key", "id": "alice", "role": "owner", "hash": "ab".repeat(32)}),
        push("v1", version("1", 512, 2)),
        push("v2", version("2", 768, 3)),
        json!({"change": "move", "space": "all", "alias": "speech", "model": "chant", "version": "v1",
            "expect": 0, "stage": null}),
    ];
    let one_by_one = [
        json!({"change": "move", "space": "all", "alias": "speech", "model": "chant", "version": "v2",
            "expect": 4, "stage": stage}),
        push("v3", version("3", 1_024, 4)),
        json!({"change": "withdraw", "model": "chant", "name": "v3"}),
        json!({"change": "move", "space": {"tenant": "hill"}, "alias": "own", "model": "chant",
            "version": "v1", "expect": 0, "stage": null}),
    ];
    let decide = |head: &Head, change: &Value| {
        let change = serde_json::from_value(change.clone()).expect("a change");
        head.prepare_entry("alice", 1_700_000_000_000 + head.revision(), change)
            .expect("it is taken")
    };
    let whole = until_whole
        .iter()
        .fold(Head::default(), |head, change| decide(&head, change).1);
    let (mut last, mut entries) = (whole.clone(), Vec::new());
    for change in &one_by_one {
        let (entry, head) = decide(&last, change);
        entries.push(entry);
        last = head;
    }
    (whole, entries, last)
}

/// What the registry sends to a watcher, line by line.
fn registry_lines() -> String {
    let (head, entries, _) = history();
    let whole = WatchEvent::Snapshot {
        head,
        restored: None,
    };
    let next = entries.into_iter().map(|entry| WatchEvent::Next { entry });
    let mut lines = String::new();
    for told in std::iter::once(whole).chain(next) {
        let told = serde_json::to_string(&told).unwrap();
        writeln!(
            lines,
            r#"{{"jsonrpc":"2.0","method":"told","params":{told}}}"#
        )
        .unwrap();
    }
    lines
}

type Recorded = Rc<RefCell<String>>;

/// Serves one connection of the controller to the registry: records requests, answers each, feeds watchers.
async fn serve_registry(stream: Stream, told: Rc<str>, requests: Recorded) {
    let mut stream = BufReader::new(stream);
    let mut line = String::new();
    while stream.read_line(&mut line).await.unwrap_or(0) > 0 {
        let request: Value = serde_json::from_str(&line).unwrap();
        requests.borrow_mut().push_str(&line);
        line.clear();
        let reply = json!({"jsonrpc": "2.0", "id": request["id"], "result": {}});
        stream
            .get_mut()
            .write_all(format!("{reply}\n").as_bytes())
            .await
            .unwrap();
        if request["method"] == "watch" {
            stream.get_mut().write_all(told.as_bytes()).await.unwrap();
        }
    }
}

async fn start_registry(network: &MemoryNetwork, told: String) -> Recorded {
    let (requests, told) = (Recorded::default(), Rc::from(told));
    let (mut listener, _) = network.listen(&address("registry")).await.unwrap();
    let recorded = requests.clone();
    spawn_local(async move {
        loop {
            let stream = listener.accept().await.unwrap();
            spawn_local(serve_registry(stream, Rc::clone(&told), recorded.clone()));
        }
    });
    requests
}

/// The next frame of a peer: its kind, its body and its bytes in hex.
async fn next_frame(stream: &mut Stream, read: &mut BytesMut) -> (u8, Bytes, String) {
    loop {
        let before = read.clone();
        if let Some((kind, body)) = take_frame(read).unwrap() {
            let length = before.len() - read.len();
            return (kind, body, hex(&before[..length]));
        }
        assert_ne!(
            stream.read_buf(read).await.unwrap(),
            0,
            "the controller hung up"
        );
    }
}

/// Serves the list of one invoker; gives the frame that the controller asked with.
async fn start_list(listener: &mut Box<dyn Listener>) -> (Stream, String) {
    let (mut stream, mut read) = (listener.accept().await.unwrap(), BytesMut::new());
    let (_, _, follow) = next_frame(&mut stream, &mut read).await;
    let entry = list::Entry {
        invoker: 1,
        address: address("invoker").to_string(),
        zone: 0,
        kind: 0,
        cell: 0,
        life: list::Life::Ready,
        size: 4.0,
        incarnation: 1,
        age_tenths: 900_000,
        agent: None,
    };
    let whole = list::Whole {
        revision: 3,
        settled: true,
        entries: vec![entry],
    };
    stream.write_all(&encode(&whole)).await.unwrap();
    (stream, follow)
}

/// The peers of one controller, and what it has said to them.
struct Peers {
    client: BufReader<Stream>,
    invoker: Stream,
    invoker_read: BytesMut,
    to_invoker: String,
    to_list: String,
    /// Requests (`> text`) and replies (`< text`).
    with_client: String,
    _list: Stream,
}

impl Peers {
    async fn new(network: &MemoryNetwork) -> Self {
        let (mut lists, _) = network.listen(&address("list")).await.unwrap();
        let (mut invokers, _) = network.listen(&address("invoker")).await.unwrap();
        let (list, follow) = start_list(&mut lists).await;
        let mut peers = Self {
            invoker: invokers.accept().await.unwrap(),
            invoker_read: BytesMut::new(),
            client: BufReader::new(network.dial(&address("clients")).await.unwrap()),
            to_invoker: String::new(),
            to_list: format!("follow {follow}\n"),
            with_client: String::new(),
            _list: list,
        };
        let hello = peers.hear_frame("hello").await;
        assert!(matches!(hello, FromController::Hello(_)));
        let welcome = wire::Welcome {
            version: 1,
            invoker: 1,
            incarnation: 1,
            age_tenths: 900_000,
        };
        peers.say_frame(&welcome).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        peers
    }

    async fn say_frame(&mut self, message: &impl Message) {
        self.invoker.write_all(&encode(message)).await.unwrap();
    }

    async fn hear_frame(&mut self, name: &str) -> FromController {
        let (kind, body, text) = next_frame(&mut self.invoker, &mut self.invoker_read).await;
        writeln!(self.to_invoker, "{name} {text}").unwrap();
        FromController::read(kind, &body).unwrap()
    }

    async fn hear_dispatch(&mut self, name: &str) -> wire::Dispatch {
        match self.hear_frame(name).await {
            FromController::Dispatch(dispatch) => dispatch,
            other => panic!("{name}: {other:?}"),
        }
    }

    async fn answer(&mut self, dispatch: u64, ended: Ended) {
        let (found, crowd, load) = (None, None, wire::Load::default());
        let output = br#"{"sound":7}"#.to_vec().into();
        self.say_frame(&wire::Answer {
            dispatch,
            ended,
            found,
            crowd,
            load,
            output,
        })
        .await;
    }

    async fn say(&mut self, request: &str) {
        writeln!(self.with_client, "> {request}").unwrap();
        self.client
            .get_mut()
            .write_all(format!("{request}\n").as_bytes())
            .await
            .unwrap();
    }

    async fn hear(&mut self) -> Value {
        let mut line = String::new();
        self.client.read_line(&mut line).await.unwrap();
        write!(self.with_client, "< {line}").unwrap();
        serde_json::from_str(&line).unwrap()
    }

    async fn call(&mut self, method: &str, params: &str) -> Value {
        self.say(&request(method, params)).await;
        self.hear().await
    }

    /// Invokes, lets the invoker answer and gives what the client hears.
    async fn invoke(&mut self, name: &str, params: &str, ended: Ended) -> (wire::Dispatch, Value) {
        self.say(&request("invoke", params)).await;
        let dispatch = self.hear_dispatch(name).await;
        self.answer(dispatch.dispatch, ended).await;
        (dispatch, self.hear().await)
    }
}

fn request(method: &str, params: &str) -> String {
    format!(r#"{{"jsonrpc":"2.0","id":"one","method":"{method}","params":{params}}}"#)
}

/// Parameters of `invoke`, with some more members.
fn invoke(function: &str, more: &str) -> String {
    format!(r#"{{"function":"{function}","tenant":"hill","trigger":"narrate"{more}}}"#)
}

/// Runs a controller and plays its peers.
fn play<Played: Future<Output = ()>>(
    seat: ControllerConfig,
    peers: impl FnOnce(MemoryNetwork) -> Played,
) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build().unwrap();
    LocalSet::new().block_on(&runtime, async move {
        let (network, clock) = (MemoryNetwork::default(), Clock::start());
        let handed: Rc<dyn Network> = Rc::new(network.clone());
        spawn_local(async move { serve(seat, handed, clock, scripted).await.unwrap() });
        peers(network).await;
    });
}

/// A path of its own for a copy of names; nothing is there.
fn copy_path(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    if path.exists() {
        std::fs::remove_file(&path).expect("the copy of an earlier run is removable");
    }
    path
}

/// Has a controller hear the history and write its copy, and compares all with the fixtures.
fn check_written_copy() {
    check_fixture("from_registry.txt", &registry_lines());
    let path = copy_path("names_copy_written");
    play(
        seat(path.clone(), ShutdownHandle::default()),
        |network| async move {
            let requests = start_registry(&network, registry_lines()).await;
            let mut peers = Peers::new(&network).await;
            let status = peers.call("status", "{}").await;
            assert_eq!(status["result"]["names"]["revision"], 8, "{status}");

            let new = invoke("speech", r#","passage":"walk-1""#);
            let old = invoke("speech", "");
            let ends = [
                (&new, "chant@v2", Ended::Succeeded, 1),
                (&new, "chant@v2", Ended::Errored, 2),
                (&old, "chant@v1", Ended::Succeeded, 3),
                (&old, "chant@v1", Ended::Errored, 4),
            ];
            for (params, version, ended, times) in ends {
                for _ in 0..times {
                    let (dispatch, _) = peers.invoke("staged", params, ended).await;
                    assert_eq!(dispatch.name, version);
                }
            }
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            check_fixture("to_registry.txt", &requests.borrow());
        },
    );
    check_fixture("names_copy.txt", &std::fs::read_to_string(&path).unwrap());
    let (_, _, last) = history();
    let kept = LocalCopy::read(&fixture_path("names_copy.txt"))
        .unwrap()
        .expect("a head");
    assert_eq!(kept, last);
}

/// Has a controller start from the stored copy, with no registry there.
fn check_read_copy() {
    let path = copy_path("names_copy_read");
    let stored = std::fs::read(fixture_path("names_copy.txt")).expect("the fixture");
    std::fs::write(&path, &stored).unwrap();
    play(
        seat(path.clone(), ShutdownHandle::default()),
        |network| async move {
            let mut peers = Peers::new(&network).await;
            let status = peers.call("status", "{}").await;
            assert_eq!(status["result"]["names"]["revision"], 8, "{status}");
            let (dispatch, reply) = peers
                .invoke("own", &invoke("own", ""), Ended::Succeeded)
                .await;
            assert_eq!(dispatch.name, "chant@v1");
            assert_eq!(reply["result"]["version"], "chant@v1");
        },
    );
    assert_eq!(
        std::fs::read(&path).unwrap(),
        stored,
        "reading does not change it"
    );
}

/// One test, as the second half needs what the first writes when fixtures are written.
#[test]
fn the_copy_of_names_is_written_as_stored_and_read_from_the_stored_one() {
    check_written_copy();
    check_read_copy();
}

/// Invocations that reach the invoker, with all optional parameters and with none.
async fn play_dispatches(peers: &mut Peers) {
    let all =
        r#","input":{"text":[1, 2.50]},"time_left_ms":2000,"work_hint_ms":7.5,"token":"token-9""#;
    peers
        .invoke("dispatch_all", &invoke("voice", all), Ended::Succeeded)
        .await;
    peers
        .invoke("dispatch_least", &invoke("voice", ""), Ended::Errored)
        .await;
    peers
        .invoke("dispatch_full", &invoke("voice", ""), Ended::Full)
        .await;
    peers
        .invoke("dispatch_miss", &invoke("voice", ""), Ended::Miss)
        .await;
    let (_, reply) = peers
        .invoke(
            "dispatch_alias",
            &invoke("speech", r#","passage":"walk-1""#),
            Ended::Succeeded,
        )
        .await;
    let until = reply["result"]["passage_until_ms"].clone();
    let again = format!(r#","passage":"walk-1","version":"chant@v2","passage_until_ms":{until}"#);
    peers
        .invoke(
            "dispatch_passage",
            &invoke("speech", &again),
            Ended::Succeeded,
        )
        .await;
    peers
        .invoke("dispatch_version", &invoke("chant@v1", ""), Ended::Full)
        .await;
}

/// Every order, each as a frame before the dispatch itself.
async fn play_orders(peers: &mut Peers) {
    peers
        .say(&request("invoke", &invoke("voice", r#","work_hint_ms":3"#)))
        .await;
    let FromController::Hold(hold) = peers.hear_frame("hold").await else {
        panic!("a hold")
    };
    assert!(matches!(
        peers.hear_frame("unload").await,
        FromController::Unload(_)
    ));
    assert!(matches!(
        peers.hear_frame("probe").await,
        FromController::Probe(_)
    ));
    let dispatch = peers.hear_dispatch("dispatch_after_orders").await;
    let (order, ended) = (hold.order, wire::HoldEnded::Standing);
    peers
        .say_frame(&wire::Held {
            order,
            ended,
            standing: 2,
        })
        .await;
    peers.answer(dispatch.dispatch, Ended::Succeeded).await;
    peers.hear().await;
}

/// Calls that are answered without an invoker.
async fn play_refusals(peers: &mut Peers) {
    peers
        .call("invoke", &invoke("voice", r#","work_hint_ms":1"#))
        .await;
    peers
        .call("invoke", &invoke("voice", r#","work_hint_ms":2"#))
        .await;
    peers.call("other", "{}").await;
    peers
        .call("invoke", &invoke("voice", r#","surplus":1"#))
        .await;
    peers
        .call("invoke", &invoke("voice", r#","time_left_ms":0"#))
        .await;
    peers.call("invoke", &invoke("unknown", "")).await;
    peers
        .call("invoke", &invoke("voice", "").replace("hill", "dale"))
        .await;
    peers
        .call("invoke", &invoke("voice", "").replace("narrate", "sing"))
        .await;
    peers.call("invoke", &invoke("chant@v3", "")).await;
    peers
        .call("invoke", &invoke("speech", r#","version":"other@v1""#))
        .await;
    let over = r#","version":"chant@v1","passage_until_ms":1"#;
    peers.call("invoke", &invoke("speech", over)).await;
    peers
        .call("invoke", &invoke("speech", r#","passage":"""#))
        .await;
    peers
        .say(r#"[{"jsonrpc":"2.0","id":1,"method":"other"},{"jsonrpc":"2.0","id":2}]"#)
        .await;
    peers.hear().await;
}

#[test]
fn what_clients_invokers_and_the_list_are_told_keeps_its_bytes() {
    let going = ShutdownHandle::default();
    let path = copy_path("names_copy_unused");
    play(seat(path, going.clone()), |network| async move {
        let _requests = start_registry(&network, registry_lines()).await;
        let mut peers = Peers::new(&network).await;
        peers.call("status", "{}").await;
        play_dispatches(&mut peers).await;
        play_orders(&mut peers).await;
        play_refusals(&mut peers).await;
        peers.call("status", "{}").await;

        going.set_phase(ShutdownPhase::Redirecting);
        assert_eq!(peers.hear().await["method"], "going");
        going.set_phase(ShutdownPhase::Rejecting);
        peers.call("invoke", &invoke("voice", "")).await;
        going.set_phase(ShutdownPhase::Serving);

        // The client hangs up: its dispatch is cancelled.
        peers.say(&request("invoke", &invoke("voice", ""))).await;
        peers.hear_dispatch("dispatch_left").await;
        peers.client = BufReader::new(network.dial(&address("clients")).await.unwrap());
        assert!(matches!(
            peers.hear_frame("cancel").await,
            FromController::Cancel(_)
        ));

        check_fixture("to_list.txt", &peers.to_list);
        check_fixture("to_invoker.txt", &peers.to_invoker);
        check_fixture("with_client.txt", &peers.with_client);
    });
}
