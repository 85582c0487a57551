//! Follows the invoker list. What the list last said stands while it is away.

use crate::native::invoker_connections::{InvokerConnection, cut_off};
use crate::native::server::{ControllerHandle, ControllerState, reach};
use crate::reconnect::ReconnectBackoff;
use saltdrum::interface::*;
use saltdrum_protocol::frame::{cut, encode};
use saltdrum_protocol::list as wire;
use saltdrum_transport::{Address, ArrivalReader};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tracing::{info, warn};

pub(crate) async fn follow(handle: Rc<ControllerHandle>) {
    let (mut redial, mut rng) = (
        ReconnectBackoff::default(),
        fastrand::Rng::with_seed(handle.config.seed ^ 0x1157),
    );
    // Controllers begin with different ones where there are several.
    let mut at = handle.config.controller as usize % handle.config.endpoint_lists.len().max(1);
    while let Some(list) = handle.config.endpoint_lists.get(at) {
        let why = followed(&handle, list, &mut redial).await;
        redial.disconnected(handle.clock.now());
        warn!(address = %list, why, "invoker list lost; what it said stands");
        at = (at + 1) % handle.config.endpoint_lists.len();
        tokio::time::sleep(Duration::from_micros(redial.next_delay(&mut rng) * 100)).await;
    }
}

async fn followed(
    handle: &Rc<ControllerHandle>,
    list: &Address,
    redial: &mut ReconnectBackoff,
) -> String {
    // Behind a cut a dial hangs, and another list may be there.
    let patience = Duration::from_secs(if handle.config.endpoint_lists.len() > 1 {
        1
    } else {
        3_600
    });
    let dialled = tokio::time::timeout(patience, handle.network.dial(list)).await;
    let mut stream = match dialled.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into())) {
        Ok(stream) => stream,
        Err(e) => return e.to_string(),
    };
    let (controller, incarnation) = (handle.config.controller, handle.config.incarnation);
    if let Err(e) = stream
        .write_all(&encode(&wire::Follow {
            version: 1,
            controller,
            incarnation,
        }))
        .await
    {
        return e.to_string();
    }
    redial.connected(handle.clock.now());
    let mut read = ArrivalReader::new(stream, handle.clock, handle.event_loop.clone());
    let (mut came, mut revision) = (handle.clock.now(), None);
    loop {
        let message = match cut(&mut read.bytes) {
            Err(e) => return e.to_string(),
            Ok(Some((kind, body))) => wire::FromList::read(kind, &body),
            Ok(None) => match read.read_more().await {
                Ok(Some(at)) => {
                    came = at;
                    continue;
                }
                Ok(None) => return "hung up".into(),
                Err(e) => return e.to_string(),
            },
        };
        let (whole, settled, entries) = match (message, revision) {
            (Ok(wire::FromList::Whole(w)), None) => {
                // Lists of one fleet count its revisions: one that lags behind another must not turn it back.
                let known = handle
                    .inspect(|state| state.invocations.transport.list_revision)
                    .unwrap_or(0);
                if handle.config.endpoint_lists.len() > 1 && w.revision < known {
                    return format!(
                        "revision {} where {known} is known: it lags behind",
                        w.revision
                    );
                }
                revision = Some(w.revision);
                (true, w.settled, w.entries)
            }
            (Ok(wire::FromList::Change(c)), Some(last)) if c.revision == last + 1 => {
                revision = Some(c.revision);
                (false, true, c.entries)
            }
            (Ok(wire::FromList::Whole(_)), Some(_)) => {
                return "the whole list a second time".into();
            }
            (Ok(wire::FromList::Change(c)), last) => {
                return format!(
                    "revision {} after {last:?}: the next was expected",
                    c.revision
                );
            }
            (Err(e), _) => return e.to_string(),
        };
        if whole {
            info!(revision, settled, entries = entries.len(), "invoker list");
        }
        let new = handle.update(|state| {
            state.invocations.transport.list_revision = revision;
            state.invocations.transport.has_endpoint_list |= settled;
            told(state, came, whole && settled, entries)
        });
        new.into_iter().for_each(|invoker| reach(handle, invoker));
    }
}

/// What the list says reaches the links first, so that nothing the policy then does meets an old one. It came at `came` or
/// later, however late it is read, and what drains is cut off by that. Gives invokers that were not known.
fn told(
    state: &mut ControllerState,
    came: Ticks,
    whole: bool,
    entries: Vec<wire::Entry>,
) -> Vec<InvokerId> {
    let (now, grace) = (
        state.invocations.now,
        state.invocations.transport.terms.deployment.drain_grace,
    );
    let (mut new, mut all, mut cut) = (Vec::new(), Vec::new(), Vec::new());
    if whole {
        for link in state.invocations.transport.by_invoker.values_mut() {
            if !entries.iter().any(|e| e.invoker == link.entry.invoker) {
                link.entry.life = wire::Life::Gone;
                cut.push(link.entry.invoker);
            }
        }
    }
    for mut entry in entries {
        let started = now.checked_sub(entry.age_tenths);
        let id = entry.invoker;
        let link = state
            .invocations
            .transport
            .by_invoker
            .entry(id)
            .or_insert_with(|| {
                new.push(id);
                InvokerConnection::new(entry.clone(), started)
            });
        if link.entry.incarnation != entry.incarnation && link.started > started {
            // The invoker itself has told us of a later start than the list knows of.
            entry.incarnation = link.entry.incarnation;
        }
        if link.entry.incarnation != entry.incarnation || link.entry.address != entry.address {
            link.started = started;
            link.backoff.reset();
            link.changed.notify_one();
        } else if link.entry.life == wire::Life::Gone && entry.life != wire::Life::Gone {
            link.changed.notify_one();
        }
        if entry.life == wire::Life::Ready {
            link.set_cutoff(Ticks::MAX);
        } else {
            cut.push(id);
        }
        link.entry = entry;
        all.push(listed(&link.entry, link.started));
    }
    state.policy.invokers_changed(now, whole, &all);
    for invoker in cut {
        // Half the grace is for the way and for what has begun to leave.
        let at = came + grace / 2;
        if let Some(link) = state.invocations.transport.by_invoker.get_mut(&invoker) {
            link.set_cutoff(at);
        }
        state
            .invocations
            .schedule(at, Box::new(move |state| cut_off(state, invoker)));
    }
    new
}

pub(crate) fn listed(entry: &wire::Entry, started: Option<Ticks>) -> InvokerRecord {
    InvokerRecord {
        invoker: entry.invoker,
        zone: entry.zone,
        machine_kind: entry.kind,
        cell: entry.cell,
        status: match entry.life {
            wire::Life::Ready => InvokerStatus::Ready,
            wire::Life::Draining => InvokerStatus::Draining,
            wire::Life::Gone => InvokerStatus::Gone,
        },
        capacity: f64::from(entry.size),
        started_at: started,
    }
}
