//! Stewards, and the members' side of them.
//!
//! A steward is a process with a disk of its own: a coordinator, of which a majority decides. `coordinator` is what its parts
//! share. It votes (`acceptor_store`, `disk`), proposes changes for whoever asks (`propose`), listens to members' heartbeats
//! and does what the fleet owes them (`monitoring`), serves the invoker list (`list`) and answers on its socket (`service`,
//! over `server`). `member` is how controllers and invokers join, `caller` one line to a steward, `terms` what a
//! deployment's script says of the fleet, `lease_watch` what a member knows of the leases it holds.
//!
//! What is decided is decided in `saltdrum-fleet`. Nothing that an invocation waits for passes through here: with all
//! stewards gone a fleet serves as before, and only planned change stops.

mod acceptor_store;
pub mod caller;
mod coordinator;
pub mod disk;
pub mod lease_watch;
mod list;
pub mod member;
mod monitoring;
mod propose;
pub mod server;
pub mod service;
pub mod terms;
pub mod wire;

pub use coordinator::CoordinatorConfig;
pub use lease_watch::{HeldLease, LeaseWatch};
pub use member::{MemberRole, Membership, join};
pub use service::serve;
pub use terms::FleetTerms;
