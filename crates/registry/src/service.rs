//! The registry on its socket: JSON-RPC by lines.
//!
//! `connection` reads calls, `methods` answers them; `commit` writes changes, `push` and `rollouts` make those that the
//! registry checks itself, `watchers` serves followers and `status` what operators look at.

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

/// Followers hear this often that nothing is new, so that silence means that the connection is down.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Unix time in milliseconds: for the history, and for the ends of version pins.
pub type WallClock = Rc<dyn Fn() -> u64>;

/// What a method answers.
pub(crate) type RpcResult = Result<Json, RpcError>;

/// The registry: its history on disk, and what it knows beside that until it ends.
pub struct Registry {
    store: RefCell<Store>,
    /// Where blobs lie, if they lie here.
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
    /// Leases and grace periods are measured from here, on a clock that is never stepped; the wall clock may be.
    started_at: Instant,
    /// Collections are done by the holder of the fleet's lease, or by operators who have paused it.
    collected_by_fleet: Cell<bool>,
}

impl Registry {
    /// `blob_folder`: where blobs lie, as an OCI image layout; none where they are kept by another store.
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

    /// Milliseconds of a clock that is never stepped.
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

    /// Versions reported corrupt, as `MODEL@VERSION`, and when first, in Unix milliseconds.
    pub fn corrupt_versions(&self) -> Vec<(String, u64)> {
        let reports = self.corruption_reports.borrow();
        reports
            .iter()
            .map(|((model, version), report)| (format!("{model}@{version}"), report.first_ms))
            .collect()
    }

    /// Listens until dropped.
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

    /// Accepts connections for as long as it is polled; all of them end with it.
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

    /// From now on a collection needs the epoch of the fleet's lease.
    pub(crate) fn set_collected_by_fleet(&self) {
        self.collected_by_fleet.set(true);
    }

    pub(crate) fn store(&self) -> &RefCell<Store> {
        &self.store
    }
}

/// Adds the first owner's key to a registry that has no owner, and gives the key's text.
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
