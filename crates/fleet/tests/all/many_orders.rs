//! Random message orders of configurations too large to explore exhaustively: five coordinators, three proposers, changes of
//! coordinators, old disks. A failing seed is printed; the seed alone reproduces the run.

use crate::support::{Append, Lines, check_linearizable, voter, voters};
use saltdrum_fleet::recovery::{RecoveringVoter, RecoveryReply, Verdict};
use saltdrum_fleet::register::{Acceptor, Ballot, Config, Round, Value, Voter, VoterStamp};
use std::collections::BTreeMap;

/// A planted fault.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PlantedFault {
    None,
    /// A proposer settles a change of coordinators without knowing that a quorum stores it.
    SettlesTooEarly,
    /// A coordinator votes from an old copy of its disk without recovery.
    VotesFromOldDisk,
}

enum Message {
    Prepare(Voter, usize, Ballot),
    Promise(
        VoterStamp,
        usize,
        Ballot,
        Option<saltdrum_fleet::register::Accepted<Lines>>,
    ),
    Accept(Voter, usize, Ballot, Lines),
    Accepted(VoterStamp, usize, Ballot),
}

struct Proposer {
    config: Config,
    round: Option<(Round<Lines>, u32)>,
    highest: Ballot,
    confirmed: Option<Config>,
}

struct Coordinator {
    acceptor: Acceptor<Lines>,
    /// An old copy of the state.
    copy: Acceptor<Lines>,
    is_recovering: bool,
}

struct Simulation {
    rng: fastrand::Rng,
    fault: PlantedFault,
    initial_config: Config,
    coordinators: BTreeMap<Voter, Coordinator>,
    proposers: Vec<Proposer>,
    messages: Vec<Message>,
    appends: Vec<Append>,
    step: u64,
}

const COORDINATOR_SETS: [&[u32]; 4] = [&[1, 2, 3], &[1, 2, 3, 4, 5], &[3, 4, 5], &[1, 4, 5]];

impl Simulation {
    fn new(seed: u64, fault: PlantedFault) -> Self {
        let initial_config = Config::initial(voters([1, 2, 3])).unwrap();
        let coordinator = || Coordinator {
            acceptor: Acceptor::default(),
            copy: Acceptor::default(),
            is_recovering: false,
        };
        let proposer = || Proposer {
            config: initial_config.clone(),
            round: None,
            highest: Ballot::default(),
            confirmed: None,
        };
        Self {
            rng: fastrand::Rng::with_seed(seed),
            fault,
            coordinators: (1..=5)
                .map(|number| (voter(number), coordinator()))
                .collect(),
            proposers: (0..3).map(|_| proposer()).collect(),
            initial_config,
            messages: Vec::new(),
            appends: Vec::new(),
            step: 0,
        }
    }

    /// Starts a round of a proposer; a round in progress is abandoned.
    fn start_round(&mut self, proposer_index: usize) {
        let line = self.appends.len() as u32 + 1;
        let proposer = &mut self.proposers[proposer_index];
        let ballot = Ballot::above(proposer.highest, proposer_index as u32 + 1, 0);
        proposer.highest = ballot;
        let round = Round::new(ballot, proposer.config.clone());
        let targets = round.prepare_targets();
        proposer.round = Some((round, line));
        self.appends.push(Append {
            line,
            started_at: self.step,
            completed: None,
        });
        self.messages.extend(
            targets
                .into_iter()
                .map(|voter| Message::Prepare(voter, proposer_index, ballot)),
        );
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Prepare(voter, proposer, ballot) => {
                let coordinator = self.coordinators.get_mut(&voter).unwrap();
                if coordinator.is_recovering {
                    return;
                }
                match coordinator.acceptor.prepare(ballot) {
                    Ok(accepted) => {
                        let accepted = accepted.cloned();
                        let stamp = coordinator.acceptor.stamp(voter);
                        self.messages
                            .push(Message::Promise(stamp, proposer, ballot, accepted));
                    }
                    Err(promised) => {
                        self.proposers[proposer].highest =
                            self.proposers[proposer].highest.max(promised);
                    }
                }
            }
            Message::Accept(voter, proposer, ballot, value) => {
                let coordinator = self.coordinators.get_mut(&voter).unwrap();
                if !coordinator.is_recovering && coordinator.acceptor.accept(ballot, value).is_ok()
                {
                    self.messages.push(Message::Accepted(
                        coordinator.acceptor.stamp(voter),
                        proposer,
                        ballot,
                    ));
                }
            }
            Message::Promise(stamp, proposer_index, ballot, accepted) => {
                let Some((round, line)) = &mut self.proposers[proposer_index].round else {
                    return;
                };
                if round.ballot != ballot || round.proposed().is_some() {
                    return;
                }
                let targets_before = round.prepare_targets();
                if !round.record_promise(&stamp, accepted) {
                    let new_targets: Vec<Voter> = round
                        .prepare_targets()
                        .difference(&targets_before)
                        .copied()
                        .collect();
                    self.messages.extend(
                        new_targets
                            .into_iter()
                            .map(|voter| Message::Prepare(voter, proposer_index, ballot)),
                    );
                    return;
                }
                let empty = || Lines {
                    config: self.initial_config.clone(),
                    lines: Vec::new(),
                };
                let mut value = round.read().map_or_else(empty, |a| a.value.clone());
                value.lines.push(*line);
                if value.config.is_changing() {
                    let is_confirmed =
                        self.proposers[proposer_index].confirmed.as_ref() == Some(&value.config);
                    if is_confirmed || self.fault == PlantedFault::SettlesTooEarly {
                        value.config = value.config.settled().unwrap();
                    }
                } else if self.rng.u8(..4) == 0 {
                    let next = voters(
                        COORDINATOR_SETS[self.rng.usize(..COORDINATOR_SETS.len())]
                            .iter()
                            .copied(),
                    );
                    value.config = value.config.changing_to(next).unwrap();
                }
                let targets = self.proposers[proposer_index]
                    .round
                    .as_mut()
                    .unwrap()
                    .0
                    .propose(value.clone());
                self.messages.extend(
                    targets
                        .into_iter()
                        .map(|voter| Message::Accept(voter, proposer_index, ballot, value.clone())),
                );
            }
            Message::Accepted(stamp, proposer_index, ballot) => {
                let Some((round, line)) = &mut self.proposers[proposer_index].round else {
                    return;
                };
                if round.ballot == ballot && round.record_acceptance(&stamp) {
                    let (value, line) = (round.proposed().unwrap().clone(), *line);
                    let proposer = &mut self.proposers[proposer_index];
                    proposer.round = None;
                    proposer.config = value.config().clone();
                    proposer.confirmed = Some(value.config().clone());
                    let append = self.appends.iter_mut().find(|a| a.line == line).unwrap();
                    append.completed = Some((self.step, value.lines));
                }
            }
        }
    }

    /// Restarts a coordinator from its disk, or from an old copy of it. It then has to recover.
    fn restart(&mut self, voter: Voter) {
        let from_old_copy = self.rng.bool() && !self.coordinators.values().any(|c| c.is_recovering);
        let coordinator = self.coordinators.get_mut(&voter).unwrap();
        if from_old_copy {
            coordinator.acceptor = coordinator.copy.clone();
        }
        coordinator.is_recovering = self.fault != PlantedFault::VotesFromOldDisk;
        // Messages in flight to the former process are lost.
        self.messages.retain(
            |m| !matches!(m, Message::Prepare(to, ..) | Message::Accept(to, ..) if *to == voter),
        );
    }

    /// Runs the recovery of a restarted coordinator, and lets it vote if the replies suffice.
    fn recover(&mut self, voter: Voter) {
        let own = self.coordinators[&voter].acceptor.clone();
        // Without write counts, so that recovery relies on the state of the other coordinators alone.
        let mut recovering = RecoveringVoter::new(
            voter,
            Acceptor { writes: 0, ..own },
            self.initial_config.clone(),
        );
        // Requests and replies may be lost. A repeated request finds its incarnation already recorded, and takes the next one.
        for _ in 0..3 {
            for (other, peer) in self
                .coordinators
                .iter_mut()
                .filter(|(other, _)| **other != voter)
            {
                if self.rng.u8(..4) == 0 {
                    continue;
                }
                let previous_incarnation = peer
                    .acceptor
                    .record_incarnation(voter, recovering.incarnation());
                let acceptor = peer.acceptor.clone();
                if self.rng.u8(..6) > 0 {
                    let reply = RecoveryReply {
                        is_recovering: peer.is_recovering,
                        acceptor,
                        previous_incarnation,
                        known_writes: 0,
                    };
                    recovering.record_reply(*other, reply);
                }
            }
        }
        if recovering.verdict() == Verdict::Vote {
            let coordinator = self.coordinators.get_mut(&voter).unwrap();
            coordinator.acceptor = recovering.adopt();
            coordinator.is_recovering = false;
        }
    }

    fn run(&mut self, steps: u64) -> Result<usize, String> {
        while self.step < steps {
            self.step += 1;
            let voters: Vec<Voter> = self.coordinators.keys().copied().collect();
            let chosen = voters[self.rng.usize(..voters.len())];
            match self.rng.u8(..100) {
                0..8 => {
                    let proposer_index = self.rng.usize(..self.proposers.len());
                    self.start_round(proposer_index);
                }
                8 => {
                    let coordinator = self.coordinators.get_mut(&chosen).unwrap();
                    coordinator.copy = coordinator.acceptor.clone();
                }
                // At most one disk is old at a time: with two of three old, the loss could not be detected.
                9 if !self.coordinators.values().any(|c| c.is_recovering) => self.restart(chosen),
                10..14 => {
                    if let Some(voter) = voters.iter().find(|v| self.coordinators[v].is_recovering)
                    {
                        self.recover(*voter);
                    }
                }
                14..20 if !self.messages.is_empty() => {
                    let index = self.rng.usize(..self.messages.len());
                    self.messages.swap_remove(index);
                }
                _ if !self.messages.is_empty() => {
                    let index = self.rng.usize(..self.messages.len());
                    let message = self.messages.swap_remove(index);
                    self.deliver(message);
                }
                _ => {}
            }
            if self.messages.len() > 60 {
                self.messages.drain(..20);
            }
        }
        check_linearizable(&self.appends)?;
        Ok(self
            .appends
            .iter()
            .filter(|a| a.completed.is_some())
            .count())
    }
}

/// Runs all seeds. Returns the number of completed appends, or the first violation.
fn run_seeds(fault: PlantedFault, seeds: u64) -> Result<usize, String> {
    let mut completed = 0;
    for seed in 0..seeds {
        completed += Simulation::new(seed, fault)
            .run(1_500)
            .map_err(|error| format!("seed {seed}: {error}"))?;
    }
    Ok(completed)
}

#[test]
fn linearizable_in_random_orders_with_coordinator_changes_and_old_disks() {
    let completed = run_seeds(PlantedFault::None, 3_000).unwrap();
    assert!(
        completed > 9_000,
        "only {completed} appends completed: too few for the check"
    );
    println!("{completed} appends");
}

#[test]
fn detects_coordinator_change_settled_too_early() {
    assert!(run_seeds(PlantedFault::SettlesTooEarly, 20_000).is_err());
}

#[test]
fn detects_coordinator_voting_from_old_disk() {
    assert!(run_seeds(PlantedFault::VotesFromOldDisk, 20_000).is_err());
}
