//! Every way in which what the fleet agreed on may change. Each change may come twice: a proposer that was not told what
//! came of its round proposes again, and so does a member or an operator whose answer was lost.
//!
//! By kind of change: `membership` who is there, `drains` who may go and when, `settings` bounds and stewards, `leases` who
//! holds the leases of fleet-wide tasks.

mod drains;
mod leases;
mod membership;
mod settings;

use crate::bounds::{self, Bound};
use crate::fleet::{About, Event, Fleet, Grant, Member, MemberId, Phase};
use crate::lease::{self, Epoch, LeaseName, LeaseTerms};
use crate::register::{self, Config, Voter};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

const HISTORY_MOST: usize = 256;
pub(crate) const ID_MOST_BYTES: usize = 64;
pub(crate) const TEXT_MOST_BYTES: usize = 256;

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
    /// By operators: these leases there are from now on.
    Leases {
        leases: BTreeMap<LeaseName, LeaseTerms>,
        by: String,
    },
    /// By operators: the lease is taken from whoever holds it, and given to nobody.
    PauseLease {
        lease: LeaseName,
        by: String,
        why: String,
    },
    /// By operators.
    ResumeLease {
        lease: LeaseName,
        by: String,
    },
    /// By resources, at the first seal of their life: changes nothing, and is refused where another epoch is the lease's.
    ConfirmEpoch {
        lease: LeaseName,
        epoch: Epoch,
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
    Phase {
        member: MemberId,
        found: &'static str,
        expected: &'static str,
    },
    #[error("{member}: grant {grant} is not its own any more")]
    NoGrant { member: MemberId, grant: Grant },
    #[error("halted by {by}: {why}")]
    Halted { by: String, why: String },
    #[error("no room for {member}: {over}")]
    NoRoom {
        member: MemberId,
        over: bounds::Over,
    },
    #[error("{member}: nobody asked for its drain")]
    NotAsked { member: MemberId },
    #[error("{member} belongs to ask '{id}' already")]
    AskedElsewhere { member: MemberId, id: String },
    #[error("ask '{0}' is known with other members")]
    OtherAsk(String),
    #[error("{place} = '{found}': {expected} is expected")]
    Value {
        place: &'static str,
        found: String,
        expected: &'static str,
    },
    #[error("{place}: {found} is more than {most}")]
    Many {
        place: &'static str,
        found: usize,
        most: usize,
    },
    #[error("{0}: no such lease")]
    UnknownLease(LeaseName),
    #[error("lease {lease}: epoch {expected} is expected, {found} was given")]
    Epoch {
        lease: LeaseName,
        expected: Epoch,
        found: Epoch,
    },
    #[error(transparent)]
    Lease(#[from] lease::Unfit),
    #[error(transparent)]
    Bounds(#[from] bounds::Unfit),
    #[error(transparent)]
    Stewards(#[from] register::Unfit),
}

const CHANGED: Result<Done, Refusal> = Ok(Done {
    changed: true,
    grant: None,
});
const ALREADY: Result<Done, Refusal> = Ok(Done {
    changed: false,
    grant: None,
});

pub(crate) fn text(place: &'static str, found: &str, most: usize) -> Result<(), Refusal> {
    let plain = found.chars().all(|c| !c.is_control());
    if found.is_empty() || found.len() > most || !plain {
        let found = found.chars().take(80).collect();
        return Err(Refusal::Value {
            place,
            found,
            expected: "plain text of a stated length",
        });
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

    fn member(&mut self, id: MemberId) -> Result<&mut Member, Refusal> {
        self.members.get_mut(&id).ok_or(Refusal::Unknown(id))
    }

    /// The member, if this is the life of it that counts.
    fn living(&mut self, member: MemberId, incarnation: u64) -> Result<&mut Member, Refusal> {
        let m = self.member(member)?;
        match m.about.incarnation == incarnation {
            true => Ok(m),
            false => Err(Refusal::Replaced {
                member,
                incarnation,
            }),
        }
    }

    fn enter(&mut self, id: MemberId, phase: Phase) -> Result<Done, Refusal> {
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

/// As the history tells it.
fn told(change: &Change, grant: Option<Grant>) -> String {
    let some = |all: &[MemberId]| match all {
        [one] => one.to_string(),
        [first, ..] => format!("{} members from {first} on", all.len()),
        [] => "nobody".into(),
    };
    match change {
        Change::Join { member, about } => {
            format!(
                "{member} joined in site {}, life {:x}, {}",
                about.site, about.incarnation, about.version
            )
        }
        Change::Proven { member, .. } => format!("{member} is up"),
        Change::Begin { member, grant, .. } => format!("{member} began to drain, grant {grant}"),
        Change::Leave { member, .. } => format!("{member} left"),
        Change::TurnedBack { member, .. } => format!("{member} turned back"),
        Change::Silent { member, .. } => format!("{member} is lost: silent"),
        Change::Heard { member, .. } => format!("{member} speaks again"),
        Change::Grant { member } => format!("{member} may go, grant {}", grant.unwrap_or(0)),
        Change::TakeBack { grant } => format!("grant {grant} taken back"),
        Change::Ask { id, members, by } => {
            format!("{by} asks, as '{id}', to drain {}", some(members))
        }
        Change::Withdraw { members, by } => format!("{by} withdraws {}", some(members)),
        Change::Halt { by, why, .. } => format!("halt by {by}: {why}"),
        Change::Resume { by } => format!("resumed by {by}"),
        Change::Forget { member, by } => format!("{member} forgotten by {by}"),
        Change::Bounds { by, .. } => format!("bounds changed by {by}"),
        Change::Stewards { voters, by, .. } => format!("{by} changes to {} stewards", voters.len()),
        Change::Settle { .. } => "the new stewards hold the fleet".into(),
        Change::Leases { leases, by } => format!("{by} states {} leases", leases.len()),
        Change::PauseLease { lease, by, why } => format!("lease {lease} paused by {by}: {why}"),
        Change::ResumeLease { lease, by } => format!("lease {lease} resumed by {by}"),
        Change::ConfirmEpoch { lease, epoch } => format!("lease {lease}: epoch {epoch} confirmed"),
    }
}
