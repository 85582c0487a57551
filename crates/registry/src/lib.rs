//! The model registry: models, their versions, and the aliases that refer to versions.
//!
//! These modules decide and do no I/O: `state` (the state and which changes are valid), `chain` (the tamper-evident
//! history), `watch` (what a follower accepts), `version_pin` (which version an invocation runs), `rollout` (when a staged
//! rollout ends), `blob_collector` (which blobs may be removed) and `keys`. `store` writes the history to disk, `service`
//! serves the registry on a socket, `follow` is a follower with its `local_copy`, `client` the administrator's client, and
//! `collection` the resource behind the fleet's lease for blob collection. Start with [`state::RegistryState`] and
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
