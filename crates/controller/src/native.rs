//! The native path: JSON-RPC clients, multiplexed connections to invokers, the endpoint list and the registry's aliases.
//!
//! `state` is what the other files share; `server` starts them and knows them all. A call's way is `clients` (bytes) →
//! `calls` (JSON-RPC) → `invoke` → `state` (the frame to the invoker) → `invoker_connections` (its answer) → `reply`.

pub(crate) mod alias_watch;
pub(crate) mod aliases;
pub(crate) mod calls;
pub(crate) mod clients;
pub(crate) mod connection_error;
pub(crate) mod endpoint_list;
pub(crate) mod handshake;
pub(crate) mod invoke;
pub(crate) mod invoker_connection;
pub(crate) mod invoker_connections;
pub(crate) mod reply;
pub(crate) mod server;
pub(crate) mod state;
pub(crate) mod status;
