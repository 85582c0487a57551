//! Pushes of versions, and removal of blobs that no version needs.

use super::commit::PushLease;
use super::connection::Connection;
use super::errors::RpcError;
use super::{Registry, RpcResult, params};
use crate::blobs;
use crate::state::{Change, Role, Version};
use saltdrum_layers::Digest;
use serde_json::json;

impl Registry {
    /// Completes a push: the version is there when its change is on disk.
    pub(super) async fn push(&self, connection: &Connection, request: params::Push) -> RpcResult {
        let who = self.authorize(connection, Role::Publisher)?;
        let Some(folder) = &self.blob_folder else {
            return Err(RpcError::invalid_params(
                "blobs are not kept here: use change",
            ));
        };
        let manifest =
            blobs::read_manifest(folder, &request.manifest).map_err(RpcError::rejected)?;
        let mut needed: Vec<Digest> = manifest.chunks.iter().map(|chunk| chunk.digest).collect();
        needed.push(request.manifest);
        let version = Version {
            manifest: request.manifest,
            bytes: manifest.chunks.iter().map(|chunk| chunk.bytes).sum(),
            memory_mb: request.memory_mb,
            lanes: request.lanes,
            trigger_types: request.trigger_types,
        };
        // A repeated push, whose first answer was lost, is no error.
        let state = self.state();
        let existing = state.version(&request.model, &request.name);
        if let Some(record) = existing.filter(|record| record.version == version) {
            self.blob_collector.borrow_mut().end_lease(request.lease);
            return Ok(json!({"revision": record.pushed, "again": true}));
        }
        drop(state);
        let change = Change::Push {
            model: request.model,
            name: request.name,
            version,
        };
        let push_lease = PushLease {
            lease: request.lease,
            blobs: needed,
        };
        let entry = self
            .submit(&who, Role::Publisher, change, Some(push_lease))
            .await?;
        Ok(json!({"revision": entry.revision, "again": false}))
    }

    /// Blobs that nothing has referenced for the grace period.
    pub(crate) fn collectable(&self, grace_ms: u64) -> Result<Vec<Digest>, RpcError> {
        let Some(folder) = &self.blob_folder else {
            return Err(RpcError::invalid_params("blobs are not kept here"));
        };
        let referenced =
            blobs::referenced_blobs(folder, &self.state()).map_err(RpcError::rejected)?;
        let present = blobs::list_blobs(folder).map_err(RpcError::disk_failure)?;
        Ok(self.blob_collector.borrow_mut().collect(
            self.elapsed_ms(),
            present,
            &referenced,
            grace_ms,
        ))
    }

    /// Removes blobs. Called in the turn in which they were found to be collectable: no push comes between.
    pub(crate) fn remove_blobs(&self, digests: &[Digest]) -> RpcResult {
        let Some(folder) = &self.blob_folder else {
            return Err(RpcError::invalid_params("blobs are not kept here"));
        };
        let mut bytes = 0;
        for digest in digests {
            let path = blobs::blob_path(folder, digest);
            bytes += std::fs::metadata(&path).map_or(0, |metadata| metadata.len());
            std::fs::remove_file(&path)
                .map_err(|error| RpcError::disk_failure(format!("{}: {error}", path.display())))?;
        }
        Ok(json!({"gone": digests.len(), "bytes": bytes}))
    }
}
