//! Every order in which two members, handovers, seals, effects and restarts of two resources can come, with messages late,
//! twice or never, and resources that start on the disk they had or an older one. What is checked are the effects alone:
//! none is accepted with an earlier epoch than one that was accepted before, anywhere.

use saltdrum_fleet::fence::{Fence, HolderFence, SealStep, Token};
use saltdrum_fleet::state::{Epoch, LeaseName};
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};

const RESOURCES: [&str; 2] = ["store", "ledger"];

/// A planted fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Planted {
    Nothing,
    /// A holder acts before all seals have been answered.
    ActsBeforeAllSeals,
    /// A resource does not ask a quorum at its first seal.
    BelievesItsDisk,
    /// A resource accepts whatever epoch comes.
    DropsTheEpoch,
    /// A steward gives the lease away on its own: the other member is told of an epoch that is somebody's already.
    GivesAwayAlone,
    /// Epochs begin anew, as if all members that knew of them had been lost.
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
    /// A quorum's word that the epoch was the lease's last when it was asked.
    Confirmed {
        member: usize,
        epoch: Epoch,
        resource: usize,
        life: u64,
    },
    Sealed {
        member: usize,
        epoch: Epoch,
        resource: usize,
        life: u64,
    },
    Effect {
        member: usize,
        epoch: Epoch,
        resource: usize,
        life: u64,
    },
}

#[derive(Clone, Debug, Hash)]
struct Resource {
    fence: Fence,
    /// What its disk had at some time before.
    older: BTreeSet<Epoch>,
}

/// An accepted effect: whose, with which epoch.
type Accepted = (Epoch, usize);

#[derive(Clone, Debug, Hash)]
struct World {
    /// Who was given each epoch, in their order: what the quorum holds.
    granted: Vec<(usize, Epoch)>,
    holdings: [Option<HolderFence>; 2],
    resources: [Resource; 2],
    /// All that was ever sent; anything may come again at any time.
    sent: BTreeSet<Message>,
    last_accepted: Option<Accepted>,
    handovers_left: u8,
    restarts_left: u8,
    planted: Planted,
}

fn lease() -> LeaseName {
    "collection".into()
}

fn resource_names() -> BTreeSet<String> {
    RESOURCES.map(str::to_owned).into()
}

impl World {
    fn new(handovers: u8, restarts: u8, planted: Planted) -> Self {
        let resource = || Resource {
            fence: Fence::new(lease(), 1, 0),
            older: BTreeSet::from([0]),
        };
        let mut world = Self {
            granted: Vec::new(),
            holdings: [None, None],
            resources: [resource(), resource()],
            sent: BTreeSet::new(),
            last_accepted: None,
            handovers_left: handovers,
            restarts_left: restarts,
            planted,
        };
        world.grant(0);
        world
    }

    fn grant(&mut self, member: usize) {
        let last = self.granted.last().map_or(0, |g| g.1);
        let reused = self.planted == Planted::ReusesEpochs && last > 0;
        let epoch = if reused { 1 } else { last + 1 };
        self.granted.push((member, epoch));
        self.sent.insert(Message::Granted { member, epoch });
        if self.planted == Planted::GivesAwayAlone {
            self.sent.insert(Message::Granted {
                member: 1 - member,
                epoch,
            });
        }
    }

    /// All worlds that are one step away.
    fn next(&self) -> Vec<World> {
        let mut all = Vec::new();
        if self.handovers_left > 0 {
            let mut world = self.clone();
            world.handovers_left -= 1;
            let holder = self.granted.last().expect("granted at first").0;
            world.grant(1 - holder);
            all.push(world);
        }
        for (n, resource) in self.resources.iter().enumerate() {
            if self.restarts_left > 0 {
                for disk in resource
                    .older
                    .iter()
                    .copied()
                    .chain([resource.fence.durable_epoch()])
                {
                    let mut world = self.clone();
                    world.restarts_left -= 1;
                    let life = resource.fence.incarnation() + 1;
                    world.resources[n]
                        .older
                        .insert(resource.fence.durable_epoch());
                    world.resources[n].fence = Fence::new(lease(), life, disk);
                    all.push(world);
                }
            }
        }
        for message in &self.sent {
            let mut world = self.clone();
            world.deliver(message.clone());
            all.push(world);
        }
        for member in 0..2 {
            let mut world = self.clone();
            world.act(member);
            all.push(world);
        }
        all
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Granted { member, epoch } => self.heard(member, epoch),
            Message::Seal {
                member,
                epoch,
                resource,
            } => self.asked_to_seal(member, epoch, resource),
            Message::Confirmed {
                member,
                epoch,
                resource,
                life,
            } => {
                let fence = &self.resources[resource].fence;
                if fence.incarnation() == life
                    && fence.after_confirmation(epoch) == Ok(SealStep::Write)
                {
                    self.write(member, epoch, resource);
                }
            }
            Message::Sealed {
                member,
                epoch,
                resource,
                life,
            } => {
                let holding = self.holdings[member]
                    .as_mut()
                    .filter(|h| h.epoch() == epoch);
                holding
                    .into_iter()
                    .for_each(|h| h.record_seal(RESOURCES[resource], life));
            }
            Message::Effect {
                member,
                epoch,
                resource,
                life,
            } => {
                let token = Token {
                    lease: lease(),
                    epoch,
                    incarnation: life,
                };
                let drops = self.planted == Planted::DropsTheEpoch;
                if drops || self.resources[resource].fence.admit(&token).is_ok() {
                    self.last_accepted = self.last_accepted.max(Some((epoch, member)));
                }
            }
        }
    }

    /// A member hears that it holds the lease: it seals all.
    fn heard(&mut self, member: usize, epoch: Epoch) {
        if self.holdings[member]
            .as_ref()
            .is_some_and(|h| h.epoch() >= epoch)
        {
            return;
        }
        self.holdings[member] = Some(HolderFence::new(lease(), epoch, &resource_names()));
        for resource in 0..RESOURCES.len() {
            self.sent.insert(Message::Seal {
                member,
                epoch,
                resource,
            });
        }
    }

    fn asked_to_seal(&mut self, member: usize, epoch: Epoch, resource: usize) {
        let fence = &self.resources[resource].fence;
        let life = fence.incarnation();
        match fence.seal(epoch) {
            Ok(SealStep::Done) => {
                self.sent.insert(Message::Sealed {
                    member,
                    epoch,
                    resource,
                    life,
                });
            }
            Ok(SealStep::Confirm) if self.planted != Planted::BelievesItsDisk => {
                if self.granted.last().is_some_and(|g| g.1 == epoch) {
                    self.sent.insert(Message::Confirmed {
                        member,
                        epoch,
                        resource,
                        life,
                    });
                }
            }
            Ok(_) => self.write(member, epoch, resource),
            Err(_) => {}
        }
    }

    fn write(&mut self, member: usize, epoch: Epoch, resource: usize) {
        let of = &mut self.resources[resource];
        let life = of.fence.incarnation();
        of.older.insert(of.fence.durable_epoch());
        of.fence.record_write(epoch);
        self.sent.insert(Message::Sealed {
            member,
            epoch,
            resource,
            life,
        });
    }

    fn act(&mut self, member: usize) {
        let Some(holding) = &self.holdings[member] else {
            return;
        };
        for (resource, name) in RESOURCES.iter().enumerate() {
            let mut token = holding.token(name);
            if self.planted == Planted::ActsBeforeAllSeals
                && !holding.unsealed_resources().any(|u| u == name)
            {
                let mut alone = HolderFence::new(
                    lease(),
                    holding.epoch(),
                    &BTreeSet::from([(*name).to_owned()]),
                );
                let sealed = self.sent.iter().find_map(|m| match m {
                    Message::Sealed {
                        member: of,
                        epoch,
                        resource: at,
                        life,
                    } if (*of, *epoch, *at) == (member, holding.epoch(), resource) => Some(*life),
                    _ => None,
                });
                sealed
                    .into_iter()
                    .for_each(|life| alone.record_seal(name, life));
                token = alone.token(name);
            }
            if let Some(Token {
                epoch,
                incarnation: life,
                ..
            }) = token
            {
                self.sent.insert(Message::Effect {
                    member,
                    epoch,
                    resource,
                    life,
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

/// Whether an effect that is accepted now comes after one of a later grant, or of another holder of the same epoch.
fn is_overlap(before: &World, message: &Message) -> bool {
    let Message::Effect {
        member,
        epoch,
        resource,
        life,
    } = message
    else {
        return false;
    };
    let token = Token {
        lease: lease(),
        epoch: *epoch,
        incarnation: *life,
    };
    let drops = before.planted == Planted::DropsTheEpoch;
    let accepted = drops || before.resources[*resource].fence.admit(&token).is_ok();
    let earlier = before
        .last_accepted
        .is_some_and(|(last, of)| *epoch < last || (*epoch == last && *member != of));
    accepted && earlier
}

/// Goes through all worlds that can be reached; `Err` is the first in which an effect overlaps.
fn explore(first: World) -> Result<usize, String> {
    let (mut seen, mut open) = (BTreeSet::from([first.digest()]), vec![first]);
    while let Some(world) = open.pop() {
        if let Some(effect) = world.sent.iter().find(|m| is_overlap(&world, m)) {
            return Err(format!(
                "{effect:?} after {:?}, in {world:?}",
                world.last_accepted
            ));
        }
        for next in world.next() {
            if seen.insert(next.digest()) {
                open.push(next);
            }
        }
    }
    Ok(seen.len())
}

#[test]
fn no_order_lets_an_earlier_holders_effect_in_after_a_later_ones() {
    let mut states = 0;
    for (handovers, restarts) in [(2, 0), (1, 1), (1, 2)] {
        let found = explore(World::new(handovers, restarts, Planted::Nothing));
        let found = found.unwrap_or_else(|overlap| panic!("{handovers} handovers: {overlap}"));
        println!("{handovers} handovers, {restarts} restarts: {found} states");
        states += found;
    }
    assert!(states > 10_000, "{states} states");
}

#[test]
fn each_planted_fault_is_found() {
    use Planted::*;
    let all = [
        ActsBeforeAllSeals,
        BelievesItsDisk,
        DropsTheEpoch,
        GivesAwayAlone,
        ReusesEpochs,
    ];
    for planted in all {
        assert!(
            explore(World::new(1, 1, planted)).is_err(),
            "{planted:?} was not found"
        );
    }
}
