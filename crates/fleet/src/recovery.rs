//! When a coordinator that starts may vote again. Its disk may be an old copy, or another disk than it voted from; then it has
//! forgotten promises, and with its vote a second majority could form beside the first.
//!
//! What counts is heard after the start, and so after all that it may have forgotten. Votes of the former incarnation that are
//! still on their way would count for what it has forgotten: so it starts another incarnation, and those who answer know of
//! it before they do (crash-consistent quorums; Michael and others, 2017).

use crate::register::{Acceptor, Ballot, Config, Value, Voter};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What another coordinator answers to one that starts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Heard", expecting = "struct Heard")]
pub struct RecoveryReply<V> {
    /// It does not vote itself yet.
    #[serde(rename = "returning")]
    pub is_recovering: bool,
    /// What it holds.
    pub acceptor: Acceptor<V>,
    /// The latest incarnation of the asker that it knew of before.
    #[serde(rename = "life_before")]
    pub previous_incarnation: u64,
    /// The most writes that it has heard of from the one that starts.
    #[serde(rename = "writes_of_yours")]
    pub known_writes: u64,
}

/// Whether a coordinator that has started may vote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Not enough was heard.
    Wait,
    /// May vote, once what [`RecoveringVoter::adopt`] made of its state is on disk.
    Vote,
    /// Others heard of more writes than are on the disk: it is an old copy. It waits until all quorums that it may have
    /// been part of are known from others.
    StaleDisk {
        /// Writes on this disk.
        own_writes: u64,
        /// Writes that others heard of.
        known_writes: u64,
    },
}

/// A coordinator that has started and does not vote yet.
#[derive(Clone, Debug)]
pub struct RecoveringVoter<V> {
    me: Voter,
    mine: Acceptor<V>,
    founding: Config,
    /// The incarnation that it starts.
    incarnation: u64,
    heard: BTreeMap<Voter, RecoveryReply<V>>,
}

impl<V: Value> RecoveringVoter<V> {
    /// `founding`: who holds a fleet of which nothing else is known.
    pub fn new(me: Voter, mine: Acceptor<V>, founding: Config) -> Self {
        let incarnation = mine.incarnation + 1;
        Self {
            me,
            mine,
            founding,
            incarnation,
            heard: BTreeMap::new(),
        }
    }

    /// Another coordinator answered.
    pub fn record_reply(&mut self, from: Voter, what: RecoveryReply<V>) {
        if from == self.me || what.acceptor.incarnations.latest(self.me) < self.incarnation {
            return;
        }
        if what.previous_incarnation >= self.incarnation && !self.heard.contains_key(&from) {
            // Another start may have had this incarnation already: those who answered know of none of ours.
            self.incarnation = what.previous_incarnation + 1;
            self.heard.clear();
            return;
        }
        self.heard.insert(from, what);
    }

    /// The incarnation that it starts, to be sent with each question.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The latest config that anybody has accepted a value with.
    pub fn config(&self) -> Config {
        let all = self.heard.values().map(|h| &h.acceptor).chain([&self.mine]);
        let latest = all
            .filter_map(|a| a.accepted.as_ref())
            .max_by_key(|a| a.ballot);
        latest.map_or_else(|| self.founding.clone(), |a| a.value.config().clone())
    }

    /// Whether it may vote, by what was heard so far.
    pub fn verdict(&self) -> Verdict {
        let config = self.config();
        let known = self
            .heard
            .values()
            .map(|h| h.known_writes)
            .max()
            .unwrap_or(0);
        let all: BTreeSet<Voter> = self.heard.keys().copied().collect();
        let sure: BTreeSet<Voter> = self
            .heard
            .iter()
            .filter(|(_, h)| !h.is_recovering)
            .map(|(v, _)| *v)
            .collect();
        let everybody = config
            .voters()
            .iter()
            .all(|v| *v == self.me || all.contains(v));
        if !config.contains(self.me) {
            // As far as those know who answered, its vote counts nowhere; a majority of them would know better.
            return if config.is_quorum(&all) {
                Verdict::Vote
            } else {
                Verdict::Wait
            };
        }
        // With all that could have counted its votes heard since it started, it needs no disk of its own. With everybody
        // here and nobody sure, what a majority held is among what they all have.
        if config.all_quorums_intersect(self.me, &sure) || everybody {
            return Verdict::Vote;
        }
        if known > self.mine.writes {
            return Verdict::StaleDisk {
                own_writes: self.mine.writes,
                known_writes: known,
            };
        }
        if self.mine.writes == 0 {
            // Nothing tells a first start from one on an empty disk.
            return Verdict::Wait;
        }
        // Its disk is as others knew it. With it they have to be able to decide, or its vote would be of no use.
        let mut with_me = all;
        with_me.insert(self.me);
        if config.is_quorum(&with_me) {
            Verdict::Vote
        } else {
            Verdict::Wait
        }
    }

    /// What it holds from now on: no promise below anybody's, and the latest value that anybody has.
    pub fn adopt(self) -> Acceptor<V> {
        let mut mine = self.mine;
        let known = self
            .heard
            .values()
            .map(|h| h.known_writes)
            .max()
            .unwrap_or(0);
        mine.incarnation = self.incarnation;
        mine.writes += 1;
        for h in self.heard.into_values() {
            mine.incarnations.merge(&h.acceptor.incarnations);
            mine.promised = mine.promised.max(h.acceptor.promised);
            let latest = mine
                .accepted
                .as_ref()
                .map_or(Ballot::default(), |a| a.ballot);
            if let Some(a) = h.acceptor.accepted.filter(|a| a.ballot > latest) {
                mine.accepted = Some(a);
            }
        }
        if known >= mine.writes {
            mine.writes = known + 1;
        }
        mine
    }
}
