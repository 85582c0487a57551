//! The controller as a service: sockets around the dispatch policy.
//!
//! Each socket event is one call of [`Policy`]; each action of the policy writes to a socket or sets a timer. The crate itself
//! never chooses an invoker and never retries, delays or rejects an accepted invocation.
//!
//! # Code overview
//!
//! The path of an invocation: [`ControllerState::accept`] → [`Policy::invocation_arrived`] → the
//! [`Actions`](saltdrum::interface::Actions) of [`InvocationTable`] →
//! [`ControllerState::attempt_ended`] → the one final response. `invocations` is independent of any wire protocol, which it
//! reaches through two traits: [`InvokerTransport`] for invokers and [`Responder`] for clients. `native` implements them for
//! JSON-RPC clients and multiplexed invoker connections; the crate `saltdrum-platform` implements them for the platform's
//! sockets.
//!
//! A controller runs on one thread with one `LocalSet` and uses no locks. Its streams, clock and seed are passed in.

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
