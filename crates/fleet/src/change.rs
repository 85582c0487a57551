//! Every way in which the agreed value may change. Each change may come twice: a proposer that was not told the outcome of its
//! round proposes again, and so does a member or an operator whose answer was lost.
//!
//! `apply` makes a change and records it in the history, `outcome` is what a change came to or why it was refused. The
//! changes by topic: `membership` who is a member, `drains` who may drain and when, `settings` bounds and coordinators,
//! `leases` who holds the leases of fleet-wide tasks.

mod apply;
mod description;
mod drains;
mod leases;
mod membership;
mod outcome;
mod settings;

pub use outcome::{Done, Refusal};

use crate::register::{Config, Voter};
use crate::state::{About, Bound, Epoch, Grant, LeaseName, LeaseTerms, MemberId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

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
