//! Applies one change to the fleet and records it in the history.

use super::Change;
use super::description::told;
use super::outcome::{CHANGED, Done, Refusal};
use crate::state::{Event, Fleet, Member, MemberId, Phase};

/// Entries that the history keeps.
const HISTORY_MOST: usize = 256;

impl Fleet {
    /// Makes one change, or none and says why.
    pub fn apply(&mut self, change: &Change) -> Result<Done, Refusal> {
        let done = self.change(change)?;
        if done.changed {
            self.revision += 1;
            let revision = self.revision;
            self.history.push_back(Event {
                revision,
                what: told(change, done.grant),
            });
            self.halt_when_many_are_lost();
            self.hand_over_leases();
            let too_many = self.history.len().saturating_sub(HISTORY_MOST);
            self.history.drain(..too_many);
        }
        Ok(done)
    }

    pub(super) fn member(&mut self, id: MemberId) -> Result<&mut Member, Refusal> {
        self.members.get_mut(&id).ok_or(Refusal::Unknown(id))
    }

    /// The member, if this is the life of it that counts.
    pub(super) fn living(
        &mut self,
        member: MemberId,
        incarnation: u64,
    ) -> Result<&mut Member, Refusal> {
        let m = self.member(member)?;
        match m.about.incarnation == incarnation {
            true => Ok(m),
            false => Err(Refusal::Replaced {
                member,
                incarnation,
            }),
        }
    }

    pub(super) fn enter(&mut self, id: MemberId, phase: Phase) -> Result<Done, Refusal> {
        let revision = self.revision + 1;
        let m = self.member(id)?;
        (m.phase, m.since) = (phase, revision);
        CHANGED
    }

    fn change(&mut self, change: &Change) -> Result<Done, Refusal> {
        match change {
            Change::Join { member, about } => self.join(*member, about),
            Change::Proven {
                member,
                incarnation,
            } => self.proven(*member, *incarnation),
            Change::Begin {
                member,
                incarnation,
                grant,
            } => self.begin(*member, *incarnation, *grant),
            Change::Leave {
                member,
                incarnation,
            } => self.leave(*member, *incarnation),
            Change::TurnedBack {
                member,
                incarnation,
                grant,
            } => self.turned_back(*member, *incarnation, *grant),
            Change::Silent {
                member,
                incarnation,
            } => self.silent(*member, *incarnation),
            Change::Heard {
                member,
                incarnation,
            } => self.heard(*member, *incarnation),
            Change::Grant { member } => self.grant(*member),
            Change::TakeBack { grant } => self.take_back(*grant),
            Change::Ask { id, members, by } => self.ask(id, members, by),
            Change::Withdraw { members, by } => self.withdraw(members, by),
            Change::Halt { by, why, ends } => self.halt_drains(by, why, ends),
            Change::Resume { by } => self.resume_drains(by),
            Change::Forget { member, by } => self.forget(*member, by),
            Change::Bounds { bounds, by } => self.state_bounds(bounds, by),
            Change::Stewards { voters, at, by } => self.change_stewards(voters, at, by),
            Change::Settle { seen } => self.settle_stewards(seen),
            Change::Leases { leases, by } => self.state_leases(leases, by),
            Change::PauseLease { lease, by, why } => self.pause_lease(lease, by, why),
            Change::ResumeLease { lease, by } => self.resume_lease(lease, by),
            Change::ConfirmEpoch { lease, epoch } => self.confirm_epoch(lease, *epoch),
        }
    }
}
