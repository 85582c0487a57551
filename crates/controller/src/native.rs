//! The native path: JSON-RPC clients, multiplexed connections to invokers, the endpoint list and the registry's aliases.
//!
//! `state` holds what the other modules share; `server` starts them and depends on all of them. A call passes through `clients`
//! (bytes) → `calls` (JSON-RPC) → `invoke` → `state` (the frame to the invoker) → `invoker_connections` (its answer) → `reply`.

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
