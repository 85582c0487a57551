//! One register. An acceptor promises and accepts; a round reads a value from a quorum and puts another in its place.
//!
//! The value names the coordinators that hold it, as one set or, while that changes, two: then a quorum is a majority of
//! each. What a round puts has to be accepted by a quorum both of the value it read and of the value it puts, and a round
//! that finds other coordinators in what it read asks those as well before it goes on. A change to one set alone is made only
//! after a value that names both is known to be held by a quorum ([`Config::settled`]).

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A coordinator by its number and the disk it votes from. Another disk is another voter: what the old one promised is not
/// on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Voter {
    /// The coordinator's number.
    pub steward: u32,
    /// Drawn at random when the disk is first used.
    pub disk: u64,
}

impl fmt::Display for Voter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "steward-{}/{:x}", self.steward, self.disk)
    }
}

/// Rounds in their order. Two rounds never have the same: a proposer uses each number once, whatever it forgets (the
/// shell draws `incarnation` anew at each start).
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Counts up.
    pub number: u64,
    /// The proposer's number.
    #[serde(rename = "steward")]
    pub proposer: u32,
    /// Of the proposer's start.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

impl Ballot {
    /// The least of this proposer that is above another.
    pub fn above(other: Ballot, proposer: u32, incarnation: u64) -> Self {
        Self {
            number: other.number + 1,
            proposer,
            incarnation,
        }
    }
}

/// Whose majorities decide.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Config {
    now: BTreeSet<Voter>,
    /// Being changed to; both decide until it is settled.
    next: Option<BTreeSet<Voter>>,
}

fn majority(of: &BTreeSet<Voter>, have: &BTreeSet<Voter>) -> bool {
    of.intersection(have).count() * 2 > of.len()
}

/// Why the coordinators can't be changed so.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidConfig {
    /// A change is not settled yet.
    #[error("the stewards are being changed already")]
    ChangeInProgress,
    /// There is no change to settle.
    #[error("the stewards are not being changed")]
    NoChangeInProgress,
    /// Not an odd number from 1 to 9.
    #[error("{0} stewards: an odd number from 1 to 9 is expected")]
    VoterCount(usize),
    /// One coordinator with two disks.
    #[error("steward-{0} is named with two disks")]
    TwoDisks(u32),
}

impl Config {
    /// Of a fleet that is being founded.
    pub fn initial(voters: BTreeSet<Voter>) -> Result<Self, InvalidConfig> {
        Self::fits(&voters)?;
        Ok(Self {
            now: voters,
            next: None,
        })
    }

    fn fits(voters: &BTreeSet<Voter>) -> Result<(), InvalidConfig> {
        if voters.len().is_multiple_of(2) || voters.len() > 9 {
            return Err(InvalidConfig::VoterCount(voters.len()));
        }
        let mut numbers = BTreeSet::new();
        match voters.iter().find(|v| !numbers.insert(v.steward)) {
            Some(twice) => Err(InvalidConfig::TwoDisks(twice.steward)),
            None => Ok(()),
        }
    }

    /// This set and the next one, both of which decide until it is settled.
    pub fn changing_to(&self, next: BTreeSet<Voter>) -> Result<Self, InvalidConfig> {
        if self.next.is_some() {
            return Err(InvalidConfig::ChangeInProgress);
        }
        Self::fits(&next)?;
        Ok(Self {
            now: self.now.clone(),
            next: Some(next),
        })
    }

    /// The change is over. To be put only by whoever knows that a value with this very config is held by a quorum:
    /// before that, those who know the old set alone could go on without the new one.
    pub fn settled(&self) -> Result<Self, InvalidConfig> {
        let next = self.next.clone().ok_or(InvalidConfig::NoChangeInProgress)?;
        Ok(Self {
            now: next,
            next: None,
        })
    }

    /// Whether two sets decide.
    pub fn is_changing(&self) -> bool {
        self.next.is_some()
    }

    /// Whether these voters are a majority of each set.
    pub fn is_quorum(&self, have: &BTreeSet<Voter>) -> bool {
        majority(&self.now, have) && self.next.as_ref().is_none_or(|next| majority(next, have))
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

    /// Whether every quorum that `away` may have been part of has one of `others` in it too: a majority of any set that it
    /// is in. While two sets decide, both have to be met: that the newer decides beside the older may not have been agreed
    /// yet, and that it decides alone may have been already.
    pub fn all_quorums_intersect(&self, away: Voter, others: &BTreeSet<Voter>) -> bool {
        let sets = [Some(&self.now), self.next.as_ref()];
        let mut mine = sets.into_iter().flatten().filter(|set| set.contains(&away));
        // Those that did not answer are, with it, no majority.
        mine.all(|set| {
            set.iter()
                .filter(|v| **v == away || !others.contains(v))
                .count()
                * 2
                <= set.len()
        })
    }
}

/// The latest incarnation of each voter that somebody knows of. A voter starts another when it can't be sure that it
/// remembers all that it promised.
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
    /// The latest known incarnation of a voter; 0: its first.
    pub fn latest(&self, voter: Voter) -> u64 {
        self.0.get(&voter).copied().unwrap_or(0)
    }

    /// True: that was news.
    pub fn learn(&mut self, voter: Voter, incarnation: u64) -> bool {
        let news = incarnation > self.latest(voter);
        if news {
            self.0.insert(voter, incarnation);
        }
        news
    }

    /// Learns all that another knows.
    pub fn merge(&mut self, other: &Incarnations) {
        for (voter, incarnation) in &other.0 {
            self.learn(*voter, *incarnation);
        }
    }
}

/// Goes with each vote: who votes, in which incarnation, and which incarnations of others it knows of. What an earlier
/// incarnation said does not count once a later one is known: the later one may not remember it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename = "Mark", expecting = "struct Mark")]
pub struct VoterStamp {
    /// The voter.
    pub from: Voter,
    /// The incarnation that votes.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Incarnations of others that it knows of.
    #[serde(rename = "lives")]
    pub incarnations: Incarnations,
}

/// A value that a register may hold.
pub trait Value: Clone {
    /// The coordinators that hold it.
    fn config(&self) -> &Config;
}

/// A value that an acceptor has accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Accepted<V> {
    /// The round that it was accepted in.
    pub ballot: Ballot,
    /// The value.
    pub value: V,
}

/// What a coordinator holds as an acceptor. All of it is on its disk before it answers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Acceptor<V> {
    /// Nothing below this is accepted.
    pub promised: Ballot,
    /// What was accepted last.
    pub accepted: Option<Accepted<V>>,
    /// How often it changed; others remember it, and so an old copy of the disk shows.
    pub writes: u64,
    /// Its incarnation.
    #[serde(default, rename = "life")]
    pub incarnation: u64,
    /// Incarnations of others that it knows of.
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
    /// Goes with each vote.
    pub fn stamp(&self, me: Voter) -> VoterStamp {
        VoterStamp {
            from: me,
            incarnation: self.incarnation,
            incarnations: self.incarnations.clone(),
        }
    }

    /// Another voter starts an incarnation. Returns the latest that was known of it before.
    pub fn record_incarnation(&mut self, of: Voter, incarnation: u64) -> u64 {
        let before = self.incarnations.latest(of);
        if self.incarnations.learn(of, incarnation) {
            self.writes += 1;
        }
        before
    }

    /// Promises to accept nothing below `ballot`; returns what was accepted last. Refused with what was promised to another.
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

    /// Accepts a value. Refused with what was promised to another.
    pub fn accept(&mut self, ballot: Ballot, value: V) -> Result<(), Ballot> {
        if ballot < self.promised {
            return Err(self.promised);
        }
        if self.accepted.as_ref().is_some_and(|a| a.ballot == ballot) {
            // The same message once more.
            return Ok(());
        }
        self.promised = ballot;
        self.accepted = Some(Accepted { ballot, value });
        self.writes += 1;
        Ok(())
    }
}

/// One try to change the register, by one proposer.
#[derive(Clone, Debug, Hash)]
pub struct Round<V> {
    /// Orders the round among all others.
    pub ballot: Ballot,
    /// Whose promises are needed.
    config: Config,
    promised: BTreeMap<Voter, u64>,
    latest: Option<Accepted<V>>,
    put: Option<V>,
    accepted: BTreeMap<Voter, u64>,
    incarnations: Incarnations,
}

impl<V: Value> Round<V> {
    /// `config`: the latest that the proposer has seen in any value, or the founding one.
    pub fn new(ballot: Ballot, config: Config) -> Self {
        let (promised, accepted, incarnations) = Default::default();
        Self {
            ballot,
            config,
            promised,
            latest: None,
            put: None,
            accepted,
            incarnations,
        }
    }

    /// Whose promises are asked for; more when a promise shows other coordinators.
    pub fn prepare_targets(&self) -> BTreeSet<Voter> {
        self.config.voters()
    }

    /// A promise came. True: the value was read, and [`Self::read`] and [`Self::propose`] may be used.
    pub fn record_promise(&mut self, by: &VoterStamp, accepted: Option<Accepted<V>>) -> bool {
        if self.put.is_some() {
            return false;
        }
        self.hear(by);
        self.promised.insert(by.from, by.incarnation);
        if let Some(a) = accepted
            && self.latest.as_ref().is_none_or(|l| a.ballot > l.ballot)
        {
            self.config = a.value.config().clone();
            self.latest = Some(a);
        }
        self.is_read()
    }

    fn hear(&mut self, by: &VoterStamp) {
        self.incarnations.merge(&by.incarnations);
        self.incarnations.learn(by.from, by.incarnation);
    }

    /// Those of whom no later incarnation is known to anybody who answered.
    fn current_incarnations(&self, spoke: &BTreeMap<Voter, u64>) -> BTreeSet<Voter> {
        spoke
            .iter()
            .filter(|(v, incarnation)| **incarnation >= self.incarnations.latest(**v))
            .map(|(v, _)| *v)
            .collect()
    }

    /// Whether a quorum has promised.
    pub fn is_read(&self) -> bool {
        self.config
            .is_quorum(&self.current_incarnations(&self.promised))
    }

    /// What a quorum holds, or may hold; none: nothing was ever put.
    pub fn read(&self) -> Option<&Accepted<V>> {
        debug_assert!(
            self.is_read(),
            "nothing is read before a quorum has promised"
        );
        self.latest.as_ref()
    }

    /// Sets the value that is to replace what was read; returns who has to be asked to accept it.
    pub fn propose(&mut self, value: V) -> BTreeSet<Voter> {
        assert!(
            self.is_read() && self.put.is_none(),
            "one value, after a quorum has promised"
        );
        let to = self
            .config
            .voters()
            .union(&value.config().voters())
            .copied()
            .collect();
        self.put = Some(value);
        to
    }

    /// The value that was put.
    pub fn proposed(&self) -> Option<&V> {
        self.put.as_ref()
    }

    /// True: the value is chosen, by quorums of what was read and of what was put.
    pub fn record_acceptance(&mut self, by: &VoterStamp) -> bool {
        if self.put.is_none() {
            return false;
        }
        self.hear(by);
        self.accepted.insert(by.from, by.incarnation);
        let accepted = self.current_incarnations(&self.accepted);
        let put = self
            .put
            .as_ref()
            .is_some_and(|put| put.config().is_quorum(&accepted));
        // Whether what was read is still held by those who promised is part of it.
        put && self.config.is_quorum(&accepted) && self.is_read()
    }

    /// Who has accepted the value.
    pub fn accepted_voters(&self) -> BTreeSet<Voter> {
        self.current_incarnations(&self.accepted)
    }

    /// Who has promised.
    pub fn promised_voters(&self) -> BTreeSet<Voter> {
        self.current_incarnations(&self.promised)
    }
}
