//! Coordinators, and the members' side of them.
//!
//! A coordinator is a process with a disk of its own; a majority of coordinators decides. On the wire, in commands and in
//! settings it is called `steward`. `coordinator` is what its parts share. It votes (`acceptor_store`, `disk`), proposes changes
//! for whoever asks (`propose`), receives members' heartbeats and proposes the changes that follow (`monitoring`), serves the
//! invoker list (`invoker_list`) and answers on its socket (`service`, over `server`). `member` is how controllers and invokers
//! join, `rpc_client` one connection to a coordinator, `fleet_config` what a deployment's script says of the fleet,
//! `lease_watch` what a member knows of the leases it holds.
//!
//! The decisions themselves are made in `saltdrum-fleet`. No invocation waits for anything here: with all coordinators gone a
//! fleet serves as before, and only planned change stops.

mod acceptor_store;
mod coordinator;
pub mod disk;
pub mod fleet_config;
mod invoker_list;
pub mod lease_watch;
pub mod member;
mod monitoring;
mod propose;
pub mod rpc_client;
pub mod server;
pub mod service;
pub mod wire;

pub use coordinator::CoordinatorConfig;
pub use fleet_config::FleetConfig;
pub use lease_watch::{HeldLease, LeaseWatch};
pub use member::{MemberRole, Membership, join};
pub use service::serve;
