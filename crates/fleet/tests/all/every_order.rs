//! Every order in which two proposers' messages can reach the acceptors and come back, each message late, twice or never.

use crate::support::{Lines, ProposedLine, linearizable, mark, voter, voters};
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

/// One proposer's tries, each with a line of its own.
#[derive(Clone, Debug, Hash)]
struct Proposer {
    steward: u32,
    rounds_left: u8,
    tries: u32,
    round: Option<Round<Lines>>,
    /// What it last knew of the stewards.
    config: Config,
    /// It has itself seen this config held by a quorum.
    proven: Option<Config>,
}

#[derive(Clone, Debug, Hash)]
struct World {
    acceptors: BTreeMap<Voter, Acceptor<Lines>>,
    proposers: Vec<Proposer>,
    /// All that was ever sent, and to whom; anything may come again.
    sent: Vec<(Option<Voter>, Message)>,
    seen: Vec<ProposedLine>,
    /// So many times a disk may be lost or turned back; for planted wrong-doers.
    forgets: u8,
    forgot: bool,
    old: BTreeMap<Voter, Acceptor<Lines>>,
    /// Where the stewards are to change to.
    next: Option<BTreeSet<Voter>>,
    steps: u64,
}

impl World {
    fn new(acceptors: impl IntoIterator<Item = u32>, founding: &[u32], rounds: &[u8]) -> Self {
        let config = Config::initial(voters(founding.iter().copied())).unwrap();
        let proposers = rounds.iter().enumerate().map(|(n, rounds)| Proposer {
            steward: n as u32 + 1,
            rounds_left: *rounds,
            tries: 0,
            round: None,
            config: config.clone(),
            proven: None,
        });
        World {
            acceptors: acceptors
                .into_iter()
                .map(|a| (voter(a), Acceptor::default()))
                .collect(),
            proposers: proposers.collect(),
            sent: Vec::new(),
            seen: Vec::new(),
            forgets: 0,
            forgot: false,
            old: BTreeMap::new(),
            next: None,
            steps: 0,
        }
    }

    fn send(&mut self, to: Option<Voter>, message: Message) {
        if !self.sent.iter().any(|(t, m)| *t == to && *m == message) {
            self.sent.push((to, message));
        }
    }

    /// Gives up whatever it did, as one does that is killed, and begins anew.
    fn begin(&mut self, p: usize) {
        let highest = self
            .acceptors
            .values()
            .map(|a| a.promised)
            .max()
            .unwrap_or_default();
        let p = &mut self.proposers[p];
        let below = p.round.as_ref().map_or(highest, |r| r.ballot.max(highest));
        (p.rounds_left, p.tries) = (p.rounds_left - 1, p.tries + 1);
        let ballot = Ballot::above(below, p.steward, 0);
        let round = Round::new(ballot, p.config.clone());
        let (asks, line) = (round.prepare_targets(), p.steward * 10 + p.tries);
        p.round = Some(round);
        let begun = self.steps;
        self.seen.push(ProposedLine {
            line,
            begun,
            told: None,
        });
        asks.into_iter()
            .for_each(|to| self.send(Some(to), Message::Prepare(ballot)));
    }

    fn deliver(&mut self, at: usize) {
        let (to, message) = self.sent[at].clone();
        match message {
            Message::Prepare(ballot) => {
                let to = to.expect("prepares go to acceptors");
                let told = self
                    .acceptors
                    .get_mut(&to)
                    .unwrap()
                    .prepare(ballot)
                    .map(|a| a.cloned());
                if let Ok(accepted) = told {
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
            Message::Promise(ballot, from, accepted) => self.promised(ballot, from, accepted),
            Message::Accepted(ballot, from) => self.accepted(ballot, from),
        }
    }

    fn promised(&mut self, ballot: Ballot, from: Voter, accepted: Option<Accepted<Lines>>) {
        let next = self.next.clone();
        let Some(p) = self
            .proposers
            .iter_mut()
            .find(|p| p.round.as_ref().is_some_and(|r| r.ballot == ballot))
        else {
            return;
        };
        let line = p.steward * 10 + p.tries;
        let (proven, founding) = (p.proven.clone(), p.config.clone());
        let round = p.round.as_mut().unwrap();
        let before = round.prepare_targets();
        if round.record_promise(&mark(from), accepted) {
            let mut value = round.read().map_or(
                Lines {
                    config: founding,
                    lines: vec![],
                },
                |a| a.value.clone(),
            );
            value.lines.push(line);
            if value.config.is_changing() && proven.as_ref() == Some(&value.config) {
                value.config = value.config.settled().unwrap();
            } else if let Some(next) = next.filter(|n| value.config.voters() != *n)
                && !value.config.is_changing()
            {
                value.config = value.config.changing_to(next).unwrap();
            }
            let to = round.propose(value.clone());
            to.into_iter()
                .for_each(|to| self.send(Some(to), Message::Accept(ballot, value.clone())));
        } else {
            let more: Vec<Voter> = round
                .prepare_targets()
                .difference(&before)
                .copied()
                .collect();
            more.into_iter()
                .for_each(|to| self.send(Some(to), Message::Prepare(ballot)));
        }
    }

    fn accepted(&mut self, ballot: Ballot, from: Voter) {
        let steps = self.steps;
        let Some(p) = self
            .proposers
            .iter_mut()
            .find(|p| p.round.as_ref().is_some_and(|r| r.ballot == ballot))
        else {
            return;
        };
        if p.round.as_mut().unwrap().record_acceptance(&mark(from)) {
            let value = p.round.take().unwrap().proposed().unwrap().clone();
            let line = p.steward * 10 + p.tries;
            (p.config, p.proven) = (value.config.clone(), Some(value.config.clone()));
            let seen = self.seen.iter_mut().find(|s| s.line == line).unwrap();
            seen.told = Some((steps, value.lines));
        }
    }

    /// Whether a message that comes now, or again, changes nothing for good: worlds that differ in such alone are one.
    fn is_dead(&self, to: Option<Voter>, message: &Message) -> bool {
        let round = |ballot: &Ballot| {
            self.proposers
                .iter()
                .filter_map(|p| p.round.as_ref())
                .find(|r| r.ballot == *ballot)
        };
        match message {
            Message::Prepare(b) => {
                self.acceptors[&to.unwrap()].promised >= *b || round(b).is_none()
            }
            Message::Accept(b, _) => {
                let a = &self.acceptors[&to.unwrap()];
                a.promised > *b || a.accepted.as_ref().is_some_and(|a| a.ballot == *b)
            }
            Message::Promise(b, v, _) => {
                round(b).is_none_or(|r| r.proposed().is_some() || r.promised_voters().contains(v))
            }
            Message::Accepted(b, v) => round(b).is_none_or(|r| r.accepted_voters().contains(v)),
        }
    }

    fn bury(&mut self) {
        let sent = std::mem::take(&mut self.sent);
        self.sent = sent
            .into_iter()
            .filter(|(to, m)| !self.is_dead(*to, m))
            .collect();
    }

    /// What could happen next, each as the world after it.
    fn nexts(&self) -> Vec<World> {
        let mut all = Vec::new();
        let mut step = |change: &dyn Fn(&mut World)| {
            let mut world = self.clone();
            world.steps += 1;
            change(&mut world);
            if world.forgets == 0 && world.old.is_empty() && !world.forgot {
                world.bury();
            }
            all.push(world);
        };
        for p in (0..self.proposers.len()).filter(|p| self.proposers[*p].rounds_left > 0) {
            step(&|w| w.begin(p));
        }
        for at in 0..self.sent.len() {
            step(&|w| w.deliver(at));
        }
        if self.forgets > 0 {
            for voter in self.acceptors.keys().copied() {
                step(&|w| {
                    (w.forgets, w.forgot) = (w.forgets - 1, true);
                    let old = w.old.get(&voter).cloned().unwrap_or_default();
                    w.acceptors.insert(voter, old);
                });
            }
        }
        all
    }

    /// All but the count of steps, and with what was told when, as that is what is judged.
    fn key(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        let order: Vec<_> = self
            .seen
            .iter()
            .map(|s| (s.line, s.told.as_ref().map(|t| &t.1)))
            .collect();
        let mut sent: Vec<u64> = self
            .sent
            .iter()
            .map(|m| {
                let mut h = DefaultHasher::new();
                m.hash(&mut h);
                h.finish()
            })
            .collect();
        sent.sort_unstable();
        // Which ended before which began.
        let before: Vec<(u32, u32)> = self
            .seen
            .iter()
            .flat_map(|a| self.seen.iter().map(move |b| (a, b)))
            .filter(|(a, b)| a.told.as_ref().is_some_and(|t| t.0 < b.begun))
            .map(|(a, b)| (a.line, b.line))
            .collect();
        (
            &self.acceptors,
            &self.proposers,
            sent,
            order,
            before,
            self.forgets,
        )
            .hash(&mut hasher);
        hasher.finish()
    }
}

/// Plays every order, as far as `most` different worlds; gives how many there were, or the first that is wrong.
fn explore(world: World, most: usize) -> Result<usize, String> {
    let (mut known, mut open) = (BTreeSet::from([world.key()]), vec![world]);
    while let Some(world) = open.pop() {
        for next in world.nexts() {
            if known.len() >= most || !known.insert(next.key()) {
                continue;
            }
            if let Err(why) = linearizable(&next.seen) {
                return Err(format!("{why}: {:?}", next.seen));
            }
            open.push(next);
        }
    }
    assert!(
        known.len() < most,
        "more than {most} worlds: it is no small case any more"
    );
    Ok(known.len())
}

#[test]
fn two_proposers_and_three_acceptors_in_every_order() {
    let worlds = explore(World::new(1..=3, &[1, 2, 3], &[1, 1]), 3_000_000).unwrap();
    assert!(worlds > 10_000, "{worlds} worlds");
    println!("{worlds} worlds");
}

#[test]
fn a_proposer_that_tries_again_beside_another_in_every_order_at_one_acceptor() {
    let worlds = explore(World::new([1], &[1], &[3, 2]), 3_000_000).unwrap();
    assert!(worlds > 1_000, "{worlds} worlds");
    println!("{worlds} worlds");
}

/// The smallest change without a steward in common: from one to another.
#[test]
fn stewards_change_in_every_order() {
    let mut world = World::new([1, 2], &[1], &[2, 2]);
    world.next = Some(voters([2]));
    let worlds = explore(world, 3_000_000).unwrap();
    assert!(worlds > 1_000, "{worlds} worlds");
    println!("{worlds} worlds");
}
