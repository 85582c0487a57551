//! Who is a member: members join, become healthy, become unreachable and reachable again, leave and are forgotten.

use super::outcome::{
    ALREADY, CHANGED, ChangeOutcome, ID_MOST_BYTES, Refusal, TEXT_MOST_BYTES, check_text,
};
use crate::leases;
use crate::state::{Fleet, Member, MemberId, MemberInfo, Phase};

/// Former incarnations of a member that are remembered, so that a process that was paused while it was replaced is recognised.
const PAST_MOST: usize = 8;
/// Members that a fleet may have.
const MEMBERS_MOST: usize = 20_000;

/// What a member says of itself is complete and within limits.
fn check_info(about: &MemberInfo) -> Result<(), Refusal> {
    check_text("site", &about.site, ID_MOST_BYTES)?;
    check_text("version", &about.version, ID_MOST_BYTES)?;
    check_text("address", &about.address, TEXT_MOST_BYTES)?;
    let sizes = [about.size, about.memory_mb];
    if about.incarnation == 0 || sizes.iter().any(|x| !x.is_finite() || *x < 0.0) {
        // Peers know the type by its former name.
        let described = format!("{about:?}").replacen("MemberInfo", "About", 1);
        let found = described.chars().take(80).collect();
        return Err(Refusal::InvalidValue {
            place: "about",
            found,
            expected: "a life and sizes of 0 or more",
        });
    }
    if about.tasks.len() > leases::MAX_TASKS_PER_MEMBER {
        let (found, most) = (about.tasks.len(), leases::MAX_TASKS_PER_MEMBER);
        return Err(Refusal::TooMany {
            place: "tasks",
            found,
            most,
        });
    }
    about
        .tasks
        .iter()
        .try_for_each(|task| check_text("task", task, ID_MOST_BYTES))
}

impl Fleet {
    /// A member joins, for the first time or in a new incarnation.
    pub(super) fn join(
        &mut self,
        id: MemberId,
        about: &MemberInfo,
    ) -> Result<ChangeOutcome, Refusal> {
        check_info(about)?;
        let since = self.revision + 1;
        let Some(m) = self.members.get_mut(&id) else {
            if self.members.len() >= MEMBERS_MOST {
                let (found, most) = (self.members.len() + 1, MEMBERS_MOST);
                return Err(Refusal::TooMany {
                    place: "members",
                    found,
                    most,
                });
            }
            let phase = Phase::Starting { planned: false };
            self.members.insert(
                id,
                Member {
                    info: about.clone(),
                    phase,
                    since,
                    past_incarnations: Vec::new(),
                },
            );
            return CHANGED;
        };
        if m.past_incarnations.contains(&about.incarnation) {
            return Err(Refusal::Replaced {
                member: id,
                incarnation: about.incarnation,
            });
        }
        if m.info.incarnation == about.incarnation {
            return ALREADY;
        }
        m.past_incarnations.push(m.info.incarnation);
        if m.past_incarnations.len() > PAST_MOST {
            m.past_incarnations.remove(0);
        }
        m.info = about.clone();
        let before = m.phase.clone();
        if matches!(before, Phase::Granted { .. }) {
            // The incarnation that it was granted to is over and did not use it.
            self.return_to_waiting(id);
        }
        let planned = before.is_planned() && !matches!(before, Phase::Granted { .. });
        self.enter_phase(id, Phase::Starting { planned })
    }

    /// The member serves; a planned return ends its drain.
    pub(super) fn mark_healthy(
        &mut self,
        id: MemberId,
        incarnation: u64,
    ) -> Result<ChangeOutcome, Refusal> {
        let m = self.current_incarnation(id, incarnation)?;
        let planned = match m.phase {
            Phase::Starting { planned } => planned,
            Phase::Up => return ALREADY,
            ref other => {
                let found = other.name();
                return Err(Refusal::WrongPhase {
                    member: id,
                    found,
                    expected: "starting",
                });
            }
        };
        if planned {
            for ask in self.drain_requests.values_mut() {
                if let Some(at) = ask.under_way.iter().position(|m| *m == id) {
                    ask.under_way.remove(at);
                    ask.finished.push(id);
                }
            }
        }
        self.enter_phase(id, Phase::Up)
    }

    /// The member ends: drained as planned, or lost.
    pub(super) fn leave(
        &mut self,
        id: MemberId,
        incarnation: u64,
    ) -> Result<ChangeOutcome, Refusal> {
        match self.current_incarnation(id, incarnation)?.phase {
            Phase::Draining { grant } => self.enter_phase(id, Phase::Away { grant }),
            Phase::Away { .. } | Phase::Lost { .. } => ALREADY,
            Phase::Granted { .. } => {
                self.return_to_waiting(id);
                self.enter_phase(id, Phase::Lost { planned: false })
            }
            Phase::Starting { planned } => self.enter_phase(id, Phase::Lost { planned }),
            Phase::Up => self.enter_phase(id, Phase::Lost { planned: false }),
        }
    }

    /// A majority of coordinators finds the member silent: it is lost.
    pub(super) fn mark_unreachable(
        &mut self,
        id: MemberId,
        incarnation: u64,
    ) -> Result<ChangeOutcome, Refusal> {
        match self.current_incarnation(id, incarnation)?.phase {
            Phase::Up => self.enter_phase(id, Phase::Lost { planned: false }),
            Phase::Starting { planned } => self.enter_phase(id, Phase::Lost { planned }),
            Phase::Granted { .. } => {
                // Whether it meant to start its drain is not known; from now on it can't.
                self.return_to_waiting(id);
                self.enter_phase(id, Phase::Lost { planned: false })
            }
            // Counted as out already, and may well be draining behind a network partition.
            Phase::Draining { .. } | Phase::Away { .. } | Phase::Lost { .. } => ALREADY,
        }
    }

    /// Removes a member that does not come back.
    pub(super) fn forget(&mut self, id: MemberId, by: &str) -> Result<ChangeOutcome, Refusal> {
        check_text("by", by, TEXT_MOST_BYTES)?;
        let Some(m) = self.members.get(&id) else {
            return ALREADY;
        };
        if !matches!(m.phase, Phase::Lost { .. } | Phase::Away { .. }) {
            let found = m.phase.name();
            return Err(Refusal::WrongPhase {
                member: id,
                found,
                expected: "lost or away",
            });
        }
        self.members.remove(&id);
        for ask in self.drain_requests.values_mut() {
            let held = ask.waiting.contains(&id) || ask.under_way.contains(&id);
            ask.waiting.retain(|m| *m != id);
            ask.under_way.retain(|m| *m != id);
            ask.withdrawn.extend(held.then_some(id));
        }
        CHANGED
    }

    /// A lost member is heard again.
    pub(super) fn mark_reachable(
        &mut self,
        id: MemberId,
        incarnation: u64,
    ) -> Result<ChangeOutcome, Refusal> {
        match self.current_incarnation(id, incarnation)?.phase {
            // What it missed while it was silent is not known: it has to prove itself again.
            Phase::Lost { planned } => self.enter_phase(id, Phase::Starting { planned }),
            _ => ALREADY,
        }
    }
}
