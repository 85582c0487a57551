//! The control feed over loopback, with what stands between it and the controller: it can be cut off in several ways.

use super::invoker::Status;
use super::record::{NotReady, Record};
use crate::node_peers::{DRAINING, GONE, READY, endpoint_event};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// How often it is looked whether there is something to tell.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);
/// An empty frame comes so often.
const EMPTY_FRAME_INTERVAL: Duration = Duration::from_secs(1);
/// While it is dripped, a byte comes so often.
const DRIP_INTERVAL: Duration = Duration::from_millis(200);
/// What was told less than this before an outage may not have reached the controller.
const ON_ITS_WAY: Duration = Duration::from_millis(100);
/// What the feed would have told counts as told so long after it broke off, and after it fell silent.
const TOLD_AFTER_BREAK: Duration = Duration::from_secs(2);
const TOLD_AFTER_SILENCE: Duration = Duration::from_secs(4);
/// Length of the frame of a change of one invoker.
const EVENT_BYTES: usize = 40;
/// Connections of a feed that breaks off now and then last so long, in milliseconds.
pub const SHORT_LIVED_MS: Range<u64> = 200..8_000;

/// How the feed is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    Tells,
    /// Connections stay open and new ones are accepted; nothing comes on them.
    Silent,
    /// The same, but for a byte now and then that never makes a frame.
    Drips,
    /// Open connections are closed, and new ones as soon as they are accepted.
    Closes,
}

/// One change of an invoker.
struct Event {
    frame: Vec<u8>,
    invoker: usize,
    status: Status,
    /// When it is told, or counts as told; none: not yet.
    told: Option<Instant>,
}

struct State {
    reach: Reach,
    /// The present outage, until the controller has asked again: how it began, and when.
    outage: Option<(Reach, Instant)>,
    /// Events after the first, which the configuration tells.
    events: Vec<Event>,
    lasts_ms: Option<Range<u64>>,
}

impl State {
    /// When an event of this moment counts as told, by the clocks of the protocol. Where connections break off by themselves
    /// it is told when it is first written.
    fn told_at(&self, now: Instant) -> Option<Instant> {
        match self.outage {
            None => self.lasts_ms.is_none().then_some(now),
            Some((Reach::Closes, began)) => Some(now.max(began + TOLD_AFTER_BREAK)),
            Some((_, began)) => Some(now.max(began + TOLD_AFTER_SILENCE)),
        }
    }
}

#[derive(Clone)]
pub struct Feed {
    pub address: String,
    state: Arc<Mutex<State>>,
    seen: Arc<Mutex<Record>>,
}

/// An event that gives the state of one invoker.
fn event(number: u64, invoker: usize, address: &str, status: Status) -> Vec<u8> {
    let state = match status {
        Status::Ready => READY,
        Status::Draining => DRAINING,
        Status::Gone => GONE,
    };
    endpoint_event(number, invoker as u32 + 1, address, state)
}

impl Feed {
    /// A feed that tells; where `lasts_ms` is given its connections break off after so long.
    pub fn start(lasts_ms: Option<Range<u64>>, seed: u64, seen: Arc<Mutex<Record>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let feed = Self {
            address: listener.local_addr().unwrap().to_string(),
            state: Arc::new(Mutex::new(State {
                reach: Reach::Tells,
                outage: None,
                events: Vec::new(),
                lasts_ms,
            })),
            seen,
        };
        let accepting = feed.clone();
        spawn(move || {
            for (n, stream) in (0..).zip(listener.incoming()) {
                let (Ok(stream), feed) = (stream, accepting.clone()) else {
                    return;
                };
                spawn(move || feed.attend(stream, fastrand::Rng::with_seed(seed ^ n)));
            }
        });
        feed
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Number of the last event.
    pub fn last(&self) -> u64 {
        self.state().events.len() as u64 + 1
    }

    /// It is reached like this from now on.
    pub fn become_reach(&self, reach: Reach) {
        let mut state = self.state();
        state.reach = reach;
        if reach != Reach::Tells {
            state.outage = state.outage.or(Some((reach, Instant::now())));
        }
    }

    /// An invoker is this from now on, and the feed tells it as soon as it is reached. What it would have told counts as
    /// told by the clocks of the protocol all the same.
    pub fn tell(&self, invoker: usize, address: &str, status: Status) {
        let mut state = self.state();
        let now = Instant::now();
        let number = state.events.len() as u64 + 2;
        let told = state.told_at(now);
        state.events.push(Event {
            frame: event(number, invoker, address, status),
            invoker,
            status,
            told,
        });
        if let Some(told) = told {
            self.record(invoker, status, now, told);
        }
    }

    /// From when on an invoker takes no new work, and until when.
    fn record(&self, invoker: usize, status: Status, now: Instant, told: Instant) {
        let mut seen = self.seen.lock().unwrap();
        let mut spans = seen.not_ready.iter_mut();
        let open = spans.rfind(|span| span.invoker == invoker && span.until.is_none());
        match (status, open) {
            (Status::Ready, Some(span)) => span.until = Some(now),
            (Status::Ready, None) | (_, Some(_)) => {}
            (_, None) => seen.not_ready.push(NotReady::since(invoker, told)),
        }
    }

    /// Waits until what was told last has reached the controller.
    pub fn settle() {
        sleep(ON_ITS_WAY);
    }

    fn attend(&self, mut stream: TcpStream, mut rng: fastrand::Rng) {
        let mut last = [0; 8];
        if self.state().reach == Reach::Closes || stream.read_exact(&mut last).is_err() {
            return;
        }
        let mut last = u64::from_be_bytes(last);
        let lasts_ms = self.state().lasts_ms.clone();
        let ends = lasts_ms.map(|range| Instant::now() + Duration::from_millis(rng.u64(range)));
        let mut next_empty = Instant::now();
        while ends.is_none_or(|ends| Instant::now() < ends) {
            let reach = self.state().reach;
            let written = match reach {
                Reach::Closes => return,
                Reach::Silent => Ok(()),
                Reach::Drips => {
                    sleep(DRIP_INTERVAL);
                    stream.write_all(&[0])
                }
                Reach::Tells => self.tell_news(&mut stream, &mut last, &mut next_empty),
            };
            if written.is_err() {
                return;
            }
            sleep(LOOK_INTERVAL);
        }
    }

    /// Events that were written now, and to nobody before, are told now.
    fn record_first_written(&self, from: usize, to: usize) {
        let now = Instant::now();
        for event in &mut self.state().events[from..to] {
            if event.told.is_none() {
                event.told = Some(now);
                self.record(event.invoker, event.status, now, now);
            }
        }
    }

    fn tell_news(
        &self,
        stream: &mut TcpStream,
        last: &mut u64,
        next_empty: &mut Instant,
    ) -> std::io::Result<()> {
        self.state().outage = None;
        let known = *last as usize - 1;
        let news: Vec<u8> = self.state().events[known..]
            .iter()
            .flat_map(|event| event.frame.clone())
            .collect();
        *last += (news.len() / EVENT_BYTES) as u64;
        stream.write_all(&news)?;
        self.record_first_written(known, *last as usize - 1);
        if Instant::now() < *next_empty {
            return Ok(());
        }
        *next_empty = Instant::now() + EMPTY_FRAME_INTERVAL;
        let empty = [&9u32.to_be_bytes()[..], &last.to_be_bytes(), &[0]].concat();
        stream.write_all(&empty)
    }
}
