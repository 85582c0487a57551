//! What crosses the platform's sockets, as bytes: no I/O, no clock, no decision.
//!
//! `frames` are the clients', `feed` the records of the control feed, `http` the fields towards invokers, `config` the
//! file that a controller is started with. Lengths and numbers are checked before anything is held.

pub mod config;
pub mod feed;
pub mod frames;
pub mod http;

/// Why bytes can't be taken for a message: what, and what was expected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// A length outside its bounds, in bytes.
    #[error("{what} of {got} bytes: {least} to {most} are expected")]
    Length {
        what: &'static str,
        got: u64,
        least: u64,
        most: u64,
    },
    /// A value that is not allowed.
    #[error("{what} {got}: {expected}")]
    Value {
        what: &'static str,
        got: String,
        expected: &'static str,
    },
    /// The bytes end before the value does.
    #[error("{what}: ends early")]
    Short { what: &'static str },
}

impl Malformed {
    pub(crate) fn value(
        what: &'static str,
        got: impl std::fmt::Display,
        expected: &'static str,
    ) -> Self {
        // What a stranger sent may be long; enough of it to be known again is kept.
        Self::Value {
            what,
            got: got.to_string().chars().take(40).collect(),
            expected,
        }
    }
}
