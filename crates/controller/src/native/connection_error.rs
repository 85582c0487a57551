//! Errors that end an invoker connection or prevent it from being established.

use saltdrum::interface::InvokerId;
use saltdrum_protocol::frame::Message;
use saltdrum_protocol::{Malformed, invoker as wire};
use saltdrum_transport::ParseAddressError;
use std::io;
use std::time::Duration;

/// The reason why an invoker connection ended or was not established.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectionError {
    #[error(transparent)]
    Address(#[from] ParseAddressError),
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Malformed(#[from] Malformed),
    #[error("no connection within {} ms", .0.as_millis())]
    Timeout(Duration),
    #[error("closed by the invoker")]
    ClosedByInvoker,
    #[error("closed by this controller")]
    ClosedByController,
    #[error("closed because a frame was partially sent to a draining invoker")]
    ClosedWhileDraining,
    #[error("the invoker refused the connection: {0}")]
    Refused(String),
    #[error("invoker {found} answered at this address, expected invoker {expected}")]
    WrongInvoker {
        found: InvokerId,
        expected: InvokerId,
    },
    #[error(
        "invoker selected protocol version {found}, offered version {}",
        wire::VERSION
    )]
    WrongVersion { found: u16 },
    #[error(
        "message of kind {found} in the handshake, expected {}",
        wire::Welcome::NAME
    )]
    UnexpectedMessage { found: u8 },
    #[error("second handshake on one connection")]
    SecondHandshake,
    #[error("answer for dispatch {0}, which is not in flight")]
    UnknownDispatch(u64),
    #[error("answer for dispatch {0}, which has not been sent")]
    UnsentDispatch(u64),
}
