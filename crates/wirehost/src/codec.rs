//! Frames and fields of the wire. Nothing here trusts a length before the bytes are there.

pub use saltdrum_settings::ticks_from_ms;
use std::io::{self, ErrorKind, Read};

pub type Fault = String;

/// Reads little-endian fields and names the place of what is wrong.
pub struct Fields<'a> {
    bytes: &'a [u8],
    at: usize,
}

macro_rules! number {
    ($($name:ident: $kind:ty),*) => {$(
        pub fn $name(&mut self, what: &str) -> Result<$kind, Fault> {
            let raw = self.take(size_of::<$kind>(), what)?;
            Ok(<$kind>::from_le_bytes(raw.try_into().expect("take gives the asked length")))
        }
    )*};
}

impl<'a> Fields<'a> {
    pub fn new(bytes: &'a [u8], at: usize) -> Self {
        Self { bytes, at }
    }

    number!(u8: u8, u16: u16, u32: u32, u64: u64, f32: f32, f64: f64);

    pub fn take(&mut self, n: usize, what: &str) -> Result<&'a [u8], Fault> {
        let left = self.bytes.len() - self.at;
        if n > left {
            return Err(format!(
                "byte {}: {what} needs {n} bytes, {left} are left",
                self.at
            ));
        }
        self.at += n;
        Ok(&self.bytes[self.at - n..self.at])
    }

    pub fn at(&self) -> usize {
        self.at
    }

    pub fn time(&mut self, what: &str) -> Result<u64, Fault> {
        let at = self.at;
        let ms = self.f64(what)?;
        if !(0.0..1e15).contains(&ms) {
            return Err(format!("byte {at}: {what} is no time: {ms}"));
        }
        Ok(ticks_from_ms(ms))
    }

    /// Load reports: a count, then as many values.
    pub fn values(&mut self) -> Result<Vec<f32>, Fault> {
        let n = self.u8("count of report values")?;
        (0..n).map(|_| self.f32("report value")).collect()
    }
}

pub fn millis(tenths: u64) -> f64 {
    tenths as f64 / 10.0
}

const HEADER: usize = 16;
const CHUNK: usize = 1 << 16;

/// The next frame with its header, or None at a clean end of input.
pub fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, Fault> {
    frame.clear();
    fill(input, frame, HEADER)?;
    match frame.len() {
        0 => return Ok(false),
        HEADER => {}
        n => {
            return Err(format!(
                "frame header: input ends after {n} of {HEADER} bytes"
            ));
        }
    }
    let length = u32::from_le_bytes([frame[4], frame[5], frame[6], frame[7]]) as usize;
    if length < HEADER {
        return Err(format!(
            "frame header: length {length} is shorter than the header"
        ));
    }
    while frame.len() < length {
        let had = frame.len();
        fill(input, frame, length.min(had + CHUNK))?;
        if frame.len() < length.min(had + CHUNK) {
            return Err(format!(
                "frame: input ends after {} of {length} bytes",
                frame.len()
            ));
        }
    }
    Ok(true)
}

fn fill(input: &mut impl Read, frame: &mut Vec<u8>, to: usize) -> Result<(), Fault> {
    let mut have = frame.len();
    frame.resize(to, 0);
    while have < to {
        match input.read(&mut frame[have..]) {
            Ok(0) => break,
            Ok(n) => have += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("frame: {}", io_text(&e))),
        }
    }
    frame.truncate(have);
    Ok(())
}

pub fn io_text(e: &io::Error) -> String {
    format!("input or output failed: {e}")
}

/// One reply, written record by record.
pub struct Reply {
    bytes: Vec<u8>,
    records: u32,
}

impl Default for Reply {
    fn default() -> Self {
        Self {
            bytes: vec![0; 8],
            records: 0,
        }
    }
}

impl Reply {
    pub fn record(&mut self, code: u8, controller: u32) -> &mut Self {
        self.records += 1;
        self.bytes.push(code);
        self.put(&controller.to_le_bytes())
    }

    pub fn put(&mut self, field: &[u8]) -> &mut Self {
        self.bytes.extend_from_slice(field);
        self
    }

    pub fn time(&mut self, tenths: u64) -> &mut Self {
        self.put(&millis(tenths).to_le_bytes())
    }

    pub fn text(&mut self, text: &str) -> &mut Self {
        let cut = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.put(&(cut.len() as u16).to_le_bytes()).put(cut)
    }

    /// The finished frame; the reply starts anew.
    pub fn finish(&mut self) -> Vec<u8> {
        let Self { mut bytes, records } = std::mem::take(self);
        let length = bytes.len() as u32;
        bytes[..4].copy_from_slice(&records.to_le_bytes());
        bytes[4..8].copy_from_slice(&length.to_le_bytes());
        bytes
    }
}
