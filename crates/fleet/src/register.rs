//! A replicated register (CASPaxos). Acceptors promise and accept; a round reads the value from a quorum and proposes its
//! successor.
//!
//! The value contains the configuration: the set of coordinators that store it or, during a reconfiguration, two sets. Then a
//! quorum needs a majority of each set. A proposed value must be accepted by a quorum of the configuration it was read from
//! and by a quorum of its own. A round that reads a newer configuration sends its prepare to those coordinators too before it
//! proposes. The old set is dropped only after a value that names both sets is known to be stored by a quorum
//! ([`Config::settled`]).

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A coordinator number and the disk that it votes from. A new disk is a new voter, since it lacks the promises on the old
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Voter {
    /// The coordinator's number.
    pub steward: u32,
    /// Random id, chosen when the disk is first used.
    pub disk: u64,
}

impl fmt::Display for Voter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "steward-{}/{:x}", self.steward, self.disk)
    }
}

/// The ballot number of a round. Ballots are ordered and never reused, even by a proposer that lost its state: the caller
/// chooses a new random `incarnation` at each start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Increases with each round.
    pub number: u64,
    /// The proposer's number.
    #[serde(rename = "steward")]
    pub proposer: u32,
    /// Identifies the start of the proposer.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

impl Ballot {
    /// The lowest ballot of this proposer that is higher than `other`.
    pub fn above(other: Ballot, proposer: u32, incarnation: u64) -> Self {
        Self {
            number: other.number + 1,
            proposer,
            incarnation,
        }
    }
}

/// The coordinators that vote: one set, or two during a reconfiguration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Config {
    now: BTreeSet<Voter>,
    /// The set being changed to. Both sets must agree until the change is settled.
    next: Option<BTreeSet<Voter>>,
}

fn is_majority(set: &BTreeSet<Voter>, voters: &BTreeSet<Voter>) -> bool {
    set.intersection(voters).count() * 2 > set.len()
}

/// Why a configuration or a change to it is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidConfig {
    /// An earlier change is not settled yet.
    #[error("the stewards are being changed already")]
    ChangeInProgress,
    /// There is no change to settle.
    #[error("the stewards are not being changed")]
    NoChangeInProgress,
    /// The number of voters is not an odd number from 1 to 9.
    #[error("{0} stewards: an odd number from 1 to 9 is expected")]
    VoterCount(usize),
    /// A coordinator is listed with two disks.
    #[error("steward-{0} is named with two disks")]
    TwoDisks(u32),
}

impl Config {
    /// The first configuration of a new fleet.
    pub fn initial(voters: BTreeSet<Voter>) -> Result<Self, InvalidConfig> {
        Self::validate(&voters)?;
        Ok(Self {
            now: voters,
            next: None,
        })
    }

    fn validate(voters: &BTreeSet<Voter>) -> Result<(), InvalidConfig> {
        if voters.len().is_multiple_of(2) || voters.len() > 9 {
            return Err(InvalidConfig::VoterCount(voters.len()));
        }
        let mut numbers = BTreeSet::new();
        match voters.iter().find(|v| !numbers.insert(v.steward)) {
            Some(duplicate) => Err(InvalidConfig::TwoDisks(duplicate.steward)),
            None => Ok(()),
        }
    }

    /// A joint configuration of the current set and `next`. Both must agree until the change is settled.
    pub fn changing_to(&self, next: BTreeSet<Voter>) -> Result<Self, InvalidConfig> {
        if self.next.is_some() {
            return Err(InvalidConfig::ChangeInProgress);
        }
        Self::validate(&next)?;
        Ok(Self {
            now: self.now.clone(),
            next: Some(next),
        })
    }

    /// The configuration after the change. May be proposed only if a quorum is known to store a value with exactly this
    /// configuration: before that, coordinators that know only the old set could decide without the new one.
    pub fn settled(&self) -> Result<Self, InvalidConfig> {
        let next = self.next.clone().ok_or(InvalidConfig::NoChangeInProgress)?;
        Ok(Self {
            now: next,
            next: None,
        })
    }

    /// Whether a change to another set is in progress.
    pub fn is_changing(&self) -> bool {
        self.next.is_some()
    }

    /// Whether these voters include a majority of each set.
    pub fn is_quorum(&self, voters: &BTreeSet<Voter>) -> bool {
        is_majority(&self.now, voters)
            && self
                .next
                .as_ref()
                .is_none_or(|next| is_majority(next, voters))
    }

    /// The voters of both sets.
    pub fn voters(&self) -> BTreeSet<Voter> {
        self.now
            .iter()
            .chain(self.next.iter().flatten())
            .copied()
            .collect()
    }

    /// Whether this voter is in either set.
    pub fn contains(&self, voter: Voter) -> bool {
        self.now.contains(&voter) || self.next.as_ref().is_some_and(|n| n.contains(&voter))
    }

    /// Whether every quorum that `absent` may have been part of contains one of `others`; such a quorum is a majority of a set
    /// that contains it. In a joint configuration this must hold for both sets: it is not known whether the joint
    /// configuration has been agreed yet, or whether the newer set already decides alone.
    pub fn all_quorums_intersect(&self, absent: Voter, others: &BTreeSet<Voter>) -> bool {
        let sets = [Some(&self.now), self.next.as_ref()];
        let mut sets_with_absent = sets
            .into_iter()
            .flatten()
            .filter(|set| set.contains(&absent));
        // `absent` and the voters that did not reply must not form a majority.
        sets_with_absent.all(|set| {
            set.iter()
                .filter(|v| **v == absent || !others.contains(v))
                .count()
                * 2
                <= set.len()
        })
    }
}

/// The latest known incarnation of each voter. A voter starts a new incarnation when it may have lost promises.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "Vec<(Voter, u64)>", into = "Vec<(Voter, u64)>")]
pub struct Incarnations(BTreeMap<Voter, u64>);

impl From<Vec<(Voter, u64)>> for Incarnations {
    fn from(pairs: Vec<(Voter, u64)>) -> Self {
        Self(pairs.into_iter().collect())
    }
}

impl From<Incarnations> for Vec<(Voter, u64)> {
    fn from(incarnations: Incarnations) -> Self {
        incarnations.0.into_iter().collect()
    }
}

impl Incarnations {
    /// The latest known incarnation of a voter; 0: the first one.
    pub fn latest(&self, voter: Voter) -> u64 {
        self.0.get(&voter).copied().unwrap_or(0)
    }

    /// Records an incarnation; returns whether it is later than the known one.
    pub fn learn(&mut self, voter: Voter, incarnation: u64) -> bool {
        let is_later = incarnation > self.latest(voter);
        if is_later {
            self.0.insert(voter, incarnation);
        }
        is_later
    }

    /// Records all incarnations that `other` knows of.
    pub fn merge(&mut self, other: &Incarnations) {
        for (voter, incarnation) in &other.0 {
            self.learn(*voter, *incarnation);
        }
    }
}

/// Sent with each vote: the voter, its incarnation, and the incarnations of other voters that it knows of. Votes of an earlier
/// incarnation do not count once a later one is known, because the later one may have lost them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename = "Mark", expecting = "struct Mark")]
pub struct VoterStamp {
    /// The voter.
    pub from: Voter,
    /// The incarnation of the voter.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Incarnations of other voters that it knows of.
    #[serde(rename = "lives")]
    pub incarnations: Incarnations,
}

/// A value that a register can store.
pub trait Value: Clone {
    /// The coordinators that store the value.
    fn config(&self) -> &Config;
}

/// A value that an acceptor has accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Accepted<V> {
    /// The ballot of the round in which it was accepted.
    pub ballot: Ballot,
    /// The value.
    pub value: V,
}

/// The state of an acceptor. It is written to disk before the acceptor replies.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Acceptor<V> {
    /// Lower ballots are refused.
    pub promised: Ballot,
    /// The last accepted value.
    pub accepted: Option<Accepted<V>>,
    /// Number of changes to this state. Other coordinators remember it, so that an old copy of the disk is detected.
    pub writes: u64,
    /// The incarnation of this voter.
    #[serde(default, rename = "life")]
    pub incarnation: u64,
    /// Incarnations of other voters that it knows of.
    #[serde(default, rename = "lives")]
    pub incarnations: Incarnations,
}

impl<V> Default for Acceptor<V> {
    fn default() -> Self {
        Self {
            promised: Ballot::default(),
            accepted: None,
            writes: 0,
            incarnation: 0,
            incarnations: Incarnations::default(),
        }
    }
}

impl<V: Value> Acceptor<V> {
    /// The stamp to send with a vote.
    pub fn stamp(&self, me: Voter) -> VoterStamp {
        VoterStamp {
            from: me,
            incarnation: self.incarnation,
            incarnations: self.incarnations.clone(),
        }
    }

    /// Records that another voter starts an incarnation. Returns the latest one known before.
    pub fn record_incarnation(&mut self, voter: Voter, incarnation: u64) -> u64 {
        let previous = self.incarnations.latest(voter);
        if self.incarnations.learn(voter, incarnation) {
            self.writes += 1;
        }
        previous
    }

    /// Promises to refuse ballots below `ballot`; returns the last accepted value. Fails with the promised ballot if that is
    /// higher.
    pub fn prepare(&mut self, ballot: Ballot) -> Result<Option<&Accepted<V>>, Ballot> {
        if ballot < self.promised {
            return Err(self.promised);
        }
        if ballot > self.promised {
            self.promised = ballot;
            self.writes += 1;
        }
        Ok(self.accepted.as_ref())
    }

    /// Accepts a value. Fails with the promised ballot if that is higher.
    pub fn accept(&mut self, ballot: Ballot, value: V) -> Result<(), Ballot> {
        if ballot < self.promised {
            return Err(self.promised);
        }
        if self.accepted.as_ref().is_some_and(|a| a.ballot == ballot) {
            // A duplicate of the same message.
            return Ok(());
        }
        self.promised = ballot;
        self.accepted = Some(Accepted { ballot, value });
        self.writes += 1;
        Ok(())
    }
}

/// One attempt of a proposer to change the register.
#[derive(Clone, Debug, Hash)]
pub struct Round<V> {
    /// The ballot of the round.
    pub ballot: Ballot,
    /// The coordinators whose promises are needed.
    config: Config,
    promised: BTreeMap<Voter, u64>,
    latest: Option<Accepted<V>>,
    proposed: Option<V>,
    accepted: BTreeMap<Voter, u64>,
    incarnations: Incarnations,
}

impl<V: Value> Round<V> {
    /// Creates a round. `config` is the latest configuration that the proposer has seen in any value, or the initial one.
    pub fn new(ballot: Ballot, config: Config) -> Self {
        let (promised, accepted, incarnations) = Default::default();
        Self {
            ballot,
            config,
            promised,
            latest: None,
            proposed: None,
            accepted,
            incarnations,
        }
    }

    /// The coordinators to send a prepare to. The set grows when a promise reveals a newer configuration.
    pub fn prepare_targets(&self) -> BTreeSet<Voter> {
        self.config.voters()
    }

    /// Records a promise. Returns true once the value is read; then [`Self::read`] and [`Self::propose`] may be called.
    pub fn record_promise(&mut self, stamp: &VoterStamp, accepted: Option<Accepted<V>>) -> bool {
        if self.proposed.is_some() {
            return false;
        }
        self.learn_incarnations(stamp);
        self.promised.insert(stamp.from, stamp.incarnation);
        if let Some(accepted) = accepted
            && self
                .latest
                .as_ref()
                .is_none_or(|latest| accepted.ballot > latest.ballot)
        {
            self.config = accepted.value.config().clone();
            self.latest = Some(accepted);
        }
        self.is_read()
    }

    fn learn_incarnations(&mut self, stamp: &VoterStamp) {
        self.incarnations.merge(&stamp.incarnations);
        self.incarnations.learn(stamp.from, stamp.incarnation);
    }

    /// The voters of which no later incarnation is known from any stamp.
    fn without_superseded(&self, votes: &BTreeMap<Voter, u64>) -> BTreeSet<Voter> {
        votes
            .iter()
            .filter(|(voter, incarnation)| **incarnation >= self.incarnations.latest(**voter))
            .map(|(voter, _)| *voter)
            .collect()
    }

    /// Whether a quorum has promised.
    pub fn is_read(&self) -> bool {
        self.config
            .is_quorum(&self.without_superseded(&self.promised))
    }

    /// The value that a quorum stores or may store; `None`: no value was ever proposed.
    pub fn read(&self) -> Option<&Accepted<V>> {
        debug_assert!(
            self.is_read(),
            "the value is read before a quorum has promised"
        );
        self.latest.as_ref()
    }

    /// Sets the value that replaces the one read; returns the coordinators to send it to.
    pub fn propose(&mut self, value: V) -> BTreeSet<Voter> {
        assert!(
            self.is_read() && self.proposed.is_none(),
            "a round proposes one value, after a quorum has promised"
        );
        let targets = self
            .config
            .voters()
            .union(&value.config().voters())
            .copied()
            .collect();
        self.proposed = Some(value);
        targets
    }

    /// The proposed value.
    pub fn proposed(&self) -> Option<&V> {
        self.proposed.as_ref()
    }

    /// Records an acceptance. Returns true once the value is chosen: quorums of the configuration read and of the proposed one
    /// have accepted it.
    pub fn record_acceptance(&mut self, stamp: &VoterStamp) -> bool {
        if self.proposed.is_none() {
            return false;
        }
        self.learn_incarnations(stamp);
        self.accepted.insert(stamp.from, stamp.incarnation);
        let accepted = self.without_superseded(&self.accepted);
        let has_own_quorum = self
            .proposed
            .as_ref()
            .is_some_and(|value| value.config().is_quorum(&accepted));
        // The promises must still count too: one from a superseded incarnation may be lost.
        has_own_quorum && self.config.is_quorum(&accepted) && self.is_read()
    }

    /// Voters that have accepted the value.
    pub fn accepted_voters(&self) -> BTreeSet<Voter> {
        self.without_superseded(&self.accepted)
    }

    /// Voters that have promised.
    pub fn promised_voters(&self) -> BTreeSet<Voter> {
        self.without_superseded(&self.promised)
    }
}
