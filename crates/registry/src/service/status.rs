//! What the service tells of itself: its status, the state, and versions found corrupt.

use super::errors::RpcError;
use super::{Registry, RpcResult, params};
use crate::names::Name;
use serde_json::{Value as Json, json};
use tracing::warn;

/// Characters kept of the reason for which a version is said to be corrupt.
const MAX_REASON_CHARS: usize = 300;

/// What invokers reported of a version of which they found no intact copy.
#[derive(Clone, Debug)]
pub(super) struct CorruptionReport {
    count: u64,
    pub(super) first_ms: u64,
    last_ms: u64,
    reason: String,
}

impl Registry {
    pub(super) fn status(&self) -> Json {
        let store = self.store.borrow();
        let head = store.head();
        let followers: Vec<Json> = self
            .followers
            .borrow()
            .iter()
            .map(|(who, follower)| {
                json!({"who": who, "revision": follower.sent, "refused": follower.rejected,
                    "behind": head.revision().saturating_sub(follower.sent)})
            })
            .collect();
        let corrupt: Vec<Json> = self
            .corruption_reports
            .borrow()
            .iter()
            .map(|((model, version), report)| {
                json!({"model": model, "version": version, "times": report.count,
                    "first_ms": report.first_ms, "last_ms": report.last_ms, "why": report.reason})
            })
            .collect();
        json!({"revision": head.revision(), "hash": head.hash, "corrupt": corrupt, "writable": store.is_writable(),
            "versions": head.state.versions.len(), "aliases": head.state.aliases.len(), "followers": followers})
    }

    pub(super) fn show(&self) -> Json {
        let state = self.state();
        let versions: Vec<Json> = state
            .versions
            .iter()
            .map(|((model, name), record)| {
                json!({"model": model, "name": name, "standing": record.standing, "pushed": record.pushed,
                    "version": record.version})
            })
            .collect();
        let aliases: Vec<Json> = state
            .aliases
            .iter()
            .map(|((namespace, name), alias)| json!({"space": namespace, "alias": name, "is": alias}))
            .collect();
        let keys: Vec<Json> = state
            .keys
            .iter()
            .map(|(id, key)| json!({"id": id, "role": key.role}))
            .collect();
        json!({"revision": state.revision, "versions": versions, "aliases": aliases, "keys": keys})
    }

    /// Records a corrupt version. Only of versions that are known, which bounds what is recorded.
    pub(super) fn report_corruption(&self, who: &Name, request: params::SaysCorrupt) -> RpcResult {
        let (model, version) = (request.model, request.version);
        let is_known = {
            let store = self.store.borrow();
            store.head().state.version(&model, &version).is_some()
        };
        if !is_known {
            let message = format!("version '{model}@{version}' is not known");
            return Err(RpcError::invalid_params(message));
        }
        let now_ms = (self.wall_clock)();
        let reason: String = request.reason.chars().take(MAX_REASON_CHARS).collect();
        warn!(%model, %version, %who, reason, "version reported corrupt");
        let mut reports = self.corruption_reports.borrow_mut();
        let report = reports
            .entry((model, version))
            .or_insert_with(|| CorruptionReport {
                count: 0,
                first_ms: now_ms,
                last_ms: now_ms,
                reason: String::new(),
            });
        report.count += 1;
        report.last_ms = now_ms;
        report.reason = reason;
        Ok(json!({"times": report.count}))
    }
}
