//! The control feed over loopback. The controller can be cut off from it in several ways.

use super::invoker::Status;
use super::record::{NotReadySpan, Record};
use crate::node_peers::{DRAINING, GONE, READY, endpoint_event};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Interval at which new events are looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between two empty frames.
const EMPTY_FRAME_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two bytes while the feed drips.
const DRIP_INTERVAL: Duration = Duration::from_millis(200);
/// An event sent less than this before an outage may not have reached the controller.
const DELIVERY_TIME: Duration = Duration::from_millis(100);
/// An event counts as reported this long after the feed was closed, and after it fell silent.
const REPORTED_AFTER_CLOSE: Duration = Duration::from_secs(2);
const REPORTED_AFTER_SILENCE: Duration = Duration::from_secs(4);
/// Length of the frame of an event.
const EVENT_BYTES: usize = 40;
/// Lifetimes of the connections of a feed that closes them at intervals, in milliseconds.
pub const CONNECTION_LIFETIME_MS: Range<u64> = 200..8_000;

/// How the controller reaches the feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    Reachable,
    /// Connections stay open and new ones are accepted, but nothing is sent.
    Silent,
    /// The same, except for single bytes that never complete a frame.
    Drips,
    /// Open connections are closed, and so are new ones when accepted.
    Closes,
}

/// A change of the status of an invoker.
struct Event {
    frame: Vec<u8>,
    invoker: usize,
    status: Status,
    /// When it was reported, or counts as reported; none: not yet.
    reported: Option<Instant>,
}

struct State {
    reachability: Reachability,
    /// How and when the present outage began; it ends when the feed serves a request again.
    outage: Option<(Reachability, Instant)>,
    /// Events after the first, which is part of the configuration.
    events: Vec<Event>,
    lifetime_ms: Option<Range<u64>>,
}

impl State {
    /// When an event of this time counts as reported, by the time limits of the protocol. If connections have a limited
    /// lifetime, an event is reported when it is first written.
    fn reported_at(&self, now: Instant) -> Option<Instant> {
        match self.outage {
            None => self.lifetime_ms.is_none().then_some(now),
            Some((Reachability::Closes, began)) => Some(now.max(began + REPORTED_AFTER_CLOSE)),
            Some((_, began)) => Some(now.max(began + REPORTED_AFTER_SILENCE)),
        }
    }
}

/// A running feed.
#[derive(Clone)]
pub struct Feed {
    pub address: String,
    state: Arc<Mutex<State>>,
    record: Arc<Mutex<Record>>,
}

/// The frame of an event with the status of one invoker.
fn encode_event(number: u64, invoker: usize, address: &str, status: Status) -> Vec<u8> {
    let state = match status {
        Status::Ready => READY,
        Status::Draining => DRAINING,
        Status::Gone => GONE,
    };
    endpoint_event(number, invoker as u32 + 1, address, state)
}

impl Feed {
    /// Starts a reachable feed; with `lifetime_ms`, its connections are closed after that time.
    pub fn start(lifetime_ms: Option<Range<u64>>, seed: u64, record: Arc<Mutex<Record>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let feed = Self {
            address: listener.local_addr().unwrap().to_string(),
            state: Arc::new(Mutex::new(State {
                reachability: Reachability::Reachable,
                outage: None,
                events: Vec::new(),
                lifetime_ms,
            })),
            record,
        };
        let accepting = feed.clone();
        spawn(move || {
            for (connection, stream) in (0..).zip(listener.incoming()) {
                let (Ok(stream), feed) = (stream, accepting.clone()) else {
                    return;
                };
                spawn(move || {
                    feed.serve_connection(stream, fastrand::Rng::with_seed(seed ^ connection))
                });
            }
        });
        feed
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// The number of the last event.
    pub fn last_number(&self) -> u64 {
        self.state().events.len() as u64 + 1
    }

    /// Changes how the controller reaches the feed.
    pub fn set_reachability(&self, reachability: Reachability) {
        let mut state = self.state();
        state.reachability = reachability;
        if reachability != Reachability::Reachable {
            state.outage = state.outage.or(Some((reachability, Instant::now())));
        }
    }

    /// Adds an event with the status of an invoker, which is sent once the feed is reachable. During an outage it counts as
    /// reported after the time limits of the protocol.
    pub fn report(&self, invoker: usize, address: &str, status: Status) {
        let mut state = self.state();
        let now = Instant::now();
        let number = state.events.len() as u64 + 2;
        let reported = state.reported_at(now);
        state.events.push(Event {
            frame: encode_event(number, invoker, address, status),
            invoker,
            status,
            reported,
        });
        if let Some(reported) = reported {
            self.record_not_ready(invoker, status, now, reported);
        }
    }

    /// Records the span in which an invoker may receive no new work.
    fn record_not_ready(&self, invoker: usize, status: Status, now: Instant, reported: Instant) {
        let mut record = self.record.lock().unwrap();
        let mut spans = record.not_ready.iter_mut();
        let open = spans.rfind(|span| span.invoker == invoker && span.until.is_none());
        match (status, open) {
            (Status::Ready, Some(span)) => span.until = Some(now),
            (Status::Ready, None) | (_, Some(_)) => {}
            (_, None) => record
                .not_ready
                .push(NotReadySpan::since(invoker, reported)),
        }
    }

    /// Waits until the last events have reached the controller.
    pub fn wait_for_delivery() {
        sleep(DELIVERY_TIME);
    }

    /// Serves one connection.
    fn serve_connection(&self, mut stream: TcpStream, mut rng: fastrand::Rng) {
        let mut last = [0; 8];
        if self.state().reachability == Reachability::Closes
            || stream.read_exact(&mut last).is_err()
        {
            return;
        }
        let mut last = u64::from_be_bytes(last);
        let lifetime_ms = self.state().lifetime_ms.clone();
        let closes_at =
            lifetime_ms.map(|range| Instant::now() + Duration::from_millis(rng.u64(range)));
        let mut next_empty = Instant::now();
        while closes_at.is_none_or(|closes_at| Instant::now() < closes_at) {
            let reachability = self.state().reachability;
            let written = match reachability {
                Reachability::Closes => return,
                Reachability::Silent => Ok(()),
                Reachability::Drips => {
                    sleep(DRIP_INTERVAL);
                    stream.write_all(&[0])
                }
                Reachability::Reachable => {
                    self.send_new_events(&mut stream, &mut last, &mut next_empty)
                }
            };
            if written.is_err() {
                return;
            }
            sleep(POLL_INTERVAL);
        }
    }

    /// Events that are written for the first time are reported now.
    fn record_first_written(&self, from: usize, to: usize) {
        let now = Instant::now();
        for event in &mut self.state().events[from..to] {
            if event.reported.is_none() {
                event.reported = Some(now);
                self.record_not_ready(event.invoker, event.status, now, now);
            }
        }
    }

    /// Sends new events, and an empty frame if one is due.
    fn send_new_events(
        &self,
        stream: &mut TcpStream,
        last: &mut u64,
        next_empty: &mut Instant,
    ) -> std::io::Result<()> {
        self.state().outage = None;
        let known = *last as usize - 1;
        let frames: Vec<u8> = self.state().events[known..]
            .iter()
            .flat_map(|event| event.frame.clone())
            .collect();
        *last += (frames.len() / EVENT_BYTES) as u64;
        stream.write_all(&frames)?;
        self.record_first_written(known, *last as usize - 1);
        if Instant::now() < *next_empty {
            return Ok(());
        }
        *next_empty = Instant::now() + EMPTY_FRAME_INTERVAL;
        let empty = [&9u32.to_be_bytes()[..], &last.to_be_bytes(), &[0]].concat();
        stream.write_all(&empty)
    }
}
