//! Watches the control feed for the list of invokers. While the feed is lost, the last list stands.

use crate::invoker_pools::apply_list_change;
use crate::state::ControllerHandle;
use saltdrum::interface::{InvokerStatus, MILLISECOND, Ticks};
use saltdrum_platform_wire::Malformed;
use saltdrum_platform_wire::feed::{EndpointRecord, Event, decode, format_invoker_id};
use saltdrum_transport::{Address, ArrivalReader, ReadBacklog, Stream};
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddrV4;
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

/// Why a connection to the feed is not followed any more.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WatchError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Malformed(#[from] Malformed),
    #[error("no connection in time")]
    NoConnection,
    #[error("silent")]
    Silent,
    #[error("hung up")]
    Closed,
    #[error("events to {told} after {last}: they were expected before")]
    Untold { told: u64, last: u64 },
    #[error("event {number} after {last}: the next was expected")]
    Gap { number: u64, last: u64 },
}

/// Address of the feed, the number of the last event applied, and how long the feed has been lost.
pub(crate) struct EndpointWatch {
    address: RefCell<SocketAddrV4>,
    moved: Notify,
    last: Cell<u64>,
    /// What lies in the machine of the connection that is followed.
    backlog: RefCell<ReadBacklog>,
    /// All events up to then are known: the earliest time at which the frame that shows it can have arrived; before the first
    /// one, when the controller started.
    heard_at: Cell<Ticks>,
    /// Since when the feed is lost: nothing complete came since.
    lost_since: Cell<Option<Ticks>>,
    /// How often a connection to the feed was lost, or was not made.
    losses: Cell<u64>,
    /// Whether all events up to the present were read from the connection that is followed.
    is_caught_up: Cell<bool>,
    /// Whether it was logged that the list is out of date, since the feed was last heard.
    is_out_of_date_logged: Cell<bool>,
}

impl EndpointWatch {
    /// A feed that was not heard yet; the list up to event `last` was known at `now`.
    pub fn new(address: SocketAddrV4, last: u64, now: Ticks) -> Self {
        Self {
            address: RefCell::new(address),
            moved: Notify::new(),
            last: Cell::new(last),
            backlog: RefCell::new(ReadBacklog::empty()),
            heard_at: Cell::new(now),
            lost_since: Cell::new(None),
            losses: Cell::new(0),
            is_caught_up: Cell::new(false),
            is_out_of_date_logged: Cell::new(false),
        }
    }

    /// Whether there may be events in the machine that were not read yet.
    pub fn is_behind(&self) -> bool {
        self.backlog.borrow().has_unread()
    }

    /// Number of the last event applied.
    pub fn last(&self) -> u64 {
        self.last.get()
    }

    /// How long ago the last complete frame came.
    pub fn age(&self, now: Ticks) -> Ticks {
        now.saturating_sub(self.heard_at.get())
    }

    /// How often a connection to the feed was lost, or was not made.
    pub fn losses(&self) -> u64 {
        self.losses.get()
    }

    /// It is elsewhere from now on; its numbers go on.
    pub fn moves(&self, to: SocketAddrV4) {
        if self.address.replace(to) != to {
            self.moved.notify_one();
        }
    }

    /// Logs that the list is out of date, once until the feed is heard again.
    pub fn log_out_of_date(&self, now: Ticks) {
        if !self.is_out_of_date_logged.replace(true) {
            let list_age_ms = self.age(now) / MILLISECOND;
            let last = self.last.get();
            warn!(
                last,
                list_age_ms, "endpoint list out of date, invokers are probed before new work"
            );
        }
    }

    /// A complete frame came, at `came` or later, with which all events up to then are known.
    fn heard(&self, now: Ticks, came: Ticks) {
        self.heard_at.set(came.max(self.heard_at.get()));
        self.is_out_of_date_logged.set(false);
        if let Some(since) = self.lost_since.take() {
            warn!(
                address = %self.address.borrow(),
                out_for_ms = now.saturating_sub(since) / MILLISECOND,
                losses = self.losses.get(),
                last = self.last.get(),
                "control feed heard again"
            );
        }
    }

    /// A connection to the feed was lost, or was not made.
    fn connection_lost(&self, now: Ticks, reason: &WatchError) {
        self.losses.set(self.losses.get() + 1);
        self.lost_since
            .set(self.lost_since.get().or(Some(self.heard_at.get())));
        warn!(
            address = %self.address.borrow(),
            why = %reason,
            last = self.last.get(),
            list_age_ms = self.age(now) / MILLISECOND,
            losses = self.losses.get(),
            "control feed lost"
        );
    }
}

pub(crate) async fn watch(handle: Rc<ControllerHandle>) {
    let (feed, mut wait) = (&handle.config.feed, BACKOFF_FIRST);
    let mut rng = fastrand::Rng::with_seed(handle.config.seed ^ 0xfeed);
    loop {
        let before = feed.last.get();
        let reason = tokio::select! {
            biased;
            () = feed.moved.notified() => {
                info!(address = %feed.address.borrow(), "control feed address changed");
                wait = BACKOFF_FIRST;
                continue;
            }
            Err(reason) = watch_connection(&handle) => reason,
        };
        wait = if feed.last.get() > before {
            BACKOFF_FIRST
        } else {
            (2 * wait).min(BACKOFF_MAX)
        };
        feed.connection_lost(handle.clock.now(), &reason);
        tokio::select! {
            biased;
            () = feed.moved.notified() => {}
            () = tokio::time::sleep(Duration::from_micros(rng.u64(0..=wait) * 100)) => {}
        }
    }
}

async fn watch_connection(handle: &Rc<ControllerHandle>) -> Result<Infallible, WatchError> {
    let feed = &handle.config.feed;
    let address = Address::Tcp(feed.address.borrow().to_string());
    // What the feed tells may lie in the machine from the dial on, however late the process goes on.
    let dialled_at = handle.clock.now();
    let dialled = tokio::time::timeout(CONNECT_TIMEOUT, handle.network.dial(&address)).await;
    let mut stream = dialled.map_err(|_| WatchError::NoConnection)??;
    stream.write_all(&feed.last.get().to_be_bytes()).await?;
    let event_loop = handle.event_loop.clone();
    let mut read = ArrivalReader::opened_at(stream, dialled_at, handle.clock, event_loop);
    feed.backlog.replace(read.backlog());
    feed.is_caught_up.set(false);
    // Only whole frames break a silence: one that comes byte by byte tells nothing.
    let mut due = handle.clock.now() + FIRST_FRAME_TIMEOUT;
    let mut came = dialled_at;
    loop {
        if let Some((number, event)) = decode(&mut read.bytes)? {
            handle_event(handle, came, number, &event)?;
            due = handle.clock.now() + SILENCE_TIMEOUT;
        } else {
            came = read_by(handle, &mut read, due).await?;
        }
    }
}

/// Reads more until `due`. A process that was stopped over that time hears its timers before its sockets: what lies in the
/// machine by then was no silence.
async fn read_by(
    handle: &ControllerHandle,
    read: &mut ArrivalReader<Stream>,
    due: Ticks,
) -> Result<Ticks, WatchError> {
    let mut more = std::pin::pin!(read.read_more());
    let got = match tokio::time::timeout_at(handle.clock.instant(due), &mut more).await {
        Ok(got) => got,
        Err(_) => {
            let looked = tokio::time::timeout(LAST_POLL_TIMEOUT, more).await;
            looked.map_err(|_| WatchError::Silent)?
        }
    };
    got?.ok_or(WatchError::Closed)
}

/// One event that came at this time or later; `Err`: some were missed, and have to be asked for.
pub(crate) fn handle_event(
    handle: &ControllerHandle,
    came: Ticks,
    number: u64,
    event: &Event,
) -> Result<(), WatchError> {
    let feed = &handle.config.feed;
    let last = feed.last.get();
    let (whole, lines) = match event {
        // It carries the number of the last event: a later one than ours was never told us.
        Event::Heartbeat if number > last => return Err(WatchError::Untold { told: number, last }),
        Event::Heartbeat => {
            feed.is_caught_up.set(true);
            list_heard(handle, came);
            return Ok(());
        }
        // Written twice: heard once.
        _ if number <= last => return Ok(()),
        Event::Changes(_) if number > last + 1 => return Err(WatchError::Gap { number, last }),
        Event::Snapshot(lines) => (true, lines),
        Event::Changes(lines) => (false, lines),
    };
    let now = handle.clock.now();
    log_event(number, whole, lines, now.saturating_sub(came));
    feed.last.set(number);
    handle.update(|state| apply_event(handle, state, came, whole, lines));
    // Others may follow an event that was asked for after a gap, and count as told like it: they are known with the next
    // empty frame.
    if feed.is_caught_up.get() {
        list_heard(handle, came);
    }
    Ok(())
}

/// All events up to `came` are known.
fn list_heard(handle: &ControllerHandle, came: Ticks) {
    let feed = &handle.config.feed;
    feed.heard(handle.clock.now(), came);
    handle.update(|state| {
        let now = state.invocations.now;
        state.policy.endpoint_list_refreshed(now, came);
    });
}

/// Logs an event, and each invoker in it that takes no new work.
fn log_event(number: u64, whole: bool, lines: &[EndpointRecord], waited: Ticks) {
    info!(
        number,
        whole,
        lines = lines.len(),
        waited_most_ms = waited / MILLISECOND,
        "control feed event received"
    );
    let not_ready = lines.iter().filter(|l| l.status != InvokerStatus::Ready);
    for line in not_ready {
        let id = format_invoker_id(line.invoker);
        info!(number, id, status = ?line.status, "invoker takes no new work");
    }
}

pub(crate) fn apply_event(
    handle: &ControllerHandle,
    state: &mut crate::state::ControllerState,
    came: Ticks,
    whole: bool,
    lines: &[EndpointRecord],
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
