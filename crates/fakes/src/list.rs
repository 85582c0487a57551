//! The invoker list: whole first, changes after; late by its notice, and lost when told so.

use crate::record::{ControllerId, Line, Record};
use bytes::BytesMut;
use saltdrum::interface::Ticks;
use saltdrum_protocol::frame::{encode, take_frame};
use saltdrum_protocol::list::{Change, Entry, FromList, Life, ToList, Whole};
use saltdrum_transport::{Address, Clock, Network, SendQueue, Stream, split};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::io::AsyncReadExt;
use tokio::task::JoinSet;

pub struct EndpointList {
    clock: Clock,
    record: Record,
    network: Rc<dyn Network>,
    at: RefCell<Address>,
    entries: RefCell<BTreeMap<u32, (Entry, Ticks)>>,
    revision: Cell<u64>,
    followers: RefCell<Vec<(ControllerId, SendQueue)>>,
    tasks: RefCell<JoinSet<()>>,
}

fn word(life: Life) -> &'static str {
    match life {
        Life::Ready => "ready",
        Life::Draining => "draining",
        Life::Gone => "gone",
    }
}

impl EndpointList {
    /// Listens and serves on the `LocalSet` it is called on; gives where.
    pub async fn open(
        network: Rc<dyn Network>,
        clock: Clock,
        record: Record,
        at: &Address,
    ) -> std::io::Result<(Rc<Self>, Address)> {
        let list = Rc::new(Self {
            clock,
            record,
            network,
            at: RefCell::new(at.clone()),
            entries: RefCell::default(),
            revision: Cell::new(1),
            followers: RefCell::default(),
            tasks: RefCell::default(),
        });
        let address = list.resume().await?;
        Ok((list, address))
    }

    /// Serves again after [`Self::lose`].
    pub async fn resume(self: &Rc<Self>) -> std::io::Result<Address> {
        let at = self.at.borrow().clone();
        let (mut door, address) = self.network.listen(&at).await?;
        *self.at.borrow_mut() = address.clone();
        let this = Rc::downgrade(self);
        self.tasks.borrow_mut().spawn_local(async move {
            while let Ok(stream) = door.accept().await {
                let Some(list) = this.upgrade() else { return };
                let serving = list.clone();
                list.tasks
                    .borrow_mut()
                    .spawn_local(async move { serving.attend(stream).await });
            }
        });
        Ok(address)
    }

    /// Every follower is cut off, and nobody answers.
    pub fn stop(&self) {
        self.tasks.borrow_mut().abort_all();
        self.followers.borrow_mut().clear();
    }

    async fn attend(self: Rc<Self>, stream: Stream) {
        let (mut input, mut output) = split(stream);
        let mut read = BytesMut::new();
        let follow = loop {
            match take_frame(&mut read) {
                Ok(Some((kind, body))) => break ToList::read(kind, &body),
                Ok(None) => match input.read_buf(&mut read).await {
                    Ok(n) if n > 0 => {}
                    _ => return,
                },
                Err(_) => return,
            }
        };
        let Ok(ToList::Follow(f)) = follow else {
            return;
        };
        let who = ControllerId {
            controller: f.controller,
            incarnation: f.incarnation,
        };
        let outbox = SendQueue::new(16 << 20);
        let entries: Vec<Entry> = self
            .entries
            .borrow()
            .values()
            .map(|(e, since)| self.aged(e, *since))
            .collect();
        self.note_told(who, &entries);
        let whole = Whole {
            revision: self.revision.get(),
            settled: true,
            entries,
        };
        outbox.push(encode(&whole), Ticks::MAX);
        self.followers.borrow_mut().push((who, outbox.clone()));
        let clock = self.clock;
        let gone = async {
            while let Ok(1..) = input.read_buf(&mut read).await {
                read.clear();
            }
        };
        tokio::select! {
            biased;
            () = gone => {}
            _ = outbox.write_to(&mut output, || clock.now(), |_| ()) => {}
        }
        self.followers.borrow_mut().retain(|(w, _)| *w != who);
    }

    fn aged(&self, entry: &Entry, since: Ticks) -> Entry {
        Entry {
            age_tenths: entry.age_tenths + (self.clock.now() - since),
            ..entry.clone()
        }
    }

    fn note_told(&self, who: ControllerId, entries: &[Entry]) {
        let at = self.clock.now();
        for e in entries {
            let life = word(e.life).to_owned();
            let line = Line::EndpointSent {
                at,
                who,
                invoker: e.invoker,
                incarnation: e.incarnation,
                life,
            };
            self.record.note(line);
        }
    }

    /// A line is new or other than before; all who follow hear of it.
    pub fn publish(&self, entry: Entry) {
        let now = self.clock.now();
        self.revision.set(self.revision.get() + 1);
        let change = FromList::Change(Change {
            revision: self.revision.get(),
            entries: vec![entry.clone()],
        });
        let FromList::Change(change) = change else {
            return;
        };
        for (who, outbox) in self.followers.borrow().iter() {
            outbox.push(encode(&change), Ticks::MAX);
            self.note_told(*who, &change.entries);
        }
        if entry.life == Life::Gone {
            self.entries.borrow_mut().remove(&entry.invoker);
        } else {
            self.entries
                .borrow_mut()
                .insert(entry.invoker, (entry, now));
        }
    }
}
