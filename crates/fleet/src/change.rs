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

pub use outcome::{ChangeOutcome, REPLACED_TEXT, Refusal};

use crate::register::{Config, Voter};
use crate::state::{Bound, Epoch, Grant, LeaseName, LeaseTerms, MemberId, MemberInfo};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A change to the agreed value. The names of the variants are words of the protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Change {
    /// By the member, at its start.
    Join {
        /// The member concerned.
        member: MemberId,
        /// What it says of itself.
        about: MemberInfo,
    },
    /// By the member: it serves as it should, and counts as up.
    Proven {
        /// The member concerned.
        member: MemberId,
        /// Of the member; a former one is refused.
        incarnation: u64,
    },
    /// By the member: it starts the drain that it was granted. Agreed before it does anything about it.
    Begin {
        /// The member concerned.
        member: MemberId,
        /// Of the member; a former one is refused.
        incarnation: u64,
        /// The permission to drain.
        grant: Grant,
    },
    /// By the member: it ends now, drained or not.
    Leave {
        /// The member concerned.
        member: MemberId,
        /// Of the member; a former one is refused.
        incarnation: u64,
    },
    /// By the member: its drain was cancelled and it serves again.
    TurnedBack {
        /// The member concerned.
        member: MemberId,
        /// Of the member; a former one is refused.
        incarnation: u64,
        /// The permission to drain.
        grant: Grant,
    },
    /// By coordinators: a majority of them finds the member unreachable.
    Silent {
        /// The member concerned.
        member: MemberId,
        /// Of the member; a former one is refused.
        incarnation: u64,
    },
    /// By coordinators: the unreachable member is reachable again.
    Heard {
        /// The member concerned.
        member: MemberId,
        /// Of the member; a former one is refused.
        incarnation: u64,
    },
    /// By coordinators: the member may drain.
    Grant {
        /// The member concerned.
        member: MemberId,
    },
    /// By coordinators: revokes a grant whose drain was not started in time.
    TakeBack {
        /// The permission to drain.
        grant: Grant,
    },
    /// By operators: these members are to drain and return.
    Ask {
        /// Names the request; the same request twice is one.
        id: String,
        /// Whom it concerns, in the order in which they are to drain.
        members: Vec<MemberId>,
        /// Who asked for it, for the history.
        by: String,
    },
    /// By operators: cancels drains that have not started; members that drain already may return to serving.
    Withdraw {
        /// Whom it concerns, in the order in which they are to drain.
        members: Vec<MemberId>,
        /// Who asked for it, for the history.
        by: String,
    },
    /// By operators, or by coordinators when too much goes wrong: no further drain starts.
    Halt {
        /// Who asked for it, for the history.
        by: String,
        /// The reason, for those who read it.
        why: String,
        /// What would end the halt, for those who read it.
        ends: String,
    },
    /// By operators: ends a halt.
    Resume {
        /// Who asked for it, for the history.
        by: String,
    },
    /// By operators: it does not come back, and is not counted any more.
    Forget {
        /// The member concerned.
        member: MemberId,
        /// Who asked for it, for the history.
        by: String,
    },
    /// By operators. Bounds that are exceeded at the moment are accepted: then no drain starts until they hold.
    Bounds {
        /// All bounds from now on.
        bounds: Vec<Bound>,
        /// Who asked for it, for the history.
        by: String,
    },
    /// By operators: replaces the set of coordinators.
    Stewards {
        /// All coordinators from now on, with their disks.
        voters: BTreeSet<Voter>,
        /// Where each coordinator listens.
        at: BTreeMap<u32, String>,
        /// Who asked for it, for the history.
        by: String,
    },
    /// By coordinators: ends a replacement of coordinators, once a quorum is known to hold a value that names both sets.
    Settle {
        /// The configuration that a quorum is known to hold.
        seen: Config,
    },
    /// By operators: states which leases there are.
    Leases {
        /// All leases from now on.
        leases: BTreeMap<LeaseName, LeaseTerms>,
        /// Who asked for it, for the history.
        by: String,
    },
    /// By operators: the lease is taken from whoever holds it, and given to nobody.
    PauseLease {
        /// The lease concerned.
        lease: LeaseName,
        /// Who asked for it, for the history.
        by: String,
        /// The reason, for those who read it.
        why: String,
    },
    /// By operators: the lease may be granted again.
    ResumeLease {
        /// The lease concerned.
        lease: LeaseName,
        /// Who asked for it, for the history.
        by: String,
    },
    /// By resources, at the first seal of their incarnation: changes nothing, and is refused where another epoch is the lease's.
    ConfirmEpoch {
        /// The lease concerned.
        lease: LeaseName,
        /// The epoch that the resource was given.
        epoch: Epoch,
    },
}
