//! What holders and resources say to each other: JSON-RPC by lines, in the envelope of the coordinators' messages.

use saltdrum_fleet::fence::{Rejection, Token};
use saltdrum_fleet::state::{Epoch, LeaseName};
use serde::{Deserialize, Serialize};

/// The resource rejects the epoch or the token; the message is a [`Rejection`] as JSON.
pub const REJECTED: i64 = -32_030;
/// No quorum of coordinators confirmed the epoch, or another is the lease's.
pub const UNCONFIRMED: i64 = -32_031;
/// The resource can't write: it is not sealed, and nothing was done.
pub const UNWRITABLE: i64 = -32_032;

/// `seal`: accept this epoch alone from now on.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seal {
    /// The lease.
    pub lease: LeaseName,
    /// To accept from now on.
    pub epoch: Epoch,
}

/// The answer to `seal`: it is on disk.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Sealed {
    /// Of the resource, for the tokens.
    pub incarnation: u64,
}

/// An effect with its token. `by` says who, for records alone.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Effect<T> {
    /// Checked by the fence.
    pub token: Token,
    /// Who makes it.
    #[serde(rename = "by")]
    pub actor: String,
    /// The effect.
    #[serde(rename = "what")]
    pub params: T,
}

/// A rejection as it goes over the wire.
pub fn rejection_text(why: &Rejection) -> String {
    serde_json::to_string(why).unwrap_or_else(|_| why.to_string())
}
