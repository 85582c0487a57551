//! A client that sends one request after another on its connection, and sometimes abandons one.

use super::record::{Code, Effect, Record, Request};
use crate::node_peers::{frame, request_frame_with_fields};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long a client listens beyond its timeout, for late and duplicate answers.
const LISTEN_AFTER_TIMEOUT: Duration = Duration::from_millis(700);
const FUNCTIONS: u64 = 40;
/// The configured request classes, each with its effect in the configuration and in the record.
pub const CLASSES: [(&str, &str, Effect); 3] = [
    ("look", "safe", Effect::Idempotent),
    ("charge", "keyed", Effect::Tokened),
    ("book", "unsafe", Effect::NonIdempotent),
];
const ANSWER_FRAME: u8 = 17;
const CANCEL_FRAME: u8 = 18;
const NO_NEW_REQUEST_FRAME: u8 = 48;

/// Settings and state that all clients of a run share.
#[derive(Clone)]
pub struct Clients {
    pub listen: String,
    pub next_id: Arc<AtomicU64>,
    pub record: Arc<Mutex<Record>>,
    /// Set when the clients have to end.
    pub is_ending: Arc<AtomicBool>,
    /// Client timeouts, in milliseconds.
    pub limit_ms: Range<u64>,
    /// Pauses between two requests, in milliseconds.
    pub pause_ms: Range<u64>,
    /// Whether some requests are abandoned before their answer.
    pub may_leave: bool,
    /// Whether a connection is still used after the controller has announced that it closes.
    pub keeps_connections: bool,
}

impl Clients {
    /// Runs one client until all have to end.
    pub fn run_client(&self, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        while !self.is_ending.load(Ordering::Relaxed) {
            let Some(stream) = self.connect() else {
                return;
            };
            let mut client = Client {
                stream,
                connected: Instant::now(),
                read: Vec::new(),
                ids: Vec::new(),
                is_closing: false,
                clients: self,
            };
            while !self.is_ending.load(Ordering::Relaxed) && client.send_request(&mut rng) {
                sleep(random_ms(&mut rng, self.pause_ms.clone()));
            }
        }
    }

    /// Opens a connection; none: the clients have to end.
    fn connect(&self) -> Option<TcpStream> {
        while !self.is_ending.load(Ordering::Relaxed) {
            if let Ok(stream) = TcpStream::connect(&self.listen) {
                stream.set_nodelay(true).unwrap();
                return Some(stream);
            }
            sleep(Duration::from_millis(10));
        }
        None
    }
}

fn random_ms(rng: &mut fastrand::Rng, range: Range<u64>) -> Duration {
    Duration::from_millis(rng.u64(range))
}

/// The frame of a request.
fn encode_request(stream: u32, id: u64, class: &str, function: u64, limit: Duration) -> Vec<u8> {
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
    request_frame_with_fields(stream, &fields)
}

/// One client's connection.
struct Client<'a> {
    stream: TcpStream,
    connected: Instant,
    read: Vec<u8>,
    /// The ids of its requests, by stream; streams start at 1.
    ids: Vec<u64>,
    /// The controller has announced that it accepts no new request.
    is_closing: bool,
    clients: &'a Clients,
}

/// What was read from a connection.
enum Received {
    Timeout,
    Frame,
    Answer(u64),
    End,
}

impl Client<'_> {
    /// Reads until a frame arrives, the connection ends or the time is over.
    fn receive(&mut self, until: Instant) -> Received {
        loop {
            if let Some(received) = self.take_frame() {
                return received;
            }
            let remaining = until.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Received::Timeout;
            }
            self.stream.set_read_timeout(Some(remaining)).unwrap();
            let mut bytes = [0; 4_096];
            match self.stream.read(&mut bytes) {
                Ok(n @ 1..) => self.read.extend_from_slice(&bytes[..n]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                _ => return Received::End,
            }
        }
    }

    /// Handles the next frame if it has arrived completely.
    fn take_frame(&mut self) -> Option<Received> {
        let length = 4 + u32::from_be_bytes(self.read.get(..4)?.try_into().unwrap()) as usize;
        if self.read.len() < length {
            return None;
        }
        let frame: Vec<u8> = self.read.drain(..length).collect();
        if frame[4] == NO_NEW_REQUEST_FRAME {
            self.is_closing = true;
            return Some(Received::Frame);
        }
        assert_eq!(frame[4], ANSWER_FRAME);
        let stream = u32::from_be_bytes(frame[5..9].try_into().unwrap()) as usize;
        // Stream 0: an error that belongs to no request.
        let Some(id) = stream.checked_sub(1).map(|n| self.ids[n]) else {
            return Some(Received::Frame);
        };
        let code = match frame[9] {
            79 => Code::Served,
            66 => Code::Refused,
            69 => Code::Failed,
            other => panic!("code {other}"),
        };
        let mut record = self.clients.record.lock().unwrap();
        record
            .requests
            .get_mut(&id)
            .unwrap()
            .answers
            .push((Instant::now(), code));
        Some(Received::Answer(id))
    }

    /// Sends one request and waits for the answer. False: the connection is not used any further.
    fn send_request(&mut self, rng: &mut fastrand::Rng) -> bool {
        let id = self.clients.next_id.fetch_add(1, Ordering::Relaxed);
        let (class, _, effect) = CLASSES[rng.usize(..CLASSES.len())];
        let limit = random_ms(rng, self.clients.limit_ms.clone());
        self.ids.push(id);
        let stream = self.ids.len() as u32;
        let began_at = Instant::now();
        let new_request = Request {
            connected: self.connected,
            sent_at: began_at,
            limit,
            effect,
            answers: Vec::new(),
            abandoned_at: None,
            dropped_at: None,
        };
        self.clients
            .record
            .lock()
            .unwrap()
            .requests
            .insert(id, new_request);
        let bytes = encode_request(stream, id, class, 0x100 + rng.u64(..FUNCTIONS), limit);
        let first_bytes = if rng.u32(..10) == 0 {
            rng.usize(1..bytes.len())
        } else {
            bytes.len()
        };
        let written = self.stream.write_all(&bytes[..first_bytes]).and_then(|()| {
            sleep(if first_bytes < bytes.len() {
                random_ms(rng, 1..60)
            } else {
                Duration::ZERO
            });
            self.stream.write_all(&bytes[first_bytes..])
        });
        let sent_at = Instant::now();
        self.update_record(id, |r| r.sent_at = sent_at);
        if written.is_err() {
            // It was not written completely, so it was not accepted.
            self.clients.record.lock().unwrap().requests.remove(&id);
            return false;
        }
        let abandons_at = match rng.u32(..10) {
            0 if self.clients.may_leave => Some(sent_at + limit.mul_f64(rng.f64())),
            _ => None,
        };
        let until = abandons_at.unwrap_or(sent_at + limit + LISTEN_AFTER_TIMEOUT);
        loop {
            match self.receive(until) {
                Received::Answer(answered) if answered == id => {
                    return !self.is_closing || self.clients.keeps_connections;
                }
                Received::Answer(_) | Received::Frame => {}
                Received::End => {
                    self.update_record(id, |r| r.dropped_at = Some(Instant::now()));
                    return false;
                }
                Received::Timeout => break,
            }
        }
        let closes = abandons_at.is_none() || rng.bool();
        let result = match closes {
            true => self.stream.shutdown(Shutdown::Both),
            false => self.stream.write_all(&frame(CANCEL_FRAME, stream, &[])),
        };
        self.update_record(id, |r| r.abandoned_at = Some(Instant::now()));
        result.is_ok() && !closes
    }

    /// Changes the record of a request.
    fn update_record(&self, id: u64, change: impl FnOnce(&mut Request)) {
        change(
            self.clients
                .record
                .lock()
                .unwrap()
                .requests
                .get_mut(&id)
                .unwrap(),
        );
    }
}
