//! Every way in which what the fleet agreed on may change. Each change may come twice: a proposer that was not told what
//! came of its round proposes again, and so does a member or an operator whose answer was lost.

use crate::bounds::{self, Bound};
use crate::fleet::{About, Ask, Event, Fleet, Grant, Halt, Member, MemberId, Phase};
use crate::register::{self, Config, Voter};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Lives of a member that are remembered, so that a process which slept through its own replacement is told apart.
const PAST_MOST: usize = 8;
const HISTORY_MOST: usize = 256;
const ASKS_MOST: usize = 64;
const ID_MOST_BYTES: usize = 64;
const TEXT_MOST_BYTES: usize = 256;
const MEMBERS_MOST: usize = 20_000;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Change {
    /// By the member, at its start.
    Join {
        member: MemberId,
        about: About,
    },
    /// By the member: it serves as it should.
    Proven {
        member: MemberId,
        incarnation: u64,
    },
    /// By the member, with its grant in hand, before it does anything about it.
    Begin {
        member: MemberId,
        incarnation: u64,
        grant: Grant,
    },
    /// By the member: it ends now, drained or not.
    Leave {
        member: MemberId,
        incarnation: u64,
    },
    /// By the member: its drain was withdrawn and it has gone back to serving.
    TurnedBack {
        member: MemberId,
        incarnation: u64,
        grant: Grant,
    },
    /// By stewards: it has been silent for too long, as a majority of them sees it.
    Silent {
        member: MemberId,
        incarnation: u64,
    },
    /// By stewards: the silent one speaks.
    Heard {
        member: MemberId,
        incarnation: u64,
    },
    /// By stewards: it may go.
    Grant {
        member: MemberId,
    },
    /// By stewards: nobody took it up.
    TakeBack {
        grant: Grant,
    },
    /// By operators.
    Ask {
        id: String,
        members: Vec<MemberId>,
        by: String,
    },
    /// By operators: what has not begun is off, what has begun may turn back.
    Withdraw {
        members: Vec<MemberId>,
        by: String,
    },
    Halt {
        by: String,
        why: String,
        ends: String,
    },
    Resume {
        by: String,
    },
    /// By operators: it does not come back, and is not counted any more.
    Forget {
        member: MemberId,
        by: String,
    },
    /// By operators. Bounds that are broken as things are are taken: then nothing goes until they hold.
    Bounds {
        bounds: Vec<Bound>,
        by: String,
    },
    /// By operators: other stewards hold the fleet from now on.
    Stewards {
        voters: BTreeSet<Voter>,
        at: BTreeMap<u32, String>,
        by: String,
    },
    /// By stewards, once a value with both sets is known to be held by a quorum.
    Settle {
        seen: Config,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// False: it had been done before.
    pub changed: bool,
    pub grant: Option<Grant>,
}

/// Why nothing was changed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Refusal {
    #[error("{0}: no such member")]
    Unknown(MemberId),
    #[error("{member}: this life of it ({incarnation:x}) was replaced")]
    Replaced { member: MemberId, incarnation: u64 },
    #[error("{member} is {found}: {expected} is expected")]
    Phase { member: MemberId, found: &'static str, expected: &'static str },
    #[error("{member}: grant {grant} is not its own any more")]
    NoGrant { member: MemberId, grant: Grant },
    #[error("halted by {by}: {why}")]
    Halted { by: String, why: String },
    #[error("no room for {member}: {over}")]
    NoRoom { member: MemberId, over: bounds::Over },
    #[error("{member}: nobody asked for its drain")]
    NotAsked { member: MemberId },
    #[error("{member} belongs to ask '{id}' already")]
    AskedElsewhere { member: MemberId, id: String },
    #[error("ask '{0}' is known with other members")]
    OtherAsk(String),
    #[error("{place} = '{found}': {expected} is expected")]
    Value { place: &'static str, found: String, expected: &'static str },
    #[error("{place}: {found} is more than {most}")]
    Many { place: &'static str, found: usize, most: usize },
    #[error(transparent)]
    Bounds(#[from] bounds::Unfit),
    #[error(transparent)]
    Stewards(#[from] register::Unfit),
}

const CHANGED: Result<Done, Refusal> = Ok(Done { changed: true, grant: None });
const ALREADY: Result<Done, Refusal> = Ok(Done { changed: false, grant: None });

fn text(place: &'static str, found: &str, most: usize) -> Result<(), Refusal> {
    let plain = found.chars().all(|c| !c.is_control());
    if found.is_empty() || found.len() > most || !plain {
        let found = found.chars().take(80).collect();
        return Err(Refusal::Value { place, found, expected: "plain text of a stated length" });
    }
    Ok(())
}

impl Fleet {
    /// Makes one change, or none and says why.
    pub fn apply(&mut self, change: &Change) -> Result<Done, Refusal> {
        let done = self.change(change)?;
        if done.changed {
            self.revision += 1;
            let revision = self.revision;
            self.history.push_back(Event { revision, what: told(change, done.grant) });
            if self.history.len() > HISTORY_MOST {
                self.history.pop_front();
            }
            self.look_after();
        }
        Ok(done)
    }

    /// Halts itself where it was told to.
    fn look_after(&mut self) {
        let lost = self.lost();
        if self.halt.is_none() && self.halt_at_lost > 0 && lost > self.halt_at_lost {
            let why = format!("{lost} members are lost, more than {}", self.halt_at_lost);
            self.halted("the fleet", &why, "an operator's resume, once they are back or forgotten");
        }
    }

    fn halted(&mut self, by: &str, why: &str, ends: &str) {
        self.revision += 1;
        let revision = self.revision;
        let halt = Halt { by: by.into(), why: why.into(), ends: ends.into(), revision };
        self.history.push_back(Event { revision, what: format!("halt by {by}: {why}") });
        self.halt = Some(halt);
    }

    fn member(&mut self, id: MemberId) -> Result<&mut Member, Refusal> {
        self.members.get_mut(&id).ok_or(Refusal::Unknown(id))
    }

    /// The member, if this is the life of it that counts.
    fn living(&mut self, member: MemberId, incarnation: u64) -> Result<&mut Member, Refusal> {
        let m = self.member(member)?;
        match m.about.incarnation == incarnation {
            true => Ok(m),
            false => Err(Refusal::Replaced { member, incarnation }),
        }
    }

    fn enter(&mut self, id: MemberId, phase: Phase) -> Result<Done, Refusal> {
        let revision = self.revision + 1;
        let m = self.member(id)?;
        (m.phase, m.since) = (phase, revision);
        CHANGED
    }

    /// Its grant is gone and nothing came of it: it is to go later.
    fn back_to_waiting(&mut self, id: MemberId) {
        for ask in self.asks.values_mut() {
            if let Some(at) = ask.under_way.iter().position(|m| *m == id) {
                ask.under_way.remove(at);
                ask.waiting.push(id);
            }
        }
    }

    fn change(&mut self, change: &Change) -> Result<Done, Refusal> {
        match change {
            Change::Join { member, about } => self.join(*member, about),
            Change::Proven { member, incarnation } => self.proven(*member, *incarnation),
            Change::Begin { member, incarnation, grant } => self.begin(*member, *incarnation, *grant),
            Change::Leave { member, incarnation } => self.leave(*member, *incarnation),
            Change::TurnedBack { member, incarnation, grant } => {
                self.turned_back(*member, *incarnation, *grant)
            }
            Change::Silent { member, incarnation } => self.silent(*member, *incarnation),
            Change::Heard { member, incarnation } => {
                match self.living(*member, *incarnation)?.phase {
                    // What it missed while it was silent nobody knows: it has to prove itself again.
                    Phase::Lost { planned } => self.enter(*member, Phase::Starting { planned }),
                    _ => ALREADY,
                }
            }
            Change::Grant { member } => self.grant(*member),
            Change::TakeBack { grant } => {
                let held = self.members.iter().find(|(_, m)| m.phase == Phase::Granted { grant: *grant });
                let Some(id) = held.map(|(id, _)| *id) else { return ALREADY };
                self.back_to_waiting(id);
                self.enter(id, Phase::Up)
            }
            Change::Ask { id, members, by } => self.ask(id, members, by),
            Change::Withdraw { members, by } => self.withdraw(members, by),
            Change::Halt { by, why, ends } => {
                text("by", by, TEXT_MOST_BYTES)?;
                text("why", why, TEXT_MOST_BYTES)?;
                if self.halt.is_some() {
                    return ALREADY;
                }
                self.halt = Some(Halt {
                    by: by.clone(),
                    why: why.clone(),
                    ends: ends.clone(),
                    revision: self.revision + 1,
                });
                CHANGED
            }
            Change::Resume { by } => {
                text("by", by, TEXT_MOST_BYTES)?;
                if self.halt.take().is_some() { CHANGED } else { ALREADY }
            }
            Change::Forget { member, by } => self.forget(*member, by),
            Change::Bounds { bounds, by } => {
                text("by", by, TEXT_MOST_BYTES)?;
                bounds.iter().try_for_each(Bound::fits)?;
                if bounds.len() > 100 {
                    return Err(Refusal::Many { place: "bounds", found: bounds.len(), most: 100 });
                }
                if self.bounds == *bounds {
                    return ALREADY;
                }
                self.bounds = bounds.clone();
                CHANGED
            }
            Change::Stewards { voters, at, by } => {
                text("by", by, TEXT_MOST_BYTES)?;
                if let Some(v) = voters.iter().find(|v| !at.contains_key(&v.steward)) {
                    let found = format!("steward-{}", v.steward);
                    return Err(Refusal::Value { place: "voters", found, expected: "an address for each" });
                }
                let done = Config::founding(voters.clone())?;
                if self.config == done {
                    return ALREADY;
                }
                self.config = self.config.changing_to(voters.clone())?;
                self.stewards.extend(at.clone());
                CHANGED
            }
            Change::Settle { seen } => {
                if self.config != *seen || !seen.is_changing() {
                    return ALREADY;
                }
                self.config = seen.settled()?;
                let voters = self.config.voters();
                self.stewards.retain(|n, _| voters.iter().any(|v| v.steward == *n));
                CHANGED
            }
        }
    }

    fn join(&mut self, id: MemberId, about: &About) -> Result<Done, Refusal> {
        text("site", &about.site, ID_MOST_BYTES)?;
        text("version", &about.version, ID_MOST_BYTES)?;
        text("address", &about.address, TEXT_MOST_BYTES)?;
        let sizes = [about.size, about.memory_mb];
        if about.incarnation == 0 || sizes.iter().any(|x| !x.is_finite() || *x < 0.0) {
            let found = format!("{about:?}").chars().take(80).collect();
            return Err(Refusal::Value { place: "about", found, expected: "a life and sizes of 0 or more" });
        }
        let since = self.revision + 1;
        let Some(m) = self.members.get_mut(&id) else {
            if self.members.len() >= MEMBERS_MOST {
                let (found, most) = (self.members.len() + 1, MEMBERS_MOST);
                return Err(Refusal::Many { place: "members", found, most });
            }
            let phase = Phase::Starting { planned: false };
            self.members.insert(id, Member { about: about.clone(), phase, since, past: Vec::new() });
            return CHANGED;
        };
        if m.past.contains(&about.incarnation) {
            return Err(Refusal::Replaced { member: id, incarnation: about.incarnation });
        }
        if m.about.incarnation == about.incarnation {
            return ALREADY;
        }
        m.past.push(m.about.incarnation);
        if m.past.len() > PAST_MOST {
            m.past.remove(0);
        }
        m.about = about.clone();
        let before = m.phase.clone();
        if matches!(before, Phase::Granted { .. }) {
            // The life that it was granted to is over, and has done nothing about it.
            self.back_to_waiting(id);
        }
        let planned = before.is_planned() && !matches!(before, Phase::Granted { .. });
        self.enter(id, Phase::Starting { planned })
    }

    fn proven(&mut self, id: MemberId, incarnation: u64) -> Result<Done, Refusal> {
        let m = self.living(id, incarnation)?;
        let planned = match m.phase {
            Phase::Starting { planned } => planned,
            Phase::Up => return ALREADY,
            ref other => {
                let found = other.word();
                return Err(Refusal::Phase { member: id, found, expected: "starting" });
            }
        };
        if planned {
            for ask in self.asks.values_mut() {
                if let Some(at) = ask.under_way.iter().position(|m| *m == id) {
                    ask.under_way.remove(at);
                    ask.finished.push(id);
                }
            }
        }
        self.enter(id, Phase::Up)
    }

    fn begin(&mut self, id: MemberId, incarnation: u64, grant: Grant) -> Result<Done, Refusal> {
        match self.living(id, incarnation)?.phase {
            Phase::Draining { grant: held } if held == grant => return ALREADY,
            Phase::Granted { grant: held } if held == grant => {}
            _ => return Err(Refusal::NoGrant { member: id, grant }),
        }
        if let Some(h) = &self.halt {
            return Err(Refusal::Halted { by: h.by.clone(), why: h.why.clone() });
        }
        // It is counted since it was granted. Others may have been lost since then, though.
        if let Some(over) = bounds::against(self, &id) {
            return Err(Refusal::NoRoom { member: id, over });
        }
        self.enter(id, Phase::Draining { grant })
    }

    fn leave(&mut self, id: MemberId, incarnation: u64) -> Result<Done, Refusal> {
        match self.living(id, incarnation)?.phase {
            Phase::Draining { grant } => self.enter(id, Phase::Away { grant }),
            Phase::Away { .. } | Phase::Lost { .. } => ALREADY,
            Phase::Granted { .. } => {
                self.back_to_waiting(id);
                self.enter(id, Phase::Lost { planned: false })
            }
            Phase::Starting { planned } => self.enter(id, Phase::Lost { planned }),
            Phase::Up => self.enter(id, Phase::Lost { planned: false }),
        }
    }

    fn turned_back(&mut self, id: MemberId, incarnation: u64, grant: Grant) -> Result<Done, Refusal> {
        match self.living(id, incarnation)?.phase {
            Phase::Draining { grant: held } if held == grant => {
                self.enter(id, Phase::Starting { planned: true })
            }
            Phase::Starting { .. } | Phase::Up => ALREADY,
            _ => Err(Refusal::NoGrant { member: id, grant }),
        }
    }

    fn silent(&mut self, id: MemberId, incarnation: u64) -> Result<Done, Refusal> {
        match self.living(id, incarnation)?.phase {
            Phase::Up => self.enter(id, Phase::Lost { planned: false }),
            Phase::Starting { planned } => self.enter(id, Phase::Lost { planned }),
            Phase::Granted { .. } => {
                // Whether it meant to begin nobody knows; from now on it can't.
                self.back_to_waiting(id);
                self.enter(id, Phase::Lost { planned: false })
            }
            // Counted, and may well be ending its work behind a cut.
            Phase::Draining { .. } | Phase::Away { .. } | Phase::Lost { .. } => ALREADY,
        }
    }

    fn grant(&mut self, id: MemberId) -> Result<Done, Refusal> {
        let phase = &self.member(id)?.phase;
        if let Some(grant) = phase.grant() {
            return Ok(Done { changed: false, grant: Some(grant) });
        }
        if *phase != Phase::Up {
            return Err(Refusal::Phase { member: id, found: phase.word(), expected: "up" });
        }
        if let Some(h) = &self.halt {
            return Err(Refusal::Halted { by: h.by.clone(), why: h.why.clone() });
        }
        if let Some(over) = bounds::against(self, &id) {
            return Err(Refusal::NoRoom { member: id, over });
        }
        let ask = self.asks.values_mut().find(|a| a.waiting.contains(&id));
        let ask = ask.ok_or(Refusal::NotAsked { member: id })?;
        ask.waiting.retain(|m| *m != id);
        ask.under_way.push(id);
        self.grants += 1;
        let grant = self.grants;
        self.enter(id, Phase::Granted { grant })?;
        Ok(Done { changed: true, grant: Some(grant) })
    }

    fn ask(&mut self, id: &str, members: &[MemberId], by: &str) -> Result<Done, Refusal> {
        text("id", id, ID_MOST_BYTES)?;
        text("by", by, TEXT_MOST_BYTES)?;
        let mut asked = Vec::new();
        for m in members {
            if !asked.contains(m) {
                asked.push(*m);
            }
        }
        if asked.is_empty() {
            let expected = "at least one member";
            return Err(Refusal::Value { place: "members", found: String::new(), expected });
        }
        if let Some(known) = self.asks.get(id) {
            let all = [&known.waiting, &known.under_way, &known.finished, &known.withdrawn];
            let all: BTreeSet<_> = all.into_iter().flatten().copied().collect();
            let same = all == asked.iter().copied().collect();
            return if same { ALREADY } else { Err(Refusal::OtherAsk(id.to_owned())) };
        }
        for m in &asked {
            self.member(*m)?;
            let other = self.asks.iter().find(|(_, a)| a.waiting.contains(m) || a.under_way.contains(m));
            if let Some((id, _)) = other {
                return Err(Refusal::AskedElsewhere { member: *m, id: id.clone() });
            }
        }
        bounds::ever(self, &asked)?;
        if self.asks.len() >= ASKS_MOST {
            let over = self.asks.iter().filter(|(_, a)| a.is_over()).min_by_key(|(_, a)| a.revision);
            let Some(oldest) = over.map(|(id, _)| id.clone()) else {
                return Err(Refusal::Many { place: "asks", found: ASKS_MOST + 1, most: ASKS_MOST });
            };
            self.asks.remove(&oldest);
        }
        let ask = Ask {
            by: by.to_owned(),
            waiting: asked,
            under_way: Vec::new(),
            finished: Vec::new(),
            withdrawn: Vec::new(),
            revision: self.revision + 1,
        };
        self.asks.insert(id.to_owned(), ask);
        CHANGED
    }

    fn withdraw(&mut self, members: &[MemberId], by: &str) -> Result<Done, Refusal> {
        text("by", by, TEXT_MOST_BYTES)?;
        for m in members {
            self.member(*m)?;
        }
        let mut changed = false;
        for id in members {
            for ask in self.asks.values_mut() {
                let mut held = false;
                for list in [&mut ask.waiting, &mut ask.under_way] {
                    let before = list.len();
                    list.retain(|m| m != id);
                    held |= list.len() < before;
                }
                if held {
                    ask.withdrawn.push(*id);
                    changed = true;
                }
            }
            if matches!(self.members[id].phase, Phase::Granted { .. }) {
                self.enter(*id, Phase::Up)?;
            }
        }
        Ok(Done { changed, grant: None })
    }

    fn forget(&mut self, id: MemberId, by: &str) -> Result<Done, Refusal> {
        text("by", by, TEXT_MOST_BYTES)?;
        let Some(m) = self.members.get(&id) else { return ALREADY };
        if !matches!(m.phase, Phase::Lost { .. } | Phase::Away { .. }) {
            let found = m.phase.word();
            return Err(Refusal::Phase { member: id, found, expected: "lost or away" });
        }
        self.members.remove(&id);
        for ask in self.asks.values_mut() {
            let held = ask.waiting.contains(&id) || ask.under_way.contains(&id);
            ask.waiting.retain(|m| *m != id);
            ask.under_way.retain(|m| *m != id);
            ask.withdrawn.extend(held.then_some(id));
        }
        CHANGED
    }

    /// Whether a member that drains may go back to serving: nobody waits for its end any more.
    pub fn may_turn_back(&self, id: &MemberId) -> bool {
        let draining = self.members.get(id).is_some_and(|m| matches!(m.phase, Phase::Draining { .. }));
        draining && !self.asks.values().any(|a| a.under_way.contains(id))
    }
}

/// As the history tells it.
fn told(change: &Change, grant: Option<Grant>) -> String {
    let some = |all: &[MemberId]| match all {
        [one] => one.to_string(),
        [first, ..] => format!("{} members from {first} on", all.len()),
        [] => "nobody".into(),
    };
    match change {
        Change::Join { member, about } => {
            format!("{member} joined in site {}, life {:x}, {}", about.site, about.incarnation, about.version)
        }
        Change::Proven { member, .. } => format!("{member} is up"),
        Change::Begin { member, grant, .. } => format!("{member} began to drain, grant {grant}"),
        Change::Leave { member, .. } => format!("{member} left"),
        Change::TurnedBack { member, .. } => format!("{member} turned back"),
        Change::Silent { member, .. } => format!("{member} is lost: silent"),
        Change::Heard { member, .. } => format!("{member} speaks again"),
        Change::Grant { member } => format!("{member} may go, grant {}", grant.unwrap_or(0)),
        Change::TakeBack { grant } => format!("grant {grant} taken back"),
        Change::Ask { id, members, by } => format!("{by} asks, as '{id}', to drain {}", some(members)),
        Change::Withdraw { members, by } => format!("{by} withdraws {}", some(members)),
        Change::Halt { by, why, .. } => format!("halt by {by}: {why}"),
        Change::Resume { by } => format!("resumed by {by}"),
        Change::Forget { member, by } => format!("{member} forgotten by {by}"),
        Change::Bounds { by, .. } => format!("bounds changed by {by}"),
        Change::Stewards { voters, by, .. } => format!("{by} changes to {} stewards", voters.len()),
        Change::Settle { .. } => "the new stewards hold the fleet".into(),
    }
}
