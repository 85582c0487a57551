//! Who may go and when: asks, grants, begins, halts.

use super::outcome::{ALREADY, CHANGED, Done, ID_MOST_BYTES, Refusal, TEXT_MOST_BYTES, text};
use crate::bounds;
use crate::state::{Ask, Event, Fleet, Grant, Halt, MemberId, Phase};
use std::collections::BTreeSet;

const ASKS_MOST: usize = 64;

impl Fleet {
    /// Its grant is gone and nothing came of it: it is to go later.
    pub(super) fn back_to_waiting(&mut self, id: MemberId) {
        for ask in self.asks.values_mut() {
            if let Some(at) = ask.under_way.iter().position(|m| *m == id) {
                ask.under_way.remove(at);
                ask.waiting.push(id);
            }
        }
    }

    pub(super) fn begin(
        &mut self,
        id: MemberId,
        incarnation: u64,
        grant: Grant,
    ) -> Result<Done, Refusal> {
        match self.living(id, incarnation)?.phase {
            Phase::Draining { grant: held } if held == grant => return ALREADY,
            Phase::Granted { grant: held } if held == grant => {}
            _ => return Err(Refusal::NoGrant { member: id, grant }),
        }
        if let Some(h) = &self.halt {
            return Err(Refusal::Halted {
                by: h.by.clone(),
                why: h.why.clone(),
            });
        }
        // It is counted since it was granted. Others may have been lost since then, though.
        if let Some(over) = bounds::against(self, &id) {
            return Err(Refusal::NoRoom { member: id, over });
        }
        self.enter(id, Phase::Draining { grant })
    }

    pub(super) fn turned_back(
        &mut self,
        id: MemberId,
        incarnation: u64,
        grant: Grant,
    ) -> Result<Done, Refusal> {
        match self.living(id, incarnation)?.phase {
            Phase::Draining { grant: held } if held == grant => {
                self.enter(id, Phase::Starting { planned: true })
            }
            Phase::Starting { .. } | Phase::Up => ALREADY,
            _ => Err(Refusal::NoGrant { member: id, grant }),
        }
    }

    pub(super) fn grant(&mut self, id: MemberId) -> Result<Done, Refusal> {
        let phase = &self.member(id)?.phase;
        if let Some(grant) = phase.grant() {
            return Ok(Done {
                changed: false,
                grant: Some(grant),
            });
        }
        if *phase != Phase::Up {
            return Err(Refusal::Phase {
                member: id,
                found: phase.word(),
                expected: "up",
            });
        }
        if let Some(h) = &self.halt {
            return Err(Refusal::Halted {
                by: h.by.clone(),
                why: h.why.clone(),
            });
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
        Ok(Done {
            changed: true,
            grant: Some(grant),
        })
    }

    pub(super) fn ask(
        &mut self,
        id: &str,
        members: &[MemberId],
        by: &str,
    ) -> Result<Done, Refusal> {
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
            return Err(Refusal::Value {
                place: "members",
                found: String::new(),
                expected,
            });
        }
        if let Some(known) = self.asks.get(id) {
            let all = [
                &known.waiting,
                &known.under_way,
                &known.finished,
                &known.withdrawn,
            ];
            let all: BTreeSet<_> = all.into_iter().flatten().copied().collect();
            let same = all == asked.iter().copied().collect();
            return if same {
                ALREADY
            } else {
                Err(Refusal::OtherAsk(id.to_owned()))
            };
        }
        for m in &asked {
            self.member(*m)?;
            let other = self
                .asks
                .iter()
                .find(|(_, a)| a.waiting.contains(m) || a.under_way.contains(m));
            if let Some((id, _)) = other {
                return Err(Refusal::AskedElsewhere {
                    member: *m,
                    id: id.clone(),
                });
            }
        }
        bounds::ever(self, &asked)?;
        if self.asks.len() >= ASKS_MOST {
            let over = self
                .asks
                .iter()
                .filter(|(_, a)| a.is_over())
                .min_by_key(|(_, a)| a.revision);
            let Some(oldest) = over.map(|(id, _)| id.clone()) else {
                return Err(Refusal::Many {
                    place: "asks",
                    found: ASKS_MOST + 1,
                    most: ASKS_MOST,
                });
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

    pub(super) fn withdraw(&mut self, members: &[MemberId], by: &str) -> Result<Done, Refusal> {
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
        Ok(Done {
            changed,
            grant: None,
        })
    }

    /// Whether a member that drains may go back to serving: nobody waits for its end any more.
    pub fn may_turn_back(&self, id: &MemberId) -> bool {
        let draining = self
            .members
            .get(id)
            .is_some_and(|m| matches!(m.phase, Phase::Draining { .. }));
        draining && !self.asks.values().any(|a| a.under_way.contains(id))
    }

    pub(super) fn take_back(&mut self, grant: Grant) -> Result<Done, Refusal> {
        let held = self
            .members
            .iter()
            .find(|(_, m)| m.phase == Phase::Granted { grant });
        let Some(id) = held.map(|(id, _)| *id) else {
            return ALREADY;
        };
        self.back_to_waiting(id);
        self.enter(id, Phase::Up)
    }

    pub(super) fn halt_drains(&mut self, by: &str, why: &str, ends: &str) -> Result<Done, Refusal> {
        text("by", by, TEXT_MOST_BYTES)?;
        text("why", why, TEXT_MOST_BYTES)?;
        if self.halt.is_some() {
            return ALREADY;
        }
        let revision = self.revision + 1;
        self.halt = Some(Halt {
            by: by.into(),
            why: why.into(),
            ends: ends.into(),
            revision,
        });
        CHANGED
    }

    pub(super) fn resume_drains(&mut self, by: &str) -> Result<Done, Refusal> {
        text("by", by, TEXT_MOST_BYTES)?;
        if self.halt.take().is_some() {
            CHANGED
        } else {
            ALREADY
        }
    }

    /// Halts itself where it was told to.
    pub(super) fn halt_when_many_are_lost(&mut self) {
        let lost = self.lost();
        if self.halt.is_none() && self.halt_at_lost > 0 && lost > self.halt_at_lost {
            let why = format!("{lost} members are lost, more than {}", self.halt_at_lost);
            self.halted(
                "the fleet",
                &why,
                "an operator's resume, once they are back or forgotten",
            );
        }
    }

    fn halted(&mut self, by: &str, why: &str, ends: &str) {
        self.revision += 1;
        let revision = self.revision;
        let halt = Halt {
            by: by.into(),
            why: why.into(),
            ends: ends.into(),
            revision,
        };
        self.history.push_back(Event {
            revision,
            what: format!("halt by {by}: {why}"),
        });
        self.halt = Some(halt);
    }
}
