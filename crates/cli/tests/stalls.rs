//! `saltdrum node` as a process that is stopped for seconds and then runs in short turns, as on a crowded machine, while
//! its clients go on asking. What came meanwhile lies in the machine; it came when it came, not when it is read.
//!
//! Reproduction of `docs/incidents/agap-stopped-controllers-order-too-much.md`.

#![expect(
    clippy::disallowed_methods,
    reason = "processes run in this machine's time"
)]

mod node_peers;

use node_peers::{
    Running, ask_for, configuration, dial, drain_event, feed, field, free_address, hear, saltdrum,
    write,
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

/// The window of load orders, and what it allows, as the settings of the play state.
const WINDOW: Duration = Duration::from_secs(2);
const ORDERS_FREE: f64 = 3.0;
const ORDERS_SHARE: f64 = 0.1;
/// By which the platform widens what is allowed, and its slack on times.
const WIDENED: f64 = 1.15;
const WIDENED_ORDERS: f64 = 1.0;
const SLACK: Duration = Duration::from_millis(50);
/// An invoker may be told of so much more time than the client has.
const LIMIT_SLACK: Duration = Duration::from_millis(150);

/// The drain grace that the settings state.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
const FEED_SAYS_EVERY: Duration = Duration::from_millis(100);

const ASKED_EVERY: Duration = Duration::from_millis(10);
const FUNCTIONS: u64 = 100;
const LIMIT: Duration = Duration::from_secs(7);
/// Copies stand everywhere for so long, then nowhere.
const SERVES_FOR: Duration = Duration::from_secs(3);
/// After the stop the process runs in turns of so long, with pauses between them, for a while.
const TURN: Duration = Duration::from_millis(1);
const PAUSE: Duration = Duration::from_millis(60);
const TURNS: usize = 25;
const GOES_ON_FOR: Duration = Duration::from_millis(2_500);

/// What was seen outside of the controller.
#[derive(Default)]
struct Seen {
    /// When each request was in the machine, by its id.
    asked: BTreeMap<u64, Instant>,
    /// When each order to load had arrived whole.
    ordered: Vec<Instant>,
    /// When each attempt had arrived: its id, and what it was told of the time left.
    attempted: Vec<(Instant, u64, Duration)>,
}

type Record = Arc<Mutex<Seen>>;

/// Reads one request without a body and answers it.
fn serve_one(head: &str, seen: &Record, lacks_all: &AtomicBool) -> &'static [u8] {
    let now = Instant::now();
    let mut seen = seen.lock().unwrap();
    if head.starts_with("PUT") {
        seen.ordered.push(now);
        return b"HTTP/1.1 200 OK\r\nX-Units: 1\r\nContent-Length: 0\r\n\r\n";
    }
    if head.starts_with("GET /healthz") {
        return b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    }
    if let (Some(txn), Some(limit)) = (field(head, "x-txn"), field(head, "x-limit-ms")) {
        let limit = Duration::from_millis(limit.parse().unwrap());
        seen.attempted
            .push((now, u64::from_str_radix(txn, 16).unwrap(), limit));
    }
    match lacks_all.load(Ordering::Relaxed) {
        true => b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
        false => b"HTTP/1.1 200 OK\r\nX-How: resident\r\nContent-Length: 4\r\n\r\ndone",
    }
}

/// An invoker that holds copies of everything until it is told to lack all.
fn invoker(seen: Record, lacks_all: Arc<AtomicBool>) -> String {
    let door = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = door.local_addr().unwrap().to_string();
    spawn(move || {
        for stream in door.incoming() {
            let (mut stream, seen, lacks_all) = (stream.unwrap(), seen.clone(), lacks_all.clone());
            spawn(move || {
                let (mut read, mut bytes) = (Vec::new(), [0; 4_096]);
                while let Ok(n @ 1..) = stream.read(&mut bytes) {
                    read.extend_from_slice(&bytes[..n]);
                    if read.ends_with(b"\r\n\r\n") {
                        let head = String::from_utf8(std::mem::take(&mut read)).unwrap();
                        let _ = stream.write_all(serve_one(&head, &seen, &lacks_all));
                    }
                }
            });
        }
    });
    at
}

/// Asks at a steady pace, each time on a connection of its own, which it closes when answered or when its time is over.
fn ask_steadily(
    listen: String,
    seen: Record,
    ends: Arc<AtomicBool>,
) -> std::thread::JoinHandle<()> {
    spawn(move || {
        let (began, mut open) = (Instant::now(), Vec::<(Instant, TcpStream)>::new());
        for n in 1u64.. {
            if ends.load(Ordering::Relaxed) {
                return;
            }
            let mut stream = TcpStream::connect(&listen).unwrap();
            stream
                .write_all(&ask_for(
                    1,
                    n,
                    0x100 + n % FUNCTIONS,
                    LIMIT.as_millis() as u64,
                ))
                .unwrap();
            let now = Instant::now();
            seen.lock().unwrap().asked.insert(n, now);
            stream.set_nonblocking(true).unwrap();
            open.push((now, stream));
            let waits = |e: std::io::Error| e.kind() == ErrorKind::WouldBlock;
            open.retain_mut(|(asked, s)| {
                asked.elapsed() < LIMIT && s.read(&mut [0; 512]).is_err_and(waits)
            });
            sleep((began + ASKED_EVERY * n as u32).saturating_duration_since(Instant::now()));
        }
    })
}

/// Lets a stopped process run in short turns for a while, then freely.
fn run_in_turns(running: &Running) {
    for _ in 0..TURNS {
        running.signal(Signal::CONT);
        sleep(TURN);
        running.signal(Signal::STOP);
        sleep(PAUSE);
    }
    running.signal(Signal::CONT);
}

/// Plays one controller that is stopped for so long while all its copies are lost.
fn play(stopped: Duration) -> Seen {
    let folder = tempfile::tempdir().unwrap();
    let (seen, lacks_all, ends): (Record, Arc<AtomicBool>, Arc<AtomicBool>) = Default::default();
    let (listen, (feed, _asked)) = (free_address(), feed());
    let mut settings = configuration(&listen, &feed, &invoker(seen.clone(), lacks_all.clone()));
    settings["limits"]["sockets"] = json!(2_048);
    let family = &mut settings["settings"]["family_info"];
    family["load_window_ms"] = json!(WINDOW.as_millis() as f64);
    family["loads_anyway"] = json!(ORDERS_FREE);
    family["load_share"] = json!(ORDERS_SHARE);
    let config = write(folder.path(), &settings.to_string());
    let running = Running(saltdrum(&config).stdout(Stdio::null()).spawn().unwrap());
    drop(dial(&listen));
    let clients = ask_steadily(listen, seen.clone(), ends.clone());
    sleep(SERVES_FOR);
    running.signal(Signal::STOP);
    lacks_all.store(true, Ordering::Relaxed);
    sleep(stopped);
    run_in_turns(&running);
    sleep(GOES_ON_FOR);
    ends.store(true, Ordering::Relaxed);
    clients.join().unwrap();
    drop(running);
    std::mem::take(&mut seen.lock().unwrap())
}

impl Seen {
    /// Orders of which, with those of the window before, there were more than the requests of that window allow: when, since
    /// the first request, how many, and how many were allowed.
    fn orders_past_the_budget(&self) -> Vec<(Duration, usize, f64)> {
        let first = *self.asked.values().next().unwrap();
        let past = self.ordered.iter().filter_map(|at| {
            let orders = self
                .ordered
                .iter()
                .filter(|o| **o <= *at && **o + WINDOW > *at)
                .count();
            let taken = self
                .asked
                .values()
                .filter(|t| **t <= *at && **t + WINDOW + SLACK > *at)
                .count();
            let most = (ORDERS_FREE + ORDERS_SHARE * taken as f64) * WIDENED + WIDENED_ORDERS;
            (orders as f64 > most).then_some((*at - first, orders, most))
        });
        past.collect()
    }

    /// Attempts that were told of more time than their client had: by how much.
    fn told_of_too_much_time(&self) -> Vec<Duration> {
        let over = self.attempted.iter().filter_map(|(at, txn, told)| {
            let left = (self.asked[txn] + LIMIT).saturating_duration_since(*at);
            told.checked_sub(left + LIMIT_SLACK)
        });
        over.collect()
    }
}

/// A stop that is shorter than the window, one that is longer, and one after which nobody waits any more.
const STOPS: [Duration; 3] = [
    Duration::from_millis(1_500),
    Duration::from_secs(4),
    Duration::from_millis(7_500),
];

#[test]
fn load_orders_after_a_stop_keep_the_budget_of_what_came_within_the_window() {
    for stopped in STOPS {
        let seen = play(stopped);
        let past = seen.orders_past_the_budget();
        let (orders, first, worst) = (
            seen.ordered.len(),
            past.first(),
            past.iter().map(|p| p.1).max(),
        );
        assert!(
            orders > 20,
            "{orders} orders: the play does not ask for enough"
        );
        assert!(
            past.is_empty(),
            "stopped {stopped:?}: {} of {orders} orders, {first:?}, up to {worst:?}",
            past.len()
        );
    }
}

#[test]
fn no_invoker_is_told_of_more_time_than_the_client_has_after_a_stop() {
    for stopped in STOPS {
        let seen = play(stopped);
        let over = seen.told_of_too_much_time();
        let attempts = seen.attempted.len();
        assert!(
            over.is_empty(),
            "stopped {stopped:?}: {} of {attempts}, by up to {:?}",
            over.len(),
            over.iter().max()
        );
    }
}

/// A feed that says, on whatever connection, all events after the number it is asked from, and an empty frame now and then.
fn telling_feed(events: Arc<Mutex<Vec<Vec<u8>>>>) -> String {
    let door = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = door.local_addr().unwrap().to_string();
    spawn(move || {
        for stream in door.incoming() {
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
                    sleep(FEED_SAYS_EVERY);
                }
            });
        }
    });
    at
}

/// Rule 3: it counts as told once it is in the feed. A process that wakes hears of its clients and timers as of the feed.
#[test]
fn nothing_new_goes_to_an_invoker_of_whose_drain_the_feed_told_over_a_stop() {
    for stopped in [Duration::from_millis(600), Duration::from_secs(3)] {
        let late = new_work_after_a_drain(stopped);
        assert!(
            late.is_empty(),
            "stopped {stopped:?}: {} new, {:?} after it was told",
            late.len(),
            late.iter().min()
        );
    }
}

/// Plays one controller that is stopped for so long while the feed tells of a drain; gives how long after that and its grace
/// anything new came to the invoker.
fn new_work_after_a_drain(stopped: Duration) -> Vec<Duration> {
    let folder = tempfile::tempdir().unwrap();
    let (drained, other, ends): (Record, Record, Arc<AtomicBool>) = Default::default();
    let lacks_all = Arc::new(AtomicBool::new(false));
    let events: Arc<Mutex<Vec<Vec<u8>>>> = Arc::default();
    let (at, other_at) = (
        invoker(drained.clone(), lacks_all.clone()),
        invoker(other.clone(), lacks_all),
    );
    let listen = free_address();
    let mut settings = configuration(&listen, &telling_feed(events.clone()), &at);
    settings["limits"]["sockets"] = json!(2_048);
    let known = &mut settings["known"]["events"][0]["members"]["members"];
    let mut second = known[0].clone();
    (second["id"], second["host_port"]) = (json!("s-00000002"), json!(other_at));
    known.as_array_mut().unwrap().push(second);
    let config = write(folder.path(), &settings.to_string());
    let running = Running(saltdrum(&config).stdout(Stdio::null()).spawn().unwrap());
    drop(dial(&listen));
    let clients = ask_steadily(listen, Record::default(), ends.clone());
    sleep(SERVES_FOR);
    running.signal(Signal::STOP);
    sleep(FEED_SAYS_EVERY);
    events.lock().unwrap().push(drain_event(1, 1, &at));
    let told = Instant::now() + 2 * FEED_SAYS_EVERY;
    sleep(stopped);
    run_in_turns(&running);
    sleep(GOES_ON_FOR);
    ends.store(true, Ordering::Relaxed);
    clients.join().unwrap();
    drop(running);
    let (arrived, served) = (drained.lock().unwrap(), other.lock().unwrap());
    assert!(
        served.attempted.iter().any(|a| a.0 > told + stopped),
        "nothing is served"
    );
    let all = arrived
        .ordered
        .iter()
        .copied()
        .chain(arrived.attempted.iter().map(|a| a.0));
    all.filter(|at| *at > told + DRAIN_GRACE + SLACK)
        .map(|at| at - told)
        .collect()
}

/// The platform kills no sooner than the longest client timeout, counted as 3 s where it is longer, and 0.7 s after SIGTERM.
const KILLED_AFTER: Duration = Duration::from_millis(3_700);

/// It counts from when the signal came, not from when a stopped process heard of it.
#[test]
fn what_is_open_is_answered_before_the_kill_where_the_end_is_heard_late() {
    let folder = tempfile::tempdir().unwrap();
    // An invoker at which connections come up, and nobody answers.
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let (listen, (feed, _asked)) = (free_address(), feed());
    let mut settings = configuration(&listen, &feed, &silent.local_addr().unwrap().to_string());
    // It may have run: nothing but the end decides it.
    settings["settings"]["classes"][0]["effect"] = json!("unsafe");
    let config = write(folder.path(), &settings.to_string());
    let mut running = Running(saltdrum(&config).stdout(Stdio::null()).spawn().unwrap());
    let mut client = dial(&listen);
    client
        .write_all(&ask_for(1, 1, 0x101, LIMIT.as_millis() as u64))
        .unwrap();
    // It is out: the invoker has been reached.
    let mut reached = silent.accept().unwrap().0;
    reached.read_exact(&mut [0; 4]).unwrap();
    running.signal(Signal::STOP);
    running.signal(Signal::TERM);
    let told = Instant::now();
    sleep(Duration::from_secs(2));
    running.signal(Signal::CONT);
    let answered = (17, 1);
    loop {
        let (kind, stream, _) = hear(&mut client);
        if (kind, stream) == answered {
            break;
        }
    }
    assert!(
        told.elapsed() < KILLED_AFTER,
        "it is answered {:?} after the end was told",
        told.elapsed()
    );
    drop(client);
    assert!(running.0.wait().unwrap().success());
}
