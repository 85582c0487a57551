//! The controller as a service: sockets around the dispatch policy.
//!
//! Each event on a socket is one call of [`Policy`]; each action that the policy asks for writes to a socket or sets a timer.
//! Nothing here chooses an invoker, retries, delays or rejects an invocation by itself.
//!
//! # Where to read
//!
//! The way of an invocation: [`ControllerState::accept`] → [`Policy::invocation_arrived`] → the
//! [`Actions`](saltdrum::interface::Actions) of [`InvocationTable`] →
//! [`ControllerState::attempt_ended`] → the one final response. `invocations` is independent of any wire: it meets one through
//! two traits, [`InvokerTransport`] towards invokers and [`Responder`] towards clients. `native` implements them for JSON-RPC clients and multiplexed
//! invoker connections; the crate `saltdrum-platform` implements them for the platform's sockets.
//!
//! One thread, one `LocalSet`, no locks. Streams, clock and seed are handed in.

mod baselines;
mod invocations;
mod native;
mod policy;
mod reconnect;
mod responder;
pub mod shutdown;
mod state;
mod transport;

pub use baselines::{least_in_flight_relay, random_relay, rendezvous_relay};
pub use invocations::{Counters, InvocationTable, TimerKey};
pub use native::aliases::AliasConfig;
pub use native::server::serve;
pub use native::state::ControllerConfig;
pub use policy::{Policy, PolicyFactory, dispatch_policy};
pub use reconnect::{ConnectBudget, ReconnectBackoff};
pub use responder::{FinalResponse, Responder};
pub use state::{ControllerHandle, ControllerState, StateCallback};
pub use transport::{AttemptReport, InvokerTransport, OutgoingDispatch};
