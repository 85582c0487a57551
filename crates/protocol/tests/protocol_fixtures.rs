//! Wire compatibility of the protocol messages: every message is compared byte for byte with a stored fixture.
//!
//! Fixture files hold one message per line, `name hex` for frames and `name text` for JSON. They are rewritten only
//! when `SALTDRUM_WRITE_FIXTURES` is set.

use bytes::{Bytes, BytesMut};
use saltdrum_protocol::Malformed;
use saltdrum_protocol::frame::{MAX_FRAME_BYTES, encode, take_frame};
use saltdrum_protocol::invoker::{
    self, Answer, Cancel, Dispatch, DispatchOut, Ended, Found, FromController, FromInvoker, Held,
    Hello, Hold, HoldEnded, Load, Probe, Probed, Unload, Unwelcome, Welcome,
};
use saltdrum_protocol::list::{Change, Entry, Follow, FromList, Life, ToList, Whole};
use saltdrum_protocol::rpc::{self, Id, Invoke, Line};
use saltdrum_protocol::store::{Fetch, Fetched, FromStore, Refused, ToStore};
use serde_bytes::ByteBuf;
use std::fmt::{Debug, Write};
use std::path::Path;

/// Compares with the stored fixture, or stores it when `SALTDRUM_WRITE_FIXTURES` is set.
fn check_fixture(file: &str, actual: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(file);
    if std::env::var_os("SALTDRUM_WRITE_FIXTURES").is_some() {
        std::fs::write(&path, actual).expect("the fixture is writable");
    }
    let stored = std::fs::read_to_string(&path)
        .unwrap_or_else(|error| panic!("fixture {}: {error}", path.display()));
    for (number, (stored, actual)) in stored.lines().zip(actual.lines()).enumerate() {
        assert_eq!(actual, stored, "{file}, line {}", number + 1);
    }
    assert_eq!(
        actual, stored,
        "{file}: the number of lines or the last line break differs"
    );
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes_of_hex(text: &str) -> Vec<u8> {
    let pair = |pair: &[u8]| u8::from_str_radix(str::from_utf8(pair).unwrap(), 16).unwrap();
    text.as_bytes().chunks(2).map(pair).collect()
}

/// A message under its name in the fixture file, encoded and as the receiver should read it.
type Case<Received> = (&'static str, Bytes, Received);

fn check_messages<Received: PartialEq + Debug>(
    file: &str,
    cases: &[Case<Received>],
    read: impl Fn(u8, &[u8]) -> Result<Received, Malformed>,
) {
    let mut lines = String::new();
    for (name, encoded, _) in cases {
        writeln!(lines, "{name} {}", hex(encoded)).unwrap();
    }
    check_fixture(file, &lines);
    for (line, (name, _, expected)) in lines.lines().zip(cases) {
        let (_, stored) = line.split_once(' ').unwrap();
        let mut stream = BytesMut::from(&bytes_of_hex(stored)[..]);
        let (kind, body) = take_frame(&mut stream).unwrap().expect("a whole frame");
        assert!(stream.is_empty(), "{name}: bytes after the frame");
        assert_eq!(read(kind, &body).as_ref(), Ok(expected), "{name}");
    }
}

/// Builds a [`Case`] from a message and the enum that its receiver reads it into.
macro_rules! case {
    ($name:literal, $received:ident::$variant:ident, $message:expr) => {{
        let message = $message;
        ($name, encode(&message), $received::$variant(message))
    }};
}

fn dispatch(token: Option<&str>) -> Dispatch {
    Dispatch {
        dispatch: 0x0102_0304_0506_0708,
        invocation: 0x1112_1314,
        hop: 2,
        function: 0x8182_8384_8586_8788,
        name: "voice@v3".into(),
        tenant: "hill".into(),
        trigger: "narrate".into(),
        left_tenths: 30_001,
        token: token.map(Into::into),
        input: ByteBuf::from(br#"{"text":"a"}"#.to_vec()),
    }
}

#[test]
fn frames_of_a_controller_to_an_invoker_keep_their_bytes() {
    let hello = Hello {
        version_least: 1,
        version_most: 3,
        controller: 70_000,
        incarnation: 0x2122_2324_2526_2728,
        invoker: 258,
    };
    let hold = Hold {
        order: 77,
        function: 0x3132_3334,
        name: "voice".into(),
        count: 4,
    };
    let cases = [
        case!("hello", FromController::Hello, hello),
        case!(
            "dispatch_with_token",
            FromController::Dispatch,
            dispatch(Some("token-9"))
        ),
        case!(
            "dispatch_without_token",
            FromController::Dispatch,
            dispatch(None)
        ),
        case!("cancel", FromController::Cancel, Cancel { dispatch: 513 }),
        case!("hold", FromController::Hold, hold),
        case!(
            "unload",
            FromController::Unload,
            Unload {
                function: u64::MAX - 1
            }
        ),
        case!("probe", FromController::Probe, Probe { probe: 99 }),
    ];
    check_messages("controller_to_invoker.txt", &cases, FromController::read);
}

#[test]
fn a_borrowed_dispatch_encodes_as_the_owned_one() {
    for token in [Some("token-9"), None] {
        let owned = dispatch(token);
        let borrowed = DispatchOut {
            dispatch: owned.dispatch,
            invocation: owned.invocation,
            hop: owned.hop,
            function: owned.function,
            name: &owned.name,
            tenant: &owned.tenant,
            trigger: &owned.trigger,
            left_tenths: owned.left_tenths,
            token,
            input: owned.input[..].into(),
        };
        assert_eq!(borrowed.encode(), encode(&owned));
    }
}

fn answer(ended: Ended, found: Option<Found>, crowd: Option<u8>, load: Load) -> Answer {
    let output = ByteBuf::from(br#"{"sound":7}"#.to_vec());
    Answer {
        dispatch: 0x0102_0304_0506,
        ended,
        found,
        crowd,
        load,
        output,
    }
}

#[test]
fn frames_of_an_invoker_to_a_controller_keep_their_bytes() {
    use Ended::{Cancelled, Errored, Full, Miss, Succeeded};
    let welcome = Welcome {
        version: 1,
        invoker: 259,
        incarnation: 0x4142_4344_4546_4748,
        age_tenths: 900_000,
    };
    let unwelcome = Unwelcome {
        why: "versions 2 to 9 offered".into(),
    };
    let unknown = Load {
        cores_busy: None,
        waiting: None,
    };
    let cores = Load {
        cores_busy: Some(0.625),
        waiting: None,
    };
    let waiting = Load {
        cores_busy: None,
        waiting: Some(3.5),
    };
    let full = Load {
        cores_busy: Some(0.25),
        waiting: Some(12.0),
    };
    let (warm, began) = (Some(Found::Warm), Some(Found::BeganLoad));
    let (joined, failed) = (Some(Found::JoinedLoad), Some(Found::LoadFailed));
    let held = |ended, standing| Held {
        order: 300,
        ended,
        standing,
    };
    let cases = [
        case!("welcome", FromInvoker::Welcome, welcome),
        case!("unwelcome", FromInvoker::Unwelcome, unwelcome),
        case!(
            "answer_succeeded",
            FromInvoker::Answer,
            answer(Succeeded, warm, Some(5), full)
        ),
        case!(
            "answer_errored",
            FromInvoker::Answer,
            answer(Errored, failed, None, cores)
        ),
        case!(
            "answer_full",
            FromInvoker::Answer,
            answer(Full, joined, Some(200), waiting)
        ),
        case!(
            "answer_miss",
            FromInvoker::Answer,
            answer(Miss, began, Some(1), unknown)
        ),
        case!(
            "answer_cancelled",
            FromInvoker::Answer,
            answer(Cancelled, None, None, unknown)
        ),
        case!(
            "held_standing",
            FromInvoker::Held,
            held(HoldEnded::Standing, 3)
        ),
        case!(
            "held_no_room",
            FromInvoker::Held,
            held(HoldEnded::NoRoom, 2)
        ),
        case!(
            "held_load_failed",
            FromInvoker::Held,
            held(HoldEnded::LoadFailed, 1)
        ),
        case!(
            "probed",
            FromInvoker::Probed,
            Probed {
                probe: 98,
                load: full
            }
        ),
        case!(
            "probed_without_load",
            FromInvoker::Probed,
            Probed {
                probe: 97,
                load: unknown
            }
        ),
    ];
    check_messages("invoker_to_controller.txt", &cases, FromInvoker::read);
}

#[test]
fn frames_of_the_invoker_list_keep_their_bytes() {
    let follow = Follow {
        version: 1,
        controller: 7,
        incarnation: 0x5152_5354_5556_5758,
    };
    check_messages(
        "to_list.txt",
        &[case!("follow", ToList::Follow, follow)],
        ToList::read,
    );

    let entry = |life, agent: Option<&str>| Entry {
        invoker: 0x6162_6364,
        address: "tcp:10.1.2.3:7101".into(),
        zone: 2,
        kind: 300,
        cell: 400,
        life,
        size: 4.75,
        incarnation: 0x7172_7374_7576_7778,
        age_tenths: 65_537,
        agent: agent.map(Into::into),
    };
    let ready = || entry(Life::Ready, Some("tcp:10.1.2.3:7102"));
    let leaving = || vec![entry(Life::Draining, None), entry(Life::Gone, None)];
    let whole = |settled, entries| Whole {
        revision: 128,
        settled,
        entries,
    };
    let cases = [
        case!("whole_settled", FromList::Whole, whole(true, vec![ready()])),
        case!("whole_unsettled", FromList::Whole, whole(false, vec![])),
        case!(
            "change",
            FromList::Change,
            Change {
                revision: 129,
                entries: leaving()
            }
        ),
    ];
    check_messages("from_list.txt", &cases, FromList::read);
}

#[test]
fn frames_of_the_model_store_keep_their_bytes() {
    let fetch = Fetch {
        invoker: 260,
        function: 0x0a0b_0c0d_0e0f,
        usual_tenths: 7_000,
    };
    check_messages(
        "to_store.txt",
        &[case!("fetch", ToStore::Fetch, fetch)],
        ToStore::read,
    );

    let refused = Refused {
        function: 0x0a0b_0c0d,
        come_back_tenths: 2_500,
    };
    let cases = [
        case!(
            "fetched",
            FromStore::Fetched,
            Fetched {
                function: 0x0a0b_0c0d_0e0f
            }
        ),
        case!("refused", FromStore::Refused, refused),
    ];
    check_messages("from_store.txt", &cases, FromStore::read);
}

#[test]
fn the_frame_header_is_a_little_endian_length_and_a_kind() {
    let encoded = encode(&Probe { probe: 99 });
    assert_eq!(encoded[..], [3, 0, 0, 0, 6, 0x91, 99]);
    for length in 0..encoded.len() {
        let mut part = BytesMut::from(&encoded[..length]);
        assert_eq!(take_frame(&mut part), Ok(None), "{length} bytes");
        assert_eq!(part.len(), length);
    }
    let mut two = BytesMut::from(&[&encoded[..], &encoded[..1]].concat()[..]);
    assert_eq!(
        take_frame(&mut two),
        Ok(Some((6, Bytes::from_static(&[0x91, 99]))))
    );
    assert_eq!(two[..], encoded[..1]);

    let cut_header = |length: u32| take_frame(&mut BytesMut::from(&length.to_le_bytes()[..]));
    let most = 4 << 20;
    assert_eq!(MAX_FRAME_BYTES, most);
    assert_eq!(cut_header(0), Err(Malformed::Empty));
    assert_eq!(cut_header(4 << 20), Ok(None));
    assert_eq!(
        cut_header((4 << 20) + 1),
        Err(Malformed::Oversize {
            got: most + 1,
            most
        })
    );
}

#[test]
fn versions_and_outcome_numbers_are_unchanged() {
    assert_eq!((invoker::MIN_VERSION, invoker::VERSION), (1, 1));
    let numbered = [
        Ended::Succeeded,
        Ended::Errored,
        Ended::Full,
        Ended::Miss,
        Ended::Cancelled,
    ];
    assert_eq!(numbered.map(|ended| ended as u8), [0, 1, 2, 3, 4]);
}

/// Every optional field of `invoke`, all given and all left out.
fn invocations() -> [(&'static str, Invoke); 2] {
    let raw = |text: &str| serde_json::value::RawValue::from_string(text.into()).unwrap();
    let full = Invoke {
        function: "voice".into(),
        tenant: "hill".into(),
        trigger: "narrate".into(),
        input: Some(raw(r#"{"text": [1, 2.50]}"#)),
        time_left_ms: Some(2_000.5),
        work_hint_ms: Some(12.25),
        token: Some("token-9".into()),
        passage: Some("walk-1".into()),
        version: Some("voice@v3".into()),
        passage_until_ms: Some(1_700_000_000_123),
    };
    let least = Invoke {
        input: None,
        time_left_ms: None,
        work_hint_ms: None,
        token: None,
        passage: None,
        version: None,
        passage_until_ms: None,
        ..full.clone()
    };
    [("all_fields", full), ("needed_fields", least)]
}

#[test]
fn parameters_of_invoke_keep_their_text() {
    let mut lines = String::new();
    for (name, invoke) in invocations() {
        writeln!(lines, "{name} {}", serde_json::to_string(&invoke).unwrap()).unwrap();
    }
    check_fixture("rpc_invoke.txt", &lines);
    for (line, (name, expected)) in lines.lines().zip(invocations()) {
        let (_, text) = line.split_once(' ').unwrap();
        let read: Invoke = serde_json::from_str(text).unwrap();
        assert_eq!(read.function, expected.function, "{name}");
        assert_eq!(read.tenant, expected.tenant, "{name}");
        assert_eq!(read.trigger, expected.trigger, "{name}");
        assert_eq!(
            read.input.map(|input| input.get().to_owned()),
            expected.input.map(|input| input.get().to_owned()),
            "{name}"
        );
        assert_eq!(read.time_left_ms, expected.time_left_ms, "{name}");
        assert_eq!(read.work_hint_ms, expected.work_hint_ms, "{name}");
        assert_eq!(read.token, expected.token, "{name}");
        assert_eq!(read.passage, expected.passage, "{name}");
        assert_eq!(read.version, expected.version, "{name}");
        assert_eq!(read.passage_until_ms, expected.passage_until_ms, "{name}");
        let extended = text.replacen('{', r#"{"surplus":1,"#, 1);
        assert!(
            serde_json::from_str::<Invoke>(&extended).is_err(),
            "unknown fields are refused"
        );
    }
}

/// What a request line reads as: `call id method params`, or `refusal id code message`; `-` stands for no value.
fn read_part(part: &Result<rpc::Call, rpc::RejectedCall>) -> String {
    match part {
        Ok(call) => {
            let id = call.id.as_ref().map_or("-", Id::as_str);
            let params = call.params.as_ref().map_or("-", |params| params.get());
            format!("call {id} {} {params}", call.method)
        }
        Err(refusal) => format!(
            "refusal {} {} {}",
            refusal.id.as_str(),
            refusal.code,
            refusal.why
        ),
    }
}

fn read_request(line: &str) -> String {
    match rpc::parse_line(line.as_bytes()) {
        Ok(Line::Single(part)) => read_part(&part),
        Ok(Line::Batch(parts)) => {
            let parts: Vec<String> = parts.iter().map(read_part).collect();
            format!("batch [{}]", parts.join("; "))
        }
        Err(refusal) => read_part(&Err(refusal)),
    }
}

#[test]
fn request_lines_are_read_and_refused_as_before() {
    let requests = [
        r#"{"jsonrpc":"2.0","id":1,"method":"invoke","params":{"a":1}}"#,
        r#"{"jsonrpc":"2.0","id":"x","method":"status","params":[2]}"#,
        r#"{"jsonrpc":"2.0","id":null,"method":"status"}"#,
        r#"{"jsonrpc":"2.0","id":-1.50,"method":"status"}"#,
        r#"{"jsonrpc":"2.0","method":"status"}"#,
        r#"[{"jsonrpc":"2.0","id":3,"method":"status"},5]"#,
        r#"{"jsonrpc":"#,
        "[]",
        "7",
        r#"{"jsonrpc":"1.0","id":4,"method":"status"}"#,
        r#"{"id":5,"method":"status"}"#,
        r#"{"jsonrpc":"2.0","id":"y","method":7}"#,
        r#"{"jsonrpc":"2.0","id":6}"#,
        r#"{"jsonrpc":"2.0","id":{},"method":"status"}"#,
        r#"{"jsonrpc":"2.0","id":7,"method":"status","params":3}"#,
    ];
    let mut lines = String::new();
    for request in requests {
        writeln!(lines, "{request} => {}", read_request(request)).unwrap();
    }
    check_fixture("rpc_requests.txt", &lines);
    let Err(refusal) = rpc::parse_line(&[b'"', 0xff, b'"']) else {
        panic!("not UTF-8")
    };
    assert_eq!(refusal.code, -32_700);
}

#[test]
fn response_lines_and_error_codes_keep_their_text() {
    let request = br#"{"jsonrpc":"2.0","id":"one","method":"status"}"#;
    let Ok(Line::Single(Ok(call))) = rpc::parse_line(request) else {
        panic!("a call")
    };
    let id = call.id.expect("an id");
    let data = Some(r#"{"come_back_ms":250,"dispatches":3}"#);
    let responses = [
        ("result", rpc::format_result(&id, r#"{"output":1}"#)),
        (
            "parse_error",
            rpc::format_error(&Id::null(), rpc::PARSE_ERROR, "a \"quoted\"\nreason", None),
        ),
        (
            "invalid_request",
            rpc::format_error(&id, rpc::INVALID_REQUEST, "reason", None),
        ),
        (
            "method_not_found",
            rpc::format_error(&id, rpc::METHOD_NOT_FOUND, "reason", None),
        ),
        (
            "invalid_params",
            rpc::format_error(&id, rpc::INVALID_PARAMS, "reason", None),
        ),
        (
            "throttled",
            rpc::format_error(&id, rpc::THROTTLED, "reason", data),
        ),
        (
            "errored",
            rpc::format_error(&id, rpc::ERRORED, "reason", data),
        ),
        (
            "passage_over",
            rpc::format_error(&id, rpc::PASSAGE_OVER, "reason", None),
        ),
    ];
    let mut lines = String::new();
    for (name, text) in &responses {
        writeln!(lines, "{name} {text}").unwrap();
    }
    check_fixture("rpc_responses.txt", &lines);
    assert_eq!(rpc::MAX_LINE_BYTES, 1 << 20);

    let text_of = |name: &str| {
        let prefix = format!("{name} ");
        lines
            .lines()
            .find_map(|line| line.strip_prefix(&prefix))
            .unwrap()
    };
    let result: rpc::Reply = serde_json::from_str(text_of("result")).unwrap();
    assert_eq!(result.id.get(), "\"one\"");
    assert_eq!(result.result.map(|raw| raw.get()), Some(r#"{"output":1}"#));
    assert!(result.error.is_none());

    let throttled: rpc::Reply = serde_json::from_str(text_of("throttled")).unwrap();
    let error = throttled.error.expect("an error");
    assert!(throttled.result.is_none());
    assert_eq!((error.code, error.message.as_str()), (-32_001, "reason"));
    assert_eq!(
        error.data,
        serde_json::json!({"come_back_ms": 250, "dispatches": 3})
    );

    let refused: rpc::Reply = serde_json::from_str(text_of("parse_error")).unwrap();
    assert_eq!(refused.id.get(), "null");
    let error = refused.error.expect("an error");
    assert_eq!(
        (error.code, error.message.as_str()),
        (-32_700, "a \"quoted\"\nreason")
    );
    assert!(error.data.is_null());
}

#[test]
fn a_hello_of_unknown_versions_is_refused_with_the_same_text() {
    let hello = |version_least, version_most| Hello {
        version_least,
        version_most,
        controller: 1,
        incarnation: 2,
        invoker: 3,
    };
    assert_eq!(invoker::negotiate_version(&hello(1, 9)), Ok(1));
    let refusal = invoker::negotiate_version(&hello(2, 9)).unwrap_err();
    assert_eq!(
        refusal.to_string(),
        "versions 2 to 9 offered: this side speaks 1"
    );
}
