//! The controller on the platform's own sockets.
//!
//! `saltdrum_controller::invocations` keeps invocations, timers and the one final response; this package connects it to the
//! platform. `clients` is the table of client connections, `acceptor` fills it, `client_connection` is one of them, `admission` the checks of one
//! invocation. `invoker_pools` holds the connections to each invoker, `invoker_connection` is one of them, `attempt` one
//! request on it. `endpoint_watch` follows the list of invokers, `limits` derives what this machine has room for,
//! `state` is what the files share, and `lifecycle` starts, reloads and stops all of them: start reading there.
//!
//! Nothing here chooses an invoker, retries, delays or rejects, except what can't be held or isn't valid.

mod acceptor;
mod admission;
mod attempt;
mod client_connection;
mod clients;
mod descriptor_guard;
mod endpoint_watch;
mod invoker_connection;
mod invoker_pools;
mod lifecycle;
mod limits;
mod start_times;
mod state;

pub use lifecycle::{StartError, StartOptions, serve};
pub use limits::ResourceLimits;
pub use start_times::WallClock;
pub use state::NodeConfig;

#[cfg(test)]
mod tests;
