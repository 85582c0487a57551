//! The controller as a service: sockets round the decision module.
//!
//! Each thing that happens on a socket is one call on `saltdrum::Controller`; each of its acts writes to a socket or
//! sets a timer. Start reading at `desk`: an invocation's way is `State::taken` → the module → `Actions for Desk` →
//! `State::ended` → `Desk::answer`. It meets a wire at two seams, `Owed` and `Reach`. `front` is the native path: `clients`, `links` and `list` are the three kinds of socket, `names` follows the registry and fixes versions, `redial` decides when
//! a lost link is tried again. Nothing here chooses an invoker, repeats, holds back or turns away.
//!
//! One thread, one `LocalSet`, no locks. Streams, clock and seed are handed in.

mod baselines;
mod clients;
pub mod desk;
mod front;
pub mod going;
mod links;
mod list;
mod names;
mod policy;
mod redial;

pub use baselines::{least_in_flight_relay, random_relay, rendezvous_relay};
pub use front::{Seat, serve};
pub use names::NamesAt;
pub use policy::{MakePolicy, Policy, dispatch_policy};
pub use redial::{Dials, Redial};
