//! The handshake on a new connection to an invoker.

use crate::native::connection_error::ConnectionError;
use crate::native::state::ControllerHandle;
use bytes::BytesMut;
use saltdrum::interface::InvokerId;
use saltdrum_protocol::frame::{encode, take_frame};
use saltdrum_protocol::invoker as wire;
use saltdrum_transport::{Address, Stream};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Connects to an invoker and performs the handshake. Returns the stream, the bytes received after the handshake, and the
/// invoker's answer.
pub(crate) async fn perform_handshake(
    handle: &Rc<ControllerHandle>,
    invoker: InvokerId,
    address: &str,
) -> Result<(Stream, BytesMut, wire::Welcome), ConnectionError> {
    let address: Address = address.parse()?;
    let mut stream = handle.network.dial(&address).await?;
    let hello = wire::Hello {
        version_least: wire::MIN_VERSION,
        version_most: wire::VERSION,
        controller: handle.config.controller,
        incarnation: handle.config.incarnation,
        invoker,
    };
    stream.write_all(&encode(&hello)).await?;
    let mut received = BytesMut::new();
    let (kind, body) = loop {
        if let Some(frame) = take_frame(&mut received)? {
            break frame;
        }
        if stream.read_buf(&mut received).await? == 0 {
            return Err(ConnectionError::ClosedByInvoker);
        }
    };
    match wire::FromInvoker::read(kind, &body)? {
        wire::FromInvoker::Welcome(welcome) => {
            check_welcome(&welcome, invoker)?;
            Ok((stream, received, welcome))
        }
        wire::FromInvoker::Unwelcome(refusal) => Err(ConnectionError::Refused(refusal.why)),
        _ => Err(ConnectionError::UnexpectedMessage { found: kind }),
    }
}

fn check_welcome(welcome: &wire::Welcome, expected: InvokerId) -> Result<(), ConnectionError> {
    if welcome.invoker != expected {
        return Err(ConnectionError::WrongInvoker {
            found: welcome.invoker,
            expected,
        });
    }
    if welcome.version != wire::VERSION {
        return Err(ConnectionError::WrongVersion {
            found: welcome.version,
        });
    }
    Ok(())
}
