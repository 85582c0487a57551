//! The controller on the platform's protocols and sockets.
//!
//! `saltdrum_controller::invocations` manages invocations, timers and the one final response of each; this package
//! connects it to the platform. `clients` is the table of client connections, `acceptor` fills it, `client_connection`
//! serves one of them, `frame_reader` reads its frames, `admission` validates one invocation, and `transaction_ids` are
//! the ids that invocations have used. `invoker_pools` holds the connections to each invoker, `invoker_connection` is
//! one of them, `attempt` is one request on it, and `response_body` receives the body of its response. `shared_budget`
//! bounds what the peers of one kind hold together, and `limits` derives resource bounds from the limits of the machine.
//! `endpoint_watch` follows the list of invokers, `state` is the state that the modules share, and `lifecycle` starts,
//! reloads and stops all of them: start reading there.
//!
//! This package does not choose invokers, retry, delay or reject, except for requests that are invalid or exceed a
//! bound.

mod acceptor;
mod admission;
mod attempt;
mod client_connection;
mod clients;
mod descriptor_guard;
mod endpoint_watch;
mod frame_reader;
mod invoker_connection;
mod invoker_pools;
mod lifecycle;
mod limits;
mod response_body;
mod shared_budget;
mod start_times;
mod state;
mod transaction_ids;

pub use lifecycle::{StartError, StartOptions, serve};
pub use limits::ResourceLimits;
pub use start_times::WallClock;
pub use state::NodeConfig;

#[cfg(test)]
mod tests;
