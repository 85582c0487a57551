//! JSON-RPC 2.0, one JSON text a line. Ids come back as they were written, byte for byte.

use serde::{Deserialize, Deserializer, Serialize};
use serde_json::value::RawValue;

/// No line is longer.
pub const MAX_LINE_BYTES: usize = 1 << 20;

pub const PARSE_ERROR: i64 = -32_700;
pub const INVALID_REQUEST: i64 = -32_600;
pub const METHOD_NOT_FOUND: i64 = -32_601;
pub const INVALID_PARAMS: i64 = -32_602;
/// Turned away before it ran, or harmless to repeat; `data.come_back_ms` says when.
pub const THROTTLED: i64 = -32_001;
/// Ended badly; whether it ran is not known.
pub const ERRORED: i64 = -32_002;
/// The version that a passage began with can't be had any more; it never ran. A new passage may begin.
pub const PASSAGE_OVER: i64 = -32_003;

/// One call. `id` is `None` for a notification.
#[derive(Debug)]
pub struct Call {
    pub id: Option<Id>,
    pub method: String,
    pub params: Option<Box<RawValue>>,
}

/// An id as the client wrote it: a string, a number or null.
#[derive(Debug, Clone)]
pub struct Id(Box<RawValue>);

impl Id {
    pub fn null() -> Self {
        Self(RawValue::from_string("null".into()).expect("null is JSON"))
    }

    pub fn as_str(&self) -> &str {
        self.0.get()
    }
}

/// What one line asks for; each part is a call or what is wrong with it.
#[derive(Debug)]
pub enum Line {
    Single(Result<Call, RejectedCall>),
    Batch(Vec<Result<Call, RejectedCall>>),
}

/// A call that is answered with an error at once.
#[derive(Debug)]
pub struct RejectedCall {
    pub id: Id,
    pub code: i64,
    pub why: String,
}

#[derive(Deserialize)]
struct Shape<'a> {
    #[serde(borrow)]
    jsonrpc: Option<&'a RawValue>,
    #[serde(default, borrow, deserialize_with = "present")]
    id: Option<&'a RawValue>,
    #[serde(borrow)]
    method: Option<&'a RawValue>,
    #[serde(borrow)]
    params: Option<&'a RawValue>,
}

/// A null id is an id; only a missing one makes a notification.
fn present<'de: 'a, 'a, D: Deserializer<'de>>(d: D) -> Result<Option<&'a RawValue>, D::Error> {
    <&RawValue>::deserialize(d).map(Some)
}

fn call(raw: &RawValue) -> Result<Call, RejectedCall> {
    let refuse = |id: Option<&Id>, why: String| RejectedCall {
        id: id.cloned().unwrap_or_else(Id::null),
        code: INVALID_REQUEST,
        why,
    };
    let shape: Shape = serde_json::from_str(raw.get())
        .map_err(|e| refuse(None, format!("a call must be an object: {e}")))?;
    let id = match shape.id {
        None => None,
        Some(id) if matches!(id.get().as_bytes()[0], b'"' | b'-' | b'0'..=b'9' | b'n') => {
            Some(Id(id.to_owned()))
        }
        Some(id) => {
            return Err(refuse(
                None,
                format!("id {}: a string, number or null is expected", id.get()),
            ));
        }
    };
    if shape.jsonrpc.map(RawValue::get) != Some("\"2.0\"") {
        return Err(refuse(id.as_ref(), "jsonrpc: \"2.0\" is expected".into()));
    }
    let method: Option<String> = shape
        .method
        .and_then(|m| serde_json::from_str(m.get()).ok());
    let method =
        method.ok_or_else(|| refuse(id.as_ref(), "method: a string is expected".into()))?;
    match shape.params.map(|p| p.get().as_bytes()[0]) {
        None | Some(b'{' | b'[') => Ok(Call {
            id,
            method,
            params: shape.params.map(ToOwned::to_owned),
        }),
        Some(_) => Err(refuse(
            id.as_ref(),
            "params: an object or an array is expected".into(),
        )),
    }
}

/// Reads one line, its line break left out.
pub fn parse_line(line: &[u8]) -> Result<Line, RejectedCall> {
    let fail = |code, why: String| RejectedCall {
        id: Id::null(),
        code,
        why,
    };
    let text = std::str::from_utf8(line).map_err(|e| {
        fail(
            PARSE_ERROR,
            format!("not UTF-8 at byte {}", e.valid_up_to()),
        )
    })?;
    if text.trim_start().starts_with('[') {
        let parts: Vec<&RawValue> =
            serde_json::from_str(text).map_err(|e| fail(PARSE_ERROR, e.to_string()))?;
        if parts.is_empty() {
            return Err(fail(INVALID_REQUEST, "a batch of no calls".into()));
        }
        return Ok(Line::Batch(parts.into_iter().map(call).collect()));
    }
    let raw: &RawValue =
        serde_json::from_str(text).map_err(|e| fail(PARSE_ERROR, e.to_string()))?;
    Ok(Line::Single(call(raw)))
}

/// What `invoke` takes.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Invoke {
    pub function: String,
    pub tenant: String,
    pub trigger: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub input: Option<Box<RawValue>>,
    /// Until the client gives up; the trigger type's client timeout where it is left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub time_left_ms: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub work_hint_ms: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token: Option<String>,
    /// What belongs together and is to be answered by one version: the client's own name for it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub passage: Option<String>,
    /// As the answer before in the passage told it; none: the passage begins.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// As the answer before told it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub passage_until_ms: Option<u64>,
}

/// One answer, without line break.
pub fn format_result(id: &Id, result: &str) -> String {
    format!(
        r#"{{"jsonrpc":"2.0","id":{},"result":{result}}}"#,
        id.as_str()
    )
}

/// One answer that tells of an error, without line break.
pub fn format_error(id: &Id, code: i64, why: &str, data: Option<&str>) -> String {
    let why = serde_json::to_string(why).expect("a string is JSON");
    let data = data
        .map(|data| format!(",\"data\":{data}"))
        .unwrap_or_default();
    format!(
        r#"{{"jsonrpc":"2.0","id":{},"error":{{"code":{code},"message":{why}{data}}}}}"#,
        id.as_str()
    )
}

/// An answer as a client reads it.
#[derive(Debug, Deserialize)]
pub struct Reply<'a> {
    #[serde(borrow)]
    pub id: &'a RawValue,
    #[serde(borrow)]
    pub result: Option<&'a RawValue>,
    pub error: Option<ReplyError>,
}

#[derive(Debug, Deserialize)]
pub struct ReplyError {
    pub code: i64,
    pub message: String,
    #[serde(default)]
    pub data: serde_json::Value,
}
