//! The control feed: numbered events about the list of invokers. Numbers are big-endian.

use crate::Malformed;
use bytes::{Buf, BytesMut};
use saltdrum::interface::{InvokerId, InvokerRecord, InvokerStatus, SECOND, Ticks};
use std::net::{Ipv4Addr, SocketAddrV4};

const RECORD_BYTES: usize = 27;
/// Bytes of a frame that its length counts beside its records.
const HEAD_BYTES: usize = 9;
/// What the feed would have told counts as told so long after it broke off.
const TOLD_AFTER_BREAK: Ticks = 2 * SECOND;
/// The same after it fell silent.
const TOLD_AFTER_SILENCE: Ticks = 4 * SECOND;
/// So long after the last frame nothing that the feed would have told since counts as told yet, whichever way it was lost.
pub const LIST_LIFETIME: Ticks = if TOLD_AFTER_BREAK < TOLD_AFTER_SILENCE {
    TOLD_AFTER_BREAK
} else {
    TOLD_AFTER_SILENCE
};
/// A list of so many lines is none.
const RECORDS_MAX: usize = 65_536;

/// One invoker of the list, and where it listens.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointRecord {
    pub invoker: InvokerId,
    pub address: SocketAddrV4,
    pub status: InvokerStatus,
    pub zone: u8,
    pub machine_kind: u16,
    pub cell: u16,
    pub capacity: f64,
    /// Unix milliseconds of a late start.
    pub started_ms: Option<u64>,
}

impl EndpointRecord {
    /// As the module is told of it; `started` is the start on the controller's own clock.
    pub fn to_invoker_record(&self, started: Option<Ticks>) -> InvokerRecord {
        let Self {
            invoker,
            status,
            zone,
            machine_kind,
            cell,
            capacity,
            ..
        } = *self;
        InvokerRecord {
            invoker,
            zone,
            machine_kind,
            cell,
            status,
            capacity,
            started_at: started,
        }
    }
}

/// One frame of the feed.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    Heartbeat,
    Snapshot(Vec<EndpointRecord>),
    Changes(Vec<EndpointRecord>),
}

/// Cuts the next whole frame off, with its number; `None`: more bytes are needed.
pub fn decode(bytes: &mut BytesMut) -> Result<Option<(u64, Event)>, Malformed> {
    let Some(head) = bytes.get(..4) else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(head.try_into().expect("four bytes")) as usize;
    let most = HEAD_BYTES + RECORDS_MAX * RECORD_BYTES;
    if !(HEAD_BYTES..=most).contains(&length) || !(length - HEAD_BYTES).is_multiple_of(RECORD_BYTES)
    {
        let (least, most) = (HEAD_BYTES as u64, most as u64);
        return Err(Malformed::Length {
            what: "event",
            got: length as u64,
            least,
            most,
        });
    }
    if bytes.len() < 4 + length {
        return Ok(None);
    }
    let mut frame = bytes.split_to(4 + length);
    frame.advance(4);
    let (number, kind) = (frame.get_u64(), frame.get_u8());
    let mut lines = Vec::with_capacity(frame.len() / RECORD_BYTES);
    while frame.has_remaining() {
        lines.push(record(&mut frame)?);
    }
    let event = match kind {
        0 => Event::Heartbeat,
        1 => Event::Snapshot(lines),
        2 => Event::Changes(lines),
        _ => {
            return Err(Malformed::value(
                "kind of an event",
                kind,
                "0, 1 or 2 is expected",
            ));
        }
    };
    Ok(Some((number, event)))
}

fn record(frame: &mut BytesMut) -> Result<EndpointRecord, Malformed> {
    let invoker = frame.get_u32();
    let address = Ipv4Addr::from(frame.get_u32());
    let address = SocketAddrV4::new(address, frame.get_u16());
    let status = match frame.get_u8() {
        0 => InvokerStatus::Ready,
        1 => InvokerStatus::Draining,
        2 => InvokerStatus::Gone,
        state => {
            return Err(Malformed::value(
                "state of an invoker",
                state,
                "0, 1 or 2 is expected",
            ));
        }
    };
    let (zone, machine_kind, cell) = (frame.get_u8(), u16::from(frame.get_u8()), frame.get_u16());
    let (capacity, started) = (f64::from(frame.get_u32()) / 1_000.0, frame.get_u64());
    let started_ms = Some(started).filter(|ms| *ms > 0);
    Ok(EndpointRecord {
        invoker,
        address,
        status,
        zone,
        machine_kind,
        cell,
        capacity,
        started_ms,
    })
}

/// Writes a frame, for those who play the feed.
pub fn encode(number: u64, event: &Event) -> Vec<u8> {
    let (kind, lines): (u8, &[EndpointRecord]) = match event {
        Event::Heartbeat => (0, &[]),
        Event::Snapshot(lines) => (1, lines),
        Event::Changes(lines) => (2, lines),
    };
    let mut out = ((HEAD_BYTES + lines.len() * RECORD_BYTES) as u32)
        .to_be_bytes()
        .to_vec();
    out.extend(number.to_be_bytes());
    out.push(kind);
    for l in lines {
        out.extend(l.invoker.to_be_bytes());
        out.extend(l.address.ip().octets());
        out.extend(l.address.port().to_be_bytes());
        out.push(match l.status {
            InvokerStatus::Ready => 0,
            InvokerStatus::Draining => 1,
            InvokerStatus::Gone => 2,
        });
        out.extend([l.zone, l.machine_kind as u8]);
        out.extend(l.cell.to_be_bytes());
        out.extend(((l.capacity * 1_000.0).round() as u32).to_be_bytes());
        out.extend(l.started_ms.unwrap_or(0).to_be_bytes());
    }
    out
}

/// An id as it stands in text.
pub fn format_invoker_id(id: InvokerId) -> String {
    format!("s-{id:08x}")
}

pub fn parse_invoker_id(text: &str) -> Result<InvokerId, Malformed> {
    let digits = text
        .strip_prefix("s-")
        .filter(|d| d.len() == 8 && d.bytes().all(|b| b.is_ascii_hexdigit()));
    digits
        .and_then(|d| u32::from_str_radix(d, 16).ok())
        .ok_or_else(|| {
            Malformed::value("id of an invoker", text, "s- and 8 hex digits are expected")
        })
}
