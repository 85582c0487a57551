//! The registry's service: line-delimited JSON-RPC on a socket.
//!
//! `connection` reads calls and `methods` answers them. `commit` writes changes; `push` and `rollouts` prepare changes that need
//! checks beyond the state. `watchers` serves followers, and `status` operators.

mod commit;
mod connection;
mod errors;
mod methods;
mod params;
mod push;
mod rollouts;
mod status;
mod watchers;

pub(crate) use errors::RpcError;
pub use errors::{ACCESS_DENIED, DISK_FAILURE, REJECTED};

use crate::blob_collector::BlobCollector;
use crate::chain::Entry;
use crate::keys;
use crate::names::Name;
use crate::state::{Change, ChangeError, RegistryState, Revision, Role};
use crate::store::{ChangeRequest, Store, StoreError};
use commit::PendingChange;
use rollouts::RolloutTallies;
use saltdrum_transport::{Address, Clock, Listener, Network};
use serde_json::Value as Json;
use status::CorruptionReport;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;
use tracing::{info, warn};
use watchers::Follower;

/// Interval of heartbeats to followers, so that a follower that receives nothing can conclude that the connection is lost.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Unix time in milliseconds, for the history and the ends of version pins.
pub type WallClock = Rc<dyn Fn() -> u64>;

/// The result of a method.
pub(crate) type RpcResult = Result<Json, RpcError>;

/// The registry: its history on disk, and state in memory that is lost when the process ends.
pub struct Registry {
    store: RefCell<Store>,
    /// Folder of the blobs, if the registry stores them itself.
    blob_folder: Option<PathBuf>,
    blob_collector: RefCell<BlobCollector>,
    rollout_tallies: RefCell<RolloutTallies>,
    followers: RefCell<BTreeMap<String, Follower>>,
    /// By model and version.
    corruption_reports: RefCell<BTreeMap<(Name, Name), CorruptionReport>>,
    pending_changes: RefCell<Vec<PendingChange>>,
    change_submitted: Notify,
    head_revision: tokio::sync::watch::Sender<Revision>,
    wall_clock: WallClock,
    /// Origin of the times of leases and grace periods: unlike the wall clock, this clock is never stepped.
    started_at: Instant,
    /// Whether only the holder of the fleet's lease, or an operator who has paused the lease, may collect blobs.
    collected_by_fleet: Cell<bool>,
}

impl Registry {
    /// `blob_folder`: folder of the blobs, an OCI image layout; `None` if another store has them.
    pub fn new(store: Store, blob_folder: Option<&Path>, wall_clock: WallClock) -> Rc<Self> {
        let (head_revision, _) = tokio::sync::watch::channel(store.head().revision());
        Rc::new(Self {
            store: RefCell::new(store),
            blob_folder: blob_folder.map(Path::to_owned),
            blob_collector: RefCell::default(),
            rollout_tallies: RefCell::default(),
            followers: RefCell::default(),
            corruption_reports: RefCell::default(),
            pending_changes: RefCell::default(),
            change_submitted: Notify::new(),
            head_revision,
            wall_clock,
            started_at: Instant::now(),
            collected_by_fleet: Cell::new(false),
        })
    }

    /// Milliseconds since the start, by a clock that is never stepped.
    fn elapsed_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// The state as it was last acknowledged.
    pub fn state(&self) -> RegistryState {
        self.store.borrow().head().state.clone()
    }

    /// All entries, oldest first.
    pub fn history(&self) -> Result<Vec<Entry>, StoreError> {
        self.store.borrow().entries_after(0, usize::MAX)
    }

    /// Versions reported corrupt, as `MODEL@VERSION`, and the Unix time in milliseconds of the first report.
    pub fn corrupt_versions(&self) -> Vec<(String, u64)> {
        let reports = self.corruption_reports.borrow();
        reports
            .iter()
            .map(|((model, version), report)| (format!("{model}@{version}"), report.first_ms))
            .collect()
    }

    /// Listens on an address and serves connections until dropped.
    pub async fn serve(
        self: Rc<Self>,
        network: Rc<dyn Network>,
        address: &Address,
        clock: Clock,
    ) -> std::io::Result<()> {
        let (listener, address) = network.listen(address).await?;
        let revision = self.store.borrow().head().revision();
        info!(%address, revision, "registry listening");
        self.accept_connections(listener, clock).await;
        Ok(())
    }

    /// Accepts and serves connections while it is polled; dropping it ends all of them.
    pub async fn accept_connections(self: Rc<Self>, mut listener: Box<dyn Listener>, clock: Clock) {
        let mut tasks = tokio::task::JoinSet::new();
        tasks.spawn_local(self.clone().commit_changes());
        loop {
            match listener.accept().await {
                Ok(stream) => drop(tasks.spawn_local(self.clone().serve_connection(stream, clock))),
                Err(error) => {
                    warn!(%error, "accepting a connection failed");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
            while tasks.try_join_next().is_some() {}
        }
    }

    /// From now on a collection requires the epoch of the fleet's lease.
    pub(crate) fn set_collected_by_fleet(&self) {
        self.collected_by_fleet.set(true);
    }

    pub(crate) fn store(&self) -> &RefCell<Store> {
        &self.store
    }
}

/// Adds the first owner's key to a registry without an owner, and returns the key's text.
pub fn create_first_owner(
    store: &mut Store,
    id: &Name,
    random: [u8; 32],
    at_ms: u64,
) -> Result<String, StoreError> {
    let mut known_keys = store.head().state.keys.values();
    if known_keys.any(|key| key.role == Role::Owner) {
        return Err(ChangeError::KeyExists(id.clone()).into());
    }
    let (text, hash) = keys::generate(id, random);
    let change = Change::AddKey {
        id: id.clone(),
        role: Role::Owner,
        hash,
    };
    let request = ChangeRequest {
        who: id.to_string(),
        at_ms,
        change,
    };
    store.commit(vec![request])?.remove(0)?;
    Ok(text)
}

#[cfg(test)]
mod tests;
