//! Serves the invoker list, derived from the agreed state of the members, in the current list protocol. Its revision is the
//! fleet's, so that it never decreases, whichever coordinator serves the list; a revision that changes no entry is sent as a
//! change without entries.

use crate::coordinator::Coordinator;
use bytes::BytesMut;
use saltdrum::interface::Ticks;
use saltdrum_fleet::state::{Fleet, Member, MemberKind, Phase};
use saltdrum_protocol::frame::{encode, take_frame};
use saltdrum_protocol::list::{Change, Entry, Life, ToList, Whole};
use saltdrum_transport::{Listener, SendQueue, Stream, split};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::io::AsyncReadExt;

/// Unread bytes beyond which a follower is disconnected.
const MAX_UNREAD_BYTES: usize = 64 << 20;
/// A follower that is behind by more revisions than this has to start over.
const MAX_REVISIONS_BEHIND: u64 = 100_000;

/// The life of an invoker on the list, by its phase as a member.
fn list_life(phase: &Phase) -> Life {
    match phase {
        Phase::Up | Phase::Starting { .. } | Phase::Granted { .. } => Life::Ready,
        Phase::Draining { .. } => Life::Draining,
        Phase::Away { .. } | Phase::Lost { .. } => Life::Gone,
    }
}

/// Entries of the list, by the invoker's number.
type Entries = BTreeMap<u32, Entry>;

impl Coordinator {
    fn entry(&self, number: u32, member: &Member) -> Entry {
        let age_ticks = self
            .first_seen
            .borrow()
            .get(&(number, member.info.incarnation))
            .map_or(0, |at| self.clock.now() - at);
        Entry {
            invoker: number,
            address: member.info.address.clone(),
            zone: member.info.zone,
            kind: member.info.machine,
            cell: member.info.cell,
            life: list_life(&member.phase),
            size: member.info.size as f32,
            incarnation: member.info.incarnation,
            age_tenths: age_ticks,
            agent: None,
        }
    }

    fn entries(&self, fleet: &Fleet) -> Entries {
        let invokers = fleet
            .members
            .iter()
            .filter(|(id, _)| id.kind == MemberKind::Invoker);
        let entries = invokers.map(|(id, member)| (id.number, self.entry(id.number, member)));
        entries
            .filter(|(_, entry)| entry.life != Life::Gone)
            .collect()
    }

    /// Accepts followers of the list until the listener fails.
    pub(crate) async fn serve_list(self: Rc<Self>, mut listener: Box<dyn Listener>) {
        let mut tasks = tokio::task::JoinSet::new();
        while let Ok(stream) = listener.accept().await {
            tasks.spawn_local(self.clone().serve_follower(stream));
            while tasks.try_join_next().is_some() {}
        }
    }

    async fn serve_follower(self: Rc<Self>, stream: Stream) {
        let (mut input, mut output) = split(stream);
        let mut buffer = BytesMut::new();
        let request = loop {
            match take_frame(&mut buffer) {
                Ok(Some((kind, body))) => break ToList::read(kind, &body),
                Ok(None) if matches!(input.read_buf(&mut buffer).await, Ok(1..)) => {}
                _ => return,
            }
        };
        let Ok(ToList::Follow(_)) = request else {
            return;
        };
        let outbox = SendQueue::new(MAX_UNREAD_BYTES);
        let closed = async {
            while let Ok(1..) = input.read_buf(&mut buffer).await {
                buffer.clear();
            }
        };
        tokio::select! {
            biased;
            () = closed => {}
            () = self.send_list(&outbox) => {}
            _ = outbox.write_to(&mut output, || 0, |_| ()) => {}
        }
    }

    /// Sends the whole list, then each change. Returns when the follower has to start over.
    async fn send_list(&self, outbox: &SendQueue) {
        let mut decided_revision = self.decided_revision.subscribe();
        // A coordinator that knows no decided value since its start sends nothing: the value on its disk may be out of date.
        let first = loop {
            if let Some(fleet) = self.fleet.borrow().clone() {
                break fleet;
            }
            if decided_revision.changed().await.is_err() {
                return;
            }
        };
        let (mut sent, mut revision) = (self.entries(&first), first.revision);
        let whole = Whole {
            revision,
            settled: true,
            entries: sent.values().cloned().collect(),
        };
        outbox.push(encode(&whole), Ticks::MAX);
        while decided_revision.changed().await.is_ok() {
            let Some(fleet) = self.fleet.borrow().clone() else {
                continue;
            };
            if fleet.revision < revision || fleet.revision - revision > MAX_REVISIONS_BEHIND {
                return;
            }
            let current = self.entries(&fleet);
            let mut changed = Vec::new();
            for (number, entry) in &current {
                let is_same = sent.get(number).is_some_and(|known| {
                    (&known.address, known.life, known.incarnation)
                        == (&entry.address, entry.life, entry.incarnation)
                });
                if !is_same {
                    changed.push(entry.clone());
                }
            }
            for (number, entry) in sent
                .iter()
                .filter(|(number, _)| !current.contains_key(number))
            {
                changed.push(Entry {
                    invoker: *number,
                    life: Life::Gone,
                    ..entry.clone()
                });
            }
            while revision < fleet.revision {
                revision += 1;
                let entries = if revision == fleet.revision {
                    std::mem::take(&mut changed)
                } else {
                    Vec::new()
                };
                if outbox
                    .push(encode(&Change { revision, entries }), Ticks::MAX)
                    .is_none()
                {
                    return;
                }
            }
            sent = current;
        }
    }
}
