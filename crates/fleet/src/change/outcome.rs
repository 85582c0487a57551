//! What a change came to: its outcome, or why it was refused.

use crate::state::{Epoch, Grant, LeaseName, MemberId};
use crate::{bounds, leases, register};
use serde::{Deserialize, Serialize};

/// Longest name of a site, a request, a lease or a task.
pub(super) const ID_MOST_BYTES: usize = 64;
/// Longest text of an operator, and longest address.
pub(super) const TEXT_MOST_BYTES: usize = 256;

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
    Lease(#[from] leases::Unfit),
    #[error(transparent)]
    Bounds(#[from] bounds::Unfit),
    #[error(transparent)]
    Stewards(#[from] register::Unfit),
}

/// The outcome of a change that was made.
pub(super) const CHANGED: Result<Done, Refusal> = Ok(Done {
    changed: true,
    grant: None,
});
/// The outcome of a change that had been made before.
pub(super) const ALREADY: Result<Done, Refusal> = Ok(Done {
    changed: false,
    grant: None,
});

/// Checks a text that comes from outside: not empty, no longer than `most` bytes, no control characters.
pub(super) fn text(place: &'static str, found: &str, most: usize) -> Result<(), Refusal> {
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
