//! An invoker over loopback, sound or randomly faulty. It can drain, disappear, and return with no function loaded.

use super::record::{Attempt, Record};
use crate::node_peers::header_field;
use std::collections::BTreeSet;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Interval at which new connections are looked for.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);
/// How long a sound invoker takes for a request, and for a load.
const REQUEST_LATENCY_MS: std::ops::Range<u64> = 2..25;
const LOAD_LATENCY: Duration = Duration::from_millis(150);

const REJECTED: &str = "503 Service Unavailable\r\nX-Unrun: 1";
const NOT_READY: &str = "503 Service Unavailable";
const MISS: &str = "404 Not Found";
const SERVED: &str = "200 OK\r\nX-How: resident";

/// Whether an invoker accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    Ready,
    /// Completes running work, rejects new work, and fails health checks.
    Draining,
    /// Refuses connections.
    Gone,
}

/// Whether an invoker injects faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    Sound,
    /// Draws a random outcome for each request, and loses instances.
    Faulty,
}

/// The present state of an invoker.
struct State {
    status: Status,
    /// The loaded functions; none: all functions are loaded.
    loaded: Option<BTreeSet<String>>,
    connections: Vec<TcpStream>,
}

/// A parsed request.
enum Request {
    HealthCheck,
    Unload,
    Order {
        function: String,
        count: u32,
    },
    Attempt {
        id: u64,
        function: String,
        told_limit: Duration,
    },
}

/// A running invoker.
pub struct Invoker {
    number: usize,
    pub address: String,
    behavior: Behavior,
    state: Mutex<State>,
    record: Arc<Mutex<Record>>,
}

fn random_ms(rng: &mut fastrand::Rng, from: u64, to: u64) -> Duration {
    Duration::from_millis(rng.u64(from..to))
}

/// Draws how long a faulty invoker takes for one request, and its answer, if any.
fn draw_faulty_outcome(
    rng: &mut fastrand::Rng,
    is_order: bool,
) -> (Duration, Option<&'static str>) {
    let soon = random_ms(rng, 1, 40);
    match (rng.u32(..100), is_order) {
        (0..3, _) => (soon, None),
        (3..5, _) => (random_ms(rng, 500, 3_000), None),
        (5..15, true) => (
            soon,
            Some("503 Service Unavailable\r\nX-Unrun: 1\r\nX-Units: 0"),
        ),
        (_, true) => (random_ms(rng, 50, 400), Some("200 OK\r\nX-Units: 1")),
        (5..15, false) => (soon, Some(REJECTED)),
        (15..45, false) => (soon, Some(MISS)),
        (45..50, false) => (soon, Some("500 Internal Server Error\r\nX-How: resident")),
        (50..55, false) => (random_ms(rng, 300, 2_500), Some(SERVED)),
        _ => (soon, Some(SERVED)),
    }
}

/// Whether the peer closes the connection before this time.
fn closes_before(stream: &TcpStream, end: Instant) -> bool {
    let mut byte = [0; 1];
    loop {
        let remaining = end.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return false;
        }
        stream.set_read_timeout(Some(remaining)).unwrap();
        match stream.peek(&mut byte) {
            Ok(1..) => sleep(remaining.min(Duration::from_millis(1))),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return false;
            }
            _ => return true,
        }
    }
}

/// Parses the head of a request; none: it is not valid in the protocol.
fn parse_request(head: &str) -> Option<Request> {
    let mut words = head.split(' ');
    let (method, path) = (words.next()?, words.next()?);
    let mut parts = path.split('/').skip(2);
    match method {
        "PUT" => Some(Request::Order {
            function: parts.next()?.to_owned(),
            count: parts.next()?.parse().ok()?,
        }),
        "DELETE" => Some(Request::Unload),
        _ if path == "/healthz" || path == "/busy" => Some(Request::HealthCheck),
        _ => Some(Request::Attempt {
            id: u64::from_str_radix(header_field(head, "x-txn")?, 16).ok()?,
            function: header_field(head, "x-name")?.to_owned(),
            told_limit: Duration::from_millis(header_field(head, "x-limit-ms")?.parse().ok()?),
        }),
    }
}

impl Invoker {
    /// Starts an invoker that is ready and has all functions loaded.
    pub fn start(
        number: usize,
        behavior: Behavior,
        seed: u64,
        record: Arc<Mutex<Record>>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let invoker = Arc::new(Self {
            number,
            address: listener.local_addr().unwrap().to_string(),
            behavior,
            state: Mutex::new(State {
                status: Status::Ready,
                loaded: None,
                connections: Vec::new(),
            }),
            record,
        });
        let accepting = invoker.clone();
        spawn(move || accepting.accept(listener, seed));
        invoker
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Changes the status. A gone invoker loses its connections and all loaded functions.
    pub fn set_status(&self, status: Status) {
        let mut state = self.state();
        state.status = status;
        if status == Status::Gone {
            state.loaded = Some(BTreeSet::new());
            for connection in state.connections.drain(..) {
                let _ = connection.shutdown(Shutdown::Both);
            }
        }
    }

    /// Accepts connections unless it is gone; then nobody listens at its address.
    fn accept(self: Arc<Self>, listener: TcpListener, seed: u64) {
        let mut listener = Some(listener);
        for connection in 0.. {
            let Some(stream) = self.next_connection(&mut listener) else {
                continue;
            };
            let rng = fastrand::Rng::with_seed(seed ^ (connection << 8) ^ self.number as u64);
            let invoker = self.clone();
            spawn(move || invoker.serve_connection(stream, rng));
        }
    }

    fn next_connection(&self, listener: &mut Option<TcpListener>) -> Option<TcpStream> {
        if self.state().status == Status::Gone {
            *listener = None;
        } else if listener.is_none() {
            *listener = TcpListener::bind(&self.address).ok();
        }
        let accepted = listener.as_ref().and_then(|listener| {
            listener.set_nonblocking(true).unwrap();
            listener.accept().ok()
        });
        if accepted.is_none() {
            sleep(ACCEPT_INTERVAL);
        }
        accepted.map(|(stream, _)| stream)
    }

    /// Serves one connection.
    fn serve_connection(&self, mut stream: TcpStream, mut rng: fastrand::Rng) {
        stream.set_nonblocking(false).unwrap();
        stream.set_nodelay(true).unwrap();
        if let Ok(clone) = stream.try_clone() {
            self.state().connections.push(clone);
        }
        let (mut read, mut bytes) = (Vec::new(), [0; 4_096]);
        loop {
            stream.set_read_timeout(None).unwrap();
            let Ok(n @ 1..) = stream.read(&mut bytes) else {
                return;
            };
            read.extend_from_slice(&bytes[..n]);
            if read.ends_with(b"\r\n\r\n") {
                let head = String::from_utf8(std::mem::take(&mut read)).unwrap();
                if !self.serve_request(&head, &mut stream, &mut rng) {
                    return;
                }
            }
        }
    }

    /// Serves one request. False: the connection is closed.
    fn serve_request(&self, head: &str, stream: &mut TcpStream, rng: &mut fastrand::Rng) -> bool {
        let arrived = Instant::now();
        let Some(request) = parse_request(head) else {
            return false;
        };
        if let Request::Order { count: 1.., .. } = request {
            let order = (arrived, self.number);
            self.record.lock().unwrap().orders.push(order);
        }
        let (latency, answer) = self.outcome_of(&request, rng);
        let is_abandoned = closes_before(stream, arrived + latency);
        self.record_attempt(&request, arrived, answer.filter(|_| !is_abandoned));
        let Some(answer) = answer.filter(|_| !is_abandoned) else {
            return false;
        };
        if let (Request::Order { function, .. }, true) = (&request, answer.starts_with("200")) {
            let mut state = self.state();
            state
                .loaded
                .as_mut()
                .map(|all| all.insert(function.clone()));
        }
        let is_served = answer == SERVED;
        let body = if is_served { "done" } else { "" };
        let length = body.len();
        let text = format!("HTTP/1.1 {answer}\r\nContent-Length: {length}\r\n\r\n{body}");
        stream.write_all(text.as_bytes()).is_ok()
    }

    /// How long a request takes, and its answer, if any.
    fn outcome_of(
        &self,
        request: &Request,
        rng: &mut fastrand::Rng,
    ) -> (Duration, Option<&'static str>) {
        let is_ready = self.state().status == Status::Ready;
        match request {
            Request::HealthCheck if is_ready => (Duration::ZERO, Some("200 OK")),
            Request::HealthCheck => (Duration::ZERO, Some(NOT_READY)),
            Request::Unload => (Duration::ZERO, Some("204 No Content")),
            Request::Order { count: 0, .. } => (Duration::ZERO, Some("200 OK\r\nX-Units: 0")),
            _ if !is_ready => (Duration::ZERO, Some(REJECTED)),
            _ if self.behavior == Behavior::Faulty => {
                draw_faulty_outcome(rng, matches!(request, Request::Order { .. }))
            }
            Request::Order { .. } => (LOAD_LATENCY, Some("200 OK\r\nX-Units: 1")),
            Request::Attempt { function, .. } if !self.has_loaded(function) => {
                (Duration::ZERO, Some(MISS))
            }
            Request::Attempt { .. } => {
                let latency = random_ms(rng, REQUEST_LATENCY_MS.start, REQUEST_LATENCY_MS.end);
                (latency, Some(SERVED))
            }
        }
    }

    fn has_loaded(&self, function: &str) -> bool {
        let state = self.state();
        state
            .loaded
            .as_ref()
            .is_none_or(|all| all.contains(function))
    }

    fn record_attempt(&self, request: &Request, arrived: Instant, answer: Option<&str>) {
        let Request::Attempt { id, told_limit, .. } = *request else {
            return;
        };
        let attempt = Attempt {
            id,
            arrived,
            ended: Instant::now(),
            told_limit,
            provably_never_ran: answer.is_some_and(|a| a == REJECTED || a == MISS),
            invoker: self.number,
        };
        self.record.lock().unwrap().attempts.push(attempt);
    }
}
