//! Invokers drain while the endpoint list is unreachable.
//!
//! Guards against new work at invokers whose drain the controllers cannot see. On fleets of 50 and of 3 controllers, busy
//! invokers began to drain just after discovery became unreachable for every controller, and stayed up. From 7.3 s after the
//! drain, past the time at which it counts as reported and the grace, they still received new work, which they rejected: 649
//! attempts and 193 load orders.
//!
//! The last complete frame of the feed came 0.7 s after the drain and did not contain it. Controllers logged the loss of the
//! feed 1.6 s later, with `last=1` in each line and 5 s before the first violation. They reconnected every 1.2 to 1.6 s, and
//! received nothing. They trusted the last list for any length of time: its age was not bounded, and they did not query the
//! invokers themselves. The cases below reproduce this on real processes for each way of losing the feed. See
//! `docs/incidents/agap-drains-while-the-list-is-out-of-reach.md`.

#![expect(clippy::disallowed_methods, reason = "processes run in real time")]

mod node_day;
mod node_peers;

use node_day::Peers;
use node_day::client::Clients;
use node_day::feed::{Feed, Reachability};
use node_day::invoker::{Behavior, Status};
use node_day::record::Record;
use node_peers::{ProcessGuard, connect, free_address, node_command};
use rustix::process::Signal;
use std::path::Path;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

const INVOKERS: usize = 6;
/// Invokers that drain or disappear.
const LEAVING: [usize; 2] = [1, 4];
const CLIENTS: usize = 12;
const CLIENT_TIMEOUT_MS: u64 = 3_000;
const WARM_UP: Duration = Duration::from_millis(1_500);
/// Time for a change to take effect.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// Exceeds the longest time after which the list counts as reported plus the grace, with a wide margin.
const OUTAGE: Duration = Duration::from_secs(8);
/// How long the feed is reachable again.
const RECOVERY: Duration = Duration::from_secs(2);
/// Minimum share of the requests served in time during the outage.
const SERVED_SHARE: f64 = 0.97;

/// What happens to the controller and its peers during the outage.
#[derive(Clone, Copy, Debug)]
enum Case {
    /// Invokers drain just after the start of the outage.
    DrainsSoon,
    /// Invokers drain once all earlier events of the lost list count as reported.
    DrainsLate,
    /// Invokers disappear without a drain.
    Ends,
    /// The controller is killed and restarts with the list of that time; then invokers drain.
    Restart,
    /// A new configuration moves the feed to a silent address; then invokers drain.
    Moved,
}

/// A running controller with its peers and clients.
struct Run {
    peers: Arc<Peers>,
    folder: tempfile::TempDir,
    listen: String,
    is_ending: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Run {
    fn start(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let peers = Peers::start(INVOKERS, Behavior::Sound, None, &mut rng);
        Self {
            peers: Arc::new(peers),
            folder: tempfile::tempdir().unwrap(),
            listen: free_address(),
            is_ending: Arc::default(),
            clients: Vec::new(),
        }
    }

    /// Starts the controller with the present list.
    fn start_controller(&self) -> ProcessGuard {
        let client_timeout_ms = CLIENT_TIMEOUT_MS as f64;
        let folder = self.folder.path();
        let config = self
            .peers
            .write_configuration(folder, &self.listen, client_timeout_ms);
        let running = ProcessGuard(node_command(&config).stdout(Stdio::null()).spawn().unwrap());
        drop(connect(&self.listen));
        running
    }

    fn start_clients(&mut self) {
        let clients = Clients {
            listen: self.listen.clone(),
            next_id: Arc::default(),
            record: self.peers.record.clone(),
            is_ending: self.is_ending.clone(),
            limit_ms: 1_500..CLIENT_TIMEOUT_MS,
            pause_ms: 0..60,
            may_leave: false,
            keeps_connections: false,
        };
        for seed in 0..CLIENTS as u64 {
            let clients = clients.clone();
            self.clients.push(spawn(move || clients.run_client(seed)));
        }
    }

    /// Changes the status of the leaving invokers.
    fn leave(&self, status: Status) {
        for invoker in LEAVING {
            self.peers.change(invoker, status);
        }
    }

    /// Ends the clients and returns the record.
    fn take_record(self) -> Record {
        self.is_ending.store(true, Ordering::Relaxed);
        for client in self.clients {
            client.join().unwrap();
        }
        std::mem::take(&mut self.peers.record.lock().unwrap())
    }
}

/// Moves the feed, by a new configuration, to an address that accepts connections and sends nothing.
fn move_feed(run: &Run, running: &ProcessGuard, folder: &Path) {
    let silent = Feed::start(None, 1, run.peers.record.clone());
    silent.set_reachability(Reachability::Silent);
    let mut settings = run.peers.settings(&run.listen, CLIENT_TIMEOUT_MS as f64);
    settings["feed"] = serde_json::json!(silent.address);
    node_peers::write(folder, &settings.to_string());
    running.signal(Signal::HUP);
}

/// Runs one case. Returns the record, and the numbers of requests during the outage and of those served in time.
fn run_case(case: Case, reach: Reachability, seed: u64) -> (Record, (usize, usize)) {
    let mut run = Run::start(seed);
    let mut running = run.start_controller();
    run.start_clients();
    sleep(WARM_UP);
    let began = Instant::now();
    run.peers.feed.set_reachability(reach);
    sleep(SETTLE_TIME);
    match case {
        Case::DrainsSoon => run.leave(Status::Draining),
        Case::DrainsLate => {
            sleep(OUTAGE / 2);
            run.leave(Status::Draining);
        }
        Case::Ends => run.leave(Status::Gone),
        Case::Restart => {
            sleep(OUTAGE / 2);
            running.0.kill().unwrap();
            running.0.wait().unwrap();
            run.peers.record.lock().unwrap().kills.push(Instant::now());
            running = run.start_controller();
            sleep(SETTLE_TIME);
            run.leave(Status::Draining);
        }
        Case::Moved => {
            move_feed(&run, &running, run.folder.path());
            run.leave(Status::Draining);
        }
    }
    sleep((began + OUTAGE).saturating_duration_since(Instant::now()));
    let ended = Instant::now();
    run.peers.feed.set_reachability(Reachability::Reachable);
    sleep(RECOVERY);
    let record = run.take_record();
    let served = record.served_within(began, ended);
    drop(running);
    (record, served)
}

const CASES: [(Case, Reachability); 8] = [
    (Case::DrainsSoon, Reachability::Silent),
    (Case::DrainsSoon, Reachability::Drips),
    (Case::DrainsSoon, Reachability::Closes),
    (Case::DrainsLate, Reachability::Silent),
    (Case::DrainsLate, Reachability::Closes),
    (Case::Ends, Reachability::Silent),
    (Case::Restart, Reachability::Closes),
    (Case::Moved, Reachability::Silent),
];

#[test]
fn sends_no_new_work_to_invokers_that_drain_during_a_list_outage() {
    let runs = CASES.map(|(case, reach)| (case, reach, spawn(move || run_case(case, reach, 7))));
    let mut failures = Vec::new();
    for (case, reach, thread) in runs {
        let (record, (requests, served)) = thread.join().unwrap();
        let violations = record.violations();
        eprintln!(
            "{case:?} {reach:?}: {served} of {requests} served, {} attempts, {} orders, {} violations",
            record.attempts.len(),
            record.orders.len(),
            violations.len()
        );
        assert!(requests > 500, "{case:?} {reach:?}: {requests} requests");
        let examples = violations.iter().take(3);
        failures.extend(examples.map(|text| format!("{case:?} {reach:?}: {text}")));
        if (served as f64) < SERVED_SHARE * requests as f64 {
            failures.push(format!("{case:?} {reach:?}: {served} of {requests} served"));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
