//! Descriptions of changes in the history, for operators.

use super::Change;
use crate::state::{Grant, MemberId};

/// The history entry for a change; `grant` is the grant that it issued.
pub(super) fn describe(change: &Change, grant: Option<Grant>) -> String {
    let listed = |members: &[MemberId]| match members {
        [one] => one.to_string(),
        [first, ..] => format!("{} members from {first} on", members.len()),
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
            format!("{by} asks, as '{id}', to drain {}", listed(members))
        }
        Change::Withdraw { members, by } => format!("{by} withdraws {}", listed(members)),
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
