//! Frames between clients and a controller. Numbers are big-endian.

use crate::Malformed;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use saltdrum::interface::FunctionId;

pub const FRAME_LENGTH_MIN: usize = 5;
pub const FRAME_LENGTH_MAX: usize = 262_144;
/// No frame of a client is held that is longer: a body and its fields have room in it.
const CLIENT_FRAME_BYTES_MAX: usize = BODY_BYTES_MAX + (8 << 10);
pub const BODY_BYTES_MAX: usize = 16 << 10;
/// Invocations that may be open on one connection.
pub const OPEN_STREAMS_MAX: usize = 32;
/// Bytes before the payload.
const HEAD_BYTES: usize = 9;

/// What a client may send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientFrame {
    Invoke {
        stream: u32,
        payload: Bytes,
    },
    /// Nobody waits for this stream any more.
    Cancel {
        stream: u32,
    },
    ReadinessQuery {
        stream: u32,
    },
}

/// How an answer begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Code {
    Succeeded = 79,
    Throttled = 66,
    Errored = 69,
}

const ANSWER: u8 = 17;
const READINESS: u8 = 33;
const GO_AWAY: u8 = 48;

/// Cuts the next whole frame off; `None`: more bytes are needed. An error means that the connection is of no more use.
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
    // A type that no client may send is told before its payload is waited for.
    if let Some(kind) = bytes.get(4).filter(|kind| !matches!(kind, 16 | 18 | 32)) {
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
    let (kind, stream) = (frame.get_u8(), frame.get_u32());
    Ok(Some(match kind {
        16 => ClientFrame::Invoke {
            stream,
            payload: frame,
        },
        18 => ClientFrame::Cancel { stream },
        _ => ClientFrame::ReadinessQuery { stream },
    }))
}

/// One invocation as a client states it.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    pub trigger: String,
    pub txn: u64,
    /// Whose invocation it is, by name; only where the deployment has tenants.
    pub tenant: Option<String>,
    /// How long the client waits, from when it sent this.
    pub limit_ms: f64,
    /// By which a repeat is known.
    pub token: Option<String>,
    pub function: FunctionId,
    pub memory_mb: f64,
    pub concurrency_limit: f64,
    pub load_ms: Option<f64>,
    pub work_hint_ms: Option<f64>,
    pub body: Bytes,
}

fn text<'a>(bytes: &'a [u8], what: &'static str) -> Result<&'a str, Malformed> {
    std::str::from_utf8(bytes)
        .map_err(|_| Malformed::value(what, "that is not text", "UTF-8 is expected"))
}

/// The names and values at the head of a payload.
pub fn parse_fields(payload: &mut Bytes) -> Result<Vec<(Bytes, Bytes)>, Malformed> {
    let what = "fields";
    let count = payload
        .try_get_u8()
        .map_err(|_| Malformed::Short { what })?;
    let mut all: Vec<(Bytes, Bytes)> = Vec::with_capacity(usize::from(count));
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
        text(&name, "name of a field")?;
        if all.iter().any(|(n, _)| *n == name) {
            return Err(Malformed::value(
                "field",
                text(&name, "")?,
                "given once is expected",
            ));
        }
        all.push((name, value));
    }
    Ok(all)
}

/// 16 hex digits, lower case, as ids are written.
pub fn parse_hex16(text: &str, what: &'static str) -> Result<u64, Malformed> {
    let well = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    well.then(|| u64::from_str_radix(text, 16).ok())
        .flatten()
        .ok_or_else(|| Malformed::value(what, text, "16 hex digits are expected"))
}

/// A plain decimal number: no sign, no exponent, nothing round it.
fn number(text: &str, what: &'static str, least: f64, most: f64) -> Result<f64, Malformed> {
    let plain = !text.is_empty()
        && text.len() <= 24
        && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let n = if plain {
        text.parse::<f64>().ok()
    } else {
        None
    };
    n.filter(|n| (least..=most).contains(n))
        .ok_or_else(|| Malformed::value(what, text, "a number within its range is expected"))
}

/// Longest wait that a client may state, in ms; a day, beside which no client timeout is long.
const LIMIT_MAX_MS: f64 = 86_400_000.0;
const TOKEN_BYTES_MAX: usize = 128;
const NUMBER_MAX: f64 = 1e9;

/// Reads the payload of an invocation.
pub fn parse_request(mut payload: Bytes) -> Result<Request, Malformed> {
    let fields = parse_fields(&mut payload)?;
    let field = |name: &str| {
        fields
            .iter()
            .find(|(n, _)| n == name.as_bytes())
            .map(|(_, value)| value)
    };
    let stated = |name: &'static str| match field(name) {
        Some(value) => text(value, name),
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
            let token = text(value, "unique")?;
            // It goes on as a header: what would break out of one is no token.
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
        trigger: stated("verb")?.to_owned(),
        txn: parse_hex16(stated("txn")?, "txn")?,
        tenant: field("team")
            .map(|value| text(value, "team"))
            .transpose()?
            .map(ToOwned::to_owned),
        limit_ms: number(stated("limit")?, "limit", 0.001, LIMIT_MAX_MS)?,
        token,
        function: parse_hex16(stated("item")?, "item")?,
        memory_mb: 0.0,
        concurrency_limit: 1.0,
        load_ms: None,
        work_hint_ms: None,
        // On its own: a slice would keep the whole buffer that it was read into.
        body: Bytes::copy_from_slice(&payload),
    };
    if field("cpu").is_some() {
        request.work_hint_ms =
            Some(number(stated("cpu")?, "cpu", 0.0, NUMBER_MAX)?).filter(|ms| *ms > 0.0);
    }
    if field("extras").is_some() {
        for figure in stated("extras")?.split(';').filter(|f| !f.is_empty()) {
            let (name, value) = figure
                .split_once(':')
                .ok_or_else(|| Malformed::value("extras", figure, "name:value is expected"))?;
            let value = number(value, "extras", 0.0, NUMBER_MAX)?;
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

fn frame(kind: u8, stream: u32, code: Option<u8>, fields: &[(&str, &str)], body: &[u8]) -> Bytes {
    let coded = usize::from(code.is_some());
    let named: usize = fields.iter().map(|(n, v)| 3 + n.len() + v.len()).sum();
    let payload = code.map_or(0, |_| 1 + named) + coded + body.len();
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

/// The longest output that an answer has room for.
pub const OUTPUT_BYTES_MAX: usize = FRAME_LENGTH_MAX - 64;

/// The answer to the invocation of a stream; on stream 0, an error that belongs to none.
pub fn encode_response(stream: u32, code: Code, later_ms: Option<u64>, body: &[u8]) -> Bytes {
    let later = later_ms.map(|ms| ms.to_string());
    let fields: Vec<(&str, &str)> = later.iter().map(|ms| ("later", ms.as_str())).collect();
    frame(ANSWER, stream, Some(code as u8), &fields, body)
}

pub fn encode_readiness(stream: u32, ready: bool) -> Bytes {
    let code = if ready {
        Code::Succeeded
    } else {
        Code::Throttled
    };
    frame(READINESS, stream, Some(code as u8), &[], &[])
}

/// No new invocation on this connection.
pub fn encode_go_away() -> Bytes {
    frame(GO_AWAY, 0, None, &[], &[])
}

/// Writes an invocation as clients do, for those who play them.
pub fn encode_invoke(stream: u32, fields: &[(&str, &str)], body: &[u8]) -> Bytes {
    let mut payload = BytesMut::new();
    put_fields(&mut payload, fields);
    payload.put_slice(body);
    frame(16, stream, None, &[], &payload)
}

/// Writes a frame without fields as clients do.
pub fn encode_empty(kind: u8, stream: u32) -> Bytes {
    frame(kind, stream, None, &[], &[])
}
