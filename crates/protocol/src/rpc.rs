//! JSON-RPC 2.0, one JSON text per line. Responses repeat request ids byte for byte.

use serde::{Deserialize, Deserializer, Serialize};
use serde_json::value::RawValue;

/// Longest line.
pub const MAX_LINE_BYTES: usize = 1 << 20;

pub const PARSE_ERROR: i64 = -32_700;
pub const INVALID_REQUEST: i64 = -32_600;
pub const METHOD_NOT_FOUND: i64 = -32_601;
pub const INVALID_PARAMS: i64 = -32_602;
/// Error code: rejected before it ran, or safe to retry; `data.come_back_ms` is the retry delay.
pub const THROTTLED: i64 = -32_001;
/// Error code: failed; whether it ran is not known.
pub const ERRORED: i64 = -32_002;
/// Error code: the version that a passage is pinned to is no longer available; it never ran. The client may start a new
/// passage.
pub const PASSAGE_OVER: i64 = -32_003;

/// A call. `id` is `None` for a notification.
#[derive(Debug)]
pub struct Call {
    pub id: Option<Id>,
    pub method: String,
    pub params: Option<Box<RawValue>>,
}

/// A request id exactly as the client wrote it: a string, a number or null.
#[derive(Debug, Clone)]
pub struct Id(Box<RawValue>);

impl Id {
    /// The id of responses to requests whose id could not be read.
    pub fn null() -> Self {
        Self(RawValue::from_string("null".into()).expect("null is JSON"))
    }

    /// The id as JSON text.
    pub fn as_str(&self) -> &str {
        self.0.get()
    }
}

/// The content of one line; each part is a call, or the error to answer it with.
#[derive(Debug)]
pub enum Line {
    Single(Result<Call, RejectedCall>),
    Batch(Vec<Result<Call, RejectedCall>>),
}

/// A call that is answered with an error without being handled.
#[derive(Debug)]
pub struct RejectedCall {
    pub id: Id,
    pub code: i64,
    pub why: String,
}

/// The fields of a call before they are checked. Serde puts the type's name into error texts that go to clients: it stays.
#[derive(Deserialize)]
struct Shape<'a> {
    #[serde(borrow)]
    jsonrpc: Option<&'a RawValue>,
    #[serde(default, borrow, deserialize_with = "some_value")]
    id: Option<&'a RawValue>,
    #[serde(borrow)]
    method: Option<&'a RawValue>,
    #[serde(borrow)]
    params: Option<&'a RawValue>,
}

/// Reads a null id as an id: only a call without an id is a notification.
fn some_value<'de: 'a, 'a, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<&'a RawValue>, D::Error> {
    <&RawValue>::deserialize(deserializer).map(Some)
}

fn parse_call(raw: &RawValue) -> Result<Call, RejectedCall> {
    let reject = |id: Option<&Id>, why: String| RejectedCall {
        id: id.cloned().unwrap_or_else(Id::null),
        code: INVALID_REQUEST,
        why,
    };
    let raw_call: Shape = serde_json::from_str(raw.get())
        .map_err(|e| reject(None, format!("a call must be an object: {e}")))?;
    let id = match raw_call.id {
        None => None,
        Some(id) if matches!(id.get().as_bytes()[0], b'"' | b'-' | b'0'..=b'9' | b'n') => {
            Some(Id(id.to_owned()))
        }
        Some(id) => {
            return Err(reject(
                None,
                format!("id {}: a string, number or null is expected", id.get()),
            ));
        }
    };
    if raw_call.jsonrpc.map(RawValue::get) != Some("\"2.0\"") {
        return Err(reject(id.as_ref(), "jsonrpc: \"2.0\" is expected".into()));
    }
    let method: Option<String> = raw_call
        .method
        .and_then(|m| serde_json::from_str(m.get()).ok());
    let method =
        method.ok_or_else(|| reject(id.as_ref(), "method: a string is expected".into()))?;
    match raw_call.params.map(|p| p.get().as_bytes()[0]) {
        None | Some(b'{' | b'[') => Ok(Call {
            id,
            method,
            params: raw_call.params.map(ToOwned::to_owned),
        }),
        Some(_) => Err(reject(
            id.as_ref(),
            "params: an object or an array is expected".into(),
        )),
    }
}

/// Parses one line, without its line break.
pub fn parse_line(line: &[u8]) -> Result<Line, RejectedCall> {
    let reject = |code, why: String| RejectedCall {
        id: Id::null(),
        code,
        why,
    };
    let text = std::str::from_utf8(line).map_err(|e| {
        reject(
            PARSE_ERROR,
            format!("not UTF-8 at byte {}", e.valid_up_to()),
        )
    })?;
    if text.trim_start().starts_with('[') {
        let parts: Vec<&RawValue> =
            serde_json::from_str(text).map_err(|e| reject(PARSE_ERROR, e.to_string()))?;
        if parts.is_empty() {
            return Err(reject(INVALID_REQUEST, "a batch of no calls".into()));
        }
        return Ok(Line::Batch(parts.into_iter().map(parse_call).collect()));
    }
    let raw: &RawValue =
        serde_json::from_str(text).map_err(|e| reject(PARSE_ERROR, e.to_string()))?;
    Ok(Line::Single(parse_call(raw)))
}

/// Parameters of `invoke`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Invoke {
    pub function: String,
    pub tenant: String,
    pub trigger: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub input: Option<Box<RawValue>>,
    /// Time left until the client timeout; if absent, the trigger type's client timeout.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub time_left_ms: Option<f64>,
    /// The client's estimate of the work.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub work_hint_ms: Option<f64>,
    /// Idempotency key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token: Option<String>,
    /// The client's own name for a group of invocations that are to be answered by one version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub passage: Option<String>,
    /// The version, as the previous response in the passage returned it; absent at the start of a passage.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// When the pin ends, as the previous response returned it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub passage_until_ms: Option<u64>,
}

/// Formats a success response, without a line break.
pub fn format_result(id: &Id, result: &str) -> String {
    format!(
        r#"{{"jsonrpc":"2.0","id":{},"result":{result}}}"#,
        id.as_str()
    )
}

/// Formats an error response, without a line break.
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

/// A response as a client reads it.
#[derive(Debug, Deserialize)]
pub struct Reply<'a> {
    #[serde(borrow)]
    pub id: &'a RawValue,
    #[serde(borrow)]
    pub result: Option<&'a RawValue>,
    pub error: Option<ReplyError>,
}

/// The error of a response.
#[derive(Debug, Deserialize)]
pub struct ReplyError {
    pub code: i64,
    pub message: String,
    #[serde(default)]
    pub data: serde_json::Value,
}
