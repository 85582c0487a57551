//! Streams, a clock and bounded send queues, handed to everything that runs.
//!
//! The same controller and fakes run on TCP and Unix sockets and, in one process, on in-memory streams under tokio's paused
//! clock: they reach the world through [`Network`] and [`Clock`] alone.
//!
//! - [`SendQueue`] is the one way out of a process: bounded, and exact about which frames have been sent.
//! - [`ArrivalClock`] and [`ArrivalReader`] know the earliest time at which bytes and connections can have arrived, however
//!   late they are read; they rest on [`EventLoopClock`], which knows when the kernel was last polled.
//! - [`SocketNetwork`] retries system calls that fail for reasons that say nothing of the peer.
//!
//! Nothing here knows a message format or decides anything.

mod arrival_clock;
mod clock;
mod event_loop;
mod memory_network;
mod network;
mod retrying_stream;
mod send_queue;
mod socket_network;

pub use arrival_clock::{ArrivalClock, ReadBacklog};
pub use clock::Clock;
pub use event_loop::{ArrivalReader, EventLoopClock, run_event_loop_clock};
pub use memory_network::MemoryNetwork;
pub use network::{
    Address, Duplex, IoFuture, Listener, Network, ParseAddressError, Stream, StreamHalf, split,
};
pub use send_queue::{SendQueue, Ticket};
pub use socket_network::{SocketNetwork, is_local_failure};
