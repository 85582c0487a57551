//! Fakes of the controller's peers: invokers, the model store and the endpoint list.
//!
//! `machine` simulates an invoker without I/O: memory, copies, lanes, cores and loads. `invoker`, `store`, `registry` and
//! `list` serve the real protocols on sockets and can inject faults ([`Faults`]). Each fake writes what it sends and receives
//! to a [`Record`], from which the rules are checked. None of this serves production work.

pub mod disk;
pub mod invoker;
pub mod list;
pub mod machine;
pub mod platform;
pub mod record;
pub mod registry;
pub mod store;

pub use invoker::{Faults, Invoker};
pub use list::EndpointList;
pub use record::{Line, Record};
pub use registry::OciRegistry;
pub use store::ModelStore;
