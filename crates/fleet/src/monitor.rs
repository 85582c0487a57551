//! What a steward makes of what it hears of members and of other stewards, and what the fleet owes its members by that. Any
//! steward may propose any of it at any time; the first in order of those that others hear does, so that they do not
//! overtake each other all the while. Times are tenths of a millisecond of this steward's own clock; only how long something
//! waits, and how unusual a silence is, is taken from them.

use crate::change::Change;
use crate::drain_scheduler::{Seen, next};
use crate::failure_detector::{ArrivalWindow, Opinion, is_deaf, weighed};
use crate::register::Voter;
use crate::state::{Fleet, MemberId, Phase};
use std::collections::{BTreeMap, BTreeSet};

/// What another steward said counts for so long.
const FRESH: u64 = 10_000;
/// A steward that took no turn for so long heard nothing meanwhile.
const STOOD: u64 = 3_000;
/// Levels below this are not told.
const LOW: f64 = 0.5;
/// Of a member that was never heard, and more than which is not told.
const UNHEARD: f64 = 1_000.0;
const LIVES_MOST: usize = 20_000;

/// As the deployment states it.
#[derive(Clone, Debug)]
pub struct Timeouts {
    pub renew: u64,
    pub suspect_level: f64,
    pub grant_for: u64,
    pub drain_for: u64,
    /// 0: for ever.
    pub prove_within: u64,
}

/// Levels of suspicion that are not low, by member.
pub type Levels = BTreeMap<MemberId, f64>;

struct Life {
    incarnation: u64,
    silence: ArrivalWindow,
    seen: Seen,
}

struct Peer {
    at: u64,
    levels: Option<Levels>,
    returning: bool,
}

/// What one steward has heard of members and of other stewards, and since when.
pub struct MemberMonitor {
    me: Voter,
    timeouts: Timeouts,
    lives: BTreeMap<MemberId, Life>,
    peers: BTreeMap<Voter, Peer>,
    /// Since when a member is in its phase: the revision at which it came into it, and when that was first seen here.
    since: BTreeMap<MemberId, (u64, u64)>,
    /// Drains that were told as late.
    late: BTreeSet<(MemberId, u64)>,
    listens_from: u64,
    last_turn: u64,
}

impl MemberMonitor {
    /// One that has heard nobody yet.
    pub fn new(now: u64, me: Voter, timeouts: Timeouts) -> Self {
        Self {
            me,
            listens_from: now + 4 * timeouts.renew,
            timeouts,
            lives: BTreeMap::new(),
            peers: BTreeMap::new(),
            since: BTreeMap::new(),
            late: BTreeSet::new(),
            last_turn: now,
        }
    }

    /// To be called often, whatever else the steward waits for. Gives how long it stood still, if it did: then what came
    /// meanwhile was not heard in time, and it begins to listen anew.
    pub fn turn(&mut self, now: u64) -> Option<u64> {
        let gap = now - std::mem::replace(&mut self.last_turn, now).min(now);
        if gap <= STOOD {
            return None;
        }
        self.lives
            .values_mut()
            .for_each(|l| l.silence.was_deaf(now));
        self.peers.clear();
        self.listens_from = now + 2 * self.timeouts.renew;
        Some(gap)
    }

    /// A member gave a sign of life, and will again within `every`.
    pub fn renewed(
        &mut self,
        now: u64,
        fleet: Option<&Fleet>,
        member: MemberId,
        incarnation: u64,
        every: u64,
        seen: Seen,
    ) {
        let known = fleet.and_then(|f| f.members.get(&member));
        // An older life that wakes must not speak for the one that replaced it.
        let replaced = known.is_some_and(|m| m.past.contains(&incarnation));
        if replaced || (known.is_none() && self.lives.len() >= LIVES_MOST) {
            return;
        }
        let new = || Life {
            incarnation,
            silence: ArrivalWindow::new(now, every),
            seen,
        };
        let life = self.lives.entry(member).or_insert_with(new);
        if life.incarnation != incarnation {
            *life = new();
        }
        life.silence.heard(now);
        life.seen = seen;
    }

    pub fn opinions(&mut self, now: u64, from: Voter, levels: Option<Levels>, returning: bool) {
        // Whoever claims to be a steward is kept no longer than it counts.
        self.peers.retain(|_, p| Self::is_fresh(now, p));
        self.peers.insert(
            from,
            Peer {
                at: now,
                levels,
                returning,
            },
        );
    }

    /// How long ago each member was heard here.
    pub fn heard_ago(&self, now: u64) -> BTreeMap<MemberId, u64> {
        self.lives
            .iter()
            .map(|(id, l)| (*id, l.silence.since(now)))
            .collect()
    }

    /// What this steward makes of each member's silence; none: it is deaf, or has not listened for long enough.
    pub fn levels(&self, now: u64, fleet: &Fleet) -> Option<Levels> {
        if now < self.listens_from {
            return None;
        }
        let mut levels = Levels::new();
        let (mut there, mut silent) = (0, 0);
        for (id, m) in fleet
            .members
            .iter()
            .filter(|(_, m)| !matches!(m.phase, Phase::Away { .. }))
        {
            let life = self
                .lives
                .get(id)
                .filter(|l| l.incarnation == m.about.incarnation);
            let level = life.map_or(UNHEARD, |l| l.silence.level(now).min(UNHEARD));
            // Those that are lost tell nothing of whether this steward is deaf.
            if !matches!(m.phase, Phase::Lost { .. }) {
                there += 1;
                silent += usize::from(level >= self.timeouts.suspect_level);
            }
            if level >= LOW {
                levels.insert(*id, level);
            }
        }
        (!is_deaf(silent, there)).then_some(levels)
    }

    fn is_fresh(now: u64, peer: &Peer) -> bool {
        now <= peer.at + FRESH
    }

    /// The level that a majority of all stewards reaches for this member.
    fn level_of(
        &self,
        now: u64,
        id: &MemberId,
        mine: Option<&Levels>,
        voters: &BTreeSet<Voter>,
    ) -> Option<f64> {
        let of = |levels: &Levels| levels.get(id).copied().unwrap_or(0.0);
        let opinions = voters.iter().map(|v| -> Opinion {
            if *v == self.me {
                return mine.map(of);
            }
            let peer = self.peers.get(v).filter(|p| Self::is_fresh(now, p))?;
            peer.levels.as_ref().map(of)
        });
        weighed(voters.len(), opinions)
    }

    /// Whether it is this steward's turn to propose what nobody asked for.
    pub fn leads(&self, now: u64, fleet: &Fleet) -> bool {
        let speaks = |v: &Voter| {
            *v == self.me
                || self
                    .peers
                    .get(v)
                    .is_some_and(|p| !p.returning && Self::is_fresh(now, p))
        };
        fleet.config.voters().into_iter().find(speaks) == Some(self.me)
    }

    /// Drains that take longer than is stated, each told once: who, and for how long by now.
    pub fn late(&mut self, now: u64, fleet: &Fleet) -> Vec<(MemberId, u64)> {
        self.look(now, fleet);
        let mut late = Vec::new();
        for (id, m) in fleet
            .members
            .iter()
            .filter(|(_, m)| matches!(m.phase, Phase::Draining { .. }))
        {
            let waited = now - self.since[id].1;
            if waited > self.timeouts.drain_for && self.late.insert((*id, m.since)) {
                late.push((*id, waited));
            }
        }
        late
    }

    /// Notes since when members are in their phases.
    fn look(&mut self, now: u64, fleet: &Fleet) {
        self.since.retain(|id, _| fleet.members.contains_key(id));
        self.late
            .retain(|(id, since)| fleet.members.get(id).is_some_and(|m| m.since == *since));
        for (id, m) in &fleet.members {
            let entry = self.since.entry(*id).or_insert((m.since, now));
            if entry.0 != m.since {
                *entry = (m.since, now);
            }
        }
    }

    /// What the fleet owes its members as things are, for whoever leads. `fleet` is known to be agreed.
    pub fn owed(&mut self, now: u64, fleet: &Fleet) -> Vec<Change> {
        self.look(now, fleet);
        let (voters, mine) = (fleet.config.voters(), self.levels(now, fleet));
        let mut changes = Vec::new();
        for (id, m) in &fleet.members {
            let (member, incarnation, waited) = (*id, m.about.incarnation, now - self.since[id].1);
            let level = self.level_of(now, id, mine.as_ref(), &voters);
            let is_silent = level.is_some_and(|l| l >= self.timeouts.suspect_level);
            match &m.phase {
                Phase::Away { .. } | Phase::Draining { .. } => {}
                // Well below what it was lost for, so that it does not go back and forth.
                Phase::Lost { .. }
                    if level.is_some_and(|l| l < self.timeouts.suspect_level / 2.0) =>
                {
                    changes.push(Change::Heard {
                        member,
                        incarnation,
                    });
                }
                Phase::Lost { .. } => {}
                _ if is_silent => changes.push(Change::Silent {
                    member,
                    incarnation,
                }),
                Phase::Granted { grant } if waited > self.timeouts.grant_for => {
                    changes.push(Change::TakeBack { grant: *grant });
                }
                Phase::Starting { planned: true }
                    if (1..waited).contains(&self.timeouts.prove_within)
                        && fleet.halt.is_none() =>
                {
                    let why = format!("{id} came back and is not proven after {} ms", waited / 10);
                    let ends = "an operator's resume, once it is up, lost or forgotten".into();
                    changes.push(Change::Halt {
                        by: "the fleet".into(),
                        why,
                        ends,
                    });
                }
                _ => {}
            }
        }
        if fleet.config.is_changing() {
            // That both sets hold it is known: it was agreed.
            changes.push(Change::Settle {
                seen: fleet.config.clone(),
            });
        }
        // Grants wait until the losses that are known are counted.
        if changes.is_empty() && mine.is_some() {
            let seen: BTreeMap<MemberId, Seen> =
                self.lives.iter().map(|(id, l)| (*id, l.seen)).collect();
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
}
