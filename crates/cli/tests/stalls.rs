//! `saltdrum node` as a process that is stopped for seconds and then runs in short slices, as on an overloaded machine, while
//! its clients keep sending requests. A request that arrived meanwhile counts from its arrival, not from when it is read.
//!
//! Reproduction of `docs/incidents/agap-stopped-controllers-order-too-much.md`.

#![expect(clippy::disallowed_methods, reason = "processes run in real time")]

mod node_peers;

use node_peers::{
    ProcessGuard, configuration, connect, drain_event, free_address, header_field, node_command,
    read_frame, request_frame_for, start_feed, write,
};
use rustix::process::Signal;
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// The window of load orders and its budget, as configured for the test.
const ORDER_WINDOW: Duration = Duration::from_secs(2);
const ORDERS_FREE: f64 = 3.0;
const ORDERS_SHARE: f64 = 0.1;
/// Tolerances of the platform on the budget, and on times.
const BUDGET_FACTOR: f64 = 1.15;
const BUDGET_EXTRA_ORDERS: f64 = 1.0;
const SLACK: Duration = Duration::from_millis(50);
/// The time limit sent to an invoker may exceed the client's remaining time by this.
const LIMIT_SLACK: Duration = Duration::from_millis(150);

/// The drain grace, as configured.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
const FEED_INTERVAL: Duration = Duration::from_millis(100);

const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
const FUNCTIONS: u64 = 100;
const CLIENT_TIMEOUT: Duration = Duration::from_secs(7);
/// How long the invoker has all functions loaded, before it loses them.
const WARM_UP: Duration = Duration::from_secs(3);
/// After the stop the process runs in slices of this length, with pauses between them.
const SLICE: Duration = Duration::from_millis(1);
const SLICE_PAUSE: Duration = Duration::from_millis(60);
const SLICES: usize = 25;
const OBSERVATION_AFTER_STOP: Duration = Duration::from_millis(2_500);

/// What the peers of the controller observed.
#[derive(Default)]
struct Observations {
    /// When each request was written to the socket, by its id.
    requested: BTreeMap<u64, Instant>,
    /// When each load order had arrived completely.
    ordered: Vec<Instant>,
    /// When each attempt had arrived, with its id and the time limit it was sent with.
    attempted: Vec<(Instant, u64, Duration)>,
}

type Record = Arc<Mutex<Observations>>;

/// Records one request and returns its response.
fn record_request(head: &str, seen: &Record, lacks_all: &AtomicBool) -> &'static [u8] {
    let now = Instant::now();
    let mut seen = seen.lock().unwrap();
    if head.starts_with("PUT") {
        seen.ordered.push(now);
        return b"HTTP/1.1 200 OK\r\nX-Units: 1\r\nContent-Length: 0\r\n\r\n";
    }
    if head.starts_with("GET /healthz") {
        return b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    }
    if let (Some(txn), Some(limit)) = (
        header_field(head, "x-txn"),
        header_field(head, "x-limit-ms"),
    ) {
        let limit = Duration::from_millis(limit.parse().unwrap());
        seen.attempted
            .push((now, u64::from_str_radix(txn, 16).unwrap(), limit));
    }
    match lacks_all.load(Ordering::Relaxed) {
        true => b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
        false => b"HTTP/1.1 200 OK\r\nX-How: resident\r\nContent-Length: 4\r\n\r\ndone",
    }
}

/// Starts an invoker that has all functions loaded until the flag is set, and returns its address.
fn start_recording_invoker(seen: Record, lacks_all: Arc<AtomicBool>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, seen, lacks_all) = (stream.unwrap(), seen.clone(), lacks_all.clone());
            spawn(move || {
                let (mut read, mut bytes) = (Vec::new(), [0; 4_096]);
                while let Ok(n @ 1..) = stream.read(&mut bytes) {
                    read.extend_from_slice(&bytes[..n]);
                    if read.ends_with(b"\r\n\r\n") {
                        let head = String::from_utf8(std::mem::take(&mut read)).unwrap();
                        let _ = stream.write_all(record_request(&head, &seen, &lacks_all));
                    }
                }
            });
        }
    });
    address
}

/// Sends requests at a steady rate, each on a connection of its own, closed after the answer or the client timeout.
fn send_requests_steadily(
    listen: String,
    seen: Record,
    is_ending: Arc<AtomicBool>,
) -> std::thread::JoinHandle<()> {
    spawn(move || {
        let (began, mut open) = (Instant::now(), Vec::<(Instant, TcpStream)>::new());
        for id in 1u64.. {
            if is_ending.load(Ordering::Relaxed) {
                return;
            }
            let mut stream = TcpStream::connect(&listen).unwrap();
            stream
                .write_all(&request_frame_for(
                    1,
                    id,
                    0x100 + id % FUNCTIONS,
                    CLIENT_TIMEOUT.as_millis() as u64,
                ))
                .unwrap();
            let now = Instant::now();
            seen.lock().unwrap().requested.insert(id, now);
            stream.set_nonblocking(true).unwrap();
            open.push((now, stream));
            let is_pending = |e: std::io::Error| e.kind() == ErrorKind::WouldBlock;
            open.retain_mut(|(sent_at, stream)| {
                sent_at.elapsed() < CLIENT_TIMEOUT
                    && stream.read(&mut [0; 512]).is_err_and(is_pending)
            });
            sleep((began + REQUEST_INTERVAL * id as u32).saturating_duration_since(Instant::now()));
        }
    })
}

/// Runs a stopped process in short slices for a while, then freely.
fn run_in_slices(running: &ProcessGuard) {
    for _ in 0..SLICES {
        running.signal(Signal::CONT);
        sleep(SLICE);
        running.signal(Signal::STOP);
        sleep(SLICE_PAUSE);
    }
    running.signal(Signal::CONT);
}

/// Runs one controller that is stopped for this long while the invoker loses all functions.
fn run_controller(stopped: Duration) -> Observations {
    let folder = tempfile::tempdir().unwrap();
    let (seen, lacks_all, is_ending): (Record, Arc<AtomicBool>, Arc<AtomicBool>) =
        Default::default();
    let (listen, (feed, _requests)) = (free_address(), start_feed());
    let mut settings = configuration(
        &listen,
        &feed,
        &start_recording_invoker(seen.clone(), lacks_all.clone()),
    );
    settings["limits"]["sockets"] = json!(2_048);
    let family = &mut settings["settings"]["family_info"];
    family["load_window_ms"] = json!(ORDER_WINDOW.as_millis() as f64);
    family["loads_anyway"] = json!(ORDERS_FREE);
    family["load_share"] = json!(ORDERS_SHARE);
    let config = write(folder.path(), &settings.to_string());
    let running = ProcessGuard(node_command(&config).stdout(Stdio::null()).spawn().unwrap());
    drop(connect(&listen));
    let clients = send_requests_steadily(listen, seen.clone(), is_ending.clone());
    sleep(WARM_UP);
    running.signal(Signal::STOP);
    lacks_all.store(true, Ordering::Relaxed);
    sleep(stopped);
    run_in_slices(&running);
    sleep(OBSERVATION_AFTER_STOP);
    is_ending.store(true, Ordering::Relaxed);
    clients.join().unwrap();
    drop(running);
    std::mem::take(&mut seen.lock().unwrap())
}

impl Observations {
    /// Load orders that exceed the budget of their window: the time since the first request, the orders in the window, and the
    /// number allowed by the requests in the window.
    fn orders_over_budget(&self) -> Vec<(Duration, usize, f64)> {
        let first = *self.requested.values().next().unwrap();
        let excess = self.ordered.iter().filter_map(|at| {
            let orders = self
                .ordered
                .iter()
                .filter(|o| **o <= *at && **o + ORDER_WINDOW > *at)
                .count();
            let requests = self
                .requested
                .values()
                .filter(|t| **t <= *at && **t + ORDER_WINDOW + SLACK > *at)
                .count();
            let most = (ORDERS_FREE + ORDERS_SHARE * requests as f64) * BUDGET_FACTOR
                + BUDGET_EXTRA_ORDERS;
            (orders as f64 > most).then_some((*at - first, orders, most))
        });
        excess.collect()
    }

    /// By how much attempts were sent with a longer limit than the remaining time of their client.
    fn limits_past_remaining_time(&self) -> Vec<Duration> {
        let over = self.attempted.iter().filter_map(|(at, txn, limit)| {
            let remaining = (self.requested[txn] + CLIENT_TIMEOUT).saturating_duration_since(*at);
            limit.checked_sub(remaining + LIMIT_SLACK)
        });
        over.collect()
    }
}

/// Stops that are shorter than the window, longer than it, and longer than the client timeout.
const STOPS: [Duration; 3] = [
    Duration::from_millis(1_500),
    Duration::from_secs(4),
    Duration::from_millis(7_500),
];

#[test]
fn load_orders_after_a_stop_keep_the_budget_of_their_window() {
    for stopped in STOPS {
        let seen = run_controller(stopped);
        let excess = seen.orders_over_budget();
        let (orders, first, worst) = (
            seen.ordered.len(),
            excess.first(),
            excess.iter().map(|p| p.1).max(),
        );
        assert!(orders > 20, "only {orders} load orders");
        assert!(
            excess.is_empty(),
            "stopped {stopped:?}: {} of {orders} orders, {first:?}, up to {worst:?}",
            excess.len()
        );
    }
}

#[test]
fn attempts_after_a_stop_are_sent_with_no_more_than_the_remaining_time() {
    for stopped in STOPS {
        let seen = run_controller(stopped);
        let over = seen.limits_past_remaining_time();
        let attempts = seen.attempted.len();
        assert!(
            over.is_empty(),
            "stopped {stopped:?}: {} of {attempts}, by up to {:?}",
            over.len(),
            over.iter().max()
        );
    }
}

/// Starts a feed that sends all events after the requested number on each connection, with empty frames in between.
fn start_event_feed(events: Arc<Mutex<Vec<Vec<u8>>>>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, events) = (stream.unwrap(), events.clone());
            spawn(move || {
                let mut last = [0; 8];
                stream.read_exact(&mut last).unwrap();
                let mut last = u64::from_be_bytes(last);
                loop {
                    let all = events.lock().unwrap().clone();
                    let new: Vec<u8> = all
                        .iter()
                        .skip(last as usize - 1)
                        .flatten()
                        .copied()
                        .collect();
                    last = all.len() as u64 + 1;
                    let empty = [&9u32.to_be_bytes()[..], &last.to_be_bytes(), &[0]].concat();
                    if stream
                        .write_all(&new)
                        .and_then(|()| stream.write_all(&empty))
                        .is_err()
                    {
                        return;
                    }
                    sleep(FEED_INTERVAL);
                }
            });
        }
    });
    address
}

/// Rule 3: a drain counts as reported once the feed has sent it. A resumed process finds input of clients, expired timers and
/// the feed's event at the same time.
#[test]
fn sends_nothing_new_to_an_invoker_whose_drain_was_reported_during_a_stop() {
    for stopped in [Duration::from_millis(600), Duration::from_secs(3)] {
        let late = new_work_after_a_drain(stopped);
        assert!(
            late.is_empty(),
            "stopped {stopped:?}: {} new, {:?} after the report",
            late.len(),
            late.iter().min()
        );
    }
}

/// Runs one controller that is stopped for this long while the feed reports a drain. Returns how long after the report each
/// attempt or load order arrived at the invoker, of those past the grace.
fn new_work_after_a_drain(stopped: Duration) -> Vec<Duration> {
    let folder = tempfile::tempdir().unwrap();
    let (drained, other, is_ending): (Record, Record, Arc<AtomicBool>) = Default::default();
    let lacks_all = Arc::new(AtomicBool::new(false));
    let events: Arc<Mutex<Vec<Vec<u8>>>> = Arc::default();
    let (at, other_at) = (
        start_recording_invoker(drained.clone(), lacks_all.clone()),
        start_recording_invoker(other.clone(), lacks_all),
    );
    let listen = free_address();
    let mut settings = configuration(&listen, &start_event_feed(events.clone()), &at);
    settings["limits"]["sockets"] = json!(2_048);
    let known = &mut settings["known"]["events"][0]["members"]["members"];
    let mut second = known[0].clone();
    (second["id"], second["host_port"]) = (json!("s-00000002"), json!(other_at));
    known.as_array_mut().unwrap().push(second);
    let config = write(folder.path(), &settings.to_string());
    let running = ProcessGuard(node_command(&config).stdout(Stdio::null()).spawn().unwrap());
    drop(connect(&listen));
    let clients = send_requests_steadily(listen, Record::default(), is_ending.clone());
    sleep(WARM_UP);
    running.signal(Signal::STOP);
    sleep(FEED_INTERVAL);
    events.lock().unwrap().push(drain_event(1, 1, &at));
    let reported_at = Instant::now() + 2 * FEED_INTERVAL;
    sleep(stopped);
    run_in_slices(&running);
    sleep(OBSERVATION_AFTER_STOP);
    is_ending.store(true, Ordering::Relaxed);
    clients.join().unwrap();
    drop(running);
    let (arrived, served) = (drained.lock().unwrap(), other.lock().unwrap());
    assert!(
        served.attempted.iter().any(|a| a.0 > reported_at + stopped),
        "nothing was served"
    );
    let all = arrived
        .ordered
        .iter()
        .copied()
        .chain(arrived.attempted.iter().map(|a| a.0));
    all.filter(|at| *at > reported_at + DRAIN_GRACE + SLACK)
        .map(|at| at - reported_at)
        .collect()
}

/// The platform kills no sooner than the longest client timeout, counted as 3 s where it is longer, and 0.7 s after SIGTERM.
const KILL_AFTER_SIGTERM: Duration = Duration::from_millis(3_700);

/// The time until the kill counts from when the signal was sent, not from when a stopped process handles it.
#[test]
fn open_requests_are_answered_before_the_kill_if_sigterm_is_handled_late() {
    let folder = tempfile::tempdir().unwrap();
    // An invoker that accepts connections and never answers.
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let (listen, (feed, _requests)) = (free_address(), start_feed());
    let mut settings = configuration(&listen, &feed, &silent.local_addr().unwrap().to_string());
    // Non-idempotent: the attempt may have run, so only the shutdown decides the request.
    settings["settings"]["classes"][0]["effect"] = json!("unsafe");
    let config = write(folder.path(), &settings.to_string());
    let mut running = ProcessGuard(node_command(&config).stdout(Stdio::null()).spawn().unwrap());
    let mut client = connect(&listen);
    client
        .write_all(&request_frame_for(
            1,
            1,
            0x101,
            CLIENT_TIMEOUT.as_millis() as u64,
        ))
        .unwrap();
    // The attempt is in flight: the invoker has received it.
    let mut reached = silent.accept().unwrap().0;
    reached.read_exact(&mut [0; 4]).unwrap();
    running.signal(Signal::STOP);
    running.signal(Signal::TERM);
    let signalled_at = Instant::now();
    sleep(Duration::from_secs(2));
    running.signal(Signal::CONT);
    let expected = (17, 1);
    loop {
        let (kind, stream, _) = read_frame(&mut client);
        if (kind, stream) == expected {
            break;
        }
    }
    assert!(
        signalled_at.elapsed() < KILL_AFTER_SIGTERM,
        "answered {:?} after SIGTERM",
        signalled_at.elapsed()
    );
    drop(client);
    assert!(running.0.wait().unwrap().success());
}
