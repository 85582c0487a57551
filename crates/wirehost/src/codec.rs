//! Frames and fields of the wire. A stated length is not trusted until its bytes have been read.

use crate::error::WireError;
use saltdrum::interface::{MILLISECOND, Ticks};
use saltdrum_settings::ticks_from_ms;
use std::io::{ErrorKind, Read};

/// Bytes of a frame's header: count of records, length, time.
const HEADER_BYTES: usize = 16;
/// Bytes of a reply's header: count of records, length.
const REPLY_HEADER_BYTES: usize = 8;
/// Frames are read in pieces of this size, so that a wrong length allocates no more than this.
const CHUNK_BYTES: usize = 1 << 16;
/// Valid times in milliseconds are below this.
const MAX_TIME_MS: f64 = 1e15;

/// Reads little-endian fields and reports the position of errors.
pub(crate) struct Fields<'a> {
    bytes: &'a [u8],
    at: usize,
}

macro_rules! number {
    ($($name:ident: $kind:ty),*) => {$(
        /// Reads the next field as a number.
        pub(crate) fn $name(&mut self, field: &str) -> Result<$kind, WireError> {
            let raw = self.take(size_of::<$kind>(), field)?;
            Ok(<$kind>::from_le_bytes(raw.try_into().expect("take returns the requested length")))
        }
    )*};
}

impl<'a> Fields<'a> {
    pub(crate) fn new(bytes: &'a [u8]) -> Self {
        Self { bytes, at: 0 }
    }

    number!(u8: u8, u16: u16, u32: u32, u64: u64, f32: f32, f64: f64);

    /// Reads the next `count` bytes.
    pub(crate) fn take(&mut self, count: usize, field: &str) -> Result<&'a [u8], WireError> {
        let left = self.bytes.len() - self.at;
        if count > left {
            return Err(WireError::Truncated {
                at: self.at,
                field: field.to_owned(),
                needed: count,
                left,
            });
        }
        self.at += count;
        Ok(&self.bytes[self.at - count..self.at])
    }

    /// Byte position of the next field.
    pub(crate) fn at(&self) -> usize {
        self.at
    }

    /// Reads the next field as a time in milliseconds.
    pub(crate) fn time(&mut self, field: &str) -> Result<Ticks, WireError> {
        let at = self.at;
        let ms = self.f64(field)?;
        if !(0.0..MAX_TIME_MS).contains(&ms) {
            return Err(WireError::NotATime {
                at,
                field: field.to_owned(),
                found: ms,
            });
        }
        Ok(ticks_from_ms(ms))
    }

    /// Reads the values of a load report: a count, then as many values.
    pub(crate) fn values(&mut self) -> Result<Vec<f32>, WireError> {
        let count = self.u8("count of report values")?;
        (0..count).map(|_| self.f32("report value")).collect()
    }
}

/// Reads the next frame, header included. Returns false if the input ended before a frame.
pub(crate) fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, WireError> {
    frame.clear();
    fill(input, frame, HEADER_BYTES)?;
    match frame.len() {
        0 => return Ok(false),
        HEADER_BYTES => {}
        found => {
            return Err(WireError::TruncatedHeader {
                found,
                expected: HEADER_BYTES,
            });
        }
    }
    let length = u32::from_le_bytes([frame[4], frame[5], frame[6], frame[7]]) as usize;
    if length < HEADER_BYTES {
        return Err(WireError::ShortLength(length));
    }
    while frame.len() < length {
        let target = length.min(frame.len() + CHUNK_BYTES);
        fill(input, frame, target)?;
        if frame.len() < target {
            return Err(WireError::TruncatedFrame {
                found: frame.len(),
                expected: length,
            });
        }
    }
    Ok(true)
}

/// Reads until the frame has this many bytes, or the input ends.
fn fill(input: &mut impl Read, frame: &mut Vec<u8>, target: usize) -> Result<(), WireError> {
    let mut filled = frame.len();
    frame.resize(target, 0);
    while filled < target {
        match input.read(&mut frame[filled..]) {
            Ok(0) => break,
            Ok(read) => filled += read,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(WireError::Read(error.to_string())),
        }
    }
    frame.truncate(filled);
    Ok(())
}

/// A reply frame, built record by record.
pub(crate) struct Reply {
    bytes: Vec<u8>,
    records: u32,
}

impl Default for Reply {
    fn default() -> Self {
        Self {
            bytes: vec![0; REPLY_HEADER_BYTES],
            records: 0,
        }
    }
}

impl Reply {
    /// Starts a record with this code, for one controller.
    pub(crate) fn record(&mut self, code: u8, controller: u32) -> &mut Self {
        self.records += 1;
        self.bytes.push(code);
        self.put(&controller.to_le_bytes())
    }

    /// Adds a field.
    pub(crate) fn put(&mut self, field: &[u8]) -> &mut Self {
        self.bytes.extend_from_slice(field);
        self
    }

    /// Adds a time, in milliseconds on the wire.
    pub(crate) fn time(&mut self, time: Ticks) -> &mut Self {
        let ms = time as f64 / MILLISECOND as f64;
        self.put(&ms.to_le_bytes())
    }

    /// Adds a text, truncated to the longest that the wire can carry.
    pub(crate) fn text(&mut self, text: &str) -> &mut Self {
        let cut = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.put(&(cut.len() as u16).to_le_bytes()).put(cut)
    }

    /// Returns the finished frame and resets the reply.
    pub(crate) fn finish(&mut self) -> Vec<u8> {
        let Self { mut bytes, records } = std::mem::take(self);
        let length = bytes.len() as u32;
        bytes[..4].copy_from_slice(&records.to_le_bytes());
        bytes[4..8].copy_from_slice(&length.to_le_bytes());
        bytes
    }
}
