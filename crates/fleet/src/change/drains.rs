//! Who may drain and when: drain requests, grants, starts, halts.

use super::outcome::{
    ALREADY, CHANGED, ChangeOutcome, ID_MOST_BYTES, Refusal, TEXT_MOST_BYTES, check_text,
};
use crate::bounds;
use crate::state::{DrainRequest, Fleet, Grant, Halt, HistoryEntry, MemberId, Phase};
use std::collections::BTreeSet;

/// Drain requests that are remembered.
const ASKS_MOST: usize = 64;

fn without_duplicates(members: &[MemberId]) -> Vec<MemberId> {
    let mut distinct = Vec::new();
    for member in members {
        if !distinct.contains(member) {
            distinct.push(*member);
        }
    }
    distinct
}

fn names_the_same_members(known: &DrainRequest, requested: &[MemberId]) -> bool {
    let lists = [
        &known.waiting,
        &known.under_way,
        &known.finished,
        &known.withdrawn,
    ];
    let named: BTreeSet<_> = lists.into_iter().flatten().copied().collect();
    named == requested.iter().copied().collect()
}

impl Fleet {
    /// Its grant is gone without a drain: it goes back to those that wait for one.
    pub(super) fn return_to_waiting(&mut self, id: MemberId) {
        for ask in self.drain_requests.values_mut() {
            if let Some(at) = ask.under_way.iter().position(|m| *m == id) {
                ask.under_way.remove(at);
                ask.waiting.push(id);
            }
        }
    }

    /// The member starts the drain that it was granted. It is checked again: others may have been lost since the grant.
    pub(super) fn start_drain(
        &mut self,
        id: MemberId,
        incarnation: u64,
        grant: Grant,
    ) -> Result<ChangeOutcome, Refusal> {
        match self.current_incarnation(id, incarnation)?.phase {
            Phase::Draining { grant: held } if held == grant => return ALREADY,
            Phase::Granted { grant: held } if held == grant => {}
            _ => return Err(Refusal::GrantNotHeld { member: id, grant }),
        }
        if let Some(h) = &self.halt {
            return Err(Refusal::Halted {
                by: h.by.clone(),
                why: h.why.clone(),
            });
        }
        if let Some(exceeded) = bounds::exceeded_if_out(self, &id) {
            return Err(Refusal::ExceedsBound {
                member: id,
                exceeded,
            });
        }
        self.enter_phase(id, Phase::Draining { grant })
    }

    /// The member whose drain was withdrawn serves again, and has to prove itself.
    pub(super) fn drain_cancelled(
        &mut self,
        id: MemberId,
        incarnation: u64,
        grant: Grant,
    ) -> Result<ChangeOutcome, Refusal> {
        match self.current_incarnation(id, incarnation)?.phase {
            Phase::Draining { grant: held } if held == grant => {
                self.enter_phase(id, Phase::Starting { planned: true })
            }
            Phase::Starting { .. } | Phase::Up => ALREADY,
            _ => Err(Refusal::GrantNotHeld { member: id, grant }),
        }
    }

    /// Issues a grant to a member that is up, requested and allowed by the bounds.
    pub(super) fn issue_grant(&mut self, id: MemberId) -> Result<ChangeOutcome, Refusal> {
        let phase = &self.member(id)?.phase;
        if let Some(grant) = phase.grant() {
            return Ok(ChangeOutcome {
                changed: false,
                grant: Some(grant),
            });
        }
        if *phase != Phase::Up {
            return Err(Refusal::WrongPhase {
                member: id,
                found: phase.name(),
                expected: "up",
            });
        }
        if let Some(h) = &self.halt {
            return Err(Refusal::Halted {
                by: h.by.clone(),
                why: h.why.clone(),
            });
        }
        if let Some(exceeded) = bounds::exceeded_if_out(self, &id) {
            return Err(Refusal::ExceedsBound {
                member: id,
                exceeded,
            });
        }
        let ask = self
            .drain_requests
            .values_mut()
            .find(|a| a.waiting.contains(&id));
        let ask = ask.ok_or(Refusal::NotRequested { member: id })?;
        ask.waiting.retain(|m| *m != id);
        ask.under_way.push(id);
        self.grants += 1;
        let grant = self.grants;
        self.enter_phase(id, Phase::Granted { grant })?;
        Ok(ChangeOutcome {
            changed: true,
            grant: Some(grant),
        })
    }

    /// Takes a drain request, or recognises one that was taken before.
    pub(super) fn request_drain(
        &mut self,
        id: &str,
        members: &[MemberId],
        by: &str,
    ) -> Result<ChangeOutcome, Refusal> {
        check_text("id", id, ID_MOST_BYTES)?;
        check_text("by", by, TEXT_MOST_BYTES)?;
        let requested = without_duplicates(members);
        if requested.is_empty() {
            return Err(Refusal::InvalidValue {
                place: "members",
                found: String::new(),
                expected: "at least one member",
            });
        }
        if let Some(known) = self.drain_requests.get(id) {
            return match names_the_same_members(known, &requested) {
                true => ALREADY,
                false => Err(Refusal::RequestIdInUse(id.to_owned())),
            };
        }
        self.check_requested_once(&requested)?;
        bounds::check_feasible(self, &requested)?;
        self.make_room_for_request()?;
        let ask = DrainRequest {
            by: by.to_owned(),
            waiting: requested,
            under_way: Vec::new(),
            finished: Vec::new(),
            withdrawn: Vec::new(),
            revision: self.revision + 1,
        };
        self.drain_requests.insert(id.to_owned(), ask);
        CHANGED
    }

    /// Every member exists, and no unfinished request names it.
    fn check_requested_once(&mut self, requested: &[MemberId]) -> Result<(), Refusal> {
        for member in requested {
            self.member(*member)?;
            let other = self.drain_requests.iter().find(|(_, request)| {
                request.waiting.contains(member) || request.under_way.contains(member)
            });
            if let Some((id, _)) = other {
                return Err(Refusal::AlreadyRequested {
                    member: *member,
                    id: id.clone(),
                });
            }
        }
        Ok(())
    }

    /// Forgets the oldest finished request where there are too many.
    fn make_room_for_request(&mut self) -> Result<(), Refusal> {
        if self.drain_requests.len() < ASKS_MOST {
            return Ok(());
        }
        let finished = self
            .drain_requests
            .iter()
            .filter(|(_, request)| request.is_finished());
        let oldest = finished.min_by_key(|(_, request)| request.revision);
        let Some(oldest) = oldest.map(|(id, _)| id.clone()) else {
            return Err(Refusal::TooMany {
                place: "asks",
                found: ASKS_MOST + 1,
                most: ASKS_MOST,
            });
        };
        self.drain_requests.remove(&oldest);
        Ok(())
    }

    /// Withdraws members from their requests; grants that were not used are gone.
    pub(super) fn withdraw_requests(
        &mut self,
        members: &[MemberId],
        by: &str,
    ) -> Result<ChangeOutcome, Refusal> {
        check_text("by", by, TEXT_MOST_BYTES)?;
        for m in members {
            self.member(*m)?;
        }
        let mut changed = false;
        for id in members {
            for ask in self.drain_requests.values_mut() {
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
                self.enter_phase(*id, Phase::Up)?;
            }
        }
        Ok(ChangeOutcome {
            changed,
            grant: None,
        })
    }

    /// Whether a member that drains may go back to serving: its request was withdrawn.
    pub fn may_cancel_drain(&self, id: &MemberId) -> bool {
        let draining = self
            .members
            .get(id)
            .is_some_and(|m| matches!(m.phase, Phase::Draining { .. }));
        draining
            && !self
                .drain_requests
                .values()
                .any(|a| a.under_way.contains(id))
    }

    /// Revokes a grant that was not used.
    pub(super) fn revoke_grant(&mut self, grant: Grant) -> Result<ChangeOutcome, Refusal> {
        let held = self
            .members
            .iter()
            .find(|(_, m)| m.phase == Phase::Granted { grant });
        let Some(id) = held.map(|(id, _)| *id) else {
            return ALREADY;
        };
        self.return_to_waiting(id);
        self.enter_phase(id, Phase::Up)
    }

    /// Halts drains until an operator resumes them.
    pub(super) fn halt_drains(
        &mut self,
        by: &str,
        why: &str,
        ends: &str,
    ) -> Result<ChangeOutcome, Refusal> {
        check_text("by", by, TEXT_MOST_BYTES)?;
        check_text("why", why, TEXT_MOST_BYTES)?;
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

    /// Ends a halt.
    pub(super) fn resume_drains(&mut self, by: &str) -> Result<ChangeOutcome, Refusal> {
        check_text("by", by, TEXT_MOST_BYTES)?;
        if self.halt.take().is_some() {
            CHANGED
        } else {
            ALREADY
        }
    }

    /// Halts drains when more members are lost than the deployment allows.
    pub(super) fn halt_when_many_are_lost(&mut self) {
        let lost = self.lost_count();
        if self.halt.is_none() && self.halt_at_lost > 0 && lost > self.halt_at_lost {
            let why = format!("{lost} members are lost, more than {}", self.halt_at_lost);
            self.halt_automatically(
                "the fleet",
                &why,
                "an operator's resume, once they are back or forgotten",
            );
        }
    }

    fn halt_automatically(&mut self, by: &str, why: &str, ends: &str) {
        self.revision += 1;
        let revision = self.revision;
        let halt = Halt {
            by: by.into(),
            why: why.into(),
            ends: ends.into(),
            revision,
        };
        self.history.push_back(HistoryEntry {
            revision,
            description: format!("halt by {by}: {why}"),
        });
        self.halt = Some(halt);
    }
}
