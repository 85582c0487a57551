//! Decides when a restarted coordinator may vote again. Its disk may be an old copy, or not the disk that it voted from. Then
//! it has lost promises, and with its vote a second majority could form next to the first.
//!
//! Only replies received after the start count, since they are later than anything it may have lost. Votes of the former
//! incarnation that are still in flight must not count, so it starts a new incarnation, which the other coordinators record
//! before they reply (crash-consistent quorums; Michael et al. 2017).

use crate::register::{Acceptor, Ballot, Config, Value, Voter};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The reply of a coordinator to one that has restarted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Heard", expecting = "struct Heard")]
pub struct RecoveryReply<V> {
    /// Whether the replying coordinator is itself recovering and does not vote yet.
    #[serde(rename = "returning")]
    pub is_recovering: bool,
    /// Its acceptor state.
    pub acceptor: Acceptor<V>,
    /// The latest incarnation of the restarted coordinator that it knew before this request.
    #[serde(rename = "life_before")]
    pub previous_incarnation: u64,
    /// The highest number of writes that it knows of the restarted coordinator.
    #[serde(rename = "writes_of_yours")]
    pub known_writes: u64,
}

/// Whether a restarted coordinator may vote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Too few replies so far.
    Wait,
    /// May vote, once the state returned by [`RecoveringVoter::adopt`] is on disk.
    Vote,
    /// The disk is an old copy: others know of more writes than are on it. The coordinator waits until the replies cover all
    /// quorums that it may have been part of.
    StaleDisk {
        /// Number of writes on this disk.
        own_writes: u64,
        /// Number of writes that other coordinators know of.
        known_writes: u64,
    },
}

/// A restarted coordinator that does not vote yet.
#[derive(Clone, Debug)]
pub struct RecoveringVoter<V> {
    me: Voter,
    own: Acceptor<V>,
    initial_config: Config,
    /// The incarnation that the coordinator starts.
    incarnation: u64,
    replies: BTreeMap<Voter, RecoveryReply<V>>,
}

impl<V: Value> RecoveringVoter<V> {
    /// Starts the recovery. `initial_config` applies while no accepted value is known.
    pub fn new(me: Voter, own: Acceptor<V>, initial_config: Config) -> Self {
        let incarnation = own.incarnation + 1;
        Self {
            me,
            own,
            initial_config,
            incarnation,
            replies: BTreeMap::new(),
        }
    }

    /// Records the reply of another coordinator. Replies to an earlier incarnation are ignored.
    pub fn record_reply(&mut self, from: Voter, reply: RecoveryReply<V>) {
        if from == self.me || reply.acceptor.incarnations.latest(self.me) < self.incarnation {
            return;
        }
        if reply.previous_incarnation >= self.incarnation && !self.replies.contains_key(&from) {
            // An earlier start may have used this incarnation already, so the replies so far may not belong to this start.
            self.incarnation = reply.previous_incarnation + 1;
            self.replies.clear();
            return;
        }
        self.replies.insert(from, reply);
    }

    /// The incarnation that the coordinator starts, to be sent with each request.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The configuration of the latest accepted value, among the replies and this disk.
    pub fn config(&self) -> Config {
        let acceptors = self
            .replies
            .values()
            .map(|reply| &reply.acceptor)
            .chain([&self.own]);
        let latest = acceptors
            .filter_map(|a| a.accepted.as_ref())
            .max_by_key(|a| a.ballot);
        latest.map_or_else(|| self.initial_config.clone(), |a| a.value.config().clone())
    }

    /// Whether the coordinator may vote, given the replies so far.
    pub fn verdict(&self) -> Verdict {
        let config = self.config();
        let known_writes = self
            .replies
            .values()
            .map(|reply| reply.known_writes)
            .max()
            .unwrap_or(0);
        let replied: BTreeSet<Voter> = self.replies.keys().copied().collect();
        let voting: BTreeSet<Voter> = self
            .replies
            .iter()
            .filter(|(_, reply)| !reply.is_recovering)
            .map(|(voter, _)| *voter)
            .collect();
        let all_replied = config
            .voters()
            .iter()
            .all(|voter| *voter == self.me || replied.contains(voter));
        if !config.contains(self.me) {
            // In the latest known configuration its vote does not count; a quorum of replies confirms that.
            return if config.is_quorum(&replied) {
                Verdict::Vote
            } else {
                Verdict::Wait
            };
        }
        // If the replies cover every quorum that may have counted its votes, its own disk does not matter. If all have
        // replied, even recovering ones, the value of any majority is among the replies.
        if config.all_quorums_intersect(self.me, &voting) || all_replied {
            return Verdict::Vote;
        }
        if known_writes > self.own.writes {
            return Verdict::StaleDisk {
                own_writes: self.own.writes,
                known_writes,
            };
        }
        if self.own.writes == 0 {
            // A first start cannot be distinguished from a start on an emptied disk.
            return Verdict::Wait;
        }
        // The disk is up to date as far as the others know. The coordinator votes once it would complete a quorum.
        let mut replied_and_me = replied;
        replied_and_me.insert(self.me);
        if config.is_quorum(&replied_and_me) {
            Verdict::Vote
        } else {
            Verdict::Wait
        }
    }

    /// The acceptor state to vote from: the highest promise and the latest value, of its own and of all replies.
    pub fn adopt(self) -> Acceptor<V> {
        let mut own = self.own;
        let known_writes = self
            .replies
            .values()
            .map(|reply| reply.known_writes)
            .max()
            .unwrap_or(0);
        own.incarnation = self.incarnation;
        own.writes += 1;
        for reply in self.replies.into_values() {
            own.incarnations.merge(&reply.acceptor.incarnations);
            own.promised = own.promised.max(reply.acceptor.promised);
            let latest = own
                .accepted
                .as_ref()
                .map_or(Ballot::default(), |a| a.ballot);
            if let Some(accepted) = reply.acceptor.accepted.filter(|a| a.ballot > latest) {
                own.accepted = Some(accepted);
            }
        }
        if known_writes >= own.writes {
            own.writes = known_writes + 1;
        }
        own
    }
}
