//! Random scenarios for `saltdrum node` as a process: the feed becomes unreachable in several ways, invokers drain, disappear
//! and return, the process is stopped and signalled repeatedly, many idle clients connect, and clients keep using their
//! connections until the kill, which comes as early as the platform allows. The rules have to hold.
//!
//! `SOAK_SEEDS=1..61 cargo test -p saltdrum-cli --test soak` selects the seeds. `SOAK_LOG=FOLDER` keeps the logs.

#![expect(clippy::disallowed_methods, reason = "processes run in real time")]

mod node_day;
mod node_peers;
mod preloaded;

use node_day::Peers;
use node_day::client::Clients;
use node_day::feed::{Feed, Reachability};
use node_day::invoker::{Behavior, Status};
use node_day::record::Record;
use node_day::send_trace;
use node_peers::{ProcessGuard, connect, free_address, node_command, soak_seeds};
use rustix::process::Signal;
use std::net::TcpStream;
use std::path::Path;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

/// Scenarios that run concurrently.
const CONCURRENT_SCENARIOS: usize = 8;
const CLIENTS: usize = 12;
const WARM_UP: Duration = Duration::from_millis(800);
const STEP_COUNT: std::ops::Range<usize> = 6..14;
/// The platform kills no sooner than the longest client timeout, capped at this, plus the margin.
const CLIENT_TIMEOUT_CAP_MS: u64 = 3_000;
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// A client sends a request again if it was sent less than this before its connection was closed.
const CLOSE_CROSSING: Duration = Duration::from_millis(50);
/// Time after a stop until the process has caught up.
const STOP_MARGIN: Duration = Duration::from_millis(300);

/// A step of a scenario.
#[derive(Clone, Copy, Debug)]
enum Step {
    LoseFeed(Reachability),
    RestoreFeed,
    ChangeStatus(usize, Status),
    Stop(Duration),
    RunInSlices(u32),
    Signal(u32),
    Wait(Duration),
}

/// Fixed parameters of a scenario.
struct Scenario {
    invokers: usize,
    behavior: Behavior,
    client_timeout_ms: u64,
    idle_clients: usize,
}

fn random_ms(rng: &mut fastrand::Rng, from: u64, to: u64) -> Duration {
    Duration::from_millis(rng.u64(from..to))
}

fn draw_scenario(rng: &mut fastrand::Rng) -> Scenario {
    Scenario {
        invokers: rng.usize(3..9),
        behavior: *rng.choice(&[Behavior::Sound, Behavior::Faulty]).unwrap(),
        client_timeout_ms: *rng.choice(&[800, 1_500, 3_000, 4_500]).unwrap(),
        idle_clients: *rng.choice(&[0, 0, 0, 120, 400]).unwrap(),
    }
}

fn draw_step(rng: &mut fastrand::Rng, invokers: usize) -> Step {
    // The first invoker stays ready, as a scenario without any invoker tests little.
    let other = rng.usize(1..invokers);
    match rng.u32(..20) {
        0..3 => Step::LoseFeed(Reachability::Silent),
        3 => Step::LoseFeed(Reachability::Drips),
        4..6 => Step::LoseFeed(Reachability::Closes),
        6..8 => Step::RestoreFeed,
        8..11 => Step::ChangeStatus(other, Status::Draining),
        11 => Step::ChangeStatus(other, Status::Gone),
        12..14 => Step::ChangeStatus(other, Status::Ready),
        14 => Step::Stop(random_ms(rng, 30, 2_500)),
        15 => Step::RunInSlices(rng.u32(3..25)),
        16 => Step::Signal(rng.u32(1..5)),
        _ => Step::Wait(random_ms(rng, 300, 2_500)),
    }
}

/// Stops the process during `pause`, and records the stop.
fn stop(running: &ProcessGuard, peers: &Peers, pause: impl FnOnce()) {
    let began = Instant::now();
    running.signal(Signal::STOP);
    pause();
    running.signal(Signal::CONT);
    let span = (began, Instant::now() + STOP_MARGIN);
    peers.record.lock().unwrap().stops.push(span);
}

/// Executes a step, and waits a short random time.
fn execute(step: Step, running: &ProcessGuard, peers: &Peers, rng: &mut fastrand::Rng) {
    match step {
        Step::LoseFeed(reach) => {
            Feed::wait_for_delivery();
            peers.feed.set_reachability(reach);
        }
        Step::RestoreFeed => peers.feed.set_reachability(Reachability::Reachable),
        Step::ChangeStatus(invoker, status) => peers.change(invoker, status),
        Step::Stop(pause) => stop(running, peers, || sleep(pause)),
        Step::RunInSlices(slices) => stop(running, peers, || {
            for _ in 0..slices {
                running.signal(Signal::CONT);
                sleep(Duration::from_millis(1));
                running.signal(Signal::STOP);
                sleep(random_ms(rng, 5, 80));
            }
        }),
        Step::Signal(signals) => {
            for _ in 0..signals {
                running.signal(Signal::HUP);
                sleep(random_ms(rng, 0, 30));
            }
        }
        Step::Wait(pause) => sleep(pause),
    }
    sleep(random_ms(rng, 0, 600));
}

fn start_clients(
    scenario: &Scenario,
    listen: &str,
    peers: &Peers,
    is_ending: &Arc<AtomicBool>,
    rng: &mut fastrand::Rng,
) -> Vec<JoinHandle<()>> {
    let clients = Clients {
        listen: listen.to_owned(),
        next_id: Arc::default(),
        record: peers.record.clone(),
        is_ending: is_ending.clone(),
        limit_ms: scenario.client_timeout_ms / 2..scenario.client_timeout_ms,
        pause_ms: 0..60,
        may_leave: true,
        keeps_connections: true,
    };
    let start = |_| {
        let (clients, seed) = (clients.clone(), rng.u64(..));
        spawn(move || clients.run_client(seed))
    };
    (0..CLIENTS).map(start).collect()
}

/// Ends the process as the platform does: repeated signals, then the earliest kill. Returns the exit code if the process
/// exited by itself.
fn end_process(
    scenario: &Scenario,
    running: &mut ProcessGuard,
    rng: &mut fastrand::Rng,
) -> Option<i32> {
    let timeout_ms = scenario.client_timeout_ms.min(CLIENT_TIMEOUT_CAP_MS);
    let kill_after = Duration::from_millis(timeout_ms) + KILL_MARGIN;
    let signalled_at = Instant::now();
    running.signal(Signal::TERM);
    for _ in 0..rng.u32(0..4) {
        sleep(random_ms(rng, 1, 150));
        running.signal(*rng.choice(&[Signal::TERM, Signal::HUP]).unwrap());
    }
    while running.0.try_wait().unwrap().is_none() && signalled_at.elapsed() < kill_after {
        sleep(Duration::from_millis(2));
    }
    let exit_status = running.0.try_wait().unwrap();
    let _ = running.0.kill();
    exit_status.map(|status| status.code().unwrap_or(-1))
}

/// Runs one scenario. Returns the record, and the exit code if the process exited by itself.
fn run_scenario(seed: u64, library: &Path) -> (Record, Option<i32>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let scenario = draw_scenario(&mut rng);
    let peers = Peers::start(scenario.invokers, scenario.behavior, None, &mut rng);
    let (folder, listen) = (tempfile::tempdir().unwrap(), free_address());
    let client_timeout_ms = scenario.client_timeout_ms as f64;
    let config = peers.write_configuration(folder.path(), &listen, client_timeout_ms);
    let mut node = node_command(&config);
    let trace = folder.path().join("stopped-before-sending");
    node.stdout(Stdio::null()).stderr(Stdio::null());
    node.env("LD_PRELOAD", library).env("FAULTS_TRACE", &trace);
    if let Ok(folder) = std::env::var("SOAK_LOG") {
        let log = std::fs::File::create(format!("{folder}/{seed}.log")).unwrap();
        node.env("SALTDRUM_LOG", "debug").stderr(log);
    }
    let mut running = ProcessGuard(node.spawn().unwrap());
    drop(connect(&listen));
    let is_ending = Arc::<AtomicBool>::default();
    let clients = start_clients(&scenario, &listen, &peers, &is_ending, &mut rng);
    sleep(WARM_UP);
    let connect = |_| TcpStream::connect(&listen);
    let idle_connections: Vec<_> = (0..scenario.idle_clients).map(connect).collect();
    for _ in 0..rng.usize(STEP_COUNT) {
        let step = draw_step(&mut rng, scenario.invokers);
        execute(step, &running, &peers, &mut rng);
    }
    let code = end_process(&scenario, &mut running, &mut rng);
    is_ending.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().unwrap();
    }
    drop(idle_connections);
    let mut record = std::mem::take(&mut *peers.record.lock().unwrap());
    record.close_crossing = CLOSE_CROSSING;
    record.stopped_sends = send_trace::read(&trace);
    (record, code)
}

#[test]
fn rules_hold_in_random_scenarios() {
    let folder = tempfile::tempdir().unwrap();
    let library = preloaded::build_library(folder.path());
    let mut failures = Vec::new();
    for seeds in soak_seeds("1..17").chunks(CONCURRENT_SCENARIOS) {
        let scenarios: Vec<_> = seeds
            .iter()
            .map(|seed| {
                (
                    *seed,
                    spawn({
                        let (seed, library) = (*seed, library.clone());
                        move || run_scenario(seed, &library)
                    }),
                )
            })
            .collect();
        // All scenarios end before any is checked: a stopped process would outlive the test.
        let scenarios: Vec<_> = scenarios
            .into_iter()
            .map(|(seed, scenario)| (seed, scenario.join()))
            .collect();
        for (seed, scenario) in scenarios {
            let (record, code) =
                scenario.unwrap_or_else(|_| panic!("seed {seed}: the scenario panicked"));
            let violations = record.violations();
            eprintln!(
                "seed {seed}: {} requests, {} attempts, {} orders, {} spans, ended {code:?}, {} violations, stops before sending {:?}",
                record.requests.len(),
                record.attempts.len(),
                record.orders.len(),
                record.not_ready.len(),
                violations.len(),
                record.stopped_sends
            );
            if code.is_some_and(|code| code != 0) {
                failures.push(format!("seed {seed}: ended with {code:?}"));
            }
            failures.extend(
                violations
                    .iter()
                    .take(4)
                    .map(|text| format!("seed {seed}: {text}")),
            );
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
