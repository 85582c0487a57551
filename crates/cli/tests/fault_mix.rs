//! `saltdrum node` as a process under many simultaneous faults: system calls fail, the wall clock is stepped, the process is
//! stopped and runs in short slices, invokers lose instances, reset connections, hang and drain, and clients abandon requests.
//! The rules have to hold.
//!
//! `FAULT_MIX_SEEDS=7..19` selects the seeds.

#![expect(clippy::disallowed_methods, reason = "processes run in real time")]

mod node_day;
mod node_peers;
mod preloaded;

use node_day::Peers;
use node_day::client::Clients;
use node_day::feed::CONNECTION_LIFETIME_MS;
use node_day::invoker::{Behavior, Status};
use node_day::record::{Code, Record};
use node_day::send_trace;
use node_peers::{ProcessGuard, connect, free_address, node_command};
use rustix::process::Signal;
use std::path::Path;
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const RUN_DURATION: Duration = Duration::from_secs(12);
const INVOKERS: usize = 5;
const CLIENTS: usize = 24;
const CLIENT_TIMEOUT_MS: u64 = 4_000;
/// Clients continue for this time after SIGTERM. The process is killed after the longest client timeout and 0.7 s more.
const REQUESTS_AFTER_SIGTERM: Duration = Duration::from_millis(200);
const KILL_AFTER_SIGTERM: Duration = Duration::from_millis(4_700);

fn random_ms(rng: &mut fastrand::Rng, from: u64, to: u64) -> Duration {
    Duration::from_millis(rng.u64(from..to))
}

/// Stops the process repeatedly, and runs it in short slices after some of the stops.
fn stop_repeatedly(
    running: &ProcessGuard,
    until: Instant,
    rng: &mut fastrand::Rng,
    record: &Mutex<Record>,
) {
    /// Time after a stop until the process has caught up.
    const MARGIN: Duration = Duration::from_millis(300);
    while Instant::now() < until {
        sleep(random_ms(rng, 200, 2_500));
        let began = Instant::now();
        running.signal(Signal::STOP);
        sleep(if rng.bool() {
            random_ms(rng, 20, 400)
        } else {
            random_ms(rng, 400, 4_000)
        });
        for _ in 0..if rng.bool() { rng.u32(1..20) } else { 0 } {
            running.signal(Signal::CONT);
            sleep(Duration::from_millis(1));
            running.signal(Signal::STOP);
            sleep(random_ms(rng, 5, 80));
        }
        running.signal(Signal::CONT);
        record
            .lock()
            .unwrap()
            .stops
            .push((began, Instant::now() + MARGIN));
        if rng.u32(..4) == 0 {
            running.signal(Signal::HUP);
        }
    }
}

/// Reports in the feed that one invoker after another drains, all but two. The invokers keep serving.
fn report_drains(peers: &Peers, seed: u64, is_ending: &AtomicBool) {
    let mut rng = fastrand::Rng::with_seed(seed);
    for invoker in 0..INVOKERS - 2 {
        sleep(random_ms(&mut rng, 500, 4_000));
        if is_ending.load(Ordering::Relaxed) {
            return;
        }
        peers.report(invoker, Status::Draining);
    }
}

/// Runs one seed and returns the record.
fn run_seed(seed: u64, library: &Path) -> Record {
    let mut rng = fastrand::Rng::with_seed(seed);
    let folder = tempfile::tempdir().unwrap();
    let is_ending = Arc::<AtomicBool>::default();
    let feed_lifetime_ms = Some(CONNECTION_LIFETIME_MS);
    let peers = Peers::start(INVOKERS, Behavior::Faulty, feed_lifetime_ms, &mut rng);
    let peers = Arc::new(peers);
    let listen = free_address();
    let config = peers.write_configuration(folder.path(), &listen, CLIENT_TIMEOUT_MS as f64);
    let mut node = node_command(&config);
    let failure_interval = *rng.choice(&[3, 7, 20, 100]).unwrap();
    let hour = 3_600_000i64;
    let step = |rng: &mut fastrand::Rng| *rng.choice(&[0, hour, -hour, 4_000, -4_000]).unwrap();
    let steps: Vec<_> = (1..10)
        .map(|n| format!("{}:{}", n * 1_300, step(&mut rng)))
        .collect();
    let trace = folder.path().join("stopped-before-sending");
    node.env("LD_PRELOAD", library)
        .env("FAULTS_TRACE", &trace)
        .env("FAULTS_EVERY", failure_interval.to_string())
        .env("FAULTS_STEPS", steps.join(","));
    if let Ok(level) = std::env::var("FAULT_MIX_LOG") {
        let log = std::fs::File::create(format!("{level}-{seed}.log")).unwrap();
        node.env("SALTDRUM_LOG", "debug").stderr(log);
    }
    let mut running = ProcessGuard(node.stdout(Stdio::null()).spawn().unwrap());
    drop(connect(&listen));
    let clients = Clients {
        listen,
        next_id: Arc::default(),
        record: peers.record.clone(),
        is_ending: is_ending.clone(),
        limit_ms: 300..CLIENT_TIMEOUT_MS,
        pause_ms: 0..60,
        may_leave: true,
        keeps_connections: false,
    };
    let mut threads = Vec::new();
    for _ in 0..CLIENTS {
        let (clients, seed) = (clients.clone(), rng.u64(..));
        threads.push(spawn(move || clients.run_client(seed)));
    }
    let (drain_seed, drain_ending, drain_peers) = (rng.u64(..), is_ending.clone(), peers.clone());
    threads.push(spawn(move || {
        report_drains(&drain_peers, drain_seed, &drain_ending)
    }));
    stop_repeatedly(
        &running,
        Instant::now() + RUN_DURATION,
        &mut rng,
        &peers.record,
    );
    running.signal(Signal::TERM);
    let signalled_at = Instant::now();
    sleep(REQUESTS_AFTER_SIGTERM);
    is_ending.store(true, Ordering::Relaxed);
    threads
        .into_iter()
        .for_each(|thread| thread.join().unwrap());
    while running.0.try_wait().unwrap().is_none() && signalled_at.elapsed() < KILL_AFTER_SIGTERM {
        sleep(Duration::from_millis(10));
    }
    let exit_code = running
        .0
        .try_wait()
        .unwrap()
        .and_then(|status| status.code());
    assert_eq!(exit_code, Some(0), "seed {seed}: did not exit by itself");
    let mut record = std::mem::take(&mut *peers.record.lock().unwrap());
    record.stopped_sends = send_trace::read(&trace);
    record
}

fn seeds() -> std::ops::Range<u64> {
    let text = std::env::var("FAULT_MIX_SEEDS").unwrap_or_else(|_| "1..5".into());
    let (from, to) = text.split_once("..").expect("FAULT_MIX_SEEDS=from..to");
    from.parse().unwrap()..to.parse().unwrap()
}

#[test]
fn rules_hold_under_many_simultaneous_faults() {
    let folder = tempfile::tempdir().unwrap();
    let library = preloaded::build_library(folder.path());
    let runs: Vec<_> = seeds()
        .map(|seed| {
            let library = library.clone();
            (seed, spawn(move || run_seed(seed, &library)))
        })
        .collect();
    // All runs end before any is checked: a stopped process would outlive the test.
    let records: Vec<_> = runs
        .into_iter()
        .map(|(seed, run)| (seed, run.join()))
        .collect();
    let mut violations = Vec::new();
    for (seed, record) in records {
        let record = record.unwrap_or_else(|_| panic!("seed {seed}: the run panicked"));
        let served = record
            .requests
            .values()
            .flat_map(|r| &r.answers)
            .filter(|a| a.1 == Code::Served)
            .count();
        eprintln!(
            "seed {seed}: {} requests, {served} served, {} attempts, {} orders, stops before sending {:?}",
            record.requests.len(),
            record.attempts.len(),
            record.orders.len(),
            record.stopped_sends,
        );
        assert!(served > 100, "seed {seed}: only {served} requests served");
        violations.extend(
            record
                .violations()
                .into_iter()
                .map(|violation| format!("seed {seed}: {violation}")),
        );
    }
    assert!(
        violations.is_empty(),
        "{} violations:\n{}",
        violations.len(),
        violations.join("\n")
    );
}
