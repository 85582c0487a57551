//! Watches the endpoint feed for the list of invokers. While the feed is lost, the last list remains in use.

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

/// Longest time between complete frames; the feed sends a heartbeat each second. Events missed on a silent feed count
/// as reported after 4 s: by then a second reconnect, if the connection of the first is silent too, must have delivered
/// them.
const SILENCE_TIMEOUT: Ticks = 1_600 * MILLISECOND;
/// Longest time until the first complete frame, which the feed sends within a second of the request.
const FIRST_FRAME_TIMEOUT: Ticks = 1_200 * MILLISECOND;
/// After a timeout the kernel is polled once more, within one or two event loop turns.
const LAST_POLL_TIMEOUT: Duration = Duration::from_millis(30);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Reconnects use a jittered backoff whose bound doubles, as all controllers lose the feed at the same time.
const BACKOFF_FIRST: Ticks = 100 * MILLISECOND;
const BACKOFF_MAX: Ticks = 400 * MILLISECOND;

/// Why a connection to the feed ended.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WatchError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Malformed(#[from] Malformed),
    #[error("connect timed out")]
    ConnectTimedOut,
    #[error("no complete frame in time")]
    Silent,
    #[error("closed by the feed")]
    Closed,
    #[error("heartbeat at event {number}, but the last event received is {last}")]
    MissedEvents { number: u64, last: u64 },
    #[error("event {number} after {last}: the next one is expected")]
    Gap { number: u64, last: u64 },
}

/// Address of the feed, the number of the last event applied, and how long the feed has been lost.
pub(crate) struct EndpointWatch {
    address: RefCell<SocketAddrV4>,
    address_changed: Notify,
    last_event: Cell<u64>,
    /// Whether the current connection has unread bytes in the kernel.
    backlog: RefCell<ReadBacklog>,
    /// All events up to this time are known: the earliest time at which the frame that proves it can have arrived;
    /// before the first frame, the start of the controller.
    current_at: Cell<Ticks>,
    /// Since when the feed is lost, that is, when the list was last known to be current.
    lost_since: Cell<Option<Ticks>>,
    /// How often a connection to the feed was lost or could not be established.
    losses: Cell<u64>,
    /// Whether all events up to the present were read from the current connection.
    is_caught_up: Cell<bool>,
    /// Whether the list was logged as out of date since it was last current.
    is_out_of_date_logged: Cell<bool>,
}

impl EndpointWatch {
    /// Creates the watch of a feed without a connection; the list up to `last_event` is known at `now`.
    pub fn new(address: SocketAddrV4, last_event: u64, now: Ticks) -> Self {
        Self {
            address: RefCell::new(address),
            address_changed: Notify::new(),
            last_event: Cell::new(last_event),
            backlog: RefCell::new(ReadBacklog::empty()),
            current_at: Cell::new(now),
            lost_since: Cell::new(None),
            losses: Cell::new(0),
            is_caught_up: Cell::new(false),
            is_out_of_date_logged: Cell::new(false),
        }
    }

    /// Whether there may be unread events in the kernel.
    pub fn is_behind(&self) -> bool {
        self.backlog.borrow().has_unread()
    }

    /// Number of the last event applied.
    pub fn last_event(&self) -> u64 {
        self.last_event.get()
    }

    /// Time since the list was last known to be current.
    pub fn age(&self, now: Ticks) -> Ticks {
        now.saturating_sub(self.current_at.get())
    }

    /// How often a connection to the feed was lost or could not be established.
    pub fn losses(&self) -> u64 {
        self.losses.get()
    }

    /// Changes the address of the feed; its event numbers continue.
    pub fn set_address(&self, address: SocketAddrV4) {
        if self.address.replace(address) != address {
            self.address_changed.notify_one();
        }
    }

    /// Logs that the list is out of date, once until it is current again.
    pub fn log_out_of_date(&self, now: Ticks) {
        if !self.is_out_of_date_logged.replace(true) {
            let list_age_ms = self.age(now) / MILLISECOND;
            let last = self.last_event.get();
            warn!(
                last,
                list_age_ms, "endpoint list out of date, invokers are probed before new work"
            );
        }
    }

    /// Records a complete frame that arrived at `arrived_at` or later and proves that all events up to then are known.
    fn set_current(&self, now: Ticks, arrived_at: Ticks) {
        self.current_at.set(arrived_at.max(self.current_at.get()));
        self.is_out_of_date_logged.set(false);
        if let Some(since) = self.lost_since.take() {
            warn!(
                address = %self.address.borrow(),
                out_for_ms = now.saturating_sub(since) / MILLISECOND,
                losses = self.losses.get(),
                last = self.last_event.get(),
                "endpoint feed recovered"
            );
        }
    }

    /// Records that a connection to the feed was lost or could not be established.
    fn connection_lost(&self, now: Ticks, reason: &WatchError) {
        self.losses.set(self.losses.get() + 1);
        self.lost_since
            .set(self.lost_since.get().or(Some(self.current_at.get())));
        warn!(
            address = %self.address.borrow(),
            why = %reason,
            last = self.last_event.get(),
            list_age_ms = self.age(now) / MILLISECOND,
            losses = self.losses.get(),
            "endpoint feed lost"
        );
    }
}

/// Watches the feed, and reconnects when a connection is lost.
pub(crate) async fn watch(handle: Rc<ControllerHandle>) {
    let (feed, mut backoff) = (&handle.config.feed, BACKOFF_FIRST);
    let mut rng = fastrand::Rng::with_seed(handle.config.seed ^ 0xfeed);
    loop {
        let before = feed.last_event.get();
        let reason = tokio::select! {
            biased;
            () = feed.address_changed.notified() => {
                info!(address = %feed.address.borrow(), "endpoint feed address changed");
                backoff = BACKOFF_FIRST;
                continue;
            }
            Err(reason) = watch_connection(&handle) => reason,
        };
        backoff = if feed.last_event.get() > before {
            BACKOFF_FIRST
        } else {
            (2 * backoff).min(BACKOFF_MAX)
        };
        feed.connection_lost(handle.clock.now(), &reason);
        tokio::select! {
            biased;
            () = feed.address_changed.notified() => {}
            () = tokio::time::sleep(Duration::from_micros(rng.u64(0..=backoff) * 100)) => {}
        }
    }
}

/// Follows one connection to the feed until it ends.
async fn watch_connection(handle: &Rc<ControllerHandle>) -> Result<Infallible, WatchError> {
    let feed = &handle.config.feed;
    let address = Address::Tcp(feed.address.borrow().to_string());
    // Events may be in the kernel from the dial on, however long the process is stopped before it reads them.
    let dialled_at = handle.clock.now();
    let dialled = tokio::time::timeout(CONNECT_TIMEOUT, handle.network.dial(&address)).await;
    let mut stream = dialled.map_err(|_| WatchError::ConnectTimedOut)??;
    stream
        .write_all(&feed.last_event.get().to_be_bytes())
        .await?;
    let event_loop = handle.event_loop.clone();
    let mut read = ArrivalReader::opened_at(stream, dialled_at, handle.clock, event_loop);
    feed.backlog.replace(read.backlog());
    feed.is_caught_up.set(false);
    // Only complete frames extend the deadline: one that arrives byte by byte carries no event yet.
    let mut deadline = handle.clock.now() + FIRST_FRAME_TIMEOUT;
    let mut arrived_at = dialled_at;
    loop {
        if let Some((number, event)) = decode(&mut read.bytes)? {
            handle_event(handle, arrived_at, number, &event)?;
            deadline = handle.clock.now() + SILENCE_TIMEOUT;
        } else {
            arrived_at = read_until(handle, &mut read, deadline).await?;
        }
    }
}

/// Reads more bytes until `deadline`. A process that was stopped past the deadline handles its timers before its
/// sockets, so that the kernel is polled once more before the feed counts as silent.
async fn read_until(
    handle: &ControllerHandle,
    read: &mut ArrivalReader<Stream>,
    deadline: Ticks,
) -> Result<Ticks, WatchError> {
    let mut more = std::pin::pin!(read.read_more());
    let result = match tokio::time::timeout_at(handle.clock.instant(deadline), &mut more).await {
        Ok(result) => result,
        Err(_) => {
            let last_poll = tokio::time::timeout(LAST_POLL_TIMEOUT, more).await;
            last_poll.map_err(|_| WatchError::Silent)?
        }
    };
    result?.ok_or(WatchError::Closed)
}

/// Handles one event that arrived at `arrived_at` or later. `Err`: events were missed and have to be requested again.
pub(crate) fn handle_event(
    handle: &ControllerHandle,
    arrived_at: Ticks,
    number: u64,
    event: &Event,
) -> Result<(), WatchError> {
    let feed = &handle.config.feed;
    let last = feed.last_event.get();
    let (is_complete, records) = match event {
        // A heartbeat carries the number of the last event: a later one than ours was not sent to us.
        Event::Heartbeat if number > last => return Err(WatchError::MissedEvents { number, last }),
        Event::Heartbeat => {
            feed.is_caught_up.set(true);
            list_is_current(handle, arrived_at);
            return Ok(());
        }
        // A duplicate event is ignored.
        _ if number <= last => return Ok(()),
        Event::Changes(_) if number > last + 1 => return Err(WatchError::Gap { number, last }),
        Event::Snapshot(records) => (true, records),
        Event::Changes(records) => (false, records),
    };
    let now = handle.clock.now();
    log_event(number, is_complete, records, now.saturating_sub(arrived_at));
    feed.last_event.set(number);
    handle.update(|state| apply_event(handle, state, arrived_at, is_complete, records));
    // After a reconnect, further missed events may follow this one, and count as reported as well: the list is current
    // only with the next heartbeat.
    if feed.is_caught_up.get() {
        list_is_current(handle, arrived_at);
    }
    Ok(())
}

/// Records and reports to the policy that all events up to `arrived_at` are known.
fn list_is_current(handle: &ControllerHandle, arrived_at: Ticks) {
    let feed = &handle.config.feed;
    feed.set_current(handle.clock.now(), arrived_at);
    handle.update(|state| {
        let now = state.invocations.now;
        state.policy.endpoint_list_refreshed(now, arrived_at);
    });
}

/// Logs an event, and each invoker in it that accepts no new work.
fn log_event(number: u64, is_complete: bool, records: &[EndpointRecord], waited: Ticks) {
    info!(
        number,
        whole = is_complete,
        lines = records.len(),
        waited_most_ms = waited / MILLISECOND,
        "endpoint feed event received"
    );
    let not_ready = records
        .iter()
        .filter(|record| record.status != InvokerStatus::Ready);
    for record in not_ready {
        let id = format_invoker_id(record.invoker);
        info!(number, id, status = ?record.status, "invoker accepts no new work");
    }
}

/// Applies the records of an event to the pools and the policy.
pub(crate) fn apply_event(
    handle: &ControllerHandle,
    state: &mut crate::state::ControllerState,
    arrived_at: Ticks,
    is_complete: bool,
    records: &[EndpointRecord],
) {
    let now = state.invocations.now;
    handle.config.observe_wall_clock(now);
    let start_time = |unix_ms: u64| {
        handle
            .config
            .wall_clock_history
            .borrow()
            .start_time(unix_ms, now)
    };
    apply_list_change(
        state,
        is_complete,
        records,
        arrived_at,
        start_time,
        handle.config.deployment.drain_grace,
    );
}
