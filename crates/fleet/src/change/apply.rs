//! Applies one change to the fleet and records it in the history.

use super::Change;
use super::description::describe;
use super::outcome::{CHANGED, ChangeOutcome, Refusal};
use crate::state::{Fleet, HistoryEntry, Member, MemberId, Phase};

/// Maximum number of history entries.
const MAX_HISTORY_ENTRIES: usize = 256;

impl Fleet {
    /// Applies a change and its consequences, or refuses it and changes nothing.
    pub fn apply(&mut self, change: &Change) -> Result<ChangeOutcome, Refusal> {
        let outcome = self.dispatch(change)?;
        if outcome.changed {
            self.revision += 1;
            let revision = self.revision;
            self.history.push_back(HistoryEntry {
                revision,
                description: describe(change, outcome.grant),
            });
            self.halt_if_too_many_lost();
            self.reassign_leases();
            let excess = self.history.len().saturating_sub(MAX_HISTORY_ENTRIES);
            self.history.drain(..excess);
        }
        Ok(outcome)
    }

    /// The member with this id.
    pub(super) fn member_mut(&mut self, id: MemberId) -> Result<&mut Member, Refusal> {
        self.members.get_mut(&id).ok_or(Refusal::UnknownMember(id))
    }

    /// The member, or a refusal if `incarnation` is not its current one.
    pub(super) fn current_incarnation(
        &mut self,
        member: MemberId,
        incarnation: u64,
    ) -> Result<&mut Member, Refusal> {
        let known = self.member_mut(member)?;
        match known.info.incarnation == incarnation {
            true => Ok(known),
            false => Err(Refusal::Replaced {
                member,
                incarnation,
            }),
        }
    }

    /// Moves a member into a phase, as of the next revision.
    pub(super) fn enter_phase(
        &mut self,
        id: MemberId,
        phase: Phase,
    ) -> Result<ChangeOutcome, Refusal> {
        let revision = self.revision + 1;
        let member = self.member_mut(id)?;
        (member.phase, member.since) = (phase, revision);
        CHANGED
    }

    /// Dispatches the change to the method that makes it.
    fn dispatch(&mut self, change: &Change) -> Result<ChangeOutcome, Refusal> {
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
            } => self.return_to_service(*member, *incarnation, *grant),
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
            Change::Bounds { bounds, by } => self.set_bounds(bounds, by),
            Change::Stewards { voters, at, by } => self.change_coordinators(voters, at, by),
            Change::Settle { seen } => self.settle_coordinators(seen),
            Change::Leases { leases, by } => self.set_leases(leases, by),
            Change::PauseLease { lease, by, why } => self.pause_lease(lease, by, why),
            Change::ResumeLease { lease, by } => self.resume_lease(lease, by),
            Change::ConfirmEpoch { lease, epoch } => self.confirm_epoch(lease, *epoch),
        }
    }
}
