//! Compatibility with the platform: client frames, feed records, HTTP fields and the start file are compared with
//! stored fixtures.
//!
//! Binary fixtures hold one frame per line, `name hex`. `start_file.json` is written by hand; the other files are
//! rewritten only when `SALTDRUM_WRITE_FIXTURES` is set.

use bytes::{Buf, Bytes, BytesMut};
use saltdrum::interface::{
    Deployment, Effect, InvokerRecord, InvokerStatus, KeyScope, LoadOutcome, Outcome, StartKind,
};
use saltdrum_platform_wire::config::{self, Config, MachineLimits};
use saltdrum_platform_wire::feed::{self, EndpointRecord, Event};
use saltdrum_platform_wire::frames::{self, ClientFrame, Code};
use saltdrum_platform_wire::http;
use serde_json::Value;
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};

fn fixture_path(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(file)
}

fn read_fixture(file: &str) -> String {
    let path = fixture_path(file);
    std::fs::read_to_string(&path)
        .unwrap_or_else(|error| panic!("fixture {}: {error}", path.display()))
}

/// Compares with the stored fixture, or stores it when `SALTDRUM_WRITE_FIXTURES` is set.
fn check_fixture(file: &str, actual: &str) {
    if std::env::var_os("SALTDRUM_WRITE_FIXTURES").is_some() {
        std::fs::write(fixture_path(file), actual).expect("the fixture is writable");
    }
    let stored = read_fixture(file);
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

fn bytes_of_hex(text: &str) -> BytesMut {
    let pair = |pair: &[u8]| u8::from_str_radix(str::from_utf8(pair).unwrap(), 16).unwrap();
    text.as_bytes().chunks(2).map(pair).collect()
}

/// Checks frames against a fixture file and gives the stored bytes back in the same order.
fn check_frames(file: &str, frames: &[(&str, Bytes)]) -> Vec<BytesMut> {
    let mut lines = String::new();
    for (name, frame) in frames {
        writeln!(lines, "{name} {}", hex(frame)).unwrap();
    }
    check_fixture(file, &lines);
    lines
        .lines()
        .map(|line| bytes_of_hex(line.split_once(' ').unwrap().1))
        .collect()
}

const ALL_FIELDS: [(&str, &str); 8] = [
    ("verb", "charge"),
    ("txn", "0102030405060708"),
    ("team", "hill"),
    ("limit", "2500.75"),
    ("unique", "token-9"),
    ("item", "8182838485868788"),
    ("cpu", "12.5"),
    ("extras", "memory_mb:512;lanes:2;load_ms:640;new:1"),
];

const NEEDED_FIELDS: [(&str, &str); 4] = [
    ("verb", "look"),
    ("txn", "1112131415161718"),
    ("limit", "900"),
    ("item", "2122232425262728"),
];

#[test]
fn frames_of_a_client_keep_their_bytes_and_meaning() {
    let sent = [
        (
            "invoke_all_fields",
            frames::encode_invoke(0x3132_3334, &ALL_FIELDS, b"body \x00\xff"),
        ),
        (
            "invoke_needed_fields",
            frames::encode_invoke(0x4142_4344, &NEEDED_FIELDS, b""),
        ),
        ("left", frames::encode_empty(18, 0x5152_5354)),
        ("ask_ready", frames::encode_empty(32, 0x6162_6364)),
    ];
    let mut stored = check_frames("client_frames.txt", &sent);
    let received: Vec<ClientFrame> = stored
        .iter_mut()
        .map(|frame| frames::decode(frame).unwrap().expect("a whole frame"))
        .collect();
    assert!(stored.iter().all(|rest| rest.is_empty()));

    let ClientFrame::Invoke { stream, payload } = received[0].clone() else {
        panic!("an invoke")
    };
    assert_eq!(stream, 0x3132_3334);
    let expected = frames::Request {
        trigger: "charge".into(),
        txn: 0x0102_0304_0506_0708,
        tenant: Some("hill".into()),
        limit_ms: 2_500.75,
        token: Some("token-9".into()),
        function: 0x8182_8384_8586_8788,
        memory_mb: 512.0,
        concurrency_limit: 2.0,
        load_ms: Some(640.0),
        work_hint_ms: Some(12.5),
        body: Bytes::from_static(b"body \x00\xff"),
    };
    assert_eq!(frames::parse_request(payload), Ok(expected));

    let ClientFrame::Invoke { stream, payload } = received[1].clone() else {
        panic!("an invoke")
    };
    assert_eq!(stream, 0x4142_4344);
    let expected = frames::Request {
        trigger: "look".into(),
        txn: 0x1112_1314_1516_1718,
        tenant: None,
        limit_ms: 900.0,
        token: None,
        function: 0x2122_2324_2526_2728,
        memory_mb: 0.0,
        concurrency_limit: 1.0,
        load_ms: None,
        work_hint_ms: None,
        body: Bytes::new(),
    };
    assert_eq!(frames::parse_request(payload), Ok(expected));
    assert_eq!(
        received[2],
        ClientFrame::Cancel {
            stream: 0x5152_5354
        }
    );
    assert_eq!(
        received[3],
        ClientFrame::ReadinessQuery {
            stream: 0x6162_6364
        }
    );
}

#[test]
fn frames_to_a_client_keep_their_bytes() {
    let later = Some(1_250);
    let sent = [
        (
            "succeeded",
            frames::encode_response(0x0102_0304, Code::Succeeded, None, b"output"),
        ),
        (
            "throttled",
            frames::encode_response(0x1112_1314, Code::Throttled, later, b""),
        ),
        (
            "throttled_without_advice",
            frames::encode_response(0x1112_1315, Code::Throttled, None, b""),
        ),
        (
            "errored",
            frames::encode_response(0x2122_2324, Code::Errored, None, b"reason"),
        ),
        ("ready", frames::encode_readiness(0x3132_3334, true)),
        ("not_ready", frames::encode_readiness(0x3132_3335, false)),
        ("go_away", frames::encode_go_away()),
    ];
    let stored = check_frames("frames_to_client.txt", &sent);
    // There is no decoder of these frames outside the tests: the layout is read field by field.
    let field = |name, value| vec![(Bytes::from_static(name), Bytes::from_static(value))];
    let expected = [
        (17, 0x0102_0304, 79, vec![], &b"output"[..]),
        (17, 0x1112_1314, 66, field(b"later", b"1250"), b""),
        (17, 0x1112_1315, 66, vec![], b""),
        (17, 0x2122_2324, 69, vec![], b"reason"),
        (33, 0x3132_3334, 79, vec![], b""),
        (33, 0x3132_3335, 66, vec![], b""),
    ];
    for (frame, (kind, stream, code, fields, body)) in stored.iter().zip(expected) {
        let mut frame = frame.clone().freeze();
        assert_eq!(frame.get_u32() as usize, frame.len());
        assert_eq!(
            (frame.get_u8(), frame.get_u32(), frame.get_u8()),
            (kind, stream, code)
        );
        assert_eq!(frames::parse_fields(&mut frame), Ok(fields));
        assert_eq!(frame, body);
    }
    assert_eq!(stored[6][..], [0, 0, 0, 5, 48, 0, 0, 0, 0]);
}

#[test]
fn bounds_of_client_frames_are_unchanged() {
    assert_eq!(
        (frames::FRAME_LENGTH_MIN, frames::FRAME_LENGTH_MAX),
        (5, 262_144)
    );
    assert_eq!(
        (frames::BODY_BYTES_MAX, frames::OUTPUT_BYTES_MAX),
        (16_384, 262_080)
    );
    assert_eq!(frames::OPEN_STREAMS_MAX, 32);
}

/// The error text of a request with these fields, or `accepted`.
fn request_outcome(fields: &[(&str, &str)]) -> String {
    let mut frame = BytesMut::from(&frames::encode_invoke(1, fields, b"")[..]);
    let Ok(Some(ClientFrame::Invoke { payload, .. })) = frames::decode(&mut frame) else {
        panic!("an invoke")
    };
    frames::parse_request(payload)
        .err()
        .map_or_else(|| "accepted".into(), |error| error.to_string())
}

#[test]
fn missing_and_wrong_request_fields_are_refused_with_the_same_text() {
    let mut lines = String::new();
    for (index, (name, _)) in ALL_FIELDS.iter().enumerate() {
        let mut without = ALL_FIELDS.to_vec();
        without.remove(index);
        writeln!(lines, "{name} left out: {}", request_outcome(&without)).unwrap();
        let mut wrong = ALL_FIELDS;
        wrong[index].1 = " ";
        writeln!(lines, "{name} blank: {}", request_outcome(&wrong)).unwrap();
    }
    let twice = [&NEEDED_FIELDS[..], &NEEDED_FIELDS[..1]].concat();
    writeln!(lines, "verb twice: {}", request_outcome(&twice)).unwrap();
    for kind in [17, 33, 48, 0] {
        let refused =
            frames::decode(&mut BytesMut::from(&frames::encode_empty(kind, 1)[..])).unwrap_err();
        writeln!(lines, "frame type {kind}: {refused}").unwrap();
    }
    let oversize = frames::decode(&mut BytesMut::from(&[255; 4][..])).unwrap_err();
    writeln!(lines, "frame length: {oversize}").unwrap();
    check_fixture("request_faults.txt", &lines);
}

fn line(invoker: u32, life: InvokerStatus, started_ms: Option<u64>) -> EndpointRecord {
    EndpointRecord {
        invoker,
        address: SocketAddrV4::new(Ipv4Addr::new(10, 3, 0, 1), 9_001),
        status: life,
        zone: 2,
        machine_kind: 3,
        cell: 0x0405,
        capacity: 4.25,
        started_ms,
    }
}

#[test]
fn feed_records_keep_their_bytes_and_meaning() {
    let started = Some(1_700_000_000_123);
    let changed = vec![
        line(0x1112_1314, InvokerStatus::Draining, started),
        line(0x2122_2324, InvokerStatus::Gone, None),
    ];
    let events = [
        ("nothing", 0x0102_0304_0506_0708, Event::Heartbeat),
        (
            "whole",
            0x1112,
            Event::Snapshot(vec![line(0x0a0b_0c0d, InvokerStatus::Ready, None)]),
        ),
        ("whole_of_no_lines", 0x1113, Event::Snapshot(vec![])),
        ("changes", 0x1114, Event::Changes(changed)),
    ];
    let encoded = events
        .clone()
        .map(|(name, number, event)| (name, Bytes::from(feed::encode(number, &event))));
    let stored = check_frames("feed.txt", &encoded);
    for (mut frame, (name, number, event)) in stored.into_iter().zip(events) {
        assert_eq!(
            feed::decode(&mut frame),
            Ok(Some((number, event))),
            "{name}"
        );
        assert!(frame.is_empty(), "{name}");
    }
}

#[test]
fn a_feed_line_is_listed_field_by_field() {
    let InvokerRecord {
        invoker,
        zone,
        machine_kind: kind,
        cell,
        status: life,
        capacity: size,
        started_at: started,
    } = line(7, InvokerStatus::Draining, Some(99)).to_invoker_record(Some(123));
    assert_eq!((invoker, zone, kind, cell), (7, 2, 3, 0x0405));
    assert_eq!(
        (life, size, started),
        (InvokerStatus::Draining, 4.25, Some(123))
    );
}

#[test]
fn invoker_ids_keep_their_text() {
    assert_eq!(feed::format_invoker_id(0x0a0b_0c0d), "s-0a0b0c0d");
    assert_eq!(feed::parse_invoker_id("s-0a0b0c0d"), Ok(0x0a0b_0c0d));
    let refused = feed::parse_invoker_id("n-0a0b0c0d").unwrap_err();
    let expected = "id of an invoker n-0a0b0c0d: s- and 8 hex digits are expected";
    assert_eq!(refused.to_string(), expected);
}

fn outcome_word(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Succeeded => "succeeded",
        Outcome::Errored => "errored",
        Outcome::Full => "full",
        Outcome::TimedOut => "timed out",
        Outcome::NoConnection => "no connection",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "not sent",
        Outcome::Miss => "miss",
    }
}

fn hold_outcome_word(outcome: LoadOutcome) -> &'static str {
    match outcome {
        LoadOutcome::Loaded => "standing",
        LoadOutcome::NoCapacity => "no room",
        LoadOutcome::LoadFailed => "load failed",
        LoadOutcome::Unreachable => "unreachable",
        LoadOutcome::TimedOut => "timed out",
        LoadOutcome::NotSent => "not sent",
    }
}

fn found_word(found: Option<StartKind>) -> &'static str {
    match found {
        None => "-",
        Some(StartKind::Warm) => "warm",
        Some(StartKind::BeganLoad) => "began load",
        Some(StartKind::JoinedLoad) => "joined load",
        Some(StartKind::LoadFailed) => "load failed",
    }
}

#[test]
fn http_fields_and_statuses_keep_their_names_and_meaning() {
    let mut lines = String::new();
    let sent = [
        ("transaction", http::TRANSACTION_HEADER),
        ("function", http::FUNCTION_HEADER),
        ("time limit", http::TIME_LIMIT_HEADER),
        ("token", http::TOKEN_HEADER),
    ];
    for (name, field) in sent {
        writeln!(lines, "{name} is sent as {field}").unwrap();
    }
    writeln!(lines, "path {}", http::function_path(0x0a0b_0c0d_0e0f)).unwrap();

    for status in [200, 302, 404, 429, 500, 503, 504] {
        for unrun in [None, Some("1"), Some("0")] {
            let field = |name: &str| unrun.filter(|_| name == "x-unrun");
            let outcome = outcome_word(http::dispatch_outcome(status, field));
            let held = hold_outcome_word(http::load_outcome(status, field));
            let unrun = unrun.unwrap_or("-");
            writeln!(
                lines,
                "{status} x-unrun={unrun}: dispatch {outcome}, hold {held}"
            )
            .unwrap();
        }
    }

    let answers = [
        ("x-how", "resident"),
        ("x-how", "booted"),
        ("x-how", "rode"),
        ("x-how", "boot_error"),
        ("x-how", "other"),
        ("x-ahead", "7"),
        ("x-ahead", "0"),
        ("x-ahead", "300"),
        ("x-gauges", "queue:7;util:0.61;new:1"),
        ("x-gauges", "queue:nan;util:inf"),
        ("x-units", "3"),
        ("x-units", "300"),
    ];
    for (name, value) in answers {
        let notes = http::parse_response_details(|asked| (asked == name).then_some(value));
        let number = |number: Option<f64>| number.map_or("-".into(), |number| number.to_string());
        writeln!(
            lines,
            "{name}={value}: found {}, crowd {}, busy {}, queue {}, standing {}",
            found_word(notes.start_kind),
            number(notes.concurrency.map(f64::from)),
            number(notes.load_report.utilization),
            number(notes.load_report.queue_length),
            notes.loaded_instances,
        )
        .unwrap();
    }
    check_fixture("http.txt", &lines);
}

#[test]
fn every_value_of_the_start_file_reaches_its_field() {
    let text = read_fixture("start_file.json");
    // Without `..`, so that a new field does not compile until it is compared here.
    let Config {
        name,
        listen,
        seed,
        limits,
        feed,
        known_events,
        deployment,
        trigger_names,
        tenant_names,
        connect_timeout,
        connection_idle_timeout,
        load_timeout,
    } = config::parse(&text).unwrap();
    let address = |text: &str| text.parse::<SocketAddrV4>().unwrap();
    assert_eq!(name, "n1");
    assert_eq!(listen, address("10.2.0.5:7443"));
    assert_eq!(seed, 0x8c1f_30d2_7a5b_e964);
    assert_eq!(
        limits,
        MachineLimits {
            memory_mb: 640.5,
            descriptors: 4_096
        }
    );
    assert_eq!(feed, address("10.2.0.1:8500"));
    assert_eq!(
        config::parse_feed_address(&text),
        Ok(address("10.2.0.1:8500"))
    );
    assert_eq!(trigger_names, ["look", "charge"]);
    assert_eq!(tenant_names, ["hill", "dale"]);
    assert_eq!(
        (connect_timeout, connection_idle_timeout, load_timeout),
        (2_510, 150_005, 100_000)
    );

    let ready = EndpointRecord {
        invoker: 0x0a0b_0c0d,
        address: address("10.3.0.1:9001"),
        status: InvokerStatus::Ready,
        zone: 1,
        machine_kind: 1,
        cell: 300,
        capacity: 4.25,
        started_ms: None,
    };
    let draining = EndpointRecord {
        invoker: 0x1112_1314,
        address: address("10.3.0.2:9002"),
        status: InvokerStatus::Draining,
        zone: 0,
        machine_kind: 0,
        cell: 301,
        capacity: 2.5,
        started_ms: Some(1_700_000_000_123),
    };
    let gone = EndpointRecord {
        invoker: 0x2122_2324,
        address: address("10.3.0.3:9003"),
        status: InvokerStatus::Gone,
        zone: 0,
        machine_kind: 1,
        cell: 302,
        capacity: 1.75,
        started_ms: Some(5),
    };
    let whole = Event::Snapshot(vec![ready, draining]);
    assert_eq!(
        known_events,
        (42, vec![(40, whole), (42, Event::Changes(vec![gone]))])
    );
    check_deployment(&deployment);
}

/// The settings of the start file. Their names are covered one by one by the fixtures of `saltdrum-settings`.
fn check_deployment(deployment: &Deployment) {
    assert_eq!((deployment.controllers, deployment.zone), (3, 1));
    assert_eq!(
        (
            deployment.over_quota_value_share,
            deployment.max_event_interval
        ),
        (0.15, 25)
    );
    assert_eq!(deployment.machine_memory_mb, [42_000.0, 84_000.5]);
    assert_eq!(
        (deployment.attempt_limit, deployment.may_attempt_in_parallel),
        (6, false)
    );
    assert_eq!((deployment.may_cancel, deployment.may_probe), (true, true));
    assert_eq!(
        (deployment.may_load, deployment.reports_misses),
        (true, true)
    );
    assert_eq!(
        (deployment.keep_alive, deployment.max_retry_after),
        (89_000, Some(5_125))
    );
    assert_eq!(
        (deployment.load_window, deployment.free_loads),
        (45_000, 7.5)
    );
    assert_eq!(
        (deployment.loads_per_invocation, deployment.drain_grace),
        (0.12, 2_505)
    );
    assert_eq!(
        (deployment.initial_capacity_share, deployment.warm_up_time),
        (0.19, 160_000)
    );
    assert_eq!(
        (deployment.overload_factor, deployment.overload_window),
        (2.75, 15_000)
    );
    let quotas: Vec<f64> = deployment
        .tenants
        .iter()
        .map(|tenant| tenant.quota_per_second)
        .collect();
    assert_eq!(quotas, [40.5, 80.25]);
    let [look, charge] = &deployment.trigger_types[..] else {
        panic!("two trigger types")
    };
    assert_eq!(
        (
            look.latency_objective,
            look.client_timeout,
            look.idempotency_window
        ),
        (10_000, 30_000, 20_000)
    );
    assert_eq!(
        (look.effect, look.key_scope),
        (Effect::Idempotent, KeyScope::All)
    );
    assert_eq!((look.billed_value, look.late_value_share), (1.5, 0.25));
    assert_eq!(
        (charge.latency_objective, charge.client_timeout),
        (9_000, 29_000)
    );
    assert_eq!(
        (charge.effect, charge.key_scope),
        (Effect::IdempotencyKey, KeyScope::Zone)
    );
    assert_eq!((charge.billed_value, charge.late_value_share), (2.5, 0.35));
    assert_eq!(charge.idempotency_window, 19_000);
}

/// Paths of all members of objects, as JSON pointers.
fn member_pointers(value: &Value, path: &str, pointers: &mut Vec<String>) {
    match value {
        Value::Object(members) => {
            for (name, member) in members {
                let path = format!("{path}/{name}");
                pointers.push(path.clone());
                member_pointers(member, &path, pointers);
            }
        }
        Value::Array(items) => {
            for (index, item) in items.iter().enumerate() {
                member_pointers(item, &format!("{path}/{index}"), pointers);
            }
        }
        _ => {}
    }
}

#[test]
fn missing_and_wrong_values_of_the_start_file_are_reported_with_the_same_text() {
    let start_file: Value = serde_json::from_str(&read_fixture("start_file.json")).unwrap();
    let outcome = |changed: &Value| match config::parse(&changed.to_string()) {
        Ok(_) => "accepted".to_owned(),
        Err(fault) => fault.to_string(),
    };
    let mut pointers = Vec::new();
    member_pointers(&start_file, "", &mut pointers);
    // The order of members in memory depends on features of serde_json.
    pointers.sort();
    let mut lines = String::new();
    for pointer in pointers {
        let (parent, name) = pointer.rsplit_once('/').unwrap();
        let mut without = start_file.clone();
        without
            .pointer_mut(parent)
            .unwrap()
            .as_object_mut()
            .unwrap()
            .remove(name);
        writeln!(lines, "{pointer} left out: {}", outcome(&without)).unwrap();
        let mut wrong = start_file.clone();
        *wrong.pointer_mut(&pointer).unwrap() = Value::from("?");
        writeln!(lines, "{pointer}=\"?\": {}", outcome(&wrong)).unwrap();
    }
    check_fixture("start_file_faults.txt", &lines);
}
