//! The voting side: what others ask of this coordinator's acceptor. Nothing is answered before it is on disk.

use crate::disk::Disk;
use crate::server::RpcError;
use crate::wire::{Accept, NOT_VOTING, Prepare, Vote};
use saltdrum_fleet::recovery::{RecoveringVoter, RecoveryReply, Verdict};
use saltdrum_fleet::register::{Acceptor, Ballot, Config, Voter};
use saltdrum_fleet::state::Fleet;
use std::collections::BTreeMap;
use tracing::{info, warn};

/// An acceptor and its disk, and whether it may vote yet.
pub(crate) struct AcceptorStore {
    disk: Disk,
    acceptor: Acceptor<Fleet>,
    /// Until it may vote again.
    returning: Option<RecoveringVoter<Fleet>>,
    /// The most writes that each voter is known to have made.
    writes: BTreeMap<Voter, u64>,
}

impl AcceptorStore {
    pub(crate) fn new(disk: Disk, acceptor: Acceptor<Fleet>, founding: Config) -> Self {
        let me = disk.identity.voter;
        let returning = Some(RecoveringVoter::new(me, acceptor.clone(), founding));
        Self {
            disk,
            acceptor,
            returning,
            writes: BTreeMap::new(),
        }
    }

    pub(crate) fn me(&self) -> Voter {
        self.disk.identity.voter
    }

    pub(crate) fn is_returning(&self) -> bool {
        self.returning.is_some()
    }

    pub(crate) fn is_writable(&self) -> bool {
        self.disk.is_writable()
    }

    pub(crate) fn writes(&self) -> u64 {
        self.acceptor.writes
    }

    pub(crate) fn promised(&self) -> Ballot {
        self.acceptor.promised
    }

    pub(crate) fn accepted(&self) -> Option<(Ballot, &Fleet)> {
        self.acceptor
            .accepted
            .as_ref()
            .map(|a| (a.ballot, &a.value))
    }

    /// Remembers how many writes a voter has made: an old copy of its disk is recognised by that.
    pub(crate) fn hear_writes(&mut self, of: Voter, writes: u64) {
        let known = self.writes.entry(of).or_default();
        *known = (*known).max(writes);
    }

    /// The latest configuration that this coordinator knows.
    pub(crate) fn config(&self, founding: &Config) -> Config {
        self.acceptor
            .accepted
            .as_ref()
            .map_or_else(|| founding.clone(), |a| a.value.config.clone())
    }

    fn may_vote(&self, to: Voter) -> Result<(), RpcError> {
        if to != self.me() {
            return Err((
                NOT_VOTING,
                format!("{to} is not here: this is {}", self.me()),
            ));
        }
        if self.returning.is_some() {
            return Err((
                NOT_VOTING,
                format!("{to} is returning and does not vote yet"),
            ));
        }
        Ok(())
    }

    /// Makes a change of the acceptor and brings it to disk. On a disk that does not take it, it stays as it was, as far as
    /// the disk can be read; where not, it does not vote.
    fn change<T>(&mut self, change: impl FnOnce(&mut Acceptor<Fleet>) -> T) -> Result<T, RpcError> {
        if !self.disk.is_writable() {
            let read = self
                .disk
                .reload()
                .map_err(|e| (NOT_VOTING, e.to_string()))?;
            // What was told is on it, or it is no disk to vote from.
            if read.writes < self.acceptor.writes {
                return Err((
                    NOT_VOTING,
                    "the disk has less than was written to it".into(),
                ));
            }
            self.acceptor = read;
        }
        let mut next = self.acceptor.clone();
        let told = change(&mut next);
        if next.writes != self.acceptor.writes {
            if let Err(fault) = self.disk.save(&next) {
                warn!(%fault, "disk write failed, voting suspended");
                return Err((NOT_VOTING, fault.to_string()));
            }
            self.acceptor = next;
        }
        Ok(told)
    }

    pub(crate) fn prepare(&mut self, asked: &Prepare) -> Result<Vote, RpcError> {
        self.may_vote(asked.to)?;
        let told = self.change(|a| a.prepare(asked.ballot).map(|a| a.cloned()))?;
        let (mark, writes) = (self.acceptor.stamp(self.me()), self.acceptor.writes);
        Ok(match told {
            Err(promised) => Vote::Refused { promised },
            Ok(None) => Vote::Promised {
                accepted: None,
                value: None,
                stamp: mark,
                writes,
            },
            Ok(Some(a)) => {
                let value = (a.ballot != asked.known_ballot).then(|| Box::new(a.value));
                Vote::Promised {
                    accepted: Some(a.ballot),
                    value,
                    stamp: mark,
                    writes,
                }
            }
        })
    }

    pub(crate) fn accept(&mut self, asked: Accept) -> Result<Vote, RpcError> {
        self.may_vote(asked.to)?;
        let told = self.change(|a| a.accept(asked.ballot, *asked.value))?;
        let (mark, writes) = (self.acceptor.stamp(self.me()), self.acceptor.writes);
        Ok(match told {
            Err(promised) => Vote::Refused { promised },
            Ok(()) => Vote::Accepted {
                stamp: mark,
                writes,
            },
        })
    }

    /// The answer to another that starts, once the incarnation that it starts is on this disk.
    pub(crate) fn recover(
        &mut self,
        from: Voter,
        life: u64,
    ) -> Result<RecoveryReply<Fleet>, RpcError> {
        let previous_incarnation = self.change(|a| a.record_incarnation(from, life))?;
        let known_writes = self.writes.get(&from).copied().unwrap_or(0);
        let acceptor = self.acceptor.clone();
        Ok(RecoveryReply {
            is_recovering: self.returning.is_some(),
            acceptor,
            previous_incarnation,
            known_writes,
        })
    }

    /// The incarnation that this coordinator starts, or votes in.
    pub(crate) fn life(&self) -> u64 {
        self.returning
            .as_ref()
            .map_or(self.acceptor.incarnation, RecoveringVoter::incarnation)
    }

    /// With nobody else to ask.
    pub(crate) fn heard_nobody(&mut self) -> Result<Verdict, RpcError> {
        self.judge()
    }

    /// Another answered this one, which has started.
    pub(crate) fn heard(
        &mut self,
        from: Voter,
        what: RecoveryReply<Fleet>,
    ) -> Result<Verdict, RpcError> {
        let Some(returning) = &mut self.returning else {
            return Ok(Verdict::Vote);
        };
        returning.record_reply(from, what);
        self.judge()
    }

    fn judge(&mut self) -> Result<Verdict, RpcError> {
        let Some(returning) = &self.returning else {
            return Ok(Verdict::Vote);
        };
        let verdict = returning.verdict();
        if verdict == Verdict::Vote {
            let mut adopted = returning.clone().adopt();
            // Others started incarnations while this one was returning.
            adopted.incarnations.merge(&self.acceptor.incarnations);
            adopted.writes = adopted.writes.max(self.acceptor.writes + 1);
            let writes = adopted.writes;
            self.change(|a| *a = adopted)?;
            self.returning = None;
            info!(voter = %self.me(), writes, "voting started");
        }
        Ok(verdict)
    }
}
