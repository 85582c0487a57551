//! The changes to the agreed value. The same change may arrive twice: a proposer that does not learn the outcome of its round
//! proposes again, and so does a member or an operator whose reply was lost.
//!
//! `apply` makes a change and records it in the history; `outcome` has its result or the reason for its refusal. The changes
//! by topic: `membership` (members), `drains` (drain requests, grants, halts), `settings` (bounds and coordinators), `leases`
//! (leases of fleet-wide tasks).

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

/// A change to the agreed value. Variant names are part of the protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Change {
    /// Sent by a member when it starts.
    Join {
        /// The member concerned.
        member: MemberId,
        /// The member's description of itself.
        about: MemberInfo,
    },
    /// Sent by a member that is healthy; it then counts as up.
    Proven {
        /// The member concerned.
        member: MemberId,
        /// The member's incarnation; a former one is refused.
        incarnation: u64,
    },
    /// Sent by a member that starts the drain it was granted. The member does not act on the drain before this is agreed.
    Begin {
        /// The member concerned.
        member: MemberId,
        /// The member's incarnation; a former one is refused.
        incarnation: u64,
        /// The permission to drain.
        grant: Grant,
    },
    /// Sent by a member that stops, drained or not.
    Leave {
        /// The member concerned.
        member: MemberId,
        /// The member's incarnation; a former one is refused.
        incarnation: u64,
    },
    /// Sent by a member whose drain was cancelled; it serves again.
    TurnedBack {
        /// The member concerned.
        member: MemberId,
        /// The member's incarnation; a former one is refused.
        incarnation: u64,
        /// The permission to drain.
        grant: Grant,
    },
    /// Proposed by coordinators: a majority of them finds the member unreachable.
    Silent {
        /// The member concerned.
        member: MemberId,
        /// The member's incarnation; a former one is refused.
        incarnation: u64,
    },
    /// Proposed by coordinators: the unreachable member is reachable again.
    Heard {
        /// The member concerned.
        member: MemberId,
        /// The member's incarnation; a former one is refused.
        incarnation: u64,
    },
    /// Proposed by coordinators: permits the member to drain.
    Grant {
        /// The member concerned.
        member: MemberId,
    },
    /// Proposed by coordinators: revokes a grant whose drain was not started in time.
    TakeBack {
        /// The permission to drain.
        grant: Grant,
    },
    /// Sent by operators: requests that these members drain and return.
    Ask {
        /// Identifies the request; a repeated request with the same id is the same one.
        id: String,
        /// The members, in the order in which they drain.
        members: Vec<MemberId>,
        /// Who requested the change, for the history.
        by: String,
    },
    /// Sent by operators: cancels drains that have not started; members that already drain may return to service.
    Withdraw {
        /// The members whose drains are cancelled.
        members: Vec<MemberId>,
        /// Who requested the change, for the history.
        by: String,
    },
    /// Sent by operators, or proposed by coordinators after too many failures: no further drain starts.
    Halt {
        /// Who requested the change, for the history.
        by: String,
        /// The reason, shown to operators.
        why: String,
        /// What ends the halt, shown to operators.
        ends: String,
    },
    /// Sent by operators: ends a halt.
    Resume {
        /// Who requested the change, for the history.
        by: String,
    },
    /// Sent by operators: removes a member that does not return; it is no longer counted.
    Forget {
        /// The member concerned.
        member: MemberId,
        /// Who requested the change, for the history.
        by: String,
    },
    /// Sent by operators. Bounds that are currently exceeded are accepted; no drain then starts until they hold.
    Bounds {
        /// The complete new set of bounds.
        bounds: Vec<Bound>,
        /// Who requested the change, for the history.
        by: String,
    },
    /// Sent by operators: replaces the set of coordinators.
    Stewards {
        /// The complete new set of coordinators, with their disks.
        voters: BTreeSet<Voter>,
        /// The listen address of each coordinator.
        at: BTreeMap<u32, String>,
        /// Who requested the change, for the history.
        by: String,
    },
    /// Proposed by coordinators: completes a replacement of coordinators, once a quorum is known to hold a value that names
    /// both sets.
    Settle {
        /// The configuration that a quorum is known to hold.
        seen: Config,
    },
    /// Sent by operators: replaces the set of leases.
    Leases {
        /// The complete new set of leases.
        leases: BTreeMap<LeaseName, LeaseTerms>,
        /// Who requested the change, for the history.
        by: String,
    },
    /// Sent by operators: revokes the lease from its holder and grants it to nobody.
    PauseLease {
        /// The lease concerned.
        lease: LeaseName,
        /// Who requested the change, for the history.
        by: String,
        /// The reason, shown to operators.
        why: String,
    },
    /// Sent by operators: the lease may be granted again.
    ResumeLease {
        /// The lease concerned.
        lease: LeaseName,
        /// Who requested the change, for the history.
        by: String,
    },
    /// Sent by a resource at the first seal of its incarnation. Changes nothing, and is refused unless the epoch is the
    /// lease's current one.
    ConfirmEpoch {
        /// The lease concerned.
        lease: LeaseName,
        /// The epoch that the resource was asked to seal.
        epoch: Epoch,
    },
}
