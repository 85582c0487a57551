//! Streams, a clock and bounded send queues, passed to every component.
//!
//! The same controller and fakes run on TCP and Unix sockets and, in one process, on in-memory streams under tokio's paused
//! clock, because they do all I/O and timekeeping through [`Network`] and [`Clock`].
//!
//! - [`SendQueue`] queues the frames of a stream: bounded, and exact about which frames have been sent.
//! - [`ArrivalClock`] and [`ArrivalReader`] determine the earliest time at which bytes and connections can have arrived, however
//!   late they are read. They are based on [`EventLoopClock`], which tracks when the kernel was last polled.
//! - [`SocketNetwork`] retries system calls that fail for reasons unrelated to the peer.
//!
//! This crate is independent of message formats and makes no policy decisions.

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
