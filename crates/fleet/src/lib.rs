//! The replicated state of a fleet and the rules on it: membership, drains, leases. No I/O, no clock, no randomness.
//!
//! - `register`: one value, replicated to a majority of coordinators and changed by compare-and-set in two message rounds
//!   (CASPaxos; Rystsov 2018, based on Lamport's Synod). There is no leader and no log.
//! - `recovery`: when a restarted coordinator may vote again.
//! - `state`: the value itself (members, bounds, drain requests, grants, a halt); `change`: every change to it.
//! - `bounds`: the number of members out of service, checked against the limits.
//! - `drain_scheduler`: which member drains next.
//! - `failure_detector`: a suspicion level computed from missing heartbeats; `monitor`: the changes that follow from
//!   heartbeats and from the reports of other coordinators.
//! - `leases`: which member may do a fleet-wide task; `fence`: enforcement at the resources that the task has effects on.
//!
//! Guarantees: a value accepted by a majority is never lost or applied twice. No grant is issued and no drain starts beyond
//! the agreed bounds, or after an agreed halt. No drain starts on a revoked grant. None of this depends on a clock. The
//! failure detector can only count members as out of service, never as in service.
//!
//! Connections, disks and timers are in `crates/coordinator`. Start reading at `register`, then `state` and `change`.

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
