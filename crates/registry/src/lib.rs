//! Models, their versions and the aliases that stand for them.
//!
//! `state` (what is known, and which changes are valid), `chain` (the history, which shows tampering), `watch` (what a
//! follower accepts), `version_pin` (which version an invocation runs), `rollout` (when a staged rollout ends),
//! `blob_collector` (which blobs may be removed) and `keys` decide and do no I/O. `store` keeps the history on disk,
//! `service` is the registry on its socket, `follow` a follower with its `local_copy`, `client` the administrator's side,
//! `collection` the resource of the fleet's lease of collecting. Start with [`state::RegistryState`] and
//! [`service::Registry`].

pub mod blob_collector;
pub mod blobs;
pub mod chain;
pub mod client;
pub mod collection;
pub mod follow;
pub mod keys;
mod local_copy;
pub mod names;
pub mod rollout;
pub mod service;
pub mod state;
pub mod store;
pub mod version_pin;
pub mod watch;

pub use chain::{Entry, Head};
pub use names::{Name, Namespace};
pub use state::{Change, ChangeError, RegistryState, Revision, Role, Version};
pub use store::Store;
