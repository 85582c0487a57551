//! What a change came to: its outcome, or why it was refused.

use crate::state::{Epoch, Grant, LeaseName, MemberId};
use crate::{bounds, leases, register};
use serde::{Deserialize, Serialize};

/// Longest name of a site, a request, a lease or a task.
pub(super) const ID_MOST_BYTES: usize = 64;
/// Longest text of an operator, and longest address.
pub(super) const TEXT_MOST_BYTES: usize = 256;

/// What a change that was accepted came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Done", expecting = "struct Done")]
pub struct ChangeOutcome {
    /// False: it had been made before.
    pub changed: bool,
    /// The grant that was issued, if it was a [`Change::Grant`](super::Change::Grant).
    pub grant: Option<Grant>,
}

/// Part of the protocol: a member recognises by these words, in the text of [`Refusal::Replaced`], that it was replaced.
pub const REPLACED_TEXT: &str = "was replaced";

/// Why nothing was changed. The texts go to members and operators.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// No such member.
    #[error("{0}: no such member")]
    UnknownMember(MemberId),
    /// Another incarnation of the member has taken its place.
    #[error("{member}: this life of it ({incarnation:x}) {}", REPLACED_TEXT)]
    Replaced {
        /// The member concerned.
        member: MemberId,
        /// The one that was replaced.
        incarnation: u64,
    },
    /// The member is in another phase than the change needs.
    #[error("{member} is {found}: {expected} is expected")]
    WrongPhase {
        /// The member concerned.
        member: MemberId,
        /// What was found.
        found: &'static str,
        /// What is expected.
        expected: &'static str,
    },
    /// The grant is not the member's any more.
    #[error("{member}: grant {grant} is not its own any more")]
    GrantNotHeld {
        /// The member concerned.
        member: MemberId,
        /// The grant that was given.
        grant: Grant,
    },
    /// Drains are halted.
    #[error("halted by {by}: {why}")]
    Halted {
        /// Who halted them.
        by: String,
        /// The reason of the halt.
        why: String,
    },
    /// The drain would exceed a bound.
    #[error("no room for {member}: {exceeded}")]
    ExceedsBound {
        /// The member concerned.
        member: MemberId,
        /// The bound, and what was counted.
        exceeded: bounds::BoundExceeded,
    },
    /// No request names the member.
    #[error("{member}: nobody asked for its drain")]
    NotRequested {
        /// The member concerned.
        member: MemberId,
    },
    /// Another request names the member already.
    #[error("{member} belongs to ask '{id}' already")]
    AlreadyRequested {
        /// The member concerned.
        member: MemberId,
        /// The other request.
        id: String,
    },
    /// The request is known with other members.
    #[error("ask '{0}' is known with other members")]
    RequestIdInUse(String),
    /// A value that can't be.
    #[error("{place} = '{found}': {expected} is expected")]
    InvalidValue {
        /// Where it was found.
        place: &'static str,
        /// What was found.
        found: String,
        /// What is expected.
        expected: &'static str,
    },
    /// More of something than is allowed.
    #[error("{place}: {found} is more than {most}")]
    TooMany {
        /// Where it was found.
        place: &'static str,
        /// What was found.
        found: usize,
        /// The most that is allowed.
        most: usize,
    },
    /// No such lease.
    #[error("{0}: no such lease")]
    UnknownLease(LeaseName),
    /// Another epoch is the lease's.
    #[error("lease {lease}: epoch {expected} is expected, {found} was given")]
    WrongEpoch {
        /// The lease concerned.
        lease: LeaseName,
        /// What is expected.
        expected: Epoch,
        /// What was found.
        found: Epoch,
    },
    /// Terms of a lease that can't be.
    #[error(transparent)]
    InvalidLease(#[from] leases::InvalidLease),
    /// A bound that can't be.
    #[error(transparent)]
    InvalidBound(#[from] bounds::InvalidBound),
    /// A set of coordinators that can't be.
    #[error(transparent)]
    InvalidConfig(#[from] register::InvalidConfig),
}

/// The outcome of a change that was made.
pub(super) const CHANGED: Result<ChangeOutcome, Refusal> = Ok(ChangeOutcome {
    changed: true,
    grant: None,
});
/// The outcome of a change that had been made before.
pub(super) const ALREADY: Result<ChangeOutcome, Refusal> = Ok(ChangeOutcome {
    changed: false,
    grant: None,
});

/// Checks a text that comes from outside: not empty, no longer than `most` bytes, no control characters.
pub(super) fn check_text(place: &'static str, found: &str, most: usize) -> Result<(), Refusal> {
    let plain = found.chars().all(|c| !c.is_control());
    if found.is_empty() || found.len() > most || !plain {
        let found = found.chars().take(80).collect();
        return Err(Refusal::InvalidValue {
            place,
            found,
            expected: "plain text of a stated length",
        });
    }
    Ok(())
}
