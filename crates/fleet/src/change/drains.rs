//! Drain requests, grants, starts of drains and halts.

use super::outcome::{
    CHANGED, ChangeOutcome, MAX_ID_BYTES, MAX_TEXT_BYTES, Refusal, UNCHANGED, check_text,
};
use crate::bounds;
use crate::state::{DrainRequest, Fleet, Grant, Halt, HistoryEntry, MemberId, Phase};
use std::collections::BTreeSet;

/// Maximum number of drain requests, including finished ones.
const MAX_DRAIN_REQUESTS: usize = 64;

fn without_duplicates(members: &[MemberId]) -> Vec<MemberId> {
    let mut distinct = Vec::new();
    for member in members {
        if !distinct.contains(member) {
            distinct.push(*member);
        }
    }
    distinct
}

fn has_same_members(known: &DrainRequest, requested: &[MemberId]) -> bool {
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
    /// Moves a member whose grant ended without a drain back to the waiting list of its request.
    pub(super) fn return_to_waiting(&mut self, id: MemberId) {
        for request in self.drain_requests.values_mut() {
            if let Some(index) = request.under_way.iter().position(|m| *m == id) {
                request.under_way.remove(index);
                request.waiting.push(id);
            }
        }
    }

    /// Starts the drain that the member was granted. The bounds are checked again: other members may have been lost since.
    pub(super) fn start_drain(
        &mut self,
        id: MemberId,
        incarnation: u64,
        grant: Grant,
    ) -> Result<ChangeOutcome, Refusal> {
        match self.current_incarnation(id, incarnation)?.phase {
            Phase::Draining { grant: current } if current == grant => return UNCHANGED,
            Phase::Granted { grant: current } if current == grant => {}
            _ => return Err(Refusal::GrantNotHeld { member: id, grant }),
        }
        if let Some(halt) = &self.halt {
            return Err(Refusal::Halted {
                by: halt.by.clone(),
                why: halt.why.clone(),
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

    /// Returns a member whose drain was cancelled to service; it must prove healthy again.
    pub(super) fn return_to_service(
        &mut self,
        id: MemberId,
        incarnation: u64,
        grant: Grant,
    ) -> Result<ChangeOutcome, Refusal> {
        match self.current_incarnation(id, incarnation)?.phase {
            Phase::Draining { grant: current } if current == grant => {
                self.enter_phase(id, Phase::Starting { planned: true })
            }
            Phase::Starting { .. } | Phase::Up => UNCHANGED,
            _ => Err(Refusal::GrantNotHeld { member: id, grant }),
        }
    }

    /// Issues a grant to a member that is up, named by a request and within the bounds.
    pub(super) fn issue_grant(&mut self, id: MemberId) -> Result<ChangeOutcome, Refusal> {
        let phase = &self.member_mut(id)?.phase;
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
        if let Some(halt) = &self.halt {
            return Err(Refusal::Halted {
                by: halt.by.clone(),
                why: halt.why.clone(),
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

    /// Records a drain request, or recognises one that is already recorded.
    pub(super) fn request_drain(
        &mut self,
        id: &str,
        members: &[MemberId],
        by: &str,
    ) -> Result<ChangeOutcome, Refusal> {
        check_text("id", id, MAX_ID_BYTES)?;
        check_text("by", by, MAX_TEXT_BYTES)?;
        let requested = without_duplicates(members);
        if requested.is_empty() {
            return Err(Refusal::InvalidValue {
                place: "members",
                found: String::new(),
                expected: "at least one member",
            });
        }
        if let Some(known) = self.drain_requests.get(id) {
            return match has_same_members(known, &requested) {
                true => UNCHANGED,
                false => Err(Refusal::RequestIdInUse(id.to_owned())),
            };
        }
        self.check_not_requested(&requested)?;
        bounds::check_feasible(self, &requested)?;
        self.evict_finished_request()?;
        let request = DrainRequest {
            by: by.to_owned(),
            waiting: requested,
            under_way: Vec::new(),
            finished: Vec::new(),
            withdrawn: Vec::new(),
            revision: self.revision + 1,
        };
        self.drain_requests.insert(id.to_owned(), request);
        CHANGED
    }

    /// Checks that every member exists and is not part of an unfinished request.
    fn check_not_requested(&mut self, requested: &[MemberId]) -> Result<(), Refusal> {
        for member in requested {
            self.member_mut(*member)?;
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

    /// Removes the oldest finished request when the maximum is reached.
    fn evict_finished_request(&mut self) -> Result<(), Refusal> {
        if self.drain_requests.len() < MAX_DRAIN_REQUESTS {
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
                found: MAX_DRAIN_REQUESTS + 1,
                most: MAX_DRAIN_REQUESTS,
            });
        };
        self.drain_requests.remove(&oldest);
        Ok(())
    }

    /// Withdraws members from their requests and revokes their unused grants.
    pub(super) fn withdraw_requests(
        &mut self,
        members: &[MemberId],
        by: &str,
    ) -> Result<ChangeOutcome, Refusal> {
        check_text("by", by, MAX_TEXT_BYTES)?;
        for member in members {
            self.member_mut(*member)?;
        }
        let mut changed = false;
        for id in members {
            for request in self.drain_requests.values_mut() {
                let mut is_named = false;
                for list in [&mut request.waiting, &mut request.under_way] {
                    let before = list.len();
                    list.retain(|m| m != id);
                    is_named |= list.len() < before;
                }
                if is_named {
                    request.withdrawn.push(*id);
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

    /// Whether a draining member may return to service because it was withdrawn from its request.
    pub fn may_cancel_drain(&self, id: &MemberId) -> bool {
        let is_draining = self
            .members
            .get(id)
            .is_some_and(|m| matches!(m.phase, Phase::Draining { .. }));
        is_draining
            && !self
                .drain_requests
                .values()
                .any(|a| a.under_way.contains(id))
    }

    /// Revokes a grant whose drain has not started.
    pub(super) fn revoke_grant(&mut self, grant: Grant) -> Result<ChangeOutcome, Refusal> {
        let granted = self
            .members
            .iter()
            .find(|(_, m)| m.phase == Phase::Granted { grant });
        let Some(id) = granted.map(|(id, _)| *id) else {
            return UNCHANGED;
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
        check_text("by", by, MAX_TEXT_BYTES)?;
        check_text("why", why, MAX_TEXT_BYTES)?;
        if self.halt.is_some() {
            return UNCHANGED;
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
        check_text("by", by, MAX_TEXT_BYTES)?;
        if self.halt.take().is_some() {
            CHANGED
        } else {
            UNCHANGED
        }
    }

    /// Halts drains when more members are lost than the deployment allows.
    pub(super) fn halt_if_too_many_lost(&mut self) {
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
