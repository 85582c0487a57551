//! The state that the parts of a coordinator share: its configuration, its acceptor, the latest decided value and its peers.

use crate::acceptor_store::AcceptorStore;
use crate::disk::Disk;
use crate::fleet_config::FleetConfig;
use crate::rpc_client::RpcClient;
use saltdrum::interface::{MILLISECOND, Ticks};
use saltdrum_fleet::change::{Change, ChangeOutcome};
use saltdrum_fleet::monitor::{MemberMonitor, Timeouts};
use saltdrum_fleet::register::{Acceptor, Ballot};
use saltdrum_fleet::state::Fleet;
use saltdrum_transport::{Address, Clock, Network};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tokio::sync::{Notify, oneshot, watch};
use tracing::debug;

/// The outcome of a change and the revision at which it was agreed, or an error code and a message.
pub(crate) type ChangeResult = Result<(ChangeOutcome, u64), (i64, String)>;

/// A queued change, whose caller waits for the outcome.
pub(crate) struct PendingProposal {
    pub change: Change,
    pub outcome_sender: oneshot::Sender<ChangeResult>,
}

/// The startup configuration of a coordinator.
#[derive(Clone)]
pub struct CoordinatorConfig {
    /// Number of the coordinator, from 1 on.
    pub number: u32,
    /// Incarnation of this process; never used before.
    pub incarnation: u64,
    /// Seed of its random delays.
    pub seed: u64,
    /// Fleet settings of the deployment.
    pub fleet_config: FleetConfig,
    /// The fleet before any change was agreed.
    pub initial_fleet: Fleet,
    /// Address at which it answers calls.
    pub listen: Address,
    /// Address at which it serves the invoker list; `None`: it does not.
    pub invoker_list: Option<Address>,
}

/// The state of a coordinator, shared by its parts: `service` answers callers, `propose` has changes agreed, `monitoring`
/// receives heartbeats and suspicion reports, `invoker_list` serves the invoker list.
pub(crate) struct Coordinator {
    pub(crate) config: CoordinatorConfig,
    pub(crate) clock: Clock,
    network: Rc<dyn Network>,
    pub(crate) acceptor_store: RefCell<AcceptorStore>,
    /// The latest value that is known to be decided.
    pub(crate) fleet: RefCell<Option<Rc<Fleet>>>,
    /// Ballot of the latest decided value.
    pub(crate) decided_ballot: Cell<Ballot>,
    /// Highest ballot that is known to be in use.
    pub(crate) highest_ballot: Cell<Ballot>,
    /// Changes queued for the next round.
    pub(crate) pending_changes: RefCell<Vec<PendingProposal>>,
    pub(crate) change_queued: Notify,
    /// Revision of the latest decided value.
    pub(crate) decided_revision: watch::Sender<u64>,
    peers: RefCell<BTreeMap<u32, Rc<RpcClient>>>,
    pub(crate) monitor: RefCell<MemberMonitor>,
    /// Whether due changes were proposed that don't all have an outcome yet.
    pub(crate) is_proposing_due: Cell<bool>,
    /// Peers to which a suspicion report is in flight.
    pub(crate) reporting_to: RefCell<BTreeSet<u32>>,
    /// A peer that reported a later decided ballot than this coordinator's, and that ballot.
    pub(crate) catch_up_target: Cell<Option<(u32, Ballot)>>,
    /// When this coordinator first knew of each member's incarnation, for an invoker's age on the list.
    pub(crate) first_seen: RefCell<BTreeMap<(u32, u64), Ticks>>,
    pub(crate) rng: RefCell<fastrand::Rng>,
}

impl Coordinator {
    /// Creates a coordinator at process start, from the contents of its disk.
    pub(crate) fn new(
        config: CoordinatorConfig,
        disk: Disk,
        acceptor: Acceptor<Fleet>,
        network: Rc<dyn Network>,
        clock: Clock,
    ) -> Rc<Self> {
        let acceptor_store =
            AcceptorStore::new(disk, acceptor, config.initial_fleet.config.clone());
        let (decided_revision, _) = watch::channel(0);
        let timeouts = Timeouts {
            heartbeat_interval: config.fleet_config.renew,
            suspect_level: config.fleet_config.suspect_level,
            grant_timeout: config.fleet_config.grant_for,
            drain_timeout: config.fleet_config.drain_for,
            health_timeout: config.fleet_config.prove_within,
        };
        let monitor = MemberMonitor::new(clock.now(), acceptor_store.voter(), timeouts);
        let rng = fastrand::Rng::with_seed(config.seed);
        Rc::new(Self {
            config,
            clock,
            network,
            acceptor_store: RefCell::new(acceptor_store),
            fleet: RefCell::default(),
            decided_ballot: Cell::default(),
            highest_ballot: Cell::default(),
            pending_changes: RefCell::default(),
            change_queued: Notify::new(),
            decided_revision,
            peers: RefCell::default(),
            monitor: RefCell::new(monitor),
            is_proposing_due: Cell::default(),
            reporting_to: RefCell::default(),
            catch_up_target: Cell::default(),
            first_seen: RefCell::default(),
            rng: RefCell::new(rng),
        })
    }

    /// Addresses of the coordinators that this one knows, by number.
    pub(crate) fn coordinator_addresses(&self) -> BTreeMap<u32, String> {
        let mut addresses = BTreeMap::new();
        if let Some((_, fleet)) = self.acceptor_store.borrow().accepted() {
            addresses.extend(fleet.coordinators.clone());
        }
        // The startup configuration takes precedence: it says how this process reaches them.
        addresses.extend(self.config.initial_fleet.coordinators.clone());
        addresses
    }

    /// The client of another coordinator, if its address is known.
    pub(crate) fn peer(&self, number: u32) -> Option<Rc<RpcClient>> {
        let address = self
            .coordinator_addresses()
            .get(&number)?
            .parse::<Address>()
            .ok()?;
        let mut peers = self.peers.borrow_mut();
        if peers
            .get(&number)
            .is_none_or(|peer| peer.address != address)
        {
            let client = RpcClient::new(
                self.network.clone(),
                address,
                &self.config.initial_fleet.name,
            );
            peers.insert(number, Rc::new(client));
        }
        peers.get(&number).cloned()
    }

    /// Records a decided value, unless a later one is known.
    pub(crate) fn record_decided(&self, ballot: Ballot, fleet: Rc<Fleet>) {
        if ballot <= self.decided_ballot.get() && self.fleet.borrow().is_some() {
            return;
        }
        self.decided_ballot.set(ballot);
        let now = self.clock.now();
        {
            let mut first_seen = self.first_seen.borrow_mut();
            let incarnations = fleet
                .members
                .iter()
                .map(|(id, m)| (id.number, m.info.incarnation));
            let incarnations: BTreeSet<(u32, u64)> = incarnations.collect();
            first_seen.retain(|incarnation, _| incarnations.contains(incarnation));
            for incarnation in incarnations {
                first_seen.entry(incarnation).or_insert(now);
            }
        }
        let revision = fleet.revision;
        *self.fleet.borrow_mut() = Some(fleet);
        self.decided_revision.send_replace(revision);
    }

    /// Whether a decided value is known since this process started.
    pub(crate) fn is_settled(&self) -> bool {
        self.fleet.borrow().is_some()
    }

    /// Fetches the latest decided value from a peer that reported this ballot as decided.
    pub(crate) async fn catch_up(&self, from: u32, ballot: Ballot) {
        let own_accepted = self
            .acceptor_store
            .borrow()
            .accepted()
            .filter(|accepted| accepted.0 == ballot)
            .map(|accepted| accepted.1.clone());
        if let Some(fleet) = own_accepted {
            // The value was accepted here too, and is now known to be decided.
            return self.record_decided(ballot, Rc::new(fleet));
        }
        let Some(peer) = self.peer(from) else { return };
        let reply = peer
            .call::<(Ballot, Option<Fleet>)>("decided", json!({}), 500 * MILLISECOND)
            .await;
        match reply {
            Ok((ballot, Some(fleet))) => self.record_decided(ballot, Rc::new(fleet)),
            Ok((_, None)) => {}
            Err(why) => debug!(%why, "fetching the decided value from a peer failed"),
        }
    }
}
