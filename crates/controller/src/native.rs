//! The native path: JSON-RPC clients, multiplexed connections to invokers, the endpoint list and the registry's aliases.

pub(crate) mod aliases;
pub(crate) mod clients;
pub(crate) mod endpoint_list;
pub(crate) mod invoker_connections;
pub(crate) mod server;
