//! What crosses saltdrum's sockets: message types and their codecs.
//!
//! Bytes in, messages out, and the reverse; nothing here opens a socket, keeps time or decides. `frame` cuts a byte
//! stream into frames, `invoker`, `list` and `store` say what the frames mean, `rpc` is JSON-RPC 2.0 by lines.
//! `docs/protocol.md` is the page for those who implement a peer.

pub mod frame;
pub mod invoker;
pub mod list;
pub mod rpc;
pub mod store;

/// Why bytes could not be read as a message. The link they came on is not to be trusted any more.
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
