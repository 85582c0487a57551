//! The invoker list, following what was agreed of members, in the present protocol. Its revision is the fleet's, so that it
//! never goes back, whichever steward serves it; a step that changes no line is told as one without lines.

use crate::coordinator::Coordinator;
use bytes::BytesMut;
use saltdrum::interface::Ticks;
use saltdrum_fleet::state::{Fleet, Member, MemberKind, Phase};
use saltdrum_protocol::frame::{cut, encode};
use saltdrum_protocol::list::{Change, Entry, Life, ToList, Whole};
use saltdrum_transport::{Listener, SendQueue, Stream, split};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::io::AsyncReadExt;

/// What lies unread by a follower before it is cut off.
const UNREAD_MOST_BYTES: usize = 64 << 20;
/// A follower that is further behind is told to begin anew.
const STEPS_MOST: u64 = 100_000;

fn life(phase: &Phase) -> Life {
    match phase {
        Phase::Up | Phase::Starting { .. } | Phase::Granted { .. } => Life::Ready,
        Phase::Draining { .. } => Life::Draining,
        Phase::Away { .. } | Phase::Lost { .. } => Life::Gone,
    }
}

type Lines = BTreeMap<u32, Entry>;

impl Coordinator {
    fn entry(&self, number: u32, m: &Member) -> Entry {
        let age = self
            .first_seen
            .borrow()
            .get(&(number, m.info.incarnation))
            .map_or(0, |at| self.clock.now() - at);
        Entry {
            invoker: number,
            address: m.info.address.clone(),
            zone: m.info.zone,
            kind: m.info.machine,
            cell: m.info.cell,
            life: life(&m.phase),
            size: m.info.size as f32,
            incarnation: m.info.incarnation,
            age_tenths: age,
            agent: None,
        }
    }

    fn lines(&self, fleet: &Fleet) -> Lines {
        let invokers = fleet
            .members
            .iter()
            .filter(|(id, _)| id.kind == MemberKind::Invoker);
        let lines = invokers.map(|(id, m)| (id.number, self.entry(id.number, m)));
        lines.filter(|(_, e)| e.life != Life::Gone).collect()
    }

    pub(crate) async fn serve_list(self: Rc<Self>, mut door: Box<dyn Listener>) {
        let mut tasks = tokio::task::JoinSet::new();
        while let Ok(stream) = door.accept().await {
            tasks.spawn_local(self.clone().follower(stream));
            while tasks.try_join_next().is_some() {}
        }
    }

    async fn follower(self: Rc<Self>, stream: Stream) {
        let (mut input, mut output) = split(stream);
        let mut read = BytesMut::new();
        let asked = loop {
            match cut(&mut read) {
                Ok(Some((kind, body))) => break ToList::read(kind, &body),
                Ok(None) if matches!(input.read_buf(&mut read).await, Ok(1..)) => {}
                _ => return,
            }
        };
        let Ok(ToList::Follow(_)) = asked else { return };
        let outbox = SendQueue::new(UNREAD_MOST_BYTES);
        let gone = async {
            while let Ok(1..) = input.read_buf(&mut read).await {
                read.clear();
            }
        };
        tokio::select! {
            biased;
            () = gone => {}
            () = self.tell(&outbox) => {}
            _ = outbox.write_to(&mut output, || 0, |_| ()) => {}
        }
    }

    /// Tells the whole, then each step. Returns when the follower has to begin anew.
    async fn tell(&self, outbox: &SendQueue) {
        let mut news = self.news.subscribe();
        // A steward that has heard of nothing chosen since its start says nothing: what is on its disk may be long over.
        let first = loop {
            if let Some(fleet) = self.fleet.borrow().clone() {
                break fleet;
            }
            if news.changed().await.is_err() {
                return;
            }
        };
        let (mut known, mut at) = (self.lines(&first), first.revision);
        let whole = Whole {
            revision: at,
            settled: true,
            entries: known.values().cloned().collect(),
        };
        outbox.push(encode(&whole), Ticks::MAX);
        while news.changed().await.is_ok() {
            let Some(fleet) = self.fleet.borrow().clone() else {
                continue;
            };
            if fleet.revision < at || fleet.revision - at > STEPS_MOST {
                return;
            }
            let lines = self.lines(&fleet);
            let mut entries = Vec::new();
            for (number, entry) in &lines {
                let same = known.get(number).is_some_and(|k| {
                    (&k.address, k.life, k.incarnation)
                        == (&entry.address, entry.life, entry.incarnation)
                });
                if !same {
                    entries.push(entry.clone());
                }
            }
            for (number, entry) in known.iter().filter(|(n, _)| !lines.contains_key(n)) {
                entries.push(Entry {
                    invoker: *number,
                    life: Life::Gone,
                    ..entry.clone()
                });
            }
            while at < fleet.revision {
                at += 1;
                let entries = if at == fleet.revision {
                    std::mem::take(&mut entries)
                } else {
                    Vec::new()
                };
                if outbox
                    .push(
                        encode(&Change {
                            revision: at,
                            entries,
                        }),
                        Ticks::MAX,
                    )
                    .is_none()
                {
                    return;
                }
            }
            known = lines;
        }
    }
}
