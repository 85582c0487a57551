//! The methods of the service: who may call them, and what they answer.

use super::connection::Connection;
use super::errors::RpcError;
use super::{Registry, RpcResult, params};
use crate::names::Name;
use crate::state::{Change, Role};
use crate::{blobs, keys};
use saltdrum_layers::Digest;
use saltdrum_protocol::rpc::Call;
use serde_json::json;
use std::collections::BTreeSet;
use std::rc::Rc;

/// A push has to be completed within this, or starts again.
const PUSH_LEASE_MS: u64 = 600_000;
const MAX_PUSH_DIGESTS: usize = 20_001;
/// Entries that one `history` answers with at the most.
const MAX_HISTORY_ENTRIES: usize = 10_000;
const COLLECTED_BY_FLEET: &str = "collections are the holder's of the fleet's lease: pause it, then registry gc with --steward and --tasks";

impl Registry {
    /// The key of the connection, where it has the role.
    pub(super) fn authorize(
        &self,
        connection: &Connection,
        required: Role,
    ) -> Result<Name, RpcError> {
        let store = self.store.borrow();
        let key = connection.key.borrow();
        keys::authorize(&store.head().state, key.as_ref(), required)
            .map_err(RpcError::access_denied)
    }

    /// Answers a call of any method but `watch`.
    pub(super) async fn dispatch(
        self: &Rc<Self>,
        connection: &Connection,
        call: &Call,
    ) -> RpcResult {
        match call.method.as_str() {
            "login" => self.log_in(connection, &params::parse(call)?),
            "status" => self
                .authorize(connection, Role::Reader)
                .map(|_| self.status()),
            "show" => self
                .authorize(connection, Role::Reader)
                .map(|_| self.show()),
            "history" => {
                self.authorize(connection, Role::Reader)?;
                self.entries(&params::parse(call)?)
            }
            "change" => self.change(connection, params::parse(call)?).await,
            "begin" => {
                self.authorize(connection, Role::Publisher)?;
                self.begin_push(&params::parse(call)?)
            }
            "push" => self.push(connection, params::parse(call)?).await,
            "tally" => {
                let who = self.authorize(connection, Role::Reader)?;
                self.add_rollout_results(&who, params::parse(call)?).await
            }
            "corrupt" => {
                let who = self.authorize(connection, Role::Reader)?;
                self.report_corruption(&who, params::parse(call)?)
            }
            "collect" => {
                self.authorize(connection, Role::Owner)?;
                self.collect(call)
            }
            "verify" => {
                self.authorize(connection, Role::Reader)?;
                self.verify()
            }
            "back_up" => {
                self.authorize(connection, Role::Owner)?;
                self.back_up(&params::parse(call)?)
            }
            other => Err(RpcError::unknown_method(other)),
        }
    }

    fn log_in(&self, connection: &Connection, login: &params::Login) -> RpcResult {
        let known = keys::authenticate(&self.store.borrow().head().state, &login.key);
        let (id, role) = known.map_err(RpcError::access_denied)?;
        *connection.key.borrow_mut() = Some(id.clone());
        Ok(json!({"id": id, "role": role}))
    }

    fn entries(&self, request: &params::History) -> RpcResult {
        let limit = request.limit.min(MAX_HISTORY_ENTRIES);
        let entries = self.store.borrow().entries_after(request.after, limit);
        Ok(json!({ "entries": entries.map_err(RpcError::disk_failure)? }))
    }

    async fn change(&self, connection: &Connection, request: params::Changes) -> RpcResult {
        let required_role = request.change.required_role();
        let who = self.authorize(connection, required_role)?;
        if matches!(request.change, Change::Push { .. }) && self.blob_folder.is_some() {
            return Err(RpcError::invalid_params(
                "a version is pushed with begin and push, which look at its blobs",
            ));
        }
        if matches!(request.change, Change::Restored { .. }) {
            return Err(RpcError::invalid_params(
                "a book is restored while the registry is down: saltdrum registry restore",
            ));
        }
        let entry = self
            .submit(&who, required_role, request.change, None)
            .await?;
        Ok(json!({"revision": entry.revision, "hash": entry.hash()}))
    }

    fn begin_push(&self, request: &params::Begin) -> RpcResult {
        if request.digests.len() > MAX_PUSH_DIGESTS {
            return Err(RpcError::invalid_params(format!(
                "{} digests: {MAX_PUSH_DIGESTS} at the most are expected",
                request.digests.len()
            )));
        }
        let digests: Result<BTreeSet<Digest>, String> =
            request.digests.iter().map(|text| text.parse()).collect();
        let lease = self.blob_collector.borrow_mut().begin_lease(
            self.elapsed_ms(),
            digests.map_err(RpcError::invalid_params)?,
            PUSH_LEASE_MS,
        );
        Ok(json!({"lease": lease, "lasts_ms": PUSH_LEASE_MS}))
    }

    fn collect(&self, call: &Call) -> RpcResult {
        if self.collected_by_fleet.get() {
            return Err(RpcError::rejected(COLLECTED_BY_FLEET));
        }
        let grace_ms = params::parse::<params::Collect>(call)?.grace_ms;
        self.remove_blobs(&self.collectable(grace_ms)?)
    }

    fn verify(&self) -> RpcResult {
        let verified = self.store.borrow().verify();
        let entries = verified.map_err(RpcError::disk_failure)?;
        let mut problems = Vec::new();
        if let Some(folder) = &self.blob_folder {
            problems = blobs::verify_blobs(folder, &self.state());
        }
        Ok(json!({"entries": entries, "wrong": problems}))
    }

    fn back_up(&self, request: &params::BackUp) -> RpcResult {
        let store = self.store.borrow();
        let entries = store
            .back_up(&request.path)
            .map_err(RpcError::disk_failure)?;
        Ok(json!({"entries": entries, "revision": store.head().revision()}))
    }
}
