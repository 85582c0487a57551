//! Models, their versions and the names that stand for them.
//!
//! `state` (what is known, and which changes are taken), `chain` (the history that shows tampering), `watch` (what a
//! watcher believes), `version_pin` (which version an invocation runs), `rollout` (when a staged move ends), `blob_collector` (which blobs
//! may go) and `keys` decide and do no I/O. `store` keeps the history on disk, `service` is the registry on its socket,
//! `follow` a watcher of it, `client` the administrator's side, `collection` its door for the fleet's lease of collecting.

pub mod blob_collector;
pub mod blobs;
pub mod chain;
pub mod client;
pub mod collection;
pub mod follow;
pub mod keys;
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
