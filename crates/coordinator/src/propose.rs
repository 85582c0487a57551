//! The proposing side: changes that wait together go in one round. A round that another overtook is retried; the outcome of
//! one that nobody answered is unknown, and whoever asked is told so.

use crate::acceptor_store::AcceptorStore;
use crate::coordinator::{Coordinator, PendingProposal, Told};
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

/// Pending changes beyond this are refused at once.
const PENDING_MOST: usize = 10_000;
/// Of one message and its answer.
const VOTE_TIMEOUT: Ticks = 700 * MILLISECOND;
/// Rounds in which a batch is tried.
const ROUNDS_MOST: u32 = 12;

type Votes = mpsc::UnboundedSender<(Voter, Result<Vote, CallError>)>;

/// How a round ended that changed nothing, as far as is known.
enum Lost {
    /// A higher round was promised.
    Overtaken(Ballot),
    /// No majority answered.
    Unanswered,
}

impl Coordinator {
    /// Proposes a change and waits for its outcome.
    pub(crate) async fn change(&self, change: Change) -> Told {
        let (to, told) = oneshot::channel();
        {
            let mut waiting = self.waiting.borrow_mut();
            if waiting.len() >= PENDING_MOST {
                return Err((
                    REFUSED,
                    "too many changes wait: come back in a second".into(),
                ));
            }
            waiting.push(PendingProposal { change, to });
        }
        self.asked.notify_one();
        told.await
            .unwrap_or_else(|_| Err((OUTCOME_UNKNOWN, "the steward is ending".into())))
    }

    /// Proposes one batch after another, for as long as it is polled.
    pub(crate) async fn propose(self: Rc<Self>) {
        loop {
            self.asked.notified().await;
            // Those who ask in the same turn come along.
            tokio::task::yield_now().await;
            let batch = std::mem::take(&mut *self.waiting.borrow_mut());
            if !batch.is_empty() {
                self.batch(batch).await;
            }
        }
    }

    /// Proposes a batch until it is agreed, and tells those who wait.
    async fn batch(self: &Rc<Self>, batch: Vec<PendingProposal>) {
        let mut last = "no majority answered";
        for tries in 0..ROUNDS_MOST {
            if self.acceptor_store.borrow().is_returning() {
                let told = "this steward is returning and does not propose yet";
                for w in batch {
                    let _ = w.to.send(Err((NOT_VOTING, told.into())));
                }
                return;
            }
            let changes: Vec<&Change> = batch.iter().map(|w| &w.change).collect();
            match self.round(&changes).await {
                Ok((fleet, told)) => {
                    for (w, told) in batch.into_iter().zip(told) {
                        let told = told.map(|done| (done, fleet.revision));
                        // Whoever has hung up is not told; the change stands.
                        let _ = w.to.send(told.map_err(|r| (REFUSED, r.to_string())));
                    }
                    return;
                }
                Err(Lost::Overtaken(by)) => {
                    self.highest.set(self.highest.get().max(by));
                    last = "others changed it all the while";
                    let most = (4u64 << tries.min(6)).min(200);
                    let wait = 1 + self.rng.borrow_mut().u64(..most);
                    tokio::time::sleep(Duration::from_millis(wait)).await;
                }
                Err(Lost::Unanswered) => {
                    last = "no majority answered";
                    if tries >= 2 {
                        break;
                    }
                }
            }
        }
        for w in batch {
            let told = format!("whether it was done is not known: {last}; ask again");
            let _ = w.to.send(Err((OUTCOME_UNKNOWN, told)));
        }
    }

    /// One round: reads the value, applies the changes, puts the result. Returns the value and the outcome of each change.
    async fn round(
        self: &Rc<Self>,
        changes: &[&Change],
    ) -> Result<
        (
            Rc<Fleet>,
            Vec<Result<ChangeOutcome, saltdrum_fleet::Refusal>>,
        ),
        Lost,
    > {
        // What it says it has is kept for the whole round: its own acceptor may have another value by the time of an answer.
        let (me, config, mine) = {
            let acceptor_store = self.acceptor_store.borrow();
            self.highest
                .set(self.highest.get().max(acceptor_store.promised()));
            let mine = acceptor_store
                .accepted()
                .map(|(b, fleet)| (b, fleet.clone()));
            (
                acceptor_store.me(),
                acceptor_store.config(&self.config.initial_fleet.config),
                mine,
            )
        };
        let have = mine.as_ref().map_or(Ballot::default(), |m| m.0);
        let ballot = Ballot::above(self.highest.get(), me.steward, self.config.incarnation);
        self.highest.set(ballot);
        let mut round: Round<Fleet> = Round::new(ballot, config);
        let (to, mut votes) = mpsc::unbounded_channel();
        let mut asked = BTreeSet::new();
        self.ask_all(&mut asked, round.prepare_targets(), |voter, this| {
            this.ask_promise(
                Prepare {
                    to: voter,
                    ballot,
                    known_ballot: have,
                },
                to.clone(),
            );
        });
        let (mut silent, mut overtaken) = (BTreeSet::new(), None);
        while !round.is_read() {
            // Each that was asked answers, or is told to have not, in bounded time.
            let Some((from, vote)) = votes.recv().await else {
                return Err(Lost::Unanswered);
            };
            match vote {
                Ok(Vote::Promised {
                    accepted,
                    value,
                    stamp: mark,
                    ..
                }) => {
                    let known = || {
                        mine.as_ref()
                            .filter(|m| Some(m.0) == accepted)
                            .map(|m| m.1.clone())
                    };
                    let value = value.map(|v| *v).or_else(known);
                    if accepted.is_some() != value.is_some() {
                        // A value that is named and not told would read as none, and be overwritten.
                        silent.insert(from);
                    } else {
                        let accepted = accepted
                            .zip(value)
                            .map(|(ballot, value)| Accepted { ballot, value });
                        round.record_promise(&mark, accepted);
                    }
                    self.ask_all(&mut asked, round.prepare_targets(), |voter, this| {
                        this.ask_promise(
                            Prepare {
                                to: voter,
                                ballot,
                                known_ballot: have,
                            },
                            to.clone(),
                        );
                    });
                }
                Ok(Vote::Refused { promised }) => {
                    overtaken = overtaken.max(Some(promised));
                    silent.insert(from);
                }
                _ => drop(silent.insert(from)),
            }
            if !round.is_read() && round.promised_voters().len() + silent.len() >= asked.len() {
                return Err(overtaken.map_or(Lost::Unanswered, Lost::Overtaken));
            }
        }
        let mut fleet = round
            .read()
            .map_or_else(|| self.config.initial_fleet.clone(), |a| a.value.clone());
        let told: Vec<_> = changes.iter().map(|c| fleet.apply(c)).collect();
        let fleet = Rc::new(fleet);
        let to_accept = round.propose((*fleet).clone());
        let (to, mut votes) = mpsc::unbounded_channel();
        let value = Rc::new(Box::new((*fleet).clone()));
        let mut asked = BTreeSet::new();
        self.ask_all(&mut asked, to_accept, |voter, this| {
            this.ask_accept(
                Accept {
                    to: voter,
                    ballot,
                    value: (*value).clone(),
                },
                to.clone(),
            );
        });
        drop(to);
        let mut overtaken = None;
        while let Some((_, vote)) = votes.recv().await {
            match vote {
                Ok(Vote::Accepted { stamp: mark, .. }) if round.record_acceptance(&mark) => {
                    self.decided(ballot, fleet.clone());
                    debug!(revision = fleet.revision, changes = changes.len(), "agreed");
                    return Ok((fleet, told));
                }
                Ok(Vote::Refused { promised }) => overtaken = overtaken.max(Some(promised)),
                _ => {}
            }
        }
        // Some may have accepted it: the next round, whoever's, finds it or not. Changes may come twice.
        Err(overtaken.map_or(Lost::Unanswered, Lost::Overtaken))
    }

    fn ask_all(
        self: &Rc<Self>,
        asked: &mut BTreeSet<Voter>,
        all: BTreeSet<Voter>,
        ask: impl Fn(Voter, &Rc<Self>),
    ) {
        for voter in all {
            if asked.insert(voter) {
                ask(voter, self);
            }
        }
    }

    fn ask_promise(self: &Rc<Self>, asked: Prepare, to: Votes) {
        self.ask_vote(
            asked.to,
            "prepare",
            asked,
            |acceptor_store, asked| acceptor_store.prepare(&asked),
            to,
        );
    }

    fn ask_accept(self: &Rc<Self>, asked: Accept, to: Votes) {
        self.ask_vote(asked.to, "accept", asked, AcceptorStore::accept, to);
    }

    /// One vote, of this coordinator itself or over its connection; it comes, or an error, in bounded time.
    fn ask_vote<T: Serialize + 'static>(
        self: &Rc<Self>,
        voter: Voter,
        method: &'static str,
        asked: T,
        own: impl FnOnce(&mut AcceptorStore, T) -> Result<Vote, RpcError> + 'static,
        to: Votes,
    ) {
        let this = self.clone();
        tokio::task::spawn_local(async move {
            let vote = if voter == this.acceptor_store.borrow().me() {
                let vote = own(&mut this.acceptor_store.borrow_mut(), asked);
                vote.map_err(|(code, message)| CallError::ErrorReply { code, message })
            } else {
                match this.peer(voter.steward) {
                    Some(peer) => peer.call(method, &asked, VOTE_TIMEOUT).await,
                    None => Err(CallError::ErrorReply {
                        code: NOT_VOTING,
                        message: "no address".into(),
                    }),
                }
            };
            this.hear_vote(voter, &vote);
            let _ = to.send((voter, vote));
        });
    }

    fn hear_vote(&self, voter: Voter, vote: &Result<Vote, CallError>) {
        match vote {
            Ok(Vote::Promised { writes, .. } | Vote::Accepted { writes, .. }) => {
                self.acceptor_store.borrow_mut().hear_writes(voter, *writes);
            }
            Ok(Vote::Refused { promised }) => self.highest.set(self.highest.get().max(*promised)),
            Err(why) => debug!(%voter, %why, "no vote"),
        }
    }
}
