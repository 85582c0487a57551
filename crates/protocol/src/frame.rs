//! Frames: a length (u32, little-endian, excluding itself), a kind (u8) and a MessagePack body.

use crate::Malformed;
use bytes::{Buf, Bytes, BytesMut};
use serde::{Serialize, de::DeserializeOwned};

/// Longest frame, including its kind byte.
pub const MAX_FRAME_BYTES: usize = 4 << 20;
/// Size of the length prefix.
const HEADER_BYTES: usize = 4;

/// A message with its own frame kind.
pub trait Message: Serialize + DeserializeOwned {
    /// The kind byte of its frames.
    const KIND: u8;
    /// The name of the message, for error texts.
    const NAME: &'static str;
}

/// Encodes a message as a complete frame.
pub fn encode<M: Message>(message: &M) -> Bytes {
    encode_as(M::KIND, message)
}

pub(crate) fn encode_as(kind: u8, body: &impl Serialize) -> Bytes {
    let mut out = Vec::with_capacity(256);
    out.extend_from_slice(&[0; HEADER_BYTES]);
    out.push(kind);
    rmp_serde::encode::write(&mut out, body)
        .expect("every message type is representable in MessagePack");
    let length = (out.len() - HEADER_BYTES) as u32;
    out[..HEADER_BYTES].copy_from_slice(&length.to_le_bytes());
    out.into()
}

/// Removes the first complete frame from the front of `buffer` and returns its kind and body; `None` if it is incomplete.
pub fn take_frame(buffer: &mut BytesMut) -> Result<Option<(u8, Bytes)>, Malformed> {
    let Some(header) = buffer.first_chunk::<HEADER_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*header) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(Malformed::Oversize {
            got: length,
            most: MAX_FRAME_BYTES,
        });
    }
    if length == 0 {
        return Err(Malformed::Empty);
    }
    if buffer.len() < HEADER_BYTES + length {
        return Ok(None);
    }
    let mut frame = buffer.split_to(HEADER_BYTES + length).freeze();
    frame.advance(HEADER_BYTES);
    let kind = frame.get_u8();
    Ok(Some((kind, frame)))
}

/// Decodes a body. Trailing bytes are an error, because they would carry meaning that this build does not know.
pub fn decode_body<M: Message>(body: &[u8]) -> Result<M, Malformed> {
    let mut remaining = body;
    let message = rmp_serde::decode::from_read(&mut remaining).map_err(|e| Malformed::Body {
        what: M::NAME,
        why: e.to_string(),
    })?;
    match remaining.len() {
        0 => Ok(message),
        count => Err(Malformed::Body {
            what: M::NAME,
            why: format!("{count} bytes after its end"),
        }),
    }
}

/// Declares the messages that one side of a link sends, and an enum that they are decoded into.
#[macro_export]
macro_rules! messages {
    ($(#[$doc:meta])* $all:ident { $($kind:literal => $name:ident),+ $(,)? }) => {
        $(impl $crate::frame::Message for $name {
            const KIND: u8 = $kind;
            const NAME: &'static str = stringify!($name);
        })+
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq)]
        pub enum $all { $($name($name)),+ }
        impl $all {
            /// Decodes a frame that [`take_frame`]($crate::frame::take_frame) returned.
            pub fn read(kind: u8, body: &[u8]) -> Result<Self, $crate::Malformed> {
                match kind {
                    $($kind => $crate::frame::decode_body::<$name>(body).map(Self::$name),)+
                    _ => Err($crate::Malformed::UnknownKind(kind)),
                }
            }
        }
    };
}
