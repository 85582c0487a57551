//! Stand-ins for what a controller talks to: invokers, the model store, the invoker list.
//!
//! `machine` is what an invoker does, without I/O: memory, copies, lanes, cores, loads. `invoker`, `store`, `registry` and `list`
//! put sockets round it and can be told to fail in stated ways ([`Faults`]). Each notes what crosses its sockets in a
//! [`Record`], from which the rules are judged. None of this serves real work.

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
