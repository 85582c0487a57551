//! The proposer: queued changes are batched into one round. A round that loses to a higher ballot is retried. If no majority
//! answers, the outcome is unknown, and the callers get an error that says so.

use crate::acceptor_store::AcceptorStore;
use crate::coordinator::{ChangeResult, Coordinator, PendingProposal};
use crate::rpc_client::CallError;
use crate::server::RpcError;
use crate::wire::{Accept, NOT_VOTING, OUTCOME_UNKNOWN, Prepare, REFUSED, Vote};
use saltdrum::interface::{MILLISECOND, Ticks};
use saltdrum_fleet::change::{Change, ChangeOutcome};
use saltdrum_fleet::register::{Accepted, Ballot, Round, Voter};
use saltdrum_fleet::state::Fleet;
use serde::Serialize;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tracing::debug;

/// Queued changes beyond this number are refused at once.
const MAX_PENDING_CHANGES: usize = 10_000;
/// Timeout of one vote request.
const VOTE_TIMEOUT: Ticks = 700 * MILLISECOND;
/// Rounds in which one batch is tried.
const MAX_ROUNDS: u32 = 12;

type VoteSender = mpsc::UnboundedSender<(Voter, Result<Vote, CallError>)>;

/// Why a round agreed on nothing, as far as is known.
enum RoundFailure {
    /// A higher ballot was promised to another proposer.
    Overtaken(Ballot),
    /// No majority answered.
    NoMajority,
}

impl Coordinator {
    /// Proposes a change and waits for its outcome.
    pub(crate) async fn change(&self, change: Change) -> ChangeResult {
        let (outcome_sender, outcome) = oneshot::channel();
        {
            let mut pending = self.pending_changes.borrow_mut();
            if pending.len() >= MAX_PENDING_CHANGES {
                return Err((
                    REFUSED,
                    "too many changes wait: come back in a second".into(),
                ));
            }
            pending.push(PendingProposal {
                change,
                outcome_sender,
            });
        }
        self.change_queued.notify_one();
        outcome
            .await
            .unwrap_or_else(|_| Err((OUTCOME_UNKNOWN, "the steward is ending".into())))
    }

    /// Proposes queued changes batch by batch, until the future is dropped.
    pub(crate) async fn run_proposer(self: Rc<Self>) {
        loop {
            self.change_queued.notified().await;
            // Changes that are queued in the same turn of the event loop join the batch.
            tokio::task::yield_now().await;
            let batch = std::mem::take(&mut *self.pending_changes.borrow_mut());
            if !batch.is_empty() {
                self.propose_batch(batch).await;
            }
        }
    }

    /// Proposes a batch until it is agreed, and sends each caller its outcome.
    async fn propose_batch(self: &Rc<Self>, batch: Vec<PendingProposal>) {
        let mut last_failure = "no majority answered";
        for attempt in 0..MAX_ROUNDS {
            if self.acceptor_store.borrow().is_recovering() {
                let message = "this steward is returning and does not propose yet";
                for proposal in batch {
                    let _ = proposal
                        .outcome_sender
                        .send(Err((NOT_VOTING, message.into())));
                }
                return;
            }
            let changes: Vec<&Change> = batch.iter().map(|proposal| &proposal.change).collect();
            match self.run_round(&changes).await {
                Ok((fleet, outcomes)) => {
                    for (proposal, outcome) in batch.into_iter().zip(outcomes) {
                        let outcome = outcome.map(|done| (done, fleet.revision));
                        // A caller that is gone gets no outcome; its change is agreed all the same.
                        let _ = proposal
                            .outcome_sender
                            .send(outcome.map_err(|r| (REFUSED, r.to_string())));
                    }
                    return;
                }
                Err(RoundFailure::Overtaken(by)) => {
                    self.highest_ballot.set(self.highest_ballot.get().max(by));
                    last_failure = "others changed it all the while";
                    let max_delay_ms = (4u64 << attempt.min(6)).min(200);
                    let delay_ms = 1 + self.rng.borrow_mut().u64(..max_delay_ms);
                    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                }
                Err(RoundFailure::NoMajority) => {
                    last_failure = "no majority answered";
                    if attempt >= 2 {
                        break;
                    }
                }
            }
        }
        for proposal in batch {
            let message = format!("whether it was done is not known: {last_failure}; ask again");
            let _ = proposal
                .outcome_sender
                .send(Err((OUTCOME_UNKNOWN, message)));
        }
    }

    /// Runs one round: reads the accepted value, applies the changes and proposes the result. Returns the new value and the
    /// outcome of each change.
    async fn run_round(
        self: &Rc<Self>,
        changes: &[&Change],
    ) -> Result<
        (
            Rc<Fleet>,
            Vec<Result<ChangeOutcome, saltdrum_fleet::Refusal>>,
        ),
        RoundFailure,
    > {
        // The value that acceptors need not send is fixed for the whole round: by the time of an answer, this coordinator's own
        // acceptor may have accepted another one.
        let (own_voter, config, own_accepted) = {
            let acceptor_store = self.acceptor_store.borrow();
            self.highest_ballot
                .set(self.highest_ballot.get().max(acceptor_store.promised()));
            let own_accepted = acceptor_store
                .accepted()
                .map(|(ballot, fleet)| (ballot, fleet.clone()));
            (
                acceptor_store.voter(),
                acceptor_store.config(&self.config.initial_fleet.config),
                own_accepted,
            )
        };
        let known_ballot = own_accepted.as_ref().map_or(Ballot::default(), |own| own.0);
        let ballot = Ballot::above(
            self.highest_ballot.get(),
            own_voter.steward,
            self.config.incarnation,
        );
        self.highest_ballot.set(ballot);
        let mut round: Round<Fleet> = Round::new(ballot, config);
        let (vote_sender, mut votes) = mpsc::unbounded_channel();
        let mut queried = BTreeSet::new();
        self.query_new_voters(&mut queried, round.prepare_targets(), |voter, this| {
            this.request_promise(
                Prepare {
                    to: voter,
                    ballot,
                    known_ballot,
                },
                vote_sender.clone(),
            );
        });
        let (mut without_promise, mut overtaken) = (BTreeSet::new(), None);
        while !round.is_read() {
            // Every queried voter yields a vote or an error in bounded time.
            let Some((from, vote)) = votes.recv().await else {
                return Err(RoundFailure::NoMajority);
            };
            match vote {
                Ok(Vote::Promised {
                    accepted,
                    value,
                    stamp,
                    ..
                }) => {
                    let own_value = || {
                        own_accepted
                            .as_ref()
                            .filter(|own| Some(own.0) == accepted)
                            .map(|own| own.1.clone())
                    };
                    let value = value.map(|v| *v).or_else(own_value);
                    if accepted.is_some() != value.is_some() {
                        // An accepted ballot without its value must not count as a promise: the round would take it for no
                        // value at all and overwrite it.
                        without_promise.insert(from);
                    } else {
                        let accepted = accepted
                            .zip(value)
                            .map(|(ballot, value)| Accepted { ballot, value });
                        round.record_promise(&stamp, accepted);
                    }
                    self.query_new_voters(&mut queried, round.prepare_targets(), |voter, this| {
                        this.request_promise(
                            Prepare {
                                to: voter,
                                ballot,
                                known_ballot,
                            },
                            vote_sender.clone(),
                        );
                    });
                }
                Ok(Vote::Refused { promised }) => {
                    overtaken = overtaken.max(Some(promised));
                    without_promise.insert(from);
                }
                _ => drop(without_promise.insert(from)),
            }
            if !round.is_read()
                && round.promised_voters().len() + without_promise.len() >= queried.len()
            {
                return Err(overtaken.map_or(RoundFailure::NoMajority, RoundFailure::Overtaken));
            }
        }
        let mut fleet = round
            .read()
            .map_or_else(|| self.config.initial_fleet.clone(), |a| a.value.clone());
        let outcomes: Vec<_> = changes.iter().map(|c| fleet.apply(c)).collect();
        let fleet = Rc::new(fleet);
        let to_accept = round.propose((*fleet).clone());
        let (vote_sender, mut votes) = mpsc::unbounded_channel();
        let value = Rc::new(Box::new((*fleet).clone()));
        let mut queried = BTreeSet::new();
        self.query_new_voters(&mut queried, to_accept, |voter, this| {
            this.request_accept(
                Accept {
                    to: voter,
                    ballot,
                    value: (*value).clone(),
                },
                vote_sender.clone(),
            );
        });
        drop(vote_sender);
        let mut overtaken = None;
        while let Some((_, vote)) = votes.recv().await {
            match vote {
                Ok(Vote::Accepted { stamp, .. }) if round.record_acceptance(&stamp) => {
                    self.record_decided(ballot, fleet.clone());
                    debug!(
                        revision = fleet.revision,
                        changes = changes.len(),
                        "changes agreed"
                    );
                    return Ok((fleet, outcomes));
                }
                Ok(Vote::Refused { promised }) => overtaken = overtaken.max(Some(promised)),
                _ => {}
            }
        }
        // Some acceptors may have accepted the value: the next round of any proposer may find it or not, so a retry may apply
        // the same changes a second time.
        Err(overtaken.map_or(RoundFailure::NoMajority, RoundFailure::Overtaken))
    }

    /// Queries each of the voters that was not queried before.
    fn query_new_voters(
        self: &Rc<Self>,
        queried: &mut BTreeSet<Voter>,
        voters: BTreeSet<Voter>,
        query: impl Fn(Voter, &Rc<Self>),
    ) {
        for voter in voters {
            if queried.insert(voter) {
                query(voter, self);
            }
        }
    }

    fn request_promise(self: &Rc<Self>, request: Prepare, vote_sender: VoteSender) {
        self.request_vote(
            request.to,
            "prepare",
            request,
            |acceptor_store, request| acceptor_store.prepare(&request),
            vote_sender,
        );
    }

    fn request_accept(self: &Rc<Self>, request: Accept, vote_sender: VoteSender) {
        self.request_vote(
            request.to,
            "accept",
            request,
            AcceptorStore::accept,
            vote_sender,
        );
    }

    /// Requests one vote, from this coordinator's own acceptor or over the connection to a peer. Sends the vote or an error in
    /// bounded time.
    fn request_vote<T: Serialize + 'static>(
        self: &Rc<Self>,
        voter: Voter,
        method: &'static str,
        request: T,
        own_vote: impl FnOnce(&mut AcceptorStore, T) -> Result<Vote, RpcError> + 'static,
        vote_sender: VoteSender,
    ) {
        let this = self.clone();
        tokio::task::spawn_local(async move {
            let vote = if voter == this.acceptor_store.borrow().voter() {
                let vote = own_vote(&mut this.acceptor_store.borrow_mut(), request);
                vote.map_err(|(code, message)| CallError::ErrorReply { code, message })
            } else {
                match this.peer(voter.steward) {
                    Some(peer) => peer.call(method, &request, VOTE_TIMEOUT).await,
                    None => Err(CallError::ErrorReply {
                        code: NOT_VOTING,
                        message: "no address".into(),
                    }),
                }
            };
            this.record_vote(voter, &vote);
            let _ = vote_sender.send((voter, vote));
        });
    }

    fn record_vote(&self, voter: Voter, vote: &Result<Vote, CallError>) {
        match vote {
            Ok(Vote::Promised { writes, .. } | Vote::Accepted { writes, .. }) => {
                self.acceptor_store
                    .borrow_mut()
                    .record_writes(voter, *writes);
            }
            Ok(Vote::Refused { promised }) => self
                .highest_ballot
                .set(self.highest_ballot.get().max(*promised)),
            Err(why) => debug!(%voter, %why, "vote request failed"),
        }
    }
}
