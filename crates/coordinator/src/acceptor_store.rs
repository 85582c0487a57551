//! The voting side of a coordinator: handles the requests of proposers to its acceptor. No request is answered before its effect is on
//! disk.

use crate::disk::Disk;
use crate::server::RpcError;
use crate::wire::{Accept, NOT_VOTING, Prepare, Vote};
use saltdrum_fleet::recovery::{RecoveringVoter, RecoveryReply, Verdict};
use saltdrum_fleet::register::{Acceptor, Ballot, Config, Voter};
use saltdrum_fleet::state::Fleet;
use std::collections::BTreeMap;
use tracing::{info, warn};

/// An acceptor with its disk and the state of its recovery.
pub(crate) struct AcceptorStore {
    disk: Disk,
    acceptor: Acceptor<Fleet>,
    /// The recovery after a start; `None` once the acceptor may vote.
    recovery: Option<RecoveringVoter<Fleet>>,
    /// Highest number of writes that each voter is known to have made.
    writes: BTreeMap<Voter, u64>,
}

impl AcceptorStore {
    pub(crate) fn new(disk: Disk, acceptor: Acceptor<Fleet>, initial_config: Config) -> Self {
        let voter = disk.identity.voter;
        let recovery = Some(RecoveringVoter::new(
            voter,
            acceptor.clone(),
            initial_config,
        ));
        Self {
            disk,
            acceptor,
            recovery,
            writes: BTreeMap::new(),
        }
    }

    /// The coordinator and its disk, as a voter.
    pub(crate) fn voter(&self) -> Voter {
        self.disk.identity.voter
    }

    pub(crate) fn is_recovering(&self) -> bool {
        self.recovery.is_some()
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

    /// Records how many writes a voter has made: an old copy of its disk is recognised by a lower number.
    pub(crate) fn record_writes(&mut self, voter: Voter, writes: u64) {
        let known = self.writes.entry(voter).or_default();
        *known = (*known).max(writes);
    }

    /// The latest configuration that this coordinator knows.
    pub(crate) fn config(&self, initial_config: &Config) -> Config {
        self.acceptor
            .accepted
            .as_ref()
            .map_or_else(|| initial_config.clone(), |a| a.value.config.clone())
    }

    fn check_may_vote(&self, to: Voter) -> Result<(), RpcError> {
        if to != self.voter() {
            return Err((
                NOT_VOTING,
                format!("{to} is not here: this is {}", self.voter()),
            ));
        }
        if self.recovery.is_some() {
            return Err((
                NOT_VOTING,
                format!("{to} is returning and does not vote yet"),
            ));
        }
        Ok(())
    }

    /// Updates the acceptor and writes it to disk. If the write fails, the acceptor's state is the one that can be read from the
    /// disk; while the disk can't be read, it does not vote.
    fn update<T>(&mut self, update: impl FnOnce(&mut Acceptor<Fleet>) -> T) -> Result<T, RpcError> {
        if !self.disk.is_writable() {
            let stored = self
                .disk
                .reload()
                .map_err(|e| (NOT_VOTING, e.to_string()))?;
            // Everything that was reported to others has to be on the disk, or it is not safe to vote from it.
            if stored.writes < self.acceptor.writes {
                return Err((
                    NOT_VOTING,
                    "the disk has less than was written to it".into(),
                ));
            }
            self.acceptor = stored;
        }
        let mut next = self.acceptor.clone();
        let result = update(&mut next);
        if next.writes != self.acceptor.writes {
            if let Err(fault) = self.disk.save(&next) {
                warn!(%fault, "disk write failed, voting suspended");
                return Err((NOT_VOTING, fault.to_string()));
            }
            self.acceptor = next;
        }
        Ok(result)
    }

    /// Handles a `prepare` request.
    pub(crate) fn prepare(&mut self, request: &Prepare) -> Result<Vote, RpcError> {
        self.check_may_vote(request.to)?;
        let promise = self.update(|a| a.prepare(request.ballot).map(|a| a.cloned()))?;
        let (stamp, writes) = (self.acceptor.stamp(self.voter()), self.acceptor.writes);
        Ok(match promise {
            Err(promised) => Vote::Refused { promised },
            Ok(None) => Vote::Promised {
                accepted: None,
                value: None,
                stamp,
                writes,
            },
            Ok(Some(accepted)) => {
                let value =
                    (accepted.ballot != request.known_ballot).then(|| Box::new(accepted.value));
                Vote::Promised {
                    accepted: Some(accepted.ballot),
                    value,
                    stamp,
                    writes,
                }
            }
        })
    }

    /// Handles an `accept` request.
    pub(crate) fn accept(&mut self, request: Accept) -> Result<Vote, RpcError> {
        self.check_may_vote(request.to)?;
        let acceptance = self.update(|a| a.accept(request.ballot, *request.value))?;
        let (stamp, writes) = (self.acceptor.stamp(self.voter()), self.acceptor.writes);
        Ok(match acceptance {
            Err(promised) => Vote::Refused { promised },
            Ok(()) => Vote::Accepted { stamp, writes },
        })
    }

    /// Handles a `recover` request: replies to a coordinator that starts, once its new incarnation is on this disk.
    pub(crate) fn recover(
        &mut self,
        from: Voter,
        incarnation: u64,
    ) -> Result<RecoveryReply<Fleet>, RpcError> {
        let previous_incarnation = self.update(|a| a.record_incarnation(from, incarnation))?;
        let known_writes = self.writes.get(&from).copied().unwrap_or(0);
        let acceptor = self.acceptor.clone();
        Ok(RecoveryReply {
            is_recovering: self.recovery.is_some(),
            acceptor,
            previous_incarnation,
            known_writes,
        })
    }

    /// The incarnation that this coordinator is starting or voting in.
    pub(crate) fn incarnation(&self) -> u64 {
        self.recovery
            .as_ref()
            .map_or(self.acceptor.incarnation, RecoveringVoter::incarnation)
    }

    /// Continues the recovery of the only coordinator of a fleet.
    pub(crate) fn recover_without_peers(&mut self) -> Result<Verdict, RpcError> {
        self.check_recovery()
    }

    /// Continues the recovery with a peer's reply.
    pub(crate) fn record_recovery_reply(
        &mut self,
        from: Voter,
        reply: RecoveryReply<Fleet>,
    ) -> Result<Verdict, RpcError> {
        let Some(recovery) = &mut self.recovery else {
            return Ok(Verdict::Vote);
        };
        recovery.record_reply(from, reply);
        self.check_recovery()
    }

    /// Starts to vote if the replies so far allow it.
    fn check_recovery(&mut self) -> Result<Verdict, RpcError> {
        let Some(recovery) = &self.recovery else {
            return Ok(Verdict::Vote);
        };
        let verdict = recovery.verdict();
        if verdict == Verdict::Vote {
            let mut adopted = recovery.clone().adopt();
            // Other coordinators may have started new incarnations during this recovery.
            adopted.incarnations.merge(&self.acceptor.incarnations);
            adopted.writes = adopted.writes.max(self.acceptor.writes + 1);
            let writes = adopted.writes;
            self.update(|a| *a = adopted)?;
            self.recovery = None;
            info!(voter = %self.voter(), writes, "voting started");
        }
        Ok(verdict)
    }
}
