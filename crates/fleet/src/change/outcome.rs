//! The outcome of a change, or the reason for its refusal.

use crate::state::{Epoch, Grant, LeaseName, MemberId};
use crate::{bounds, leases, register};
use serde::{Deserialize, Serialize};

/// Maximum length of the name of a site, request, lease or task, in bytes.
pub(super) const MAX_ID_BYTES: usize = 64;
/// Maximum length of an operator's text and of an address, in bytes.
pub(super) const MAX_TEXT_BYTES: usize = 256;

/// The outcome of an accepted change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Done", expecting = "struct Done")]
pub struct ChangeOutcome {
    /// False: the change had already been made.
    pub changed: bool,
    /// The grant that a [`Change::Grant`](super::Change::Grant) issued, or had issued before.
    pub grant: Option<Grant>,
}

/// Part of the text of [`Refusal::Replaced`] and of the protocol: members match it to detect that they were replaced.
pub const REPLACED_TEXT: &str = "was replaced";

/// Why a change was refused. The texts are sent to members and operators.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// There is no such member.
    #[error("{0}: no such member")]
    UnknownMember(MemberId),
    /// A later incarnation has replaced this one.
    #[error("{member}: this life of it ({incarnation:x}) {}", REPLACED_TEXT)]
    Replaced {
        /// The member concerned.
        member: MemberId,
        /// The replaced incarnation.
        incarnation: u64,
    },
    /// The member is not in the phase that the change requires.
    #[error("{member} is {found}: {expected} is expected")]
    WrongPhase {
        /// The member concerned.
        member: MemberId,
        /// What was found.
        found: &'static str,
        /// What is expected.
        expected: &'static str,
    },
    /// The member no longer holds the grant.
    #[error("{member}: grant {grant} is not its own any more")]
    GrantNotHeld {
        /// The member concerned.
        member: MemberId,
        /// The grant named by the change.
        grant: Grant,
    },
    /// Drains are halted.
    #[error("halted by {by}: {why}")]
    Halted {
        /// Who halted the drains.
        by: String,
        /// The reason for the halt.
        why: String,
    },
    /// The drain would exceed a bound.
    #[error("no room for {member}: {exceeded}")]
    ExceedsBound {
        /// The member concerned.
        member: MemberId,
        /// The exceeded bound.
        exceeded: bounds::BoundExceeded,
    },
    /// No drain request names the member.
    #[error("{member}: nobody asked for its drain")]
    NotRequested {
        /// The member concerned.
        member: MemberId,
    },
    /// Another drain request already names the member.
    #[error("{member} belongs to ask '{id}' already")]
    AlreadyRequested {
        /// The member concerned.
        member: MemberId,
        /// The other request.
        id: String,
    },
    /// The id belongs to a drain request for other members.
    #[error("ask '{0}' is known with other members")]
    RequestIdInUse(String),
    /// A value is invalid.
    #[error("{place} = '{found}': {expected} is expected")]
    InvalidValue {
        /// The name of the value.
        place: &'static str,
        /// What was found.
        found: String,
        /// What is expected.
        expected: &'static str,
    },
    /// There are more items than allowed.
    #[error("{place}: {found} is more than {most}")]
    TooMany {
        /// The name of the collection.
        place: &'static str,
        /// The number found.
        found: usize,
        /// The maximum.
        most: usize,
    },
    /// There is no such lease.
    #[error("{0}: no such lease")]
    UnknownLease(LeaseName),
    /// The epoch is not the current one of the lease.
    #[error("lease {lease}: epoch {expected} is expected, {found} was given")]
    WrongEpoch {
        /// The lease concerned.
        lease: LeaseName,
        /// What is expected.
        expected: Epoch,
        /// What was found.
        found: Epoch,
    },
    /// The terms of a lease are invalid.
    #[error(transparent)]
    InvalidLease(#[from] leases::InvalidLease),
    /// A bound is invalid or makes a drain request impossible.
    #[error(transparent)]
    InvalidBound(#[from] bounds::InvalidBound),
    /// The set of coordinators is invalid.
    #[error(transparent)]
    InvalidConfig(#[from] register::InvalidConfig),
}

/// The outcome of a change that was made.
pub(super) const CHANGED: Result<ChangeOutcome, Refusal> = Ok(ChangeOutcome {
    changed: true,
    grant: None,
});
/// The outcome of a change that had already been made.
pub(super) const UNCHANGED: Result<ChangeOutcome, Refusal> = Ok(ChangeOutcome {
    changed: false,
    grant: None,
});

/// Checks a text received from outside: not empty, at most `max_bytes` long, without control characters.
pub(super) fn check_text(
    place: &'static str,
    found: &str,
    max_bytes: usize,
) -> Result<(), Refusal> {
    let is_plain = found.chars().all(|c| !c.is_control());
    if found.is_empty() || found.len() > max_bytes || !is_plain {
        let found = found.chars().take(80).collect();
        return Err(Refusal::InvalidValue {
            place,
            found,
            expected: "plain text of a stated length",
        });
    }
    Ok(())
}
