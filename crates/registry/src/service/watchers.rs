//! Watches: a follower gets the entries it lacks, then each new one, and a heartbeat in between.

use super::connection::Connection;
use super::errors::RpcError;
use super::{HEARTBEAT_INTERVAL, Registry, RpcResult, params};
use crate::state::{Revision, Role};
use crate::watch::{Cursor, WatchEvent, WatchReply, reply_to};
use saltdrum_protocol::rpc::Call;
use serde_json::json;
use std::rc::Rc;
use tokio::task::JoinSet;
use tracing::{debug, warn};

/// Entries that are read from disk at a time.
const READ_BATCH_ENTRIES: usize = 512;
const MAX_FOLLOWER_NAME_BYTES: usize = 64;
/// Followers that the status lists: names are the followers' own, and many of them must not exhaust memory.
const MAX_FOLLOWERS: usize = 10_000;

/// How far a follower has come.
#[derive(Clone, Debug)]
pub(super) struct Follower {
    pub(super) sent: Revision,
    pub(super) rejected: bool,
}

fn send_event(connection: &Connection, event: &WatchEvent) {
    let event = serde_json::to_string(event).expect("it is JSON");
    connection.send(format!(
        r#"{{"jsonrpc":"2.0","method":"told","params":{event}}}"#
    ));
}

impl Registry {
    /// Starts a watch in place of the connection's earlier one.
    pub(super) fn start_watch(
        self: &Rc<Self>,
        connection: &Rc<Connection>,
        call: &Call,
        watch_task: &mut JoinSet<()>,
    ) -> RpcResult {
        self.authorize(connection, Role::Reader)?;
        let request: params::Watch = params::parse(call)?;
        if request.who.len() > MAX_FOLLOWER_NAME_BYTES {
            return Err(RpcError::invalid_params(
                "who: 64 bytes at the most are expected",
            ));
        }
        let reply = {
            let store = self.store.borrow();
            reply_to(
                store.head(),
                &request.cursor,
                |revision| store.hash_at(revision),
                store.last_restored(),
            )
        };
        watch_task.abort_all();
        let (registry, connection) = (self.clone(), connection.clone());
        watch_task.spawn_local(async move {
            registry.run_watch(&connection, request.who, reply).await;
        });
        Ok(json!({"revision": self.store.borrow().head().revision()}))
    }

    async fn run_watch(self: Rc<Self>, connection: &Connection, who: String, reply: WatchReply) {
        let mut head_revision = self.head_revision.subscribe();
        let Some(mut sent) = self.send_first(connection, &who, reply) else {
            return;
        };
        loop {
            self.record_follower(&who, sent, false);
            if let Some(revision) = self.send_entries(connection, sent) {
                sent = revision;
                tokio::task::yield_now().await;
                continue;
            }
            let changed = head_revision.changed();
            if tokio::time::timeout(HEARTBEAT_INTERVAL, changed)
                .await
                .is_err()
            {
                let at = self.head_cursor();
                send_event(connection, &WatchEvent::Heartbeat { at });
            }
        }
    }

    /// The revision that the follower has after the first answer; none: it can't be served.
    fn send_first(
        &self,
        connection: &Connection,
        who: &str,
        reply: WatchReply,
    ) -> Option<Revision> {
        match reply {
            WatchReply::EntriesAfter(revision) => Some(revision),
            WatchReply::Snapshot(restored) => {
                let head = self.store.borrow().head().clone();
                let revision = head.revision();
                send_event(connection, &WatchEvent::Snapshot { head, restored });
                Some(revision)
            }
            WatchReply::UnknownCursor(at) => {
                warn!(
                    who,
                    revision = at.revision,
                    "follower is on another history"
                );
                self.record_follower(who, at.revision, true);
                send_event(connection, &WatchEvent::UnknownCursor { at });
                None
            }
        }
    }

    /// Sends the next entries, and gives the revision of the last one sent; none: there is no new entry.
    fn send_entries(&self, connection: &Connection, sent: Revision) -> Option<Revision> {
        let entries = match self.store.borrow().entries_after(sent, READ_BATCH_ENTRIES) {
            Ok(entries) => entries,
            Err(error) => {
                debug!(%error, "disk read failed, watch waits");
                return None;
            }
        };
        if entries.is_empty() {
            return None;
        }
        // An entry that was read is on disk, but it may not be acknowledged yet.
        let acknowledged = self.store.borrow().head().revision();
        let mut last = sent;
        for entry in entries
            .into_iter()
            .filter(|entry| entry.revision <= acknowledged)
        {
            last = entry.revision;
            send_event(connection, &WatchEvent::Next { entry });
        }
        Some(last)
    }

    fn record_follower(&self, who: &str, sent: Revision, rejected: bool) {
        let mut followers = self.followers.borrow_mut();
        if followers.len() < MAX_FOLLOWERS || followers.contains_key(who) {
            followers.insert(who.to_owned(), Follower { sent, rejected });
        }
    }

    fn head_cursor(&self) -> Cursor {
        let store = self.store.borrow();
        Cursor {
            revision: store.head().revision(),
            hash: store.head().hash.clone(),
        }
    }
}
