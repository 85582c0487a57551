//! Follows the invoker list. What the list last said stands while it is away.

use crate::front::{Front, State, reach};
use crate::links::{Link, cut_off};
use crate::redial::Redial;
use saltdrum::interface::*;
use saltdrum_protocol::frame::{cut, encode};
use saltdrum_protocol::list as wire;
use saltdrum_transport::{Address, ArrivalReader};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tracing::{info, warn};

pub(crate) async fn follow(front: Rc<Front>) {
    let (mut redial, mut rng) = (
        Redial::default(),
        fastrand::Rng::with_seed(front.seat.seed ^ 0x1157),
    );
    // Controllers begin with different ones where there are several.
    let mut at = front.seat.controller as usize % front.seat.lists.len().max(1);
    while let Some(list) = front.seat.lists.get(at) {
        let why = followed(&front, list, &mut redial).await;
        redial.lost(front.clock.now());
        warn!(address = %list, why, "invoker list lost; what it said stands");
        at = (at + 1) % front.seat.lists.len();
        tokio::time::sleep(Duration::from_micros(redial.wait(&mut rng) * 100)).await;
    }
}

async fn followed(front: &Rc<Front>, list: &Address, redial: &mut Redial) -> String {
    // Behind a cut a dial hangs, and another list may be there.
    let patience = Duration::from_secs(if front.seat.lists.len() > 1 { 1 } else { 3_600 });
    let dialled = tokio::time::timeout(patience, front.network.dial(list)).await;
    let mut stream = match dialled.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into())) {
        Ok(stream) => stream,
        Err(e) => return e.to_string(),
    };
    let (controller, incarnation) = (front.seat.controller, front.seat.incarnation);
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
    redial.up(front.clock.now());
    let mut read = ArrivalReader::new(stream, front.clock, front.turns.clone());
    let (mut came, mut revision) = (front.clock.now(), None);
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
                let known = front
                    .see(|state| state.desk.reach.list_revision)
                    .unwrap_or(0);
                if front.seat.lists.len() > 1 && w.revision < known {
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
        let new = front.tell(|state| {
            state.desk.reach.list_revision = revision;
            state.desk.reach.listed |= settled;
            told(state, came, whole && settled, entries)
        });
        new.into_iter().for_each(|invoker| reach(front, invoker));
    }
}

/// What the list says reaches the links first, so that nothing the module then does meets an old one. It came at `came` or
/// later, however late it is read, and what drains is cut off by that. Gives invokers that were not known.
fn told(state: &mut State, came: Ticks, whole: bool, entries: Vec<wire::Entry>) -> Vec<InvokerId> {
    let (now, grace) = (
        state.desk.now,
        state.desk.reach.terms.deployment.drain_grace,
    );
    let (mut new, mut all, mut cut) = (Vec::new(), Vec::new(), Vec::new());
    if whole {
        for link in state.desk.reach.links.values_mut() {
            if !entries.iter().any(|e| e.invoker == link.entry.invoker) {
                link.entry.life = wire::Life::Gone;
                cut.push(link.entry.invoker);
            }
        }
    }
    for mut entry in entries {
        let started = now.checked_sub(entry.age_tenths);
        let id = entry.invoker;
        let link = state.desk.reach.links.entry(id).or_insert_with(|| {
            new.push(id);
            Link::new(entry.clone(), started)
        });
        if link.entry.incarnation != entry.incarnation && link.started > started {
            // The invoker itself has told us of a later start than the list knows of.
            entry.incarnation = link.entry.incarnation;
        }
        if link.entry.incarnation != entry.incarnation || link.entry.address != entry.address {
            link.started = started;
            link.redial.renewed();
            link.changed.notify_one();
        } else if link.entry.life == wire::Life::Gone && entry.life != wire::Life::Gone {
            link.changed.notify_one();
        }
        if entry.life == wire::Life::Ready {
            link.cut_at(Ticks::MAX);
        } else {
            cut.push(id);
        }
        link.entry = entry;
        all.push(listed(&link.entry, link.started));
    }
    state.module.invokers_changed(now, whole, &all);
    for invoker in cut {
        // Half the grace is for the way and for what has begun to leave.
        let at = came + grace / 2;
        if let Some(link) = state.desk.reach.links.get_mut(&invoker) {
            link.cut_at(at);
        }
        state
            .desk
            .later(at, Box::new(move |state| cut_off(state, invoker)));
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
