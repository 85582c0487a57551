//! Why a connection to an invoker ended, or was not made.

use saltdrum::interface::InvokerId;
use saltdrum_protocol::frame::Message;
use saltdrum_protocol::{Malformed, invoker as wire};
use saltdrum_transport::ParseAddressError;
use std::io;
use std::time::Duration;

/// Why a connection ended, or was not made.
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
    Closed,
    #[error("cut off while the invoker is draining")]
    CutOff,
    #[error("the invoker refused the connection: {0}")]
    Refused(String),
    #[error("invoker {found} is at this address, {expected} was expected")]
    WrongInvoker {
        found: InvokerId,
        expected: InvokerId,
    },
    #[error("version {found} was chosen, {} was offered", wire::VERSION)]
    WrongVersion { found: u16 },
    #[error(
        "message of kind {found} in the handshake, {} was expected",
        wire::Welcome::NAME
    )]
    UnexpectedMessage { found: u8 },
    #[error("a second handshake")]
    SecondHandshake,
    #[error("an answer for dispatch {0}, which is not in flight")]
    UnknownDispatch(u64),
    #[error("an answer for dispatch {0}, which has not been sent")]
    UnsentDispatch(u64),
}
