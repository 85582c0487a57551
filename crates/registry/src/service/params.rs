//! Parameters of the service's methods.
//!
//! Names of types and fields are part of the protocol, because serde puts both into error texts that callers receive.

use super::errors::RpcError;
use crate::blob_collector::LeaseId;
use crate::names::{Name, Namespace};
use crate::rollout::Tally;
use crate::state::{Change, Revision};
use crate::watch::Cursor;
use saltdrum_layers::Digest;
use saltdrum_protocol::rpc::Call;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::path::PathBuf;

/// Parses the parameters of a call; missing ones are read as an empty object.
pub(super) fn parse<'a, T: Deserialize<'a>>(call: &'a Call) -> Result<T, RpcError> {
    let text = call.params.as_ref().map_or("{}", |params| params.get());
    serde_json::from_str(text).map_err(RpcError::invalid_params)
}

/// `login`: authenticates the connection with a key.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Login {
    pub(super) key: String,
}

/// `change`: changes the state.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Changes {
    pub(super) change: Change,
}

/// `begin`: starts the push of a version that needs these blobs.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Begin {
    pub(super) digests: BTreeSet<String>,
}

/// `push`: completes a push.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Push {
    pub(super) lease: LeaseId,
    pub(super) model: Name,
    pub(super) name: Name,
    #[serde(with = "crate::names::digest")]
    pub(super) manifest: Digest,
    pub(super) memory_mb: u64,
    /// Concurrency limit of one instance.
    pub(super) lanes: u32,
    pub(super) trigger_types: Vec<String>,
}

/// `watch`: follows the history from a cursor.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Watch {
    /// The follower's name, for the status.
    pub(super) who: String,
    #[serde(rename = "mark")]
    pub(super) cursor: Cursor,
}

/// `history`: entries after a revision.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct History {
    #[serde(default)]
    pub(super) after: Revision,
    #[serde(default = "default_history_limit", rename = "most")]
    pub(super) limit: usize,
}

fn default_history_limit() -> usize {
    100
}

/// `tally`: results of a staged rollout that a controller has counted.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Tells {
    #[serde(rename = "space")]
    pub(super) namespace: Namespace,
    pub(super) alias: Name,
    /// Revision of the alias at which the rollout started.
    #[serde(rename = "changed")]
    pub(super) alias_revision: Revision,
    pub(super) controller: u32,
    pub(super) incarnation: u64,
    pub(super) tally: Tally,
}

/// `corrupt`: an invoker found no intact copy of a version.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct SaysCorrupt {
    pub(super) model: Name,
    pub(super) version: Name,
    #[serde(rename = "why")]
    pub(super) reason: String,
}

/// `collect`: removes blobs that have been unreferenced for the grace period.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Collect {
    pub(super) grace_ms: u64,
}

/// `back_up`: writes the history to a file of the registry's machine.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct BackUp {
    #[serde(rename = "to")]
    pub(super) path: PathBuf,
}
