//! Invokers drain while the endpoint list is out of reach.
//!
//! What users saw: on a fleet of 50 controllers, and on one of 3, busy invokers began to drain just after discovery had gone out
//! of reach for every controller, and stayed up. From 7.3 s after the drain on, past the time at which the list counts as told
//! and the grace, controllers went on sending them new work: 649 attempts and 193 load orders in all. Each was turned away.
//!
//! Order of events: the last complete frame of the feed came 0.7 s after the drain and did not have it; 1.6 s later each
//! controller logged that the feed was lost and that the last list stands; it asked again every 1.2 to 1.6 s, was connected, and
//! heard nothing; new work reached the draining invokers until they were gone.
//!
//! Cause: the list was trusted for any length of time once its feed was lost. Nothing bounded its age, and nobody asked the
//! invokers themselves.
//!
//! Evidence: `last=1` in every line of the lost feed, so that the drain was never read; the first such line 5 s before the first
//! break, so that the loss was known; and these plays, on real processes, in which the first new work past the grace comes
//! however the feed is lost. `docs/incidents/agap-drains-while-the-list-is-out-of-reach.md`.

#![expect(
    clippy::disallowed_methods,
    reason = "processes run in this machine's time"
)]

mod node_day;
mod node_peers;

use node_day::Peers;
use node_day::client::Clients;
use node_day::feed::{Feed, Reach};
use node_day::invoker::{Conduct, Status};
use node_day::record::Record;
use node_peers::{Running, dial, free_address, saltdrum};
use rustix::process::Signal;
use std::path::Path;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

const INVOKERS: usize = 6;
/// Invokers that drain, or are gone.
const LEAVING: [usize; 2] = [1, 4];
const CLIENTS: usize = 12;
const CLIENT_TIMEOUT_MS: u64 = 3_000;
const WARM_UP: Duration = Duration::from_millis(1_500);
const SHORTLY: Duration = Duration::from_millis(200);
/// Past the longest time after which the list counts as told, the grace, and a good while more.
const OUT_OF_REACH: Duration = Duration::from_secs(8);
const BACK: Duration = Duration::from_secs(2);
/// Share of the requests that is served in time while the list is out of reach.
const SERVED_SHARE: f64 = 0.97;

/// What happens to the controller and its peers while the list is out of reach.
#[derive(Clone, Copy, Debug)]
enum Case {
    /// Invokers drain just after the outage began.
    DrainsSoon,
    /// They drain once all that the list had to tell when it was lost counts as told.
    DrainsLate,
    /// They are gone without a drain.
    Ends,
    /// The controller is killed and starts again with the list of that moment; then they drain.
    Restart,
    /// A new configuration moves the feed to where nothing is told.
    Moved,
}

/// A controller with its peers and clients, under way.
struct Play {
    peers: Arc<Peers>,
    folder: tempfile::TempDir,
    listen: String,
    ended: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Play {
    fn start(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let peers = Peers::start(INVOKERS, Conduct::Sound, None, &mut rng);
        Self {
            peers: Arc::new(peers),
            folder: tempfile::tempdir().unwrap(),
            listen: free_address(),
            ended: Arc::default(),
            clients: Vec::new(),
        }
    }

    /// Starts the controller with the list as it is now.
    fn run(&self) -> Running {
        let longest_ms = CLIENT_TIMEOUT_MS as f64;
        let folder = self.folder.path();
        let config = self
            .peers
            .write_configuration(folder, &self.listen, longest_ms);
        let running = Running(saltdrum(&config).stdout(Stdio::null()).spawn().unwrap());
        drop(dial(&self.listen));
        running
    }

    fn start_clients(&mut self) {
        let clients = Clients {
            listen: self.listen.clone(),
            next_id: Arc::default(),
            seen: self.peers.seen.clone(),
            ended: self.ended.clone(),
            limit_ms: 1_500..CLIENT_TIMEOUT_MS,
            pause_ms: 0..60,
            may_leave: false,
            keeps_connections: false,
        };
        for seed in 0..CLIENTS as u64 {
            let clients = clients.clone();
            self.clients.push(spawn(move || clients.run_one(seed)));
        }
    }

    fn leave(&self, status: Status) {
        for invoker in LEAVING {
            self.peers.change(invoker, status);
        }
    }

    fn take_record(self) -> Record {
        self.ended.store(true, Ordering::Relaxed);
        for client in self.clients {
            client.join().unwrap();
        }
        std::mem::take(&mut self.peers.seen.lock().unwrap())
    }
}

/// Moves the feed to an address where connections are accepted and nothing is told, by a new configuration.
fn move_feed(play: &Play, running: &Running, folder: &Path) {
    let silent = Feed::start(None, 1, play.peers.seen.clone());
    silent.become_reach(Reach::Silent);
    let mut settings = play.peers.settings(&play.listen, CLIENT_TIMEOUT_MS as f64);
    settings["feed"] = serde_json::json!(silent.address);
    node_peers::write(folder, &settings.to_string());
    running.signal(Signal::HUP);
}

/// Plays one case; gives what was seen, and how many requests of the outage there were and were served in time.
fn play(case: Case, reach: Reach, seed: u64) -> (Record, (usize, usize)) {
    let mut play = Play::start(seed);
    let mut running = play.run();
    play.start_clients();
    sleep(WARM_UP);
    let began = Instant::now();
    play.peers.feed.become_reach(reach);
    sleep(SHORTLY);
    match case {
        Case::DrainsSoon => play.leave(Status::Draining),
        Case::DrainsLate => {
            sleep(OUT_OF_REACH / 2);
            play.leave(Status::Draining);
        }
        Case::Ends => play.leave(Status::Gone),
        Case::Restart => {
            sleep(OUT_OF_REACH / 2);
            running.0.kill().unwrap();
            running.0.wait().unwrap();
            play.peers.seen.lock().unwrap().kills.push(Instant::now());
            running = play.run();
            sleep(SHORTLY);
            play.leave(Status::Draining);
        }
        Case::Moved => {
            move_feed(&play, &running, play.folder.path());
            play.leave(Status::Draining);
        }
    }
    sleep((began + OUT_OF_REACH).saturating_duration_since(Instant::now()));
    let ended = Instant::now();
    play.peers.feed.become_reach(Reach::Tells);
    sleep(BACK);
    let record = play.take_record();
    let served = record.served_within(began, ended);
    drop(running);
    (record, served)
}

const CASES: [(Case, Reach); 8] = [
    (Case::DrainsSoon, Reach::Silent),
    (Case::DrainsSoon, Reach::Drips),
    (Case::DrainsSoon, Reach::Closes),
    (Case::DrainsLate, Reach::Silent),
    (Case::DrainsLate, Reach::Closes),
    (Case::Ends, Reach::Silent),
    (Case::Restart, Reach::Closes),
    (Case::Moved, Reach::Silent),
];

#[test]
fn no_new_work_at_invokers_that_drain_while_the_list_is_out_of_reach() {
    let plays = CASES.map(|(case, reach)| (case, reach, spawn(move || play(case, reach, 7))));
    let mut broken = Vec::new();
    for (case, reach, played) in plays {
        let (record, (asked, served)) = played.join().unwrap();
        let breaks = record.breaks();
        eprintln!(
            "{case:?} {reach:?}: {served} of {asked} served, {} attempts, {} orders, {} breaks",
            record.attempts.len(),
            record.orders.len(),
            breaks.len()
        );
        assert!(asked > 500, "{case:?} {reach:?}: {asked} requests");
        let examples = breaks.iter().take(3);
        broken.extend(examples.map(|text| format!("{case:?} {reach:?}: {text}")));
        if (served as f64) < SERVED_SHARE * asked as f64 {
            broken.push(format!("{case:?} {reach:?}: {served} of {asked} served"));
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
