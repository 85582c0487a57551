//! `saltdrum node` as a process under many faults at once: system calls fail, the wall clock is stepped, the process is
//! stopped and runs in turns, invokers lose copies, reset, hang and drain, clients leave. The rules hold all the same.
//!
//! `FAULT_MIX_SEEDS=7..19` plays others.

#![expect(
    clippy::disallowed_methods,
    reason = "processes run in this machine's time"
)]

#[path = "fault_mix/record.rs"]
mod record;

mod node_peers;
mod preloaded;

use node_peers::{
    Running, ask_with, configuration, dial, drain_event, field, frame, free_address, saltdrum,
    write,
};
use record::{Attempt, Code, DRAIN_GRACE, Effect, ORDER_WINDOW, Record, Request, SLACK};
use rustix::process::Signal;
use serde_json::json;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::Path;
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const LASTS: Duration = Duration::from_secs(12);
const INVOKERS: usize = 5;
const CLIENTS: usize = 24;
const FUNCTIONS: u64 = 40;
const FEED_SAYS_EVERY: Duration = Duration::from_millis(50);
/// How long a client listens beyond its limit, for an answer too late and for a second one.
const LISTENS_LONGER: Duration = Duration::from_millis(700);
const CLASSES: [(&str, &str, Effect); 3] = [
    ("look", "safe", Effect::Idempotent),
    ("charge", "keyed", Effect::Tokened),
    ("book", "unsafe", Effect::NonIdempotent),
];
/// Clients go on for so long after SIGTERM, and the process is killed after the longest client timeout and 0.7 s more.
const COMES_AFTER_TERM: Duration = Duration::from_millis(200);
const KILLED_AFTER: Duration = Duration::from_millis(4_700);
const ANSWER: u8 = 17;
const CANCEL: u8 = 18;
const NO_NEW_REQUEST: u8 = 48;

type Shared = Arc<Mutex<Record>>;

fn random_ms(rng: &mut fastrand::Rng, from: u64, to: u64) -> Duration {
    Duration::from_millis(rng.u64(from..to))
}

/// What an invoker does with one request: how long it takes, and its answer, if it gives one.
fn end_of(rng: &mut fastrand::Rng, is_order: bool) -> (Duration, Option<&'static str>) {
    let soon = random_ms(rng, 1, 40);
    match (rng.u32(..100), is_order) {
        (0..3, _) => (soon, None),
        (3..5, _) => (random_ms(rng, 500, 3_000), None),
        (5..15, true) => (
            soon,
            Some("503 Service Unavailable\r\nX-Unrun: 1\r\nX-Units: 0"),
        ),
        (_, true) => (random_ms(rng, 50, 400), Some("200 OK\r\nX-Units: 1")),
        (5..15, false) => (soon, Some("503 Service Unavailable\r\nX-Unrun: 1")),
        (15..45, false) => (soon, Some("404 Not Found")),
        (45..50, false) => (soon, Some("500 Internal Server Error\r\nX-How: resident")),
        (50..55, false) => (
            random_ms(rng, 300, 2_500),
            Some("200 OK\r\nX-How: resident"),
        ),
        _ => (soon, Some("200 OK\r\nX-How: resident")),
    }
}

/// Whether the peer closes before this moment.
fn closes_before(stream: &TcpStream, end: Instant) -> bool {
    let mut byte = [0; 1];
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return false;
        }
        stream.set_read_timeout(Some(left)).unwrap();
        match stream.peek(&mut byte) {
            Ok(1..) => sleep(left.min(Duration::from_millis(1))),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return false;
            }
            _ => return true,
        }
    }
}

/// Serves one request; gives whether the connection goes on.
fn serve_one(
    head: &str,
    stream: &mut TcpStream,
    invoker: usize,
    rng: &mut fastrand::Rng,
    seen: &Shared,
) -> bool {
    let arrived = Instant::now();
    let is_order = head.starts_with("PUT");
    let (takes, answer) =
        if head.starts_with("DELETE") || head.contains("healthz") || head.contains("/busy") {
            (Duration::ZERO, Some("204 No Content"))
        } else {
            end_of(rng, is_order)
        };
    if is_order && !head.starts_with("PUT /") {
        return false;
    }
    if is_order {
        seen.lock().unwrap().orders.push((arrived, invoker));
    }
    let given_up = closes_before(stream, arrived + takes);
    if let (Some(id), Some(limit)) = (field(head, "x-txn"), field(head, "x-limit-ms")) {
        let never_ran = answer.is_some_and(|a| a.starts_with("503") || a.starts_with("404"));
        let told_limit = Duration::from_millis(limit.parse().unwrap());
        let id = u64::from_str_radix(id, 16).unwrap();
        let provably_never_ran = never_ran && !given_up;
        let ended = Instant::now();
        let attempt = Attempt {
            id,
            arrived,
            ended,
            told_limit,
            provably_never_ran,
            invoker,
        };
        seen.lock().unwrap().attempts.push(attempt);
    }
    let Some(answer) = answer.filter(|_| !given_up) else {
        return false;
    };
    let body = if answer.starts_with("200") && !is_order {
        "done"
    } else {
        ""
    };
    stream
        .write_all(
            format!(
                "HTTP/1.1 {answer}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
            .as_bytes(),
        )
        .is_ok()
}

fn invoker(number: usize, seed: u64, seen: Shared) -> String {
    let door = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = door.local_addr().unwrap().to_string();
    spawn(move || {
        for (n, stream) in (0..).zip(door.incoming()) {
            let (Ok(mut stream), seen) = (stream, seen.clone()) else {
                return;
            };
            let mut rng = fastrand::Rng::with_seed(seed ^ (n << 8) ^ number as u64);
            spawn(move || {
                let (mut read, mut bytes) = (Vec::new(), [0; 4_096]);
                stream.set_nodelay(true).unwrap();
                loop {
                    stream.set_read_timeout(None).unwrap();
                    let Ok(n @ 1..) = stream.read(&mut bytes) else {
                        return;
                    };
                    read.extend_from_slice(&bytes[..n]);
                    if read.ends_with(b"\r\n\r\n") {
                        let head = String::from_utf8(std::mem::take(&mut read)).unwrap();
                        if !serve_one(&head, &mut stream, number, &mut rng, &seen) {
                            return;
                        }
                    }
                }
            });
        }
    });
    at
}

/// Frames, and the invoker that drains by each.
type Events = Arc<Mutex<Vec<(Vec<u8>, usize)>>>;

/// Says, on whatever connection, all events after the number it is asked from. No connection lasts long.
fn feed(events: Events, seed: u64, seen: Shared) -> String {
    let door = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = door.local_addr().unwrap().to_string();
    spawn(move || {
        for (n, stream) in (0..).zip(door.incoming()) {
            let mut rng = fastrand::Rng::with_seed(seed ^ n);
            let (Ok(mut stream), events, seen) = (stream, events.clone(), seen.clone()) else {
                return;
            };
            spawn(move || {
                let mut last = [0; 8];
                if stream.read_exact(&mut last).is_err() {
                    return;
                }
                let mut last = u64::from_be_bytes(last);
                let ends = Instant::now() + random_ms(&mut rng, 200, 8_000);
                while Instant::now() < ends {
                    let all = events.lock().unwrap().clone();
                    let new = &all[last as usize - 1..];
                    last = all.len() as u64 + 1;
                    let frames: Vec<u8> =
                        new.iter().flat_map(|(frame, _)| frame).copied().collect();
                    let empty = [&9u32.to_be_bytes()[..], &last.to_be_bytes(), &[0]].concat();
                    if stream
                        .write_all(&frames)
                        .and_then(|()| stream.write_all(&empty))
                        .is_err()
                    {
                        return;
                    }
                    let told = Instant::now() + DRAIN_GRACE + SLACK;
                    for (_, invoker) in new {
                        seen.lock().unwrap().drained.entry(*invoker).or_insert(told);
                    }
                    sleep(FEED_SAYS_EVERY);
                }
            });
        }
    });
    at
}

fn request(stream: u32, id: u64, class: &str, function: u64, limit: Duration) -> Vec<u8> {
    let (txn, unique) = (format!("{id:016x}"), format!("{id:032x}"));
    let (limit, function) = (limit.as_millis().to_string(), format!("{function:016x}"));
    let mut fields = vec![
        ("verb", class),
        ("txn", &txn),
        ("limit", &limit),
        ("item", &function),
    ];
    if class == "charge" {
        fields.push(("unique", &unique));
    }
    ask_with(stream, &fields)
}

/// One client's connection.
struct Client {
    stream: TcpStream,
    read: Vec<u8>,
    /// The ids of its requests, by their streams, from 1.
    ids: Vec<u64>,
    /// The controller takes no new request on it.
    is_closing: bool,
    seen: Shared,
}

enum Heard {
    Nothing,
    Frame,
    Answer(u64),
    End,
}

impl Client {
    /// Reads until something is heard or the time is over.
    fn hear(&mut self, until: Instant) -> Heard {
        loop {
            if let Some(heard) = self.take_frame() {
                return heard;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Heard::Nothing;
            }
            self.stream.set_read_timeout(Some(left)).unwrap();
            let mut bytes = [0; 4_096];
            match self.stream.read(&mut bytes) {
                Ok(n @ 1..) => self.read.extend_from_slice(&bytes[..n]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                _ => return Heard::End,
            }
        }
    }

    fn take_frame(&mut self) -> Option<Heard> {
        let length = 4 + u32::from_be_bytes(self.read.get(..4)?.try_into().unwrap()) as usize;
        if self.read.len() < length {
            return None;
        }
        let frame: Vec<u8> = self.read.drain(..length).collect();
        if frame[4] == NO_NEW_REQUEST {
            self.is_closing = true;
            return Some(Heard::Frame);
        }
        assert_eq!(frame[4], ANSWER);
        let stream = u32::from_be_bytes(frame[5..9].try_into().unwrap()) as usize;
        // On stream 0 it is an error that belongs to no request.
        let Some(id) = stream.checked_sub(1).map(|n| self.ids[n]) else {
            return Some(Heard::Frame);
        };
        let code = match frame[9] {
            79 => Code::Served,
            66 => Code::Refused,
            69 => Code::Failed,
            other => panic!("code {other}"),
        };
        let mut seen = self.seen.lock().unwrap();
        seen.requests
            .get_mut(&id)
            .unwrap()
            .answers
            .push((Instant::now(), code));
        Some(Heard::Answer(id))
    }

    /// Asks once and waits for the answer. False: the connection has ended.
    fn asks(&mut self, id: u64, rng: &mut fastrand::Rng) -> bool {
        let (class, _, effect) = CLASSES[rng.usize(..CLASSES.len())];
        let limit = random_ms(rng, 300, 4_000);
        self.ids.push(id);
        let stream = self.ids.len() as u32;
        let asked = Instant::now();
        let request_made = Request {
            asked,
            limit,
            effect,
            answers: Vec::new(),
            left: None,
            is_dropped: false,
        };
        self.seen.lock().unwrap().requests.insert(id, request_made);
        let bytes = request(stream, id, class, 0x100 + rng.u64(..FUNCTIONS), limit);
        let pieces = if rng.u32(..10) == 0 {
            rng.usize(1..bytes.len())
        } else {
            bytes.len()
        };
        let written = self.stream.write_all(&bytes[..pieces]).and_then(|()| {
            sleep(if pieces < bytes.len() {
                random_ms(rng, 1, 60)
            } else {
                Duration::ZERO
            });
            self.stream.write_all(&bytes[pieces..])
        });
        let in_machine = Instant::now();
        self.of(id, |r| r.asked = in_machine);
        if written.is_err() {
            // Never whole in the machine: it was not taken.
            self.seen.lock().unwrap().requests.remove(&id);
            return false;
        }
        let leaves = match rng.u32(..10) {
            0 => Some(in_machine + limit.mul_f64(rng.f64())),
            _ => None,
        };
        let until = leaves.unwrap_or(in_machine + limit + LISTENS_LONGER);
        loop {
            match self.hear(until) {
                Heard::Answer(answered) if answered == id => return !self.is_closing,
                Heard::Answer(_) | Heard::Frame => {}
                Heard::End => {
                    self.of(id, |r| r.is_dropped = true);
                    return false;
                }
                Heard::Nothing => break,
            }
        }
        let closes = leaves.is_none() || rng.bool();
        let gone = match closes {
            true => self.stream.shutdown(Shutdown::Both),
            false => self.stream.write_all(&frame(CANCEL, stream, &[])),
        };
        self.of(id, |r| r.left = Some(Instant::now()));
        gone.is_ok() && !closes
    }

    fn of(&self, id: u64, change: impl FnOnce(&mut Request)) {
        change(self.seen.lock().unwrap().requests.get_mut(&id).unwrap());
    }
}

fn client(listen: String, seed: u64, next: Arc<AtomicU64>, seen: Shared, ends: Arc<AtomicBool>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    while !ends.load(Ordering::Relaxed) {
        let mut client = Client {
            stream: dial(&listen),
            read: Vec::new(),
            ids: Vec::new(),
            is_closing: false,
            seen: seen.clone(),
        };
        client.stream.set_nodelay(true).unwrap();
        while !ends.load(Ordering::Relaxed) {
            let id = next.fetch_add(1, Ordering::Relaxed);
            if !client.asks(id, &mut rng) {
                break;
            }
            sleep(random_ms(&mut rng, 0, 60));
        }
    }
}

/// Stops the process now and then, and lets it run in short turns after some of the stops.
fn stops(running: &Running, until: Instant, rng: &mut fastrand::Rng, seen: &Shared) {
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
        seen.lock()
            .unwrap()
            .stops
            .push((began, Instant::now() + MARGIN));
        if rng.u32(..4) == 0 {
            running.signal(Signal::HUP);
        }
    }
}

/// Lets one invoker after another drain, all but two.
fn drains(events: &Events, addresses: &[String], seed: u64, ends: &AtomicBool) {
    let mut rng = fastrand::Rng::with_seed(seed);
    for (number, invoker) in (1..).zip(0..INVOKERS - 2) {
        sleep(random_ms(&mut rng, 500, 4_000));
        if ends.load(Ordering::Relaxed) {
            return;
        }
        events.lock().unwrap().push((
            drain_event(number, invoker as u32 + 1, &addresses[invoker]),
            invoker,
        ));
    }
}

fn play(seed: u64, library: &Path) -> Record {
    let mut rng = fastrand::Rng::with_seed(seed);
    let folder = tempfile::tempdir().unwrap();
    let (seen, ends): (Shared, Arc<AtomicBool>) = Default::default();
    let events = Events::default();
    let addresses: Vec<_> = (0..INVOKERS)
        .map(|n| invoker(n, rng.u64(..), seen.clone()))
        .collect();
    let listen = free_address();
    let mut settings = configuration(
        &listen,
        &feed(events.clone(), rng.u64(..), seen.clone()),
        &addresses[0],
    );
    settings["limits"]["sockets"] = json!(512);
    let known = &mut settings["known"]["events"][0]["members"]["members"];
    let entry = known[0].clone();
    *known = addresses
        .iter()
        .enumerate()
        .map(|(n, at)| {
            let mut entry = entry.clone();
            (entry["id"], entry["host_port"]) = (json!(format!("s-{:08x}", n + 1)), json!(at));
            entry
        })
        .collect();
    let class = settings["settings"]["classes"][0].clone();
    settings["settings"]["classes"] = CLASSES
        .iter()
        .map(|(name, effect, _)| {
            let mut class = class.clone();
            (class["name"], class["effect"]) = (json!(name), json!(effect));
            (class["aim_ms"], class["give_up_ms"]) = (json!(1_000.0), json!(4_000.0));
            class
        })
        .collect();
    settings["settings"]["family_info"]["load_window_ms"] = json!(ORDER_WINDOW.as_millis() as f64);
    let config = write(folder.path(), &settings.to_string());
    let mut node = saltdrum(&config);
    let every = *rng.choice(&[3, 7, 20, 100]).unwrap();
    let hour = 3_600_000i64;
    let step = |rng: &mut fastrand::Rng| *rng.choice(&[0, hour, -hour, 4_000, -4_000]).unwrap();
    let steps: Vec<_> = (1..10)
        .map(|n| format!("{}:{}", n * 1_300, step(&mut rng)))
        .collect();
    node.env("LD_PRELOAD", library)
        .env("FAULTS_EVERY", every.to_string())
        .env("FAULTS_STEPS", steps.join(","));
    if let Ok(level) = std::env::var("FAULT_MIX_LOG") {
        let log = std::fs::File::create(format!("{level}-{seed}.log")).unwrap();
        node.env("SALTDRUM_LOG", "debug").stderr(log);
    }
    let mut running = Running(node.stdout(Stdio::null()).spawn().unwrap());
    drop(dial(&listen));
    let next = Arc::new(AtomicU64::new(1));
    let mut threads = Vec::new();
    for _ in 0..CLIENTS {
        let (listen, seed, next) = (listen.clone(), rng.u64(..), next.clone());
        let (seen, ends) = (seen.clone(), ends.clone());
        threads.push(spawn(move || client(listen, seed, next, seen, ends)));
    }
    let (drain_seed, their_ends) = (rng.u64(..), ends.clone());
    threads.push(spawn(move || {
        drains(&events, &addresses, drain_seed, &their_ends)
    }));
    stops(&running, Instant::now() + LASTS, &mut rng, &seen);
    running.signal(Signal::TERM);
    let termed = Instant::now();
    sleep(COMES_AFTER_TERM);
    ends.store(true, Ordering::Relaxed);
    threads
        .into_iter()
        .for_each(|thread| thread.join().unwrap());
    while running.0.try_wait().unwrap().is_none() && termed.elapsed() < KILLED_AFTER {
        sleep(Duration::from_millis(10));
    }
    let ended = running
        .0
        .try_wait()
        .unwrap()
        .and_then(|status| status.code());
    assert_eq!(ended, Some(0), "seed {seed}: it has not ended by itself");
    std::mem::take(&mut seen.lock().unwrap())
}

fn seeds() -> std::ops::Range<u64> {
    let text = std::env::var("FAULT_MIX_SEEDS").unwrap_or_else(|_| "1..5".into());
    let (from, to) = text.split_once("..").expect("FAULT_MIX_SEEDS=from..to");
    from.parse().unwrap()..to.parse().unwrap()
}

#[test]
fn the_rules_hold_under_many_faults_at_once() {
    let folder = tempfile::tempdir().unwrap();
    let library = preloaded::library(folder.path());
    let plays: Vec<_> = seeds()
        .map(|seed| {
            let library = library.clone();
            (seed, spawn(move || play(seed, &library)))
        })
        .collect();
    // All of them end before any is judged: a process that is stopped would outlive the test.
    let records: Vec<_> = plays
        .into_iter()
        .map(|(seed, play)| (seed, play.join()))
        .collect();
    let mut all = Vec::new();
    for (seed, record) in records {
        let record = record.unwrap_or_else(|_| panic!("seed {seed}: the play broke off"));
        let served = record
            .requests
            .values()
            .flat_map(|r| &r.answers)
            .filter(|a| a.1 == Code::Served)
            .count();
        eprintln!(
            "seed {seed}: {} requests, {served} served, {} attempts, {} orders",
            record.requests.len(),
            record.attempts.len(),
            record.orders.len()
        );
        assert!(served > 100, "seed {seed}: the play serves next to nothing");
        all.extend(
            record
                .breaks()
                .into_iter()
                .map(|broken| format!("seed {seed}: {broken}")),
        );
    }
    assert!(all.is_empty(), "{} breaks:\n{}", all.len(), all.join("\n"));
}
