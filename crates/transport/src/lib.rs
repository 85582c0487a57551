//! Streams, clock and write queues, handed to everything that runs.
//!
//! The same controller and stand-ins run on TCP and Unix sockets and, in one process, on in-memory streams under
//! tokio's paused clock: they reach the world through [`Network`] and [`Clock`] alone. [`SendQueue`] is the one way out of
//! a process: bounded, and exact about what has left. [`ArrivalClock`] tells when bytes and connections can
//! have come at the earliest.

mod arrival;
mod clock;
mod network;
mod outbox;
mod sockets;
mod steady;
mod turns;

pub use arrival::{ArrivalClock, ReadBacklog};
pub use clock::Clock;
pub use network::{Address, Duplex, Half, Listener, MemoryNetwork, Network, Stream, halves};
pub use outbox::{SendQueue, Ticket};
pub use sockets::{SocketNetwork, is_local_failure};
pub use turns::{ArrivalReader, EventLoopClock, run_event_loop_clock};
