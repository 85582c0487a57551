//! What a steward does by itself: it listens to members, tells the others what it makes of silence, and proposes what the
//! fleet owes its members. Any steward may propose any of it at any time; the first that others hear does, so that they
//! do not overtake each other all the while.

use crate::service::Steward;
use crate::wire::{Opinions, Renew, Standing};
use saltdrum::port::{MILLI, SECOND, Tenths};
use saltdrum_fleet::change::Change;
use saltdrum_fleet::fleet::{Fleet, MemberId, Phase};
use saltdrum_fleet::next::{Seen, next};
use saltdrum_fleet::recovery::{Heard, Verdict};
use saltdrum_fleet::register::Voter;
use saltdrum_fleet::suspicion::{Opinion, Silence, is_deaf, weighed};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

const LOOK_EVERY: Tenths = 50 * MILLI;
const TELL_EVERY: Tenths = 150 * MILLI;
/// What another steward said counts for so long.
const FRESH: Tenths = SECOND;
/// A steward's thread that took no turn for so long heard nothing meanwhile.
const STOOD: Tenths = 300 * MILLI;
/// Levels below this are not told.
const LOW: f64 = 0.5;

/// A member as this steward hears it.
pub struct Life {
    incarnation: u64,
    silence: Silence,
    pub seen: Seen,
    /// It has renewed since this steward started or woke.
    heard: bool,
}

/// Another steward, as it last spoke.
pub struct Peer {
    at: Tenths,
    voter: Voter,
    levels: Option<BTreeMap<MemberId, f64>>,
    returning: bool,
}

/// Since when a member is in what it is in, by this steward's own clock: only how long it waits is taken from it.
pub type Since = BTreeMap<MemberId, (u64, Tenths)>;

impl Steward {
    /// A member gave a sign of life.
    pub(crate) fn renewed(&self, said: &Renew) -> Standing {
        let now = self.clock.now();
        let fleet = self.fleet.borrow().clone();
        {
            let mut lives = self.lives.borrow_mut();
            let known = fleet.as_ref().is_some_and(|f| f.members.contains_key(&said.member));
            if known || lives.len() < 20_000 {
                let life = lives.entry(said.member).or_insert_with(|| Life {
                    incarnation: said.incarnation,
                    silence: Silence::new(now, said.every_tenths),
                    seen: said.seen(),
                    heard: true,
                });
                // An older life that wakes must not speak for the one that replaced it.
                let counts = fleet.as_ref().and_then(|f| f.members.get(&said.member));
                let replaced = counts.is_some_and(|m| m.past.contains(&said.incarnation));
                if !replaced {
                    if life.incarnation != said.incarnation {
                        life.incarnation = said.incarnation;
                        life.silence = Silence::new(now, said.every_tenths);
                    }
                    life.silence.heard(now);
                    (life.seen, life.heard) = (said.seen(), true);
                }
            }
        }
        let member = fleet.as_ref().and_then(|f| f.members.get(&said.member));
        Standing {
            revision: fleet.as_ref().map_or(0, |f| f.revision),
            incarnation: member.map(|m| m.about.incarnation),
            phase: member.map(|m| m.phase.clone()),
            turn_back: fleet.as_ref().is_some_and(|f| f.may_turn_back(&said.member)),
        }
    }

    /// How long ago this steward heard each member that it ever heard.
    pub(crate) fn heard_ms_ago(&self) -> BTreeMap<MemberId, u64> {
        let now = self.clock.now();
        self.lives.borrow().iter().map(|(id, l)| (*id, l.silence.since(now) / MILLI)).collect()
    }

    pub(crate) fn opinions(&self, said: Opinions) {
        self.booth.borrow_mut().hear_writes(said.from, said.writes);
        let peer =
            Peer { at: self.clock.now(), voter: said.from, levels: said.levels, returning: said.returning };
        self.peers_said.borrow_mut().insert(said.from.steward, peer);
        if said.decided > self.decided_at.get() {
            self.behind.set(Some((said.from.steward, said.decided)));
        }
    }

    /// What this steward makes of each member's silence; none: it is deaf, or has not listened yet.
    fn levels(&self, fleet: &Fleet) -> Option<BTreeMap<MemberId, f64>> {
        let now = self.clock.now();
        if now < self.listens_from.get() {
            return None;
        }
        let lives = self.lives.borrow();
        let there = |m: &Phase| !matches!(m, Phase::Away { .. } | Phase::Lost { .. });
        let mut levels = BTreeMap::new();
        for (id, _) in fleet.members.iter().filter(|(_, m)| there(&m.phase)) {
            // One that never spoke here is as silent as can be said.
            let level = lives.get(id).map_or(100.0, |l| l.silence.level(now));
            levels.insert(*id, level.min(1_000.0));
        }
        let silent = levels.values().filter(|l| **l >= self.seat.terms.suspect_level).count();
        if is_deaf(silent, levels.len()) {
            return None;
        }
        levels.retain(|_, l| *l >= LOW);
        Some(levels)
    }

    /// All stewards' opinions of one member, this one's included.
    fn level_of(
        &self,
        id: &MemberId,
        mine: &Option<BTreeMap<MemberId, f64>>,
        voters: &BTreeSet<Voter>,
    ) -> Option<f64> {
        let (now, me) = (self.clock.now(), self.booth.borrow().me());
        let peers = self.peers_said.borrow();
        let of = |levels: &BTreeMap<MemberId, f64>| levels.get(id).copied().unwrap_or(0.0);
        let opinions = voters.iter().map(|v| -> Opinion {
            if *v == me {
                return mine.as_ref().map(of);
            }
            let peer = peers.get(&v.steward).filter(|p| p.voter == *v && now <= p.at + FRESH)?;
            peer.levels.as_ref().map(of)
        });
        weighed(voters.len(), opinions)
    }

    /// Whether it is this steward's turn to propose what nobody asked for.
    fn leads(&self, voters: &BTreeSet<Voter>) -> bool {
        let (now, me) = (self.clock.now(), self.booth.borrow().me());
        let peers = self.peers_said.borrow();
        let speaks = |v: &&Voter| {
            **v == me
                || peers
                    .get(&v.steward)
                    .is_some_and(|p| p.voter == **v && !p.returning && now <= p.at + FRESH)
        };
        voters.iter().find(speaks) == Some(&me)
    }

    pub(crate) async fn care(self: Rc<Self>) {
        let (mut told, mut last) = (0, self.clock.now());
        loop {
            self.clock.sleep_until(self.clock.now() + LOOK_EVERY).await;
            let now = self.clock.now();
            if now > last + STOOD {
                warn!(stood_ms = (now - last) / MILLI, "this steward stood still: it listens anew");
                self.lives.borrow_mut().values_mut().for_each(|l| l.silence.was_deaf(now));
                self.peers_said.borrow_mut().clear();
                self.listens_from.set(now + 2 * self.seat.terms.renew);
            }
            last = now;
            let fleet = self.fleet.borrow().clone();
            let mine = fleet.as_ref().and_then(|f| self.levels(f));
            if now >= told + TELL_EVERY {
                told = now;
                self.tell_peers(&mine);
            }
            if let Some((from, to)) = self.behind.take() {
                self.catch_up(from, to).await;
            }
            if let Some(fleet) = fleet
                && !self.booth.borrow().is_returning()
                && self.leads(&fleet.config.voters())
            {
                self.look_after(&fleet, &mine).await;
            }
        }
    }

    fn tell_peers(self: &Rc<Self>, mine: &Option<BTreeMap<MemberId, f64>>) {
        let booth = self.booth.borrow();
        let said = Opinions {
            from: booth.me(),
            levels: mine.clone(),
            decided: self.decided_at.get(),
            writes: booth.writes(),
            returning: booth.is_returning(),
        };
        let me = booth.me().steward;
        drop(booth);
        for steward in self.stewards().into_keys().filter(|s| *s != me) {
            let (this, said) = (self.clone(), said.clone());
            // One at a time on each line: behind a cut they must not pile up.
            if !self.telling.borrow_mut().insert(steward) {
                continue;
            }
            tokio::task::spawn_local(async move {
                if let Some(peer) = this.peer(steward) {
                    let _ = peer.call::<serde_json::Value>("opinions", &said, 500 * MILLI).await;
                }
                this.telling.borrow_mut().remove(&steward);
            });
        }
    }

    /// What the fleet owes its members as things are.
    fn owed(&self, fleet: &Fleet, mine: &Option<BTreeMap<MemberId, f64>>) -> Vec<Change> {
        let (now, terms, voters) = (self.clock.now(), &self.seat.terms, fleet.config.voters());
        let mut changes = Vec::new();
        let mut since = self.since.borrow_mut();
        since.retain(|id, _| fleet.members.contains_key(id));
        for (id, m) in &fleet.members {
            let entry = since.entry(*id).or_insert((m.since, now));
            if entry.0 != m.since {
                *entry = (m.since, now);
            }
            let (member, incarnation, waited) = (*id, m.about.incarnation, now - entry.1);
            match &m.phase {
                Phase::Lost { .. } => {
                    let lives = self.lives.borrow();
                    let life = lives.get(id).filter(|l| l.heard && l.incarnation == incarnation);
                    if life.is_some_and(|l| l.silence.since(now) < 2 * terms.renew) {
                        changes.push(Change::Heard { member, incarnation });
                    }
                    continue;
                }
                Phase::Granted { grant } if waited > terms.grant_for => {
                    changes.push(Change::TakeBack { grant: *grant });
                }
                Phase::Starting { planned: true }
                    if terms.prove_within > 0 && waited > terms.prove_within && fleet.halt.is_none() =>
                {
                    let why = format!("{id} came back and is not proven after {} ms", waited / MILLI);
                    let ends = "an operator's resume, once it is up, lost or forgotten".into();
                    changes.push(Change::Halt { by: "the fleet".into(), why, ends });
                }
                Phase::Draining { .. }
                    if waited > terms.drain_for && self.late.borrow_mut().insert((*id, m.since)) =>
                {
                    warn!(member = %id, waited_ms = waited / MILLI, "a drain is late");
                }
                _ => {}
            }
            if matches!(m.phase, Phase::Away { .. } | Phase::Draining { .. }) {
                continue;
            }
            let level = self.level_of(id, mine, &voters);
            if level.is_some_and(|l| l >= terms.suspect_level) {
                changes.push(Change::Silent { member, incarnation });
            }
        }
        if fleet.config.is_changing() {
            // A round with both sets held by a quorum has to come before: `decided` is one.
            changes.push(Change::Settle { seen: fleet.config.clone() });
        }
        // Grants wait until the losses that are known are counted.
        if changes.is_empty() && mine.is_some() {
            let seen: BTreeMap<MemberId, Seen> =
                self.lives.borrow().iter().map(|(id, l)| (*id, l.seen)).collect();
            let mut after = fleet.clone();
            while let Some(member) = next(&after, &seen) {
                if after.apply(&Change::Grant { member }).is_err() {
                    break;
                }
                changes.push(Change::Grant { member });
            }
        }
        changes
    }

    async fn look_after(self: &Rc<Self>, fleet: &Fleet, mine: &Option<BTreeMap<MemberId, f64>>) {
        let told: Vec<_> = self
            .owed(fleet, mine)
            .into_iter()
            .map(|change| {
                let this = self.clone();
                tokio::task::spawn_local(async move {
                    let told = this.change(change.clone()).await;
                    if let Err((_, why)) = told {
                        info!(?change, why, "not agreed");
                    }
                })
            })
            .collect();
        for one in told {
            let _ = one.await;
        }
    }

    /// Asks the others until it may vote, then ends.
    pub(crate) async fn come_back(self: Rc<Self>) -> Result<(), String> {
        let mut told = false;
        loop {
            let me = self.booth.borrow().me();
            let mut verdict = Verdict::Wait;
            let others: Vec<u32> = self.stewards().into_keys().filter(|s| *s != me.steward).collect();
            let mut answers = tokio::task::JoinSet::new();
            for steward in others.iter().copied() {
                let this = self.clone();
                answers.spawn_local(async move {
                    let peer = this.peer(steward)?;
                    let asked = crate::wire::Recover { from: me, life: this.booth.borrow().life() };
                    peer.call::<(Voter, Heard<Fleet>)>("recover", &asked, 500 * MILLI).await.ok()
                });
            }
            if others.is_empty() {
                verdict = self.booth.borrow_mut().heard_nobody().map_err(|e| e.1)?;
            }
            while let Some(answer) = answers.join_next().await {
                if let Ok(Some((from, heard))) = answer {
                    verdict = self.booth.borrow_mut().heard(from, heard).map_err(|e| e.1)?;
                }
                if verdict == Verdict::Vote {
                    return Ok(());
                }
            }
            match verdict {
                Verdict::Vote => return Ok(()),
                Verdict::OldDisk { mine, heard } if !told => {
                    told = true;
                    warn!(
                        mine,
                        heard, "an old copy of a disk: it does not vote before enough others were heard"
                    );
                }
                _ => {}
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}
