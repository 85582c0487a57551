//! Changes that wait together go to disk in one write.

use super::Registry;
use super::errors::RpcError;
use crate::blob_collector::LeaseId;
use crate::chain::Entry;
use crate::names::Name;
use crate::state::{Change, Role};
use crate::store::ChangeRequest;
use crate::{blobs, keys};
use saltdrum_layers::Digest;
use std::rc::Rc;
use tokio::sync::oneshot;
use tracing::warn;

/// Pending changes beyond this are rejected at once.
const MAX_PENDING_CHANGES: usize = 10_000;

type CommitResult = Result<Entry, RpcError>;

/// The lease of a push, and the blobs that its version needs.
pub(super) struct PushLease {
    pub(super) lease: LeaseId,
    pub(super) blobs: Vec<Digest>,
}

/// A change whose caller waits for it.
pub(super) struct PendingChange {
    request: ChangeRequest,
    required_role: Role,
    /// Of a push.
    push_lease: Option<PushLease>,
    reply: oneshot::Sender<CommitResult>,
}

impl Registry {
    /// Submits a change, from inside or from a caller, and waits until it is on disk.
    pub(super) async fn submit(
        &self,
        who: &Name,
        required_role: Role,
        change: Change,
        push_lease: Option<PushLease>,
    ) -> CommitResult {
        let (reply, result) = oneshot::channel();
        let request = ChangeRequest {
            who: who.to_string(),
            at_ms: (self.wall_clock)(),
            change,
        };
        {
            let mut pending = self.pending_changes.borrow_mut();
            if pending.len() >= MAX_PENDING_CHANGES {
                let message = "too many changes wait: come back in a second";
                return Err(RpcError::rejected(message));
            }
            pending.push(PendingChange {
                request,
                required_role,
                push_lease,
                reply,
            });
        }
        self.change_submitted.notify_one();
        result
            .await
            .unwrap_or_else(|_| Err(RpcError::disk_failure("the registry is ending")))
    }

    /// Commits changes as they are submitted, for as long as it is polled.
    pub(super) async fn commit_changes(self: Rc<Self>) {
        loop {
            self.change_submitted.notified().await;
            // Changes submitted in the same turn join the write.
            tokio::task::yield_now().await;
            let pending = std::mem::take(&mut *self.pending_changes.borrow_mut());
            if !pending.is_empty() {
                self.commit_batch(pending);
            }
        }
    }

    fn commit_batch(&self, pending: Vec<PendingChange>) {
        let now_ms = self.elapsed_ms();
        let (mut requests, mut waiting) = (Vec::new(), Vec::new());
        for change in pending {
            match self.check_pending(now_ms, &change) {
                Ok(()) => {
                    requests.push(change.request);
                    waiting.push((change.reply, change.push_lease));
                }
                Err(error) => drop(change.reply.send(Err(error))),
            }
        }
        let committed = self.store.borrow_mut().commit(requests);
        match committed {
            Ok(results) => {
                for (result, (reply, push_lease)) in results.into_iter().zip(waiting) {
                    if let Some(push) = push_lease {
                        self.blob_collector.borrow_mut().end_lease(push.lease);
                    }
                    // A caller that has hung up gets no answer; the change stands.
                    let _ = reply.send(result.map_err(RpcError::rejected));
                }
                self.head_revision
                    .send_replace(self.store.borrow().head().revision());
            }
            Err(error) => {
                warn!(%error, "disk write failed, changes not committed");
                for (reply, _) in waiting {
                    let _ = reply.send(Err(RpcError::disk_failure(&error)));
                }
            }
        }
    }

    /// Whether the caller may still make the change, and its blobs are there.
    fn check_pending(&self, now_ms: u64, pending: &PendingChange) -> Result<(), RpcError> {
        let store = self.store.borrow();
        let state = &store.head().state;
        // The key may have been withdrawn while its change waited.
        let key: Option<Name> = pending.request.who.parse().ok();
        let authorized = keys::authorize(state, key.as_ref(), pending.required_role)
            .map_err(RpcError::access_denied);
        let blobs_held = match &pending.push_lease {
            Some(push) => self.check_blobs(now_ms, push),
            None => Ok(()),
        };
        authorized.and(blobs_held)
    }

    fn check_blobs(&self, now_ms: u64, push: &PushLease) -> Result<(), RpcError> {
        let held = self
            .blob_collector
            .borrow()
            .check_lease(now_ms, push.lease, &push.blobs);
        held.map_err(RpcError::rejected)?;
        let Some(folder) = &self.blob_folder else {
            return Ok(());
        };
        let missing = push
            .blobs
            .iter()
            .find(|digest| !blobs::blob_path(folder, digest).exists());
        match missing {
            Some(digest) => Err(RpcError::rejected(format!("blob {digest} is not here"))),
            None => Ok(()),
        }
    }
}
