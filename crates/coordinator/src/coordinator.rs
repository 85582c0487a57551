//! What the parts of a coordinator share: its configuration, its acceptor, what it knows to be chosen, and its peers.

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

/// What came of a change: done, at which revision; or a code and why not.
pub(crate) type Told = Result<(ChangeOutcome, u64), (i64, String)>;

/// A change that somebody waits for.
pub(crate) struct PendingProposal {
    pub change: Change,
    pub to: oneshot::Sender<Told>,
}

/// What one coordinator is started with.
#[derive(Clone)]
pub struct CoordinatorConfig {
    /// Its number, from 1 on.
    pub number: u32,
    /// The incarnation of this start; never used before.
    pub incarnation: u64,
    /// Of its random delays.
    pub seed: u64,
    /// As the deployment states them.
    pub fleet_config: FleetConfig,
    /// The fleet as it is before anything was agreed.
    pub initial_fleet: Fleet,
    /// Where it answers calls.
    pub listen: Address,
    /// Where it serves the invoker list; none: it does not.
    pub invoker_list: Option<Address>,
}

/// A coordinator: what it holds, and what its parts share. `service` answers callers, `propose` has changes agreed,
/// `monitoring` listens to members and other coordinators, `invoker_list` serves the invoker list.
pub(crate) struct Coordinator {
    pub(crate) config: CoordinatorConfig,
    pub(crate) clock: Clock,
    network: Rc<dyn Network>,
    pub(crate) acceptor_store: RefCell<AcceptorStore>,
    /// The latest that is known to be chosen.
    pub(crate) fleet: RefCell<Option<Rc<Fleet>>>,
    pub(crate) decided_at: Cell<Ballot>,
    pub(crate) highest: Cell<Ballot>,
    /// Changes that wait for the next round.
    pub(crate) waiting: RefCell<Vec<PendingProposal>>,
    pub(crate) asked: Notify,
    pub(crate) news: watch::Sender<u64>,
    peers: RefCell<BTreeMap<u32, Rc<RpcClient>>>,
    pub(crate) monitor: RefCell<MemberMonitor>,
    /// What is owed was proposed, and not all of it has come to an end.
    pub(crate) proposing: Cell<bool>,
    pub(crate) telling: RefCell<BTreeSet<u32>>,
    /// Who has told of a later value than this steward knows, and which.
    pub(crate) behind: Cell<Option<(u32, Ballot)>>,
    /// When this steward first knew of an invoker's life: for its age on the list.
    pub(crate) first_seen: RefCell<BTreeMap<(u32, u64), Ticks>>,
    pub(crate) rng: RefCell<fastrand::Rng>,
}

impl Coordinator {
    /// A coordinator that has just started, with what its disk has.
    pub(crate) fn new(
        config: CoordinatorConfig,
        disk: Disk,
        acceptor: Acceptor<Fleet>,
        network: Rc<dyn Network>,
        clock: Clock,
    ) -> Rc<Self> {
        let acceptor_store =
            AcceptorStore::new(disk, acceptor, config.initial_fleet.config.clone());
        let (news, _) = watch::channel(0);
        let timeouts = Timeouts {
            heartbeat_interval: config.fleet_config.renew,
            suspect_level: config.fleet_config.suspect_level,
            grant_timeout: config.fleet_config.grant_for,
            drain_timeout: config.fleet_config.drain_for,
            health_timeout: config.fleet_config.prove_within,
        };
        let monitor = MemberMonitor::new(clock.now(), acceptor_store.me(), timeouts);
        let rng = fastrand::Rng::with_seed(config.seed);
        Rc::new(Self {
            config,
            clock,
            network,
            acceptor_store: RefCell::new(acceptor_store),
            fleet: RefCell::default(),
            decided_at: Cell::default(),
            highest: Cell::default(),
            waiting: RefCell::default(),
            asked: Notify::new(),
            news,
            peers: RefCell::default(),
            monitor: RefCell::new(monitor),
            proposing: Cell::default(),
            telling: RefCell::default(),
            behind: Cell::default(),
            first_seen: RefCell::default(),
            rng: RefCell::new(rng),
        })
    }

    /// Coordinators and where they listen, as far as this one knows.
    pub(crate) fn stewards(&self) -> BTreeMap<u32, String> {
        let mut all = BTreeMap::new();
        if let Some((_, fleet)) = self.acceptor_store.borrow().accepted() {
            all.extend(fleet.coordinators.clone());
        }
        // What it was started with goes first: how this process reaches them.
        all.extend(self.config.initial_fleet.coordinators.clone());
        all
    }

    pub(crate) fn peer(&self, steward: u32) -> Option<Rc<RpcClient>> {
        let at = self.stewards().get(&steward)?.parse::<Address>().ok()?;
        let mut peers = self.peers.borrow_mut();
        if peers.get(&steward).is_none_or(|p| p.address != at) {
            let caller = RpcClient::new(self.network.clone(), at, &self.config.initial_fleet.name);
            peers.insert(steward, Rc::new(caller));
        }
        peers.get(&steward).cloned()
    }

    /// A value is chosen.
    pub(crate) fn decided(&self, ballot: Ballot, fleet: Rc<Fleet>) {
        if ballot <= self.decided_at.get() && self.fleet.borrow().is_some() {
            return;
        }
        self.decided_at.set(ballot);
        let now = self.clock.now();
        {
            let mut first = self.first_seen.borrow_mut();
            let lives = fleet
                .members
                .iter()
                .map(|(id, m)| (id.number, m.info.incarnation));
            let lives: BTreeSet<(u32, u64)> = lives.collect();
            first.retain(|life, _| lives.contains(life));
            for life in lives {
                first.entry(life).or_insert(now);
            }
        }
        let revision = fleet.revision;
        *self.fleet.borrow_mut() = Some(fleet);
        self.news.send_replace(revision);
    }

    /// It knows something that was chosen since it started.
    pub(crate) fn is_settled(&self) -> bool {
        self.fleet.borrow().is_some()
    }

    /// Asks another for what was chosen.
    pub(crate) async fn catch_up(&self, from: u32, to: Ballot) {
        let mine = self
            .acceptor_store
            .borrow()
            .accepted()
            .filter(|a| a.0 == to)
            .map(|a| a.1.clone());
        if let Some(fleet) = mine {
            // It was accepted here too, and is known to be chosen now.
            return self.decided(to, Rc::new(fleet));
        }
        let Some(peer) = self.peer(from) else { return };
        let told = peer
            .call::<(Ballot, Option<Fleet>)>("decided", json!({}), 500 * MILLISECOND)
            .await;
        match told {
            Ok((ballot, Some(fleet))) => self.decided(ballot, Rc::new(fleet)),
            Ok((_, None)) => {}
            Err(why) => debug!(%why, "can't catch up"),
        }
    }
}
