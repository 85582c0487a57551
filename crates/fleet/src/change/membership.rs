//! Membership: members join, become healthy, become unreachable and reachable again, leave and are forgotten.

use super::outcome::{
    CHANGED, ChangeOutcome, MAX_ID_BYTES, MAX_TEXT_BYTES, Refusal, UNCHANGED, check_text,
};
use crate::leases;
use crate::state::{Fleet, Member, MemberId, MemberInfo, Phase};

/// Maximum number of former incarnations kept for a member. They identify a process that was paused while it was replaced.
const MAX_PAST_INCARNATIONS: usize = 8;
/// Maximum number of members of a fleet.
const MAX_MEMBERS: usize = 20_000;

/// Checks that a member's description is complete and within the limits.
fn validate_info(about: &MemberInfo) -> Result<(), Refusal> {
    check_text("site", &about.site, MAX_ID_BYTES)?;
    check_text("version", &about.version, MAX_ID_BYTES)?;
    check_text("address", &about.address, MAX_TEXT_BYTES)?;
    let sizes = [about.size, about.memory_mb];
    if about.incarnation == 0 || sizes.iter().any(|size| !size.is_finite() || *size < 0.0) {
        // The text is part of the protocol and names the type `About`.
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
        .try_for_each(|task| check_text("task", task, MAX_ID_BYTES))
}

impl Fleet {
    /// Adds a member, or starts a new incarnation of a known one.
    pub(super) fn join(
        &mut self,
        id: MemberId,
        about: &MemberInfo,
    ) -> Result<ChangeOutcome, Refusal> {
        validate_info(about)?;
        let since = self.revision + 1;
        let Some(member) = self.members.get_mut(&id) else {
            if self.members.len() >= MAX_MEMBERS {
                let (found, most) = (self.members.len() + 1, MAX_MEMBERS);
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
        if member.past_incarnations.contains(&about.incarnation) {
            return Err(Refusal::Replaced {
                member: id,
                incarnation: about.incarnation,
            });
        }
        if member.info.incarnation == about.incarnation {
            return UNCHANGED;
        }
        member.past_incarnations.push(member.info.incarnation);
        if member.past_incarnations.len() > MAX_PAST_INCARNATIONS {
            member.past_incarnations.remove(0);
        }
        member.info = about.clone();
        let before = member.phase.clone();
        if matches!(before, Phase::Granted { .. }) {
            // The incarnation that the grant was issued to has ended without using it.
            self.return_to_waiting(id);
        }
        let planned = before.is_planned() && !matches!(before, Phase::Granted { .. });
        self.enter_phase(id, Phase::Starting { planned })
    }

    /// Marks a started member as up; a planned return completes its drain.
    pub(super) fn mark_healthy(
        &mut self,
        id: MemberId,
        incarnation: u64,
    ) -> Result<ChangeOutcome, Refusal> {
        let member = self.current_incarnation(id, incarnation)?;
        let planned = match member.phase {
            Phase::Starting { planned } => planned,
            Phase::Up => return UNCHANGED,
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
            for request in self.drain_requests.values_mut() {
                if let Some(index) = request.under_way.iter().position(|m| *m == id) {
                    request.under_way.remove(index);
                    request.finished.push(id);
                }
            }
        }
        self.enter_phase(id, Phase::Up)
    }

    /// Records that a member stopped: drained as planned, or lost.
    pub(super) fn leave(
        &mut self,
        id: MemberId,
        incarnation: u64,
    ) -> Result<ChangeOutcome, Refusal> {
        match self.current_incarnation(id, incarnation)?.phase {
            Phase::Draining { grant } => self.enter_phase(id, Phase::Away { grant }),
            Phase::Away { .. } | Phase::Lost { .. } => UNCHANGED,
            Phase::Granted { .. } => {
                self.return_to_waiting(id);
                self.enter_phase(id, Phase::Lost { planned: false })
            }
            Phase::Starting { planned } => self.enter_phase(id, Phase::Lost { planned }),
            Phase::Up => self.enter_phase(id, Phase::Lost { planned: false }),
        }
    }

    /// Marks a member as lost, after a majority of coordinators found it unreachable.
    pub(super) fn mark_unreachable(
        &mut self,
        id: MemberId,
        incarnation: u64,
    ) -> Result<ChangeOutcome, Refusal> {
        match self.current_incarnation(id, incarnation)?.phase {
            Phase::Up => self.enter_phase(id, Phase::Lost { planned: false }),
            Phase::Starting { planned } => self.enter_phase(id, Phase::Lost { planned }),
            Phase::Granted { .. } => {
                // It is not known whether the member was about to start its drain; without the grant it no longer can.
                self.return_to_waiting(id);
                self.enter_phase(id, Phase::Lost { planned: false })
            }
            // The member already counts as out of service, and may be draining behind a network partition.
            Phase::Draining { .. } | Phase::Away { .. } | Phase::Lost { .. } => UNCHANGED,
        }
    }

    /// Removes a member that does not return.
    pub(super) fn forget(&mut self, id: MemberId, by: &str) -> Result<ChangeOutcome, Refusal> {
        check_text("by", by, MAX_TEXT_BYTES)?;
        let Some(member) = self.members.get(&id) else {
            return UNCHANGED;
        };
        if !matches!(member.phase, Phase::Lost { .. } | Phase::Away { .. }) {
            let found = member.phase.name();
            return Err(Refusal::WrongPhase {
                member: id,
                found,
                expected: "lost or away",
            });
        }
        self.members.remove(&id);
        for request in self.drain_requests.values_mut() {
            let is_named = request.waiting.contains(&id) || request.under_way.contains(&id);
            request.waiting.retain(|m| *m != id);
            request.under_way.retain(|m| *m != id);
            request.withdrawn.extend(is_named.then_some(id));
        }
        CHANGED
    }

    /// Marks a lost member as reachable again.
    pub(super) fn mark_reachable(
        &mut self,
        id: MemberId,
        incarnation: u64,
    ) -> Result<ChangeOutcome, Refusal> {
        match self.current_incarnation(id, incarnation)?.phase {
            // The member may have missed changes while it was unreachable, so it must prove healthy again.
            Phase::Lost { planned } => self.enter_phase(id, Phase::Starting { planned }),
            _ => UNCHANGED,
        }
    }
}
