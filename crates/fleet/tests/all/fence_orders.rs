//! Exhaustive orders of handovers between two members, seals, effects and restarts of two resources. Messages may be delayed,
//! duplicated or lost, and resources may restart with an old copy of their disk. Only the effects are checked: none is
//! accepted with an earlier epoch than one accepted before, at any resource.

use saltdrum_fleet::fence::{Fence, HolderFence, SealStep, Token};
use saltdrum_fleet::state::{Epoch, LeaseName};
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};

const RESOURCES: [&str; 2] = ["store", "ledger"];

/// A planted fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum PlantedFault {
    None,
    /// A holder makes effects before all resources are sealed.
    ActsBeforeAllSeals,
    /// A resource does not have its first seal confirmed by a quorum.
    SkipsConfirmation,
    /// A resource accepts effects of any epoch.
    IgnoresEpoch,
    /// A coordinator grants the lease without a quorum: the other member receives an epoch that is already granted.
    GrantsWithoutQuorum,
    /// Epochs start again from 1, as if all members that knew them had been lost.
    ReusesEpochs,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Granted {
        member: usize,
        epoch: Epoch,
    },
    Seal {
        member: usize,
        epoch: Epoch,
        resource: usize,
    },
    /// A quorum confirmed that the epoch was the current one of the lease.
    Confirmed {
        member: usize,
        epoch: Epoch,
        resource: usize,
        incarnation: u64,
    },
    Sealed {
        member: usize,
        epoch: Epoch,
        resource: usize,
        incarnation: u64,
    },
    Effect {
        member: usize,
        epoch: Epoch,
        resource: usize,
        incarnation: u64,
    },
}

#[derive(Clone, Debug, Hash)]
struct Resource {
    fence: Fence,
    /// Epochs that its disk had earlier.
    old_epochs: BTreeSet<Epoch>,
}

/// An accepted effect: its epoch and its member.
type Accepted = (Epoch, usize);

#[derive(Clone, Debug, Hash)]
struct State {
    /// The member and epoch of each grant, in order, as a quorum stores them.
    granted: Vec<(usize, Epoch)>,
    holders: [Option<HolderFence>; 2],
    resources: [Resource; 2],
    /// All messages sent so far. Each may be delivered again at any time.
    sent: BTreeSet<Message>,
    last_accepted: Option<Accepted>,
    handovers_left: u8,
    restarts_left: u8,
    fault: PlantedFault,
}

fn lease() -> LeaseName {
    "collection".into()
}

fn resource_names() -> BTreeSet<String> {
    RESOURCES.map(str::to_owned).into()
}

impl State {
    fn new(handovers: u8, restarts: u8, fault: PlantedFault) -> Self {
        let resource = || Resource {
            fence: Fence::new(lease(), 1, 0),
            old_epochs: BTreeSet::from([0]),
        };
        let mut state = Self {
            granted: Vec::new(),
            holders: [None, None],
            resources: [resource(), resource()],
            sent: BTreeSet::new(),
            last_accepted: None,
            handovers_left: handovers,
            restarts_left: restarts,
            fault,
        };
        state.grant(0);
        state
    }

    fn grant(&mut self, member: usize) {
        let last = self.granted.last().map_or(0, |g| g.1);
        let is_reused = self.fault == PlantedFault::ReusesEpochs && last > 0;
        let epoch = if is_reused { 1 } else { last + 1 };
        self.granted.push((member, epoch));
        self.sent.insert(Message::Granted { member, epoch });
        if self.fault == PlantedFault::GrantsWithoutQuorum {
            self.sent.insert(Message::Granted {
                member: 1 - member,
                epoch,
            });
        }
    }

    /// All states that one step can lead to.
    fn successors(&self) -> Vec<State> {
        let mut all = Vec::new();
        if self.handovers_left > 0 {
            let mut state = self.clone();
            state.handovers_left -= 1;
            let holder = self
                .granted
                .last()
                .expect("the first grant is made at the start")
                .0;
            state.grant(1 - holder);
            all.push(state);
        }
        for (index, resource) in self.resources.iter().enumerate() {
            if self.restarts_left > 0 {
                for disk in resource
                    .old_epochs
                    .iter()
                    .copied()
                    .chain([resource.fence.durable_epoch()])
                {
                    let mut state = self.clone();
                    state.restarts_left -= 1;
                    let incarnation = resource.fence.incarnation() + 1;
                    state.resources[index]
                        .old_epochs
                        .insert(resource.fence.durable_epoch());
                    state.resources[index].fence = Fence::new(lease(), incarnation, disk);
                    all.push(state);
                }
            }
        }
        for message in &self.sent {
            let mut state = self.clone();
            state.deliver(message.clone());
            all.push(state);
        }
        for member in 0..2 {
            let mut state = self.clone();
            state.make_effects(member);
            all.push(state);
        }
        all
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Granted { member, epoch } => self.deliver_grant(member, epoch),
            Message::Seal {
                member,
                epoch,
                resource,
            } => self.deliver_seal(member, epoch, resource),
            Message::Confirmed {
                member,
                epoch,
                resource,
                incarnation,
            } => {
                let fence = &self.resources[resource].fence;
                if fence.incarnation() == incarnation
                    && fence.after_confirmation(epoch) == Ok(SealStep::Write)
                {
                    self.write(member, epoch, resource);
                }
            }
            Message::Sealed {
                member,
                epoch,
                resource,
                incarnation,
            } => {
                let holder = self.holders[member].as_mut().filter(|h| h.epoch() == epoch);
                holder
                    .into_iter()
                    .for_each(|h| h.record_seal(RESOURCES[resource], incarnation));
            }
            Message::Effect {
                member,
                epoch,
                resource,
                incarnation,
            } => {
                let token = Token {
                    lease: lease(),
                    epoch,
                    incarnation,
                };
                let ignores_epoch = self.fault == PlantedFault::IgnoresEpoch;
                if ignores_epoch || self.resources[resource].fence.admit(&token).is_ok() {
                    self.last_accepted = self.last_accepted.max(Some((epoch, member)));
                }
            }
        }
    }

    /// A member learns that it holds the lease, and seals all resources.
    fn deliver_grant(&mut self, member: usize, epoch: Epoch) {
        if self.holders[member]
            .as_ref()
            .is_some_and(|h| h.epoch() >= epoch)
        {
            return;
        }
        self.holders[member] = Some(HolderFence::new(lease(), epoch, &resource_names()));
        for resource in 0..RESOURCES.len() {
            self.sent.insert(Message::Seal {
                member,
                epoch,
                resource,
            });
        }
    }

    fn deliver_seal(&mut self, member: usize, epoch: Epoch, resource: usize) {
        let fence = &self.resources[resource].fence;
        let incarnation = fence.incarnation();
        match fence.seal(epoch) {
            Ok(SealStep::Done) => {
                self.sent.insert(Message::Sealed {
                    member,
                    epoch,
                    resource,
                    incarnation,
                });
            }
            Ok(SealStep::Confirm) if self.fault != PlantedFault::SkipsConfirmation => {
                if self.granted.last().is_some_and(|g| g.1 == epoch) {
                    self.sent.insert(Message::Confirmed {
                        member,
                        epoch,
                        resource,
                        incarnation,
                    });
                }
            }
            Ok(_) => self.write(member, epoch, resource),
            Err(_) => {}
        }
    }

    fn write(&mut self, member: usize, epoch: Epoch, resource: usize) {
        let sealed = &mut self.resources[resource];
        let incarnation = sealed.fence.incarnation();
        sealed.old_epochs.insert(sealed.fence.durable_epoch());
        sealed.fence.record_write(epoch);
        self.sent.insert(Message::Sealed {
            member,
            epoch,
            resource,
            incarnation,
        });
    }

    /// A member makes an effect on each resource that its fence allows.
    fn make_effects(&mut self, member: usize) {
        let Some(holder) = &self.holders[member] else {
            return;
        };
        for (resource, name) in RESOURCES.iter().enumerate() {
            let mut token = holder.token(name);
            if self.fault == PlantedFault::ActsBeforeAllSeals
                && !holder.unsealed_resources().any(|unsealed| unsealed == name)
            {
                let mut single_resource = HolderFence::new(
                    lease(),
                    holder.epoch(),
                    &BTreeSet::from([(*name).to_owned()]),
                );
                let sealed = self.sent.iter().find_map(|m| match m {
                    Message::Sealed {
                        member: sealed_by,
                        epoch,
                        resource: sealed_resource,
                        incarnation,
                    } if (*sealed_by, *epoch, *sealed_resource)
                        == (member, holder.epoch(), resource) =>
                    {
                        Some(*incarnation)
                    }
                    _ => None,
                });
                sealed
                    .into_iter()
                    .for_each(|incarnation| single_resource.record_seal(name, incarnation));
                token = single_resource.token(name);
            }
            if let Some(Token {
                epoch, incarnation, ..
            }) = token
            {
                self.sent.insert(Message::Effect {
                    member,
                    epoch,
                    resource,
                    incarnation,
                });
            }
        }
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

/// Whether an effect would be accepted now although one of a later epoch, or of another holder of the same epoch, was
/// accepted before.
fn is_overlap(before: &State, message: &Message) -> bool {
    let Message::Effect {
        member,
        epoch,
        resource,
        incarnation,
    } = message
    else {
        return false;
    };
    let token = Token {
        lease: lease(),
        epoch: *epoch,
        incarnation: *incarnation,
    };
    let ignores_epoch = before.fault == PlantedFault::IgnoresEpoch;
    let is_accepted = ignores_epoch || before.resources[*resource].fence.admit(&token).is_ok();
    let is_earlier = before.last_accepted.is_some_and(|(last, last_member)| {
        *epoch < last || (*epoch == last && *member != last_member)
    });
    is_accepted && is_earlier
}

/// Explores all reachable states. Returns their number, or the first effect that overlaps with a later holder.
fn explore(initial: State) -> Result<usize, String> {
    let (mut known, mut unexplored) = (BTreeSet::from([initial.digest()]), vec![initial]);
    while let Some(state) = unexplored.pop() {
        if let Some(effect) = state.sent.iter().find(|m| is_overlap(&state, m)) {
            return Err(format!(
                "{effect:?} after {:?}, in {state:?}",
                state.last_accepted
            ));
        }
        for next in state.successors() {
            if known.insert(next.digest()) {
                unexplored.push(next);
            }
        }
    }
    Ok(known.len())
}

#[test]
fn rejects_effects_of_earlier_holder_after_later_one_in_every_order() {
    let mut states = 0;
    for (handovers, restarts) in [(2, 0), (1, 1), (1, 2)] {
        let found = explore(State::new(handovers, restarts, PlantedFault::None));
        let found = found.unwrap_or_else(|overlap| panic!("{handovers} handovers: {overlap}"));
        println!("{handovers} handovers, {restarts} restarts: {found} states");
        states += found;
    }
    assert!(states > 10_000, "{states} states");
}

#[test]
fn detects_each_planted_fault() {
    use PlantedFault::*;
    let all = [
        ActsBeforeAllSeals,
        SkipsConfirmation,
        IgnoresEpoch,
        GrantsWithoutQuorum,
        ReusesEpochs,
    ];
    for fault in all {
        assert!(
            explore(State::new(1, 1, fault)).is_err(),
            "{fault:?} was not detected"
        );
    }
}
