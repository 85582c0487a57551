//! Watches the control feed for the list of invokers. While the feed is lost, the last list stands.

use crate::invoker_pools::apply_list_change;
use crate::state::ControllerHandle;
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
const SILENCE_TIMEOUT: Ticks = 1_600 * MILLISECOND;
/// The first frame comes within a second of asking.
const FIRST_FRAME_TIMEOUT: Ticks = 1_200 * MILLISECOND;
/// After that the machine is asked once more: a turn or two.
const LAST_POLL_TIMEOUT: Duration = Duration::from_millis(30);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Reconnects use a jittered backoff whose bound doubles, as all controllers lose the feed at once.
const BACKOFF_FIRST: Ticks = 100 * MILLISECOND;
const BACKOFF_MAX: Ticks = 400 * MILLISECOND;

/// Address of the feed, and the number of the last event applied.
pub(crate) struct EndpointWatch {
    address: RefCell<std::net::SocketAddrV4>,
    moved: Notify,
    last: Cell<u64>,
    /// What lies in the machine of the connection that is followed.
    backlog: RefCell<ReadBacklog>,
}

impl EndpointWatch {
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

pub(crate) async fn watch(handle: Rc<ControllerHandle>) {
    let (feed, mut wait) = (&handle.config.feed, BACKOFF_FIRST);
    let mut rng = fastrand::Rng::with_seed(handle.config.seed ^ 0xfeed);
    loop {
        let before = feed.last.get();
        let why = tokio::select! {
            biased;
            () = feed.moved.notified() => {
                info!(address = %feed.address.borrow(), "control feed address changed");
                wait = BACKOFF_FIRST;
                continue;
            }
            why = watch_connection(&handle) => why,
        };
        wait = if feed.last.get() > before {
            BACKOFF_FIRST
        } else {
            (2 * wait).min(BACKOFF_MAX)
        };
        warn!(address = %feed.address.borrow(), why, last = feed.last.get(), "control feed lost, the last list stands");
        tokio::select! {
            biased;
            () = feed.moved.notified() => {}
            () = tokio::time::sleep(Duration::from_micros(rng.u64(0..=wait) * 100)) => {}
        }
    }
}

async fn watch_connection(handle: &Rc<ControllerHandle>) -> String {
    let feed = &handle.config.feed;
    let address = Address::Tcp(feed.address.borrow().to_string());
    let mut stream =
        match tokio::time::timeout(CONNECT_TIMEOUT, handle.network.dial(&address)).await {
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
    let mut due = handle.clock.now() + FIRST_FRAME_TIMEOUT;
    let mut came = handle.clock.now();
    loop {
        match cut(&mut read.bytes) {
            Err(e) => return e.to_string(),
            Ok(Some((number, event))) => {
                if let Err(why) = handle_event(handle, came, number, &event) {
                    return why;
                }
                due = handle.clock.now() + SILENCE_TIMEOUT;
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
            let looked = tokio::time::timeout(LAST_POLL_TIMEOUT, more).await;
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
pub(crate) fn handle_event(
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
        "control feed event received"
    );
    last.set(number);
    handle.update(|state| apply_event(handle, state, came, whole, lines));
    Ok(())
}

pub(crate) fn apply_event(
    handle: &ControllerHandle,
    state: &mut crate::state::ControllerState,
    came: Ticks,
    whole: bool,
    lines: &[saltdrum_platform_wire::feed::EndpointRecord],
) {
    let now = state.invocations.now;
    handle.config.look_at_wall_clock(now);
    let started = |unix_ms: u64| {
        handle
            .config
            .wall_clock_history
            .borrow()
            .start(unix_ms, now)
    };
    apply_list_change(
        state,
        whole,
        lines,
        came,
        started,
        handle.config.deployment.drain_grace,
    );
}
