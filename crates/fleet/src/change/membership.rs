//! Who is there: members that join, prove themselves, fall silent, are heard again, leave and are forgotten.

use super::outcome::{ALREADY, CHANGED, Done, ID_MOST_BYTES, Refusal, TEXT_MOST_BYTES, text};
use crate::leases;
use crate::state::{About, Fleet, Member, MemberId, Phase};

/// Lives of a member that are remembered, so that a process which slept through its own replacement is told apart.
const PAST_MOST: usize = 8;
const MEMBERS_MOST: usize = 20_000;

impl Fleet {
    pub(super) fn join(&mut self, id: MemberId, about: &About) -> Result<Done, Refusal> {
        text("site", &about.site, ID_MOST_BYTES)?;
        text("version", &about.version, ID_MOST_BYTES)?;
        text("address", &about.address, TEXT_MOST_BYTES)?;
        let sizes = [about.size, about.memory_mb];
        if about.incarnation == 0 || sizes.iter().any(|x| !x.is_finite() || *x < 0.0) {
            let found = format!("{about:?}").chars().take(80).collect();
            return Err(Refusal::Value {
                place: "about",
                found,
                expected: "a life and sizes of 0 or more",
            });
        }
        if about.tasks.len() > leases::TASKS_MOST {
            let (found, most) = (about.tasks.len(), leases::TASKS_MOST);
            return Err(Refusal::Many {
                place: "tasks",
                found,
                most,
            });
        }
        about
            .tasks
            .iter()
            .try_for_each(|task| text("task", task, ID_MOST_BYTES))?;
        let since = self.revision + 1;
        let Some(m) = self.members.get_mut(&id) else {
            if self.members.len() >= MEMBERS_MOST {
                let (found, most) = (self.members.len() + 1, MEMBERS_MOST);
                return Err(Refusal::Many {
                    place: "members",
                    found,
                    most,
                });
            }
            let phase = Phase::Starting { planned: false };
            self.members.insert(
                id,
                Member {
                    about: about.clone(),
                    phase,
                    since,
                    past: Vec::new(),
                },
            );
            return CHANGED;
        };
        if m.past.contains(&about.incarnation) {
            return Err(Refusal::Replaced {
                member: id,
                incarnation: about.incarnation,
            });
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

    pub(super) fn proven(&mut self, id: MemberId, incarnation: u64) -> Result<Done, Refusal> {
        let m = self.living(id, incarnation)?;
        let planned = match m.phase {
            Phase::Starting { planned } => planned,
            Phase::Up => return ALREADY,
            ref other => {
                let found = other.word();
                return Err(Refusal::Phase {
                    member: id,
                    found,
                    expected: "starting",
                });
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

    pub(super) fn leave(&mut self, id: MemberId, incarnation: u64) -> Result<Done, Refusal> {
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

    pub(super) fn silent(&mut self, id: MemberId, incarnation: u64) -> Result<Done, Refusal> {
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

    pub(super) fn forget(&mut self, id: MemberId, by: &str) -> Result<Done, Refusal> {
        text("by", by, TEXT_MOST_BYTES)?;
        let Some(m) = self.members.get(&id) else {
            return ALREADY;
        };
        if !matches!(m.phase, Phase::Lost { .. } | Phase::Away { .. }) {
            let found = m.phase.word();
            return Err(Refusal::Phase {
                member: id,
                found,
                expected: "lost or away",
            });
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

    pub(super) fn heard(&mut self, id: MemberId, incarnation: u64) -> Result<Done, Refusal> {
        match self.living(id, incarnation)?.phase {
            // What it missed while it was silent nobody knows: it has to prove itself again.
            Phase::Lost { planned } => self.enter(id, Phase::Starting { planned }),
            _ => ALREADY,
        }
    }
}
