//! Follows the control feed. What it last said stands while it is away.

use crate::reach::{Front, told};
use bytes::BytesMut;
use saltdrum::port::{MILLI, Tenths};
use saltdrum_link::Address;
use saltdrum_platform_wire::feed::{Event, cut};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;
use tracing::{info, warn};

/// An empty frame comes each second. What the feed would have told counts as told 4 s after it fell silent: by then a
/// second connection, should the first after a silence be silent as well, must have been followed.
const SILENT: Duration = Duration::from_millis(1_600);
/// The first frame comes within a second of asking.
const SILENT_FIRST: Duration = Duration::from_millis(1_200);
const DIAL_WITHIN: Duration = Duration::from_millis(500);
/// A lost feed is dialled again after a wait drawn up to a bound that doubles; all controllers lose it at once.
const WAIT_FIRST: Tenths = 100 * MILLI;
const WAIT_MOST: Tenths = 400 * MILLI;
const READ_BYTES: usize = 4 << 10;

/// Where the feed is, and how far it was followed.
pub(crate) struct Feed {
    address: RefCell<std::net::SocketAddrV4>,
    moved: Notify,
    last: Cell<u64>,
}

impl Feed {
    pub fn new(address: std::net::SocketAddrV4, last: u64) -> Self {
        Self { address: RefCell::new(address), moved: Notify::new(), last: Cell::new(last) }
    }

    #[cfg(test)]
    pub fn last(&self) -> u64 {
        self.last.get()
    }

    /// It is elsewhere from now on; its numbers go on.
    pub fn moves(&self, to: std::net::SocketAddrV4) {
        if self.address.replace(to) != to {
            self.moved.notify_one();
        }
    }
}

pub(crate) async fn follow(front: Rc<Front>) {
    let (feed, mut wait) = (&front.seat.feed, WAIT_FIRST);
    let mut rng = fastrand::Rng::with_seed(front.seat.seed ^ 0xfeed);
    loop {
        let before = feed.last.get();
        let why = tokio::select! {
            biased;
            () = feed.moved.notified() => {
                info!(address = %feed.address.borrow(), "the control feed is elsewhere");
                wait = WAIT_FIRST;
                continue;
            }
            why = followed(&front) => why,
        };
        wait = if feed.last.get() > before { WAIT_FIRST } else { (2 * wait).min(WAIT_MOST) };
        warn!(address = %feed.address.borrow(), why, last = feed.last.get(), "control feed lost; what it said stands");
        tokio::select! {
            biased;
            () = feed.moved.notified() => {}
            () = tokio::time::sleep(Duration::from_micros(rng.u64(0..=wait) * 100)) => {}
        }
    }
}

async fn followed(front: &Rc<Front>) -> String {
    let feed = &front.seat.feed;
    let address = Address::Tcp(feed.address.borrow().to_string());
    let mut stream = match tokio::time::timeout(DIAL_WITHIN, front.network.dial(&address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return e.to_string(),
        Err(_) => return "no connection in time".into(),
    };
    if let Err(e) = stream.write_all(&feed.last.get().to_be_bytes()).await {
        return e.to_string();
    }
    let mut read = BytesMut::new();
    // Only whole frames break a silence: one that comes byte by byte tells nothing.
    let mut due = front.clock.instant(front.clock.now()) + SILENT_FIRST;
    loop {
        match cut(&mut read) {
            Err(e) => return e.to_string(),
            Ok(Some((number, event))) => {
                if let Err(why) = hear(front, number, &event) {
                    return why;
                }
                due = front.clock.instant(front.clock.now()) + SILENT;
                continue;
            }
            Ok(None) => {}
        }
        read.reserve(READ_BYTES);
        match tokio::time::timeout_at(due, stream.read_buf(&mut read)).await {
            Err(_) => return "silent".into(),
            Ok(Ok(0)) => return "hung up".into(),
            Ok(Ok(_)) => {}
            Ok(Err(e)) => return e.to_string(),
        }
    }
}

/// One event; `Err`: some were missed, and have to be asked for.
pub(crate) fn hear(front: &Front, number: u64, event: &Event) -> Result<(), String> {
    let last = &front.seat.feed.last;
    let (whole, lines) = match event {
        // It carries the number of the last event: a later one than ours was never told us.
        Event::Nothing if number > last.get() => {
            return Err(format!("events to {number} after {}: they were expected before", last.get()));
        }
        Event::Nothing => return Ok(()),
        // Written twice: heard once.
        _ if number <= last.get() => return Ok(()),
        Event::Changes(_) if number > last.get() + 1 => {
            return Err(format!("event {number} after {}: the next was expected", last.get()));
        }
        Event::Whole(lines) => (true, lines),
        Event::Changes(lines) => (false, lines),
    };
    info!(number, whole, lines = lines.len(), "control feed");
    last.set(number);
    front.tell(|state| tell(front, state, whole, lines));
    Ok(())
}

pub(crate) fn tell(
    front: &Front,
    state: &mut crate::reach::State,
    whole: bool,
    lines: &[saltdrum_platform_wire::feed::Line],
) {
    let origin = front.seat.unix_origin;
    let started = |ms: u64| (ms * MILLI).saturating_sub(origin);
    told(state, whole, lines, started, front.seat.deployment.drain_grace);
}
