//! Applies one change to the fleet and records it in the history.

use super::Change;
use super::description::describe;
use super::outcome::{CHANGED, ChangeOutcome, Refusal};
use crate::state::{Fleet, HistoryEntry, Member, MemberId, Phase};

/// Entries that the history keeps.
const HISTORY_MOST: usize = 256;

impl Fleet {
    /// Makes one change and what follows from it, or changes nothing and says why.
    pub fn apply(&mut self, change: &Change) -> Result<ChangeOutcome, Refusal> {
        let done = self.change(change)?;
        if done.changed {
            self.revision += 1;
            let revision = self.revision;
            self.history.push_back(HistoryEntry {
                revision,
                description: describe(change, done.grant),
            });
            self.halt_when_many_are_lost();
            self.hand_over_leases();
            let too_many = self.history.len().saturating_sub(HISTORY_MOST);
            self.history.drain(..too_many);
        }
        Ok(done)
    }

    /// The member of this name.
    pub(super) fn member(&mut self, id: MemberId) -> Result<&mut Member, Refusal> {
        self.members.get_mut(&id).ok_or(Refusal::UnknownMember(id))
    }

    /// The member, if this is its current incarnation.
    pub(super) fn current_incarnation(
        &mut self,
        member: MemberId,
        incarnation: u64,
    ) -> Result<&mut Member, Refusal> {
        let m = self.member(member)?;
        match m.info.incarnation == incarnation {
            true => Ok(m),
            false => Err(Refusal::Replaced {
                member,
                incarnation,
            }),
        }
    }

    /// Moves a member into a phase as of the next revision.
    pub(super) fn enter_phase(
        &mut self,
        id: MemberId,
        phase: Phase,
    ) -> Result<ChangeOutcome, Refusal> {
        let revision = self.revision + 1;
        let m = self.member(id)?;
        (m.phase, m.since) = (phase, revision);
        CHANGED
    }

    /// Dispatches the change to the method that makes it.
    fn change(&mut self, change: &Change) -> Result<ChangeOutcome, Refusal> {
        match change {
            Change::Join { member, about } => self.join(*member, about),
            Change::Proven {
                member,
                incarnation,
            } => self.mark_healthy(*member, *incarnation),
            Change::Begin {
                member,
                incarnation,
                grant,
            } => self.start_drain(*member, *incarnation, *grant),
            Change::Leave {
                member,
                incarnation,
            } => self.leave(*member, *incarnation),
            Change::TurnedBack {
                member,
                incarnation,
                grant,
            } => self.drain_cancelled(*member, *incarnation, *grant),
            Change::Silent {
                member,
                incarnation,
            } => self.mark_unreachable(*member, *incarnation),
            Change::Heard {
                member,
                incarnation,
            } => self.mark_reachable(*member, *incarnation),
            Change::Grant { member } => self.issue_grant(*member),
            Change::TakeBack { grant } => self.revoke_grant(*grant),
            Change::Ask { id, members, by } => self.request_drain(id, members, by),
            Change::Withdraw { members, by } => self.withdraw_requests(members, by),
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
