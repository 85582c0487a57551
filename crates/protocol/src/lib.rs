//! Message types of saltdrum's sockets, and their codecs.
//!
//! Converts between bytes and messages; opens no socket, reads no clock and makes no decisions. `frame` splits a byte
//! stream into frames, `invoker`, `list` and `store` define the messages of each link, `rpc` is line-delimited
//! JSON-RPC 2.0. `docs/protocol.md` documents the protocol for implementers of a peer.

pub mod frame;
pub mod invoker;
pub mod list;
pub mod rpc;
pub mod store;

/// Why bytes could not be decoded as a message. The link that they came from must be closed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    #[error("frame of {got} bytes: at most {most} are allowed")]
    Oversize { got: usize, most: usize },
    #[error("frame of 0 bytes: a kind byte is expected")]
    Empty,
    #[error("frame kind {0}: not a kind this side accepts")]
    UnknownKind(u8),
    #[error("body of a '{what}' frame: {why}")]
    Body { what: &'static str, why: String },
    #[error("versions {least} to {most} offered: this side speaks {ours}")]
    Version { least: u16, most: u16, ours: u16 },
}
