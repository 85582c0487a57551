//! Frames between clients and a controller. Integers are big-endian.

use crate::Malformed;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use saltdrum::interface::FunctionId;

/// Least value of the length field of a frame, which counts the type and the stream but not itself.
pub const FRAME_LENGTH_MIN: usize = 5;
/// Greatest value of the length field of a frame.
pub const FRAME_LENGTH_MAX: usize = 262_144;
/// Greatest length of a frame from a client: the longest body and 8 KiB for its fields. Longer frames are not buffered.
const CLIENT_FRAME_BYTES_MAX: usize = BODY_BYTES_MAX + (8 << 10);
/// Longest body of an invocation.
pub const BODY_BYTES_MAX: usize = 16 << 10;
/// Invocations that may be in flight on one connection.
pub const OPEN_STREAMS_MAX: usize = 32;
/// Bytes before the payload.
const HEAD_BYTES: usize = 9;

/// A frame from a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientFrame {
    /// An invocation.
    Invoke { stream: u32, payload: Bytes },
    /// The client no longer waits for the response on this stream.
    Cancel { stream: u32 },
    /// Asks whether the controller accepts new invocations.
    ReadinessQuery { stream: u32 },
}

/// The type of a frame from a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameKind {
    /// An invocation.
    Invoke,
    /// The client no longer waits for a response.
    Cancel,
    /// Asks whether the controller accepts new invocations.
    ReadinessQuery,
}

impl FrameKind {
    fn of(code: u8) -> Option<Self> {
        match code {
            16 => Some(Self::Invoke),
            18 => Some(Self::Cancel),
            32 => Some(Self::ReadinessQuery),
            _ => None,
        }
    }
}

/// The head of a frame from a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FrameHead {
    /// Its type.
    pub kind: FrameKind,
    /// Its stream.
    pub stream: u32,
    /// Bytes of the whole frame, including the length field.
    pub frame_bytes: usize,
}

/// Decodes the head of the next frame, if it has arrived; `None` as well if it is malformed, as [`decode`] reports.
pub fn decode_head(bytes: &[u8]) -> Option<FrameHead> {
    let mut head = bytes.get(..HEAD_BYTES)?;
    let length = head.get_u32() as usize;
    let is_valid = (FRAME_LENGTH_MIN..=CLIENT_FRAME_BYTES_MAX).contains(&length);
    Some(FrameHead {
        kind: FrameKind::of(head.get_u8()).filter(|_| is_valid)?,
        stream: head.get_u32(),
        frame_bytes: 4 + length,
    })
}

/// The outcome in a response frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Code {
    Succeeded = 79,
    Throttled = 66,
    Errored = 69,
}

const RESPONSE_TYPE: u8 = 17;
const READINESS_TYPE: u8 = 33;
const GO_AWAY_TYPE: u8 = 48;

/// Splits off and decodes the next complete frame; `None`: more bytes are needed. After an error the connection cannot
/// be read any further.
pub fn decode(bytes: &mut BytesMut) -> Result<Option<ClientFrame>, Malformed> {
    let Some(head) = bytes.get(..4) else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(head.try_into().expect("four bytes")) as usize;
    if !(FRAME_LENGTH_MIN..=CLIENT_FRAME_BYTES_MAX).contains(&length) {
        let (least, most) = (FRAME_LENGTH_MIN as u64, CLIENT_FRAME_BYTES_MAX as u64);
        return Err(Malformed::Length {
            what: "frame",
            got: length as u64,
            least,
            most,
        });
    }
    // A frame type that clients may not send is rejected before its payload arrives.
    if let Some(kind) = bytes.get(4).filter(|kind| FrameKind::of(**kind).is_none()) {
        return Err(Malformed::value(
            "frame type",
            kind,
            "16, 18 or 32 is expected",
        ));
    }
    if bytes.len() < 4 + length {
        return Ok(None);
    }
    let mut frame = bytes.split_to(4 + length).freeze();
    frame.advance(4);
    let (kind, stream) = (FrameKind::of(frame.get_u8()), frame.get_u32());
    Ok(kind.map(|kind| match kind {
        FrameKind::Invoke => ClientFrame::Invoke {
            stream,
            payload: frame,
        },
        FrameKind::Cancel => ClientFrame::Cancel { stream },
        FrameKind::ReadinessQuery => ClientFrame::ReadinessQuery { stream },
    }))
}

/// An invocation as sent by a client.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Name of the trigger type.
    pub trigger: String,
    /// Id of the invocation.
    pub txn: u64,
    /// Name of the tenant; required if the deployment has tenants.
    pub tenant: Option<String>,
    /// How long the client waits, from when it sent the request.
    pub limit_ms: f64,
    /// The idempotency token.
    pub token: Option<String>,
    pub function: FunctionId,
    /// Memory of an instance; 0 if not stated.
    pub memory_mb: f64,
    /// Invocations that one instance runs at once.
    pub concurrency_limit: f64,
    /// Expected time to load the function.
    pub load_ms: Option<f64>,
    /// Expected time to run the invocation.
    pub work_hint_ms: Option<f64>,
    pub body: Bytes,
}

fn parse_utf8<'a>(bytes: &'a [u8], what: &'static str) -> Result<&'a str, Malformed> {
    std::str::from_utf8(bytes)
        .map_err(|_| Malformed::value(what, "that is not text", "UTF-8 is expected"))
}

/// Splits off and parses the names and values at the start of a payload.
pub fn parse_fields(payload: &mut Bytes) -> Result<Vec<(Bytes, Bytes)>, Malformed> {
    let what = "fields";
    let count = payload
        .try_get_u8()
        .map_err(|_| Malformed::Short { what })?;
    let mut fields: Vec<(Bytes, Bytes)> = Vec::with_capacity(usize::from(count));
    for _ in 0..count {
        let size = usize::from(
            payload
                .try_get_u8()
                .map_err(|_| Malformed::Short { what })?,
        );
        if payload.len() < size {
            return Err(Malformed::Short { what });
        }
        let name = payload.split_to(size);
        let size = usize::from(
            payload
                .try_get_u16()
                .map_err(|_| Malformed::Short { what })?,
        );
        if payload.len() < size {
            return Err(Malformed::Short { what });
        }
        let value = payload.split_to(size);
        parse_utf8(&name, "name of a field")?;
        if fields.iter().any(|(other, _)| *other == name) {
            return Err(Malformed::value(
                "field",
                parse_utf8(&name, "")?,
                "given once is expected",
            ));
        }
        fields.push((name, value));
    }
    Ok(fields)
}

/// Parses an id of 16 lower-case hex digits.
pub fn parse_hex16(text: &str, what: &'static str) -> Result<u64, Malformed> {
    let is_valid = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    is_valid
        .then(|| u64::from_str_radix(text, 16).ok())
        .flatten()
        .ok_or_else(|| Malformed::value(what, text, "16 hex digits are expected"))
}

/// Parses a decimal number without sign, exponent or white space.
fn parse_number(text: &str, what: &'static str, min: f64, max: f64) -> Result<f64, Malformed> {
    let is_plain = !text.is_empty()
        && text.len() <= 24
        && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let number = if is_plain {
        text.parse::<f64>().ok()
    } else {
        None
    };
    number
        .filter(|n| (min..=max).contains(n))
        .ok_or_else(|| Malformed::value(what, text, "a number within its range is expected"))
}

/// Longest time limit that a client may state: a day, well above any client timeout.
const TIME_LIMIT_MAX_MS: f64 = 86_400_000.0;
const TOKEN_BYTES_MAX: usize = 128;
const NUMBER_MAX: f64 = 1e9;

/// Parses the payload of an invocation.
pub fn parse_request(mut payload: Bytes) -> Result<Request, Malformed> {
    let fields = parse_fields(&mut payload)?;
    let field = |name: &str| {
        fields
            .iter()
            .find(|(candidate, _)| candidate == name.as_bytes())
            .map(|(_, value)| value)
    };
    let required = |name: &'static str| match field(name) {
        Some(value) => parse_utf8(value, name),
        None => Err(Malformed::value(name, "left out", "the field is needed")),
    };
    if payload.len() > BODY_BYTES_MAX {
        let (got, most) = (payload.len() as u64, BODY_BYTES_MAX as u64);
        return Err(Malformed::Length {
            what: "body",
            got,
            least: 0,
            most,
        });
    }
    let token = match field("unique") {
        None => None,
        Some(value) => {
            let token = parse_utf8(value, "unique")?;
            // The token is forwarded as an HTTP header: characters that would end the header are rejected.
            if token.is_empty()
                || token.len() > TOKEN_BYTES_MAX
                || !token.bytes().all(|b| b.is_ascii_graphic())
            {
                return Err(Malformed::value(
                    "unique",
                    token,
                    "1 to 128 visible ASCII characters are expected",
                ));
            }
            Some(token.to_owned())
        }
    };
    let mut request = Request {
        trigger: required("verb")?.to_owned(),
        txn: parse_hex16(required("txn")?, "txn")?,
        tenant: field("team")
            .map(|value| parse_utf8(value, "team"))
            .transpose()?
            .map(ToOwned::to_owned),
        limit_ms: parse_number(required("limit")?, "limit", 0.001, TIME_LIMIT_MAX_MS)?,
        token,
        function: parse_hex16(required("item")?, "item")?,
        memory_mb: 0.0,
        concurrency_limit: 1.0,
        load_ms: None,
        work_hint_ms: None,
        // Copied, because a slice would keep the whole read buffer in memory.
        body: Bytes::copy_from_slice(&payload),
    };
    if field("cpu").is_some() {
        request.work_hint_ms =
            Some(parse_number(required("cpu")?, "cpu", 0.0, NUMBER_MAX)?).filter(|ms| *ms > 0.0);
    }
    if field("extras").is_some() {
        for pair in required("extras")?.split(';').filter(|p| !p.is_empty()) {
            let (name, value) = pair
                .split_once(':')
                .ok_or_else(|| Malformed::value("extras", pair, "name:value is expected"))?;
            let value = parse_number(value, "extras", 0.0, NUMBER_MAX)?;
            match name {
                "memory_mb" => request.memory_mb = value,
                "lanes" => request.concurrency_limit = value.max(1.0),
                "load_ms" => request.load_ms = Some(value).filter(|ms| *ms > 0.0),
                _ => {}
            }
        }
    }
    Ok(request)
}

fn put_fields(out: &mut BytesMut, fields: &[(&str, &str)]) {
    out.put_u8(fields.len() as u8);
    for (name, value) in fields {
        out.put_u8(name.len() as u8);
        out.put_slice(name.as_bytes());
        out.put_u16(value.len() as u16);
        out.put_slice(value.as_bytes());
    }
}

fn encode_frame(
    kind: u8,
    stream: u32,
    code: Option<u8>,
    fields: &[(&str, &str)],
    body: &[u8],
) -> Bytes {
    let code_bytes = usize::from(code.is_some());
    let field_bytes: usize = fields.iter().map(|(n, v)| 3 + n.len() + v.len()).sum();
    let payload = code.map_or(0, |_| 1 + field_bytes) + code_bytes + body.len();
    let mut out = BytesMut::with_capacity(HEAD_BYTES + payload);
    out.put_u32((FRAME_LENGTH_MIN + payload) as u32);
    out.put_u8(kind);
    out.put_u32(stream);
    if let Some(code) = code {
        out.put_u8(code);
        put_fields(&mut out, fields);
    }
    out.put_slice(body);
    out.freeze()
}

/// Longest output that fits into a response; 64 bytes are reserved for its fields.
pub const OUTPUT_BYTES_MAX: usize = FRAME_LENGTH_MAX - 64;

/// Encodes the response to the invocation on a stream. On stream 0 it is an error that concerns the whole connection.
pub fn encode_response(stream: u32, code: Code, later_ms: Option<u64>, body: &[u8]) -> Bytes {
    let later = later_ms.map(|ms| ms.to_string());
    let fields: Vec<(&str, &str)> = later.iter().map(|ms| ("later", ms.as_str())).collect();
    encode_frame(RESPONSE_TYPE, stream, Some(code as u8), &fields, body)
}

/// Encodes whether the controller accepts new invocations.
pub fn encode_readiness(stream: u32, ready: bool) -> Bytes {
    let code = if ready {
        Code::Succeeded
    } else {
        Code::Throttled
    };
    encode_frame(READINESS_TYPE, stream, Some(code as u8), &[], &[])
}

/// Encodes the request to send no new invocation on this connection.
pub fn encode_go_away() -> Bytes {
    encode_frame(GO_AWAY_TYPE, 0, None, &[], &[])
}

/// Encodes an invocation, for stand-ins of clients.
pub fn encode_invoke(stream: u32, fields: &[(&str, &str)], body: &[u8]) -> Bytes {
    let mut payload = BytesMut::new();
    put_fields(&mut payload, fields);
    payload.put_slice(body);
    encode_frame(16, stream, None, &[], &payload)
}

/// Encodes a frame without a payload, for stand-ins of clients.
pub fn encode_empty(kind: u8, stream: u32) -> Bytes {
    encode_frame(kind, stream, None, &[], &[])
}
