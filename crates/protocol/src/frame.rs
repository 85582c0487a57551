//! Frames: a length (u32, little-endian, counting what follows), a kind (u8), a body of MessagePack.

use crate::Malformed;
use bytes::{Buf, Bytes, BytesMut};
use serde::{Serialize, de::DeserializeOwned};

/// No frame is longer, its kind byte included.
pub const MAX_FRAME_BYTES: usize = 4 << 20;
const HEAD: usize = 4;

/// A message that has a frame kind of its own.
pub trait Message: Serialize + DeserializeOwned {
    const KIND: u8;
    const NAME: &'static str;
}

/// A whole frame as it goes out.
pub fn encode<M: Message>(message: &M) -> Bytes {
    encode_as(M::KIND, message)
}

pub(crate) fn encode_as(kind: u8, body: &impl Serialize) -> Bytes {
    let mut out = Vec::with_capacity(256);
    out.extend_from_slice(&[0; HEAD]);
    out.push(kind);
    rmp_serde::encode::write(&mut out, body).expect("messages hold nothing that MessagePack lacks");
    let length = (out.len() - HEAD) as u32;
    out[..HEAD].copy_from_slice(&length.to_le_bytes());
    out.into()
}

/// Takes the first whole frame off the front of `read`; `None` while it is not all there.
pub fn take_frame(read: &mut BytesMut) -> Result<Option<(u8, Bytes)>, Malformed> {
    let Some(head) = read.first_chunk::<HEAD>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*head) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(Malformed::Oversize {
            got: length,
            most: MAX_FRAME_BYTES,
        });
    }
    if length == 0 {
        return Err(Malformed::Empty);
    }
    if read.len() < HEAD + length {
        return Ok(None);
    }
    let mut frame = read.split_to(HEAD + length).freeze();
    frame.advance(HEAD);
    let kind = frame.get_u8();
    Ok(Some((kind, frame)))
}

/// Reads a body; bytes left over are an error, as they would be another meaning.
pub fn decode_body<M: Message>(body: &[u8]) -> Result<M, Malformed> {
    let mut rest = body;
    let read = rmp_serde::decode::from_read(&mut rest).map_err(|e| Malformed::Body {
        what: M::NAME,
        why: e.to_string(),
    })?;
    match rest.len() {
        0 => Ok(read),
        n => Err(Malformed::Body {
            what: M::NAME,
            why: format!("{n} bytes after its end"),
        }),
    }
}

/// Declares the messages that one side of a link sends, and an enum to read them into.
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
            /// Reads a frame as [`take_frame`]($crate::frame::take_frame) gives it.
            pub fn read(kind: u8, body: &[u8]) -> Result<Self, $crate::Malformed> {
                match kind {
                    $($kind => $crate::frame::decode_body::<$name>(body).map(Self::$name),)+
                    _ => Err($crate::Malformed::UnknownKind(kind)),
                }
            }
        }
    };
}
