//! What a fleet agrees on, and who may be out at a time. No I/O, no clock, no chance.
//!
//! `register` is one value that a majority of stewards holds, changed by compare-and-set through two rounds of messages
//! (CASPaxos; Rystsov 2018, on Lamport's Synod): no leader, no log. `recovery` says when a steward that was away may vote
//! again. `fleet` is the value: members, bounds, asks, grants, a halt; `change` is every way in which it may change.
//! `bounds` counts who is out against what is allowed, `next` chooses who goes, `suspicion` weighs silence, `monitor` is what a
//! steward makes of what it hears. `lease` is who may do a fleet-wide task, `fence` how that is kept where its effects are.
//!
//! Promised: what a majority has taken is never lost or taken twice; no grant and no begin beyond the bounds as agreed;
//! none after an agreed halt; a grant that was taken back can't be begun. None of it rests on a clock. ArrivalWindow makes
//! members count as out, never as in.
//!
//! Not here: streams, disks, timers (`crates/coordinator`). Start reading at `register`, then `change`.

pub mod bounds;
pub mod change;
pub mod fence;
pub mod fleet;
pub mod lease;
pub mod monitor;
pub mod next;
pub mod recovery;
pub mod register;
pub mod suspicion;

pub use change::{Change, Done, Refusal};
pub use fleet::{Fleet, Kind, Member, MemberId, Phase};
pub use register::{Acceptor, Ballot, Config, Mark, Round, Voter};
