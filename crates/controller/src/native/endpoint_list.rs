//! Follows the endpoint list. While its server is unreachable, the last list stays in effect.

use crate::native::invoker_connection::InvokerConnection;
use crate::native::invoker_connections;
use crate::native::state::{ControllerHandle, ControllerState};
use crate::reconnect::ReconnectBackoff;
use saltdrum::interface::{InvokerId, Ticks};
use saltdrum_protocol::Malformed;
use saltdrum_protocol::frame::{encode, take_frame};
use saltdrum_protocol::list as wire;
use saltdrum_transport::{Address, ArrivalReader, Stream};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tracing::{info, warn};

/// Version of the endpoint watch protocol.
const PROTOCOL_VERSION: u16 = 1;
/// Connect timeout with several servers: behind a partition the connection hangs while another server may be reachable.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Connect timeout with a single server.
const CONNECT_TIMEOUT_SINGLE: Duration = Duration::from_secs(3_600);
/// Mixed into the seed of the random reconnect delays.
const RECONNECT_SEED: u64 = 0x1157;

/// The reason why the watch of an endpoint list server ended.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Malformed(#[from] Malformed),
    #[error("closed by the server")]
    Closed,
    #[error("list has revision {found}, older than the known revision {known}")]
    Lagging { found: u64, known: u64 },
    #[error("second complete list on one connection")]
    SecondList,
    #[error("revision {found} does not follow revision {last:?}")]
    Gap { found: u64, last: Option<u64> },
}

/// An endpoint list or a watch event.
struct ListUpdate {
    revision: u64,
    is_list: bool,
    /// Whether the list is complete.
    is_settled: bool,
    entries: Vec<wire::Entry>,
}

/// Follows the endpoint list servers, one at a time, for the lifetime of the controller.
pub(crate) async fn follow(handle: Rc<ControllerHandle>) {
    let mut backoff = ReconnectBackoff::default();
    let mut rng = fastrand::Rng::with_seed(handle.config.seed ^ RECONNECT_SEED);
    let addresses = &handle.config.endpoint_lists;
    // Controllers start with different servers.
    let mut current = handle.config.controller as usize % addresses.len().max(1);
    while let Some(address) = addresses.get(current) {
        let Err(reason) = watch(&handle, address, &mut backoff).await;
        backoff.disconnected(handle.clock.now());
        warn!(%address, %reason, "endpoint list connection lost, using the last list");
        current = (current + 1) % addresses.len();
        let delay = backoff.next_delay(&mut rng);
        tokio::time::sleep(Duration::from_micros(delay * 100)).await;
    }
}

async fn connect(handle: &ControllerHandle, address: &Address) -> io::Result<Stream> {
    let has_others = handle.config.endpoint_lists.len() > 1;
    let time_limit = if has_others {
        CONNECT_TIMEOUT
    } else {
        CONNECT_TIMEOUT_SINGLE
    };
    let connecting = handle.network.dial(address);
    match tokio::time::timeout(time_limit, connecting).await {
        Ok(connected) => connected,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

/// Follows one server until the connection fails.
async fn watch(
    handle: &Rc<ControllerHandle>,
    address: &Address,
    backoff: &mut ReconnectBackoff,
) -> Result<std::convert::Infallible, WatchError> {
    let mut stream = connect(handle, address).await?;
    let request = wire::Follow {
        version: PROTOCOL_VERSION,
        controller: handle.config.controller,
        incarnation: handle.config.incarnation,
    };
    stream.write_all(&encode(&request)).await?;
    backoff.connected(handle.clock.now());
    let mut reader = ArrivalReader::new(stream, handle.clock, handle.event_loop.clone());
    let mut arrived_at = handle.clock.now();
    let mut revision = None;
    loop {
        let message = match take_frame(&mut reader.bytes)? {
            Some((kind, body)) => wire::FromList::read(kind, &body)?,
            None => {
                arrived_at = reader.read_more().await?.ok_or(WatchError::Closed)?;
                continue;
            }
        };
        let update = check_order(handle, message, revision)?;
        revision = Some(update.revision);
        if update.is_list {
            let (settled, entries) = (update.is_settled, update.entries.len());
            info!(revision, settled, entries, "endpoint list received");
        }
        for invoker in handle.update(|state| apply(state, arrived_at, update)) {
            invoker_connections::spawn(handle, invoker);
        }
    }
}

/// Checks that a message is the initial list, or the next watch event after revision `last`.
fn check_order(
    handle: &ControllerHandle,
    message: wire::FromList,
    last: Option<u64>,
) -> Result<ListUpdate, WatchError> {
    match (message, last) {
        (wire::FromList::Whole(list), None) => {
            // All servers of a fleet use the same revisions: a lagging server must not revert the list.
            let known = handle.inspect(|state| state.invocations.transport.list_revision);
            let known = known.unwrap_or(0);
            if handle.config.endpoint_lists.len() > 1 && list.revision < known {
                return Err(WatchError::Lagging {
                    found: list.revision,
                    known,
                });
            }
            Ok(ListUpdate {
                revision: list.revision,
                is_list: true,
                is_settled: list.settled,
                entries: list.entries,
            })
        }
        (wire::FromList::Change(event), Some(last)) if event.revision == last + 1 => {
            Ok(ListUpdate {
                revision: event.revision,
                is_list: false,
                is_settled: true,
                entries: event.entries,
            })
        }
        (wire::FromList::Whole(_), Some(_)) => Err(WatchError::SecondList),
        (wire::FromList::Change(event), last) => Err(WatchError::Gap {
            found: event.revision,
            last,
        }),
    }
}

/// Applies an update that arrived no earlier than `arrived_at`. Updates the connections first, so that the policy's actions use
/// current entries. Returns the invokers that were not known before.
fn apply(state: &mut ControllerState, arrived_at: Ticks, update: ListUpdate) -> Vec<InvokerId> {
    let now = state.invocations.now;
    let transport = &mut state.invocations.transport;
    transport.list_revision = Some(update.revision);
    transport.has_endpoint_list |= update.is_settled;
    let is_complete = update.is_list && update.is_settled;
    let mut not_ready = Vec::new();
    if is_complete {
        for connection in transport.by_invoker.values_mut() {
            let invoker = connection.entry.invoker;
            if !update.entries.iter().any(|entry| entry.invoker == invoker) {
                connection.entry.life = wire::Life::Gone;
                not_ready.push(invoker);
            }
        }
    }
    let mut new_invokers = Vec::new();
    let mut records = Vec::new();
    for entry in update.entries {
        let invoker = entry.invoker;
        let started_at = now.checked_sub(entry.age_tenths);
        let connection = transport.by_invoker.entry(invoker).or_insert_with(|| {
            new_invokers.push(invoker);
            InvokerConnection::new(entry.clone(), started_at)
        });
        if entry.life != wire::Life::Ready {
            not_ready.push(invoker);
        }
        connection.apply_entry(entry, started_at);
        records.push(connection.record());
    }
    state.policy.invokers_changed(now, is_complete, &records);
    for invoker in not_ready {
        set_cutoff(state, invoker, arrived_at);
    }
    new_invokers
}

/// Sets the time from which no new work is sent to an invoker that was reported draining or gone at `notified_at` (rule 3). The
/// cutoff is half the grace; the other half is reserved for transmission and for partially sent frames.
fn set_cutoff(state: &mut ControllerState, invoker: InvokerId, notified_at: Ticks) {
    let transport = &mut state.invocations.transport;
    let cutoff = notified_at + transport.terms.deployment.drain_grace / 2;
    if let Some(connection) = transport.by_invoker.get_mut(&invoker) {
        connection.cutoff = cutoff;
    }
    let enforce =
        move |state: &mut ControllerState| invoker_connections::enforce_cutoff(state, invoker);
    state.invocations.schedule(cutoff, Box::new(enforce));
}
