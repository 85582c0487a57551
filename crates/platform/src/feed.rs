//! Follows the control feed. What it last said stands while it is away.

use crate::reach::{ControllerHandle, told};
use saltdrum::interface::{MILLISECOND, Ticks};
use saltdrum_platform_wire::feed::{Event, cut};
use saltdrum_transport::{Address, ArrivalReader, ReadBacklog, Stream};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::Notify;
use tracing::{info, warn};

/// An empty frame comes each second. What the feed would have told counts as told 4 s after it fell silent: by then a
/// second connection, should the first after a silence be silent as well, must have been followed.
const SILENT: Ticks = 1_600 * MILLISECOND;
/// The first frame comes within a second of asking.
const SILENT_FIRST: Ticks = 1_200 * MILLISECOND;
/// After that the machine is asked once more: a turn or two.
const LOOKED_AGAIN_WITHIN: Duration = Duration::from_millis(30);
const DIAL_WITHIN: Duration = Duration::from_millis(500);
/// A lost feed is dialled again after a wait drawn up to a bound that doubles; all controllers lose it at once.
const WAIT_FIRST: Ticks = 100 * MILLISECOND;
const WAIT_MOST: Ticks = 400 * MILLISECOND;

/// Where the feed is, and how far it was followed.
pub(crate) struct Feed {
    address: RefCell<std::net::SocketAddrV4>,
    moved: Notify,
    last: Cell<u64>,
    /// What lies in the machine of the connection that is followed.
    backlog: RefCell<ReadBacklog>,
}

impl Feed {
    pub fn new(address: std::net::SocketAddrV4, last: u64) -> Self {
        let backlog = RefCell::new(ReadBacklog::none());
        Self {
            address: RefCell::new(address),
            moved: Notify::new(),
            last: Cell::new(last),
            backlog,
        }
    }

    /// Whether there may be events in the machine that were not read yet.
    pub fn is_behind(&self) -> bool {
        self.backlog.borrow().is_behind()
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

pub(crate) async fn follow(handle: Rc<ControllerHandle>) {
    let (feed, mut wait) = (&handle.config.feed, WAIT_FIRST);
    let mut rng = fastrand::Rng::with_seed(handle.config.seed ^ 0xfeed);
    loop {
        let before = feed.last.get();
        let why = tokio::select! {
            biased;
            () = feed.moved.notified() => {
                info!(address = %feed.address.borrow(), "the control feed is elsewhere");
                wait = WAIT_FIRST;
                continue;
            }
            why = followed(&handle) => why,
        };
        wait = if feed.last.get() > before {
            WAIT_FIRST
        } else {
            (2 * wait).min(WAIT_MOST)
        };
        warn!(address = %feed.address.borrow(), why, last = feed.last.get(), "control feed lost; what it said stands");
        tokio::select! {
            biased;
            () = feed.moved.notified() => {}
            () = tokio::time::sleep(Duration::from_micros(rng.u64(0..=wait) * 100)) => {}
        }
    }
}

async fn followed(handle: &Rc<ControllerHandle>) -> String {
    let feed = &handle.config.feed;
    let address = Address::Tcp(feed.address.borrow().to_string());
    let mut stream = match tokio::time::timeout(DIAL_WITHIN, handle.network.dial(&address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return e.to_string(),
        Err(_) => return "no connection in time".into(),
    };
    if let Err(e) = stream.write_all(&feed.last.get().to_be_bytes()).await {
        return e.to_string();
    }
    let mut read = ArrivalReader::new(stream, handle.clock, handle.event_loop.clone());
    feed.backlog.replace(read.backlog());
    // Only whole frames break a silence: one that comes byte by byte tells nothing.
    let mut due = handle.clock.now() + SILENT_FIRST;
    let mut came = handle.clock.now();
    loop {
        match cut(&mut read.bytes) {
            Err(e) => return e.to_string(),
            Ok(Some((number, event))) => {
                if let Err(why) = hear(handle, came, number, &event) {
                    return why;
                }
                due = handle.clock.now() + SILENT;
                continue;
            }
            Ok(None) => {}
        }
        match read_by(handle, &mut read, due).await {
            Ok(at) => came = at,
            Err(why) => return why,
        }
    }
}

/// Reads more until `due`. A process that was stopped over that time hears its timers before its sockets: what lies in the
/// machine by then was no silence.
async fn read_by(
    handle: &ControllerHandle,
    read: &mut ArrivalReader<Stream>,
    due: Ticks,
) -> Result<Ticks, String> {
    let mut more = std::pin::pin!(read.read_more());
    let got = match tokio::time::timeout_at(handle.clock.instant(due), &mut more).await {
        Ok(got) => got,
        Err(_) => {
            let looked = tokio::time::timeout(LOOKED_AGAIN_WITHIN, more).await;
            looked.map_err(|_| String::from("silent"))?
        }
    };
    match got {
        Ok(Some(came)) => Ok(came),
        Ok(None) => Err("hung up".into()),
        Err(e) => Err(e.to_string()),
    }
}

/// One event that came at this time or later; `Err`: some were missed, and have to be asked for.
pub(crate) fn hear(
    handle: &ControllerHandle,
    came: Ticks,
    number: u64,
    event: &Event,
) -> Result<(), String> {
    let last = &handle.config.feed.last;
    let (whole, lines) = match event {
        // It carries the number of the last event: a later one than ours was never told us.
        Event::Nothing if number > last.get() => {
            return Err(format!(
                "events to {number} after {}: they were expected before",
                last.get()
            ));
        }
        Event::Nothing => return Ok(()),
        // Written twice: heard once.
        _ if number <= last.get() => return Ok(()),
        Event::Changes(_) if number > last.get() + 1 => {
            return Err(format!(
                "event {number} after {}: the next was expected",
                last.get()
            ));
        }
        Event::Whole(lines) => (true, lines),
        Event::Changes(lines) => (false, lines),
    };
    let waited_most_ms = handle.clock.now().saturating_sub(came) / MILLISECOND;
    info!(
        number,
        whole,
        lines = lines.len(),
        waited_most_ms,
        "control feed"
    );
    last.set(number);
    handle.update(|state| tell(handle, state, came, whole, lines));
    Ok(())
}

pub(crate) fn tell(
    handle: &ControllerHandle,
    state: &mut crate::reach::ControllerState,
    came: Ticks,
    whole: bool,
    lines: &[saltdrum_platform_wire::feed::Line],
) {
    let now = state.invocations.now;
    handle.config.look_at_wall_clock(now);
    let started = |unix_ms: u64| handle.config.wall_settings.borrow().start(unix_ms, now);
    told(
        state,
        whole,
        lines,
        came,
        started,
        handle.config.deployment.drain_grace,
    );
}
