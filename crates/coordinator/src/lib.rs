//! Coordinators of a fleet, and the members' client side.
//!
//! A coordinator is a process with a disk of its own; a majority of coordinators decides. On the wire, in commands and in
//! settings it is called `steward`. `coordinator` has the state that its parts share. A coordinator votes (`acceptor_store`,
//! `disk`), proposes changes for its callers (`propose`), receives the members' heartbeats and proposes the changes that follow
//! (`monitoring`), serves the invoker list (`invoker_list`) and answers calls on its socket (`service`, over `server`). `member`
//! is how controllers and invokers join, `rpc_client` a client of one coordinator, `fleet_config` the fleet settings in a
//! deployment script, `lease_watch` a member's view of the leases it holds.
//!
//! The decisions themselves are made in `saltdrum-fleet`. No invocation depends on this package: without any coordinator a
//! fleet serves as before, and only planned changes stop.

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
