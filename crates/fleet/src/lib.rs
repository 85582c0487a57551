//! What a fleet agrees on, and who may be out of service at a time. No I/O, no clock, no randomness.
//!
//! `register` is one value held by a majority of coordinators and changed by compare-and-set through two rounds of messages
//! (CASPaxos; Rystsov 2018, on Lamport's Synod): no leader, no log. `recovery` says when a coordinator that was away may vote
//! again. `state` is the value: members, bounds, drain requests, grants, a halt; `change` is every way in which it may change.
//! `bounds` counts who is out against what is allowed, `drain_scheduler` chooses who drains next, `failure_detector` turns
//! silence into a level of suspicion, `monitor` turns what a coordinator hears into changes to propose. `leases` says who may
//! do a fleet-wide task, `fence` how that is enforced where the task has its effects.
//!
//! Promised: what a majority has accepted is never lost or applied twice; no grant and no start of a drain beyond the bounds
//! as agreed; none after an agreed halt; a drain can't be started on a grant that was revoked. None of it rests on a clock.
//! The failure detector makes members count as out, never as in.
//!
//! Not here: connections, disks, timers (`crates/coordinator`). Start reading at `register`, then `state` and `change`.

pub mod bounds;
pub mod change;
pub mod drain_scheduler;
pub mod failure_detector;
pub mod fence;
pub mod leases;
pub mod monitor;
pub mod recovery;
pub mod register;
pub mod state;

pub use change::{Change, ChangeOutcome, Refusal};
pub use register::{Acceptor, Ballot, Config, Round, Voter, VoterStamp};
pub use state::{Fleet, Member, MemberId, MemberKind, Phase};
