//! Messages between holders and resources: JSON-RPC, one message per line, in the envelope of the coordinators' messages.

use saltdrum_fleet::fence::{Rejection, Token};
use saltdrum_fleet::state::{Epoch, LeaseName};
use serde::{Deserialize, Serialize};

/// Error code: the resource rejects the epoch or the token; the message is a [`Rejection`] as JSON.
pub const REJECTED: i64 = -32_030;
/// Error code: no quorum of coordinators confirmed the epoch, or the lease has another epoch.
pub const UNCONFIRMED: i64 = -32_031;
/// Error code: the resource can't write to its disk: it was not sealed, or the effect was not made.
pub const UNWRITABLE: i64 = -32_032;

/// `seal`: requests that the resource accepts only this epoch of the lease from now on.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seal {
    /// Name of the lease.
    pub lease: LeaseName,
    /// Epoch to accept.
    pub epoch: Epoch,
}

/// The answer to `seal`: the seal is on disk.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Sealed {
    /// Incarnation of the resource, for the tokens.
    pub incarnation: u64,
}

/// An effect with its token.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Effect<T> {
    /// Token that the fence checks.
    pub token: Token,
    /// The process that makes it; for records only.
    #[serde(rename = "by")]
    pub actor: String,
    /// Parameters of the effect.
    #[serde(rename = "what")]
    pub params: T,
}

/// A rejection as it is sent to the holder.
pub fn rejection_text(rejection: &Rejection) -> String {
    serde_json::to_string(rejection).unwrap_or_else(|_| rejection.to_string())
}
