//! Exhaustive message orders between two proposers and the acceptors. Each message may be delayed, duplicated or lost.

use crate::support::{Append, Lines, check_linearizable, stamp, voter, voters};
use saltdrum_fleet::register::{Accepted, Acceptor, Ballot, Config, Round, Voter};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Message {
    Prepare(Ballot),
    Promise(Ballot, Voter, Option<Accepted<Lines>>),
    Accept(Ballot, Lines),
    Accepted(Ballot, Voter),
}

/// A proposer and its current round. Each attempt appends a different line.
#[derive(Clone, Debug, Hash)]
struct Proposer {
    number: u32,
    rounds_left: u8,
    attempts: u32,
    round: Option<Round<Lines>>,
    /// The latest configuration known to the proposer.
    config: Config,
    /// The configuration that the proposer knows to be stored by a quorum.
    confirmed: Option<Config>,
}

#[derive(Clone, Debug, Hash)]
struct State {
    acceptors: BTreeMap<Voter, Acceptor<Lines>>,
    proposers: Vec<Proposer>,
    /// All messages sent so far, with their acceptor; `None`: to a proposer. Each may be delivered again.
    sent: Vec<(Option<Voter>, Message)>,
    appends: Vec<Append>,
    /// How often an acceptor may still lose its disk or go back to an old copy, as a planted fault.
    disk_losses_left: u8,
    has_lost_disk: bool,
    old_disks: BTreeMap<Voter, Acceptor<Lines>>,
    /// The set of coordinators to change to.
    target_voters: Option<BTreeSet<Voter>>,
    steps: u64,
}

impl State {
    fn new(acceptors: impl IntoIterator<Item = u32>, founding: &[u32], rounds: &[u8]) -> Self {
        let config = Config::initial(voters(founding.iter().copied())).unwrap();
        let proposers = rounds.iter().enumerate().map(|(index, rounds)| Proposer {
            number: index as u32 + 1,
            rounds_left: *rounds,
            attempts: 0,
            round: None,
            config: config.clone(),
            confirmed: None,
        });
        State {
            acceptors: acceptors
                .into_iter()
                .map(|number| (voter(number), Acceptor::default()))
                .collect(),
            proposers: proposers.collect(),
            sent: Vec::new(),
            appends: Vec::new(),
            disk_losses_left: 0,
            has_lost_disk: false,
            old_disks: BTreeMap::new(),
            target_voters: None,
            steps: 0,
        }
    }

    fn send(&mut self, to: Option<Voter>, message: Message) {
        if !self.sent.iter().any(|(t, m)| *t == to && *m == message) {
            self.sent.push((to, message));
        }
    }

    /// Abandons the current round of a proposer, as a crash does, and starts another.
    fn start_round(&mut self, index: usize) {
        let highest = self
            .acceptors
            .values()
            .map(|a| a.promised)
            .max()
            .unwrap_or_default();
        let proposer = &mut self.proposers[index];
        let highest = proposer
            .round
            .as_ref()
            .map_or(highest, |r| r.ballot.max(highest));
        (proposer.rounds_left, proposer.attempts) =
            (proposer.rounds_left - 1, proposer.attempts + 1);
        let ballot = Ballot::above(highest, proposer.number, 0);
        let round = Round::new(ballot, proposer.config.clone());
        let targets = round.prepare_targets();
        let line = proposer.number * 10 + proposer.attempts;
        proposer.round = Some(round);
        let started_at = self.steps;
        self.appends.push(Append {
            line,
            started_at,
            completed: None,
        });
        targets
            .into_iter()
            .for_each(|to| self.send(Some(to), Message::Prepare(ballot)));
    }

    fn deliver(&mut self, index: usize) {
        let (to, message) = self.sent[index].clone();
        match message {
            Message::Prepare(ballot) => {
                let to = to.expect("prepares go to acceptors");
                let promise = self
                    .acceptors
                    .get_mut(&to)
                    .unwrap()
                    .prepare(ballot)
                    .map(|a| a.cloned());
                if let Ok(accepted) = promise {
                    self.send(None, Message::Promise(ballot, to, accepted));
                }
            }
            Message::Accept(ballot, value) => {
                let to = to.expect("accepts go to acceptors");
                if self
                    .acceptors
                    .get_mut(&to)
                    .unwrap()
                    .accept(ballot, value)
                    .is_ok()
                {
                    self.send(None, Message::Accepted(ballot, to));
                }
            }
            Message::Promise(ballot, from, accepted) => {
                self.deliver_promise(ballot, from, accepted)
            }
            Message::Accepted(ballot, from) => self.deliver_acceptance(ballot, from),
        }
    }

    fn deliver_promise(&mut self, ballot: Ballot, from: Voter, accepted: Option<Accepted<Lines>>) {
        let target_voters = self.target_voters.clone();
        let Some(proposer) = self
            .proposers
            .iter_mut()
            .find(|p| p.round.as_ref().is_some_and(|r| r.ballot == ballot))
        else {
            return;
        };
        let line = proposer.number * 10 + proposer.attempts;
        let (confirmed, config) = (proposer.confirmed.clone(), proposer.config.clone());
        let round = proposer.round.as_mut().unwrap();
        let targets_before = round.prepare_targets();
        if round.record_promise(&stamp(from), accepted) {
            let mut value = round.read().map_or(
                Lines {
                    config,
                    lines: vec![],
                },
                |a| a.value.clone(),
            );
            value.lines.push(line);
            if value.config.is_changing() && confirmed.as_ref() == Some(&value.config) {
                value.config = value.config.settled().unwrap();
            } else if let Some(target) = target_voters.filter(|t| value.config.voters() != *t)
                && !value.config.is_changing()
            {
                value.config = value.config.changing_to(target).unwrap();
            }
            let targets = round.propose(value.clone());
            targets
                .into_iter()
                .for_each(|to| self.send(Some(to), Message::Accept(ballot, value.clone())));
        } else {
            let new_targets: Vec<Voter> = round
                .prepare_targets()
                .difference(&targets_before)
                .copied()
                .collect();
            new_targets
                .into_iter()
                .for_each(|to| self.send(Some(to), Message::Prepare(ballot)));
        }
    }

    fn deliver_acceptance(&mut self, ballot: Ballot, from: Voter) {
        let steps = self.steps;
        let Some(proposer) = self
            .proposers
            .iter_mut()
            .find(|p| p.round.as_ref().is_some_and(|r| r.ballot == ballot))
        else {
            return;
        };
        if proposer
            .round
            .as_mut()
            .unwrap()
            .record_acceptance(&stamp(from))
        {
            let value = proposer.round.take().unwrap().proposed().unwrap().clone();
            let line = proposer.number * 10 + proposer.attempts;
            (proposer.config, proposer.confirmed) =
                (value.config.clone(), Some(value.config.clone()));
            let append = self.appends.iter_mut().find(|a| a.line == line).unwrap();
            append.completed = Some((steps, value.lines));
        }
    }

    /// Whether delivering a message, now or later, has no effect. States that differ only in such messages are equivalent.
    fn has_no_effect(&self, to: Option<Voter>, message: &Message) -> bool {
        let round = |ballot: &Ballot| {
            self.proposers
                .iter()
                .filter_map(|p| p.round.as_ref())
                .find(|r| r.ballot == *ballot)
        };
        match message {
            Message::Prepare(ballot) => {
                self.acceptors[&to.unwrap()].promised >= *ballot || round(ballot).is_none()
            }
            Message::Accept(ballot, _) => {
                let acceptor = &self.acceptors[&to.unwrap()];
                acceptor.promised > *ballot
                    || acceptor
                        .accepted
                        .as_ref()
                        .is_some_and(|a| a.ballot == *ballot)
            }
            Message::Promise(ballot, voter, _) => round(ballot)
                .is_none_or(|r| r.proposed().is_some() || r.promised_voters().contains(voter)),
            Message::Accepted(ballot, voter) => {
                round(ballot).is_none_or(|r| r.accepted_voters().contains(voter))
            }
        }
    }

    fn drop_messages_without_effect(&mut self) {
        let sent = std::mem::take(&mut self.sent);
        self.sent = sent
            .into_iter()
            .filter(|(to, m)| !self.has_no_effect(*to, m))
            .collect();
    }

    /// All states that one step can lead to.
    fn successors(&self) -> Vec<State> {
        let mut all = Vec::new();
        let mut step = |change: &dyn Fn(&mut State)| {
            let mut state = self.clone();
            state.steps += 1;
            change(&mut state);
            if state.disk_losses_left == 0 && state.old_disks.is_empty() && !state.has_lost_disk {
                state.drop_messages_without_effect();
            }
            all.push(state);
        };
        for index in
            (0..self.proposers.len()).filter(|index| self.proposers[*index].rounds_left > 0)
        {
            step(&|state| state.start_round(index));
        }
        for index in 0..self.sent.len() {
            step(&|state| state.deliver(index));
        }
        if self.disk_losses_left > 0 {
            for voter in self.acceptors.keys().copied() {
                step(&|state| {
                    (state.disk_losses_left, state.has_lost_disk) =
                        (state.disk_losses_left - 1, true);
                    let old_disk = state.old_disks.get(&voter).cloned().unwrap_or_default();
                    state.acceptors.insert(voter, old_disk);
                });
            }
        }
        all
    }

    /// A hash of all that affects the checked result: the state without the step count, and the order of the appends.
    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        let results: Vec<_> = self
            .appends
            .iter()
            .map(|a| (a.line, a.completed.as_ref().map(|c| &c.1)))
            .collect();
        let mut sent: Vec<u64> = self
            .sent
            .iter()
            .map(|m| {
                let mut message_hasher = DefaultHasher::new();
                m.hash(&mut message_hasher);
                message_hasher.finish()
            })
            .collect();
        sent.sort_unstable();
        // Pairs of appends of which the first completed before the second started.
        let ordered_pairs: Vec<(u32, u32)> = self
            .appends
            .iter()
            .flat_map(|a| self.appends.iter().map(move |b| (a, b)))
            .filter(|(a, b)| a.completed.as_ref().is_some_and(|c| c.0 < b.started_at))
            .map(|(a, b)| (a.line, b.line))
            .collect();
        (
            &self.acceptors,
            &self.proposers,
            sent,
            results,
            ordered_pairs,
            self.disk_losses_left,
        )
            .hash(&mut hasher);
        hasher.finish()
    }
}

/// Explores all reachable states, at most `max_states`. Returns their number, or the first violation.
fn explore(initial: State, max_states: usize) -> Result<usize, String> {
    let (mut known, mut unexplored) = (BTreeSet::from([initial.digest()]), vec![initial]);
    while let Some(state) = unexplored.pop() {
        for next in state.successors() {
            if known.len() >= max_states || !known.insert(next.digest()) {
                continue;
            }
            if let Err(error) = check_linearizable(&next.appends) {
                return Err(format!("{error}: {:?}", next.appends));
            }
            unexplored.push(next);
        }
    }
    assert!(
        known.len() < max_states,
        "the state space exceeds {max_states} states"
    );
    Ok(known.len())
}

#[test]
fn linearizable_with_two_proposers_and_three_acceptors_in_every_message_order() {
    let states = explore(State::new(1..=3, &[1, 2, 3], &[1, 1]), 3_000_000).unwrap();
    assert!(states > 10_000, "{states} states");
    println!("{states} states");
}

#[test]
fn linearizable_with_retrying_proposers_and_one_acceptor_in_every_message_order() {
    let states = explore(State::new([1], &[1], &[3, 2]), 3_000_000).unwrap();
    assert!(states > 1_000, "{states} states");
    println!("{states} states");
}

/// The smallest change between disjoint sets of coordinators: from one to another.
#[test]
fn linearizable_during_coordinator_change_in_every_message_order() {
    let mut state = State::new([1, 2], &[1], &[2, 2]);
    state.target_voters = Some(voters([2]));
    let states = explore(state, 3_000_000).unwrap();
    assert!(states > 1_000, "{states} states");
    println!("{states} states");
}
