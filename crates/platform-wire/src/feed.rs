//! Frames of the endpoint feed, which publishes numbered events about the list of invokers. Integers are big-endian.

use crate::Malformed;
use bytes::{Buf, BytesMut};
use saltdrum::interface::{InvokerId, InvokerRecord, InvokerStatus, SECOND, Ticks};
use std::net::{Ipv4Addr, SocketAddrV4};

const RECORD_BYTES: usize = 27;
/// Bytes of a frame that its length field counts in addition to its records.
const HEAD_BYTES: usize = 9;
/// Events that a controller missed count as reported to it this long after its connection to the feed broke.
const REPORTED_AFTER_BREAK: Ticks = 2 * SECOND;
/// Events that a controller missed count as reported to it this long after the feed became silent.
const REPORTED_AFTER_SILENCE: Ticks = 4 * SECOND;
/// How long after its last frame the list is current: no event missed since then counts as reported yet, whether the
/// connection broke or the feed became silent.
pub const LIST_LIFETIME: Ticks = if REPORTED_AFTER_BREAK < REPORTED_AFTER_SILENCE {
    REPORTED_AFTER_BREAK
} else {
    REPORTED_AFTER_SILENCE
};
/// Records that one frame may hold; a longer one is malformed.
const RECORDS_MAX: usize = 65_536;

/// One invoker of the list, with the address on which it listens.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointRecord {
    pub invoker: InvokerId,
    pub address: SocketAddrV4,
    pub status: InvokerStatus,
    pub zone: u8,
    pub machine_kind: u16,
    pub cell: u16,
    pub capacity: f64,
    /// When the invoker's process started, in Unix milliseconds; none: long ago, or not reported.
    pub started_ms: Option<u64>,
}

impl EndpointRecord {
    /// Converts the record for the decision module; `started` is the time of the start on the controller's own clock.
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
    /// No event; the number is that of the last one.
    Heartbeat,
    /// The complete list.
    Snapshot(Vec<EndpointRecord>),
    /// The records that changed.
    Changes(Vec<EndpointRecord>),
}

/// Splits off and decodes the next complete frame with its number; `None`: more bytes are needed.
pub fn decode(bytes: &mut BytesMut) -> Result<Option<(u64, Event)>, Malformed> {
    let Some(head) = bytes.get(..4) else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(head.try_into().expect("four bytes")) as usize;
    let max = HEAD_BYTES + RECORDS_MAX * RECORD_BYTES;
    if !(HEAD_BYTES..=max).contains(&length) || !(length - HEAD_BYTES).is_multiple_of(RECORD_BYTES)
    {
        let (least, most) = (HEAD_BYTES as u64, max as u64);
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
    let mut records = Vec::with_capacity(frame.len() / RECORD_BYTES);
    while frame.has_remaining() {
        records.push(decode_record(&mut frame)?);
    }
    let event = match kind {
        0 => Event::Heartbeat,
        1 => Event::Snapshot(records),
        2 => Event::Changes(records),
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

fn decode_record(frame: &mut BytesMut) -> Result<EndpointRecord, Malformed> {
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

/// Encodes a frame, for stand-ins of the feed.
pub fn encode(number: u64, event: &Event) -> Vec<u8> {
    let (kind, records): (u8, &[EndpointRecord]) = match event {
        Event::Heartbeat => (0, &[]),
        Event::Snapshot(records) => (1, records),
        Event::Changes(records) => (2, records),
    };
    let mut out = ((HEAD_BYTES + records.len() * RECORD_BYTES) as u32)
        .to_be_bytes()
        .to_vec();
    out.extend(number.to_be_bytes());
    out.push(kind);
    for record in records {
        out.extend(record.invoker.to_be_bytes());
        out.extend(record.address.ip().octets());
        out.extend(record.address.port().to_be_bytes());
        out.push(match record.status {
            InvokerStatus::Ready => 0,
            InvokerStatus::Draining => 1,
            InvokerStatus::Gone => 2,
        });
        out.extend([record.zone, record.machine_kind as u8]);
        out.extend(record.cell.to_be_bytes());
        out.extend(((record.capacity * 1_000.0).round() as u32).to_be_bytes());
        out.extend(record.started_ms.unwrap_or(0).to_be_bytes());
    }
    out
}

/// Formats an invoker id, as in `s-0a0b0c0d`.
pub fn format_invoker_id(id: InvokerId) -> String {
    format!("s-{id:08x}")
}

/// Parses an invoker id.
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
