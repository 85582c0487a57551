//! Streams, clock and write queues, handed to everything that runs.
//!
//! The same controller and stand-ins run on TCP and Unix sockets and, in one process, on in-memory streams under
//! tokio's paused clock: they reach the world through [`Network`] and [`Clock`] alone. [`Outbox`] is the one way out of
//! a process: bounded, and exact about what has left. [`ArrivalWatch`] tells when bytes and connections can
//! have come at the earliest.

mod arrival;
mod clock;
mod network;
mod outbox;
mod sockets;
mod steady;
mod turns;

pub use arrival::{ArrivalWatch, Backlog};
pub use clock::Clock;
pub use network::{Address, Duplex, Half, Listener, Memory, Network, Stream, halves};
pub use outbox::{Outbox, Ticket};
pub use sockets::{Sockets, is_local_failure};
pub use turns::{Read, Turns, turning};
