//! Codecs of the platform's protocols. They perform no I/O, read no clock and make no decisions.
//!
//! `frames` holds the frames between clients and controllers, `feed` the events of the endpoint feed, `http` the header
//! fields of requests to invokers, and `config` the configuration file of a controller. Lengths and numbers are checked
//! before anything is buffered.

pub mod config;
pub mod feed;
pub mod frames;
pub mod http;

/// Why bytes are not a valid message.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// A length in bytes is outside its bounds.
    #[error("{what} of {got} bytes: {least} to {most} are expected")]
    Length {
        what: &'static str,
        got: u64,
        least: u64,
        most: u64,
    },
    /// A value is not allowed.
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
        // The peer's value may be long; 40 characters are enough to identify it.
        Self::Value {
            what,
            got: got.to_string().chars().take(40).collect(),
            expected,
        }
    }
}
