//! Codecs of the platform: what is written is read, whatever the pieces it comes in; what is bent is refused.

use bytes::{Bytes, BytesMut};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use saltdrum::interface::{InvokerStatus, LoadOutcome, Outcome, StartKind};
use saltdrum_platform_wire::feed::{self, EndpointRecord, Event};
use saltdrum_platform_wire::frames::{self, ClientFrame};
use saltdrum_platform_wire::{config, http};
use std::net::{Ipv4Addr, SocketAddrV4};

fn seeded(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(18),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn any_line() -> impl Strategy<Value = EndpointRecord> {
    let status = prop_oneof![
        Just(InvokerStatus::Ready),
        Just(InvokerStatus::Draining),
        Just(InvokerStatus::Gone)
    ];
    (
        any::<u32>(),
        any::<u32>(),
        any::<u16>(),
        status,
        any::<u8>(),
        any::<u8>(),
        any::<u16>(),
        any::<u32>(),
        any::<u64>(),
    )
        .prop_map(
            |(invoker, ip, port, status, zone, machine_kind, cell, capacity, started)| {
                EndpointRecord {
                    invoker,
                    address: SocketAddrV4::new(Ipv4Addr::from(ip), port),
                    status,
                    zone,
                    machine_kind: machine_kind.into(),
                    cell,
                    capacity: f64::from(capacity) / 1_000.0,
                    started_ms: Some(started).filter(|ms| *ms > 0),
                }
            },
        )
}

fn any_event() -> impl Strategy<Value = (u64, Event)> {
    let lines = || prop::collection::vec(any_line(), 0..5);
    let event = prop_oneof![
        Just(Event::Heartbeat),
        lines().prop_map(Event::Snapshot),
        lines().prop_map(Event::Changes)
    ];
    (any::<u64>(), event)
}

/// All frames that come out when the bytes arrive cut at one place.
fn in_two<T>(
    bytes: &[u8],
    at: usize,
    mut cut: impl FnMut(&mut BytesMut) -> Result<Option<T>, saltdrum_platform_wire::Malformed>,
) -> Vec<T> {
    let (mut read, mut all) = (BytesMut::new(), Vec::new());
    for part in [&bytes[..at], &bytes[at..]] {
        read.extend_from_slice(part);
        while let Some(frame) = cut(&mut read).unwrap() {
            all.push(frame);
        }
    }
    assert!(read.is_empty());
    all
}

proptest! {
    #![proptest_config(seeded(64))]

    #[test]
    fn events_are_read_as_written_wherever_they_are_cut(events in prop::collection::vec(any_event(), 1..4)) {
        let bytes: Vec<u8> = events.iter().flat_map(|(n, e)| feed::encode(*n, e)).collect();
        for at in 0..=bytes.len() {
            prop_assert_eq!(&in_two(&bytes, at, feed::decode), &events);
        }
    }

    #[test]
    fn requests_are_read_as_written_wherever_they_are_cut(
        txn in any::<u64>(), item in any::<u64>(), limit in 1u32..100_000, token in "[!-~]{1,40}",
        body in prop::collection::vec(any::<u8>(), 0..300), stream in any::<u32>(),
    ) {
        let (txn_text, item_text, limit_text) = (format!("{txn:016x}"), format!("{item:016x}"), limit.to_string());
        let fields = [("verb", "look"), ("txn", &txn_text), ("limit", &limit_text), ("item", &item_text),
            ("unique", &token), ("extras", "memory_mb:512;lanes:2;load_ms:640;new:1")];
        let bytes = [frames::encode_invoke(stream, &fields, &body), frames::encode_empty(18, stream), frames::encode_empty(32, 0)].concat();
        for at in 0..=bytes.len() {
            let all = in_two(&bytes, at, frames::decode);
            prop_assert_eq!(&all[1..], &[ClientFrame::Cancel { stream }, ClientFrame::ReadinessQuery { stream: 0 }]);
            let ClientFrame::Invoke { stream: s, payload } = all[0].clone() else { panic!() };
            let r = frames::parse_request(payload).unwrap();
            prop_assert_eq!((s, r.txn, r.function, r.limit_ms), (stream, txn, item, f64::from(limit)));
            prop_assert_eq!((r.trigger.as_str(), r.token.as_deref(), &r.body[..]), ("look", Some(&token[..]), &body[..]));
            prop_assert_eq!((r.memory_mb, r.concurrency_limit, r.load_ms), (512.0, 2.0, Some(640.0)));
        }
    }

    /// Whatever the bytes are, nothing panics and nothing is held past the bound.
    #[test]
    fn noise_is_refused_or_waited_for(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let mut read = BytesMut::from(&bytes[..]);
        while let Ok(Some(frame)) = frames::decode(&mut read) {
            if let ClientFrame::Invoke { payload, .. } = frame {
                let _ = frames::parse_request(payload);
            }
        }
        let mut read = BytesMut::from(&bytes[..]);
        while let Ok(Some(_)) = feed::decode(&mut read) {}
        let _ = frames::parse_request(Bytes::from(bytes.clone()));
        let _ = http::parse_load_report(&String::from_utf8_lossy(&bytes));
        let _ = config::parse(&String::from_utf8_lossy(&bytes));
    }
}

#[test]
fn lengths_are_judged_before_anything_is_held() {
    for length in [0u32, 4, 24_577, 60_000_000, u32::MAX] {
        assert!(
            frames::decode(&mut BytesMut::from(&length.to_be_bytes()[..])).is_err(),
            "{length}"
        );
    }
    for length in [0u32, 8, 10, 35, u32::MAX] {
        assert!(
            feed::decode(&mut BytesMut::from(&length.to_be_bytes()[..])).is_err(),
            "{length}"
        );
    }
}

#[test]
fn statuses_mean_what_the_protocol_says() {
    let unrun = |name: &str| (name == "x-unrun").then_some("1");
    let bare = |_: &str| None;
    let outcomes = [
        (200, Outcome::Succeeded, Outcome::Succeeded),
        (404, Outcome::Miss, Outcome::Miss),
        (500, Outcome::Errored, Outcome::Errored),
        (503, Outcome::Full, Outcome::Errored),
        (504, Outcome::NotSent, Outcome::Errored),
        (302, Outcome::Errored, Outcome::Errored),
    ];
    for (status, noted, plain) in outcomes {
        assert_eq!(
            (
                http::dispatch_outcome(status, unrun),
                http::dispatch_outcome(status, bare)
            ),
            (noted, plain),
            "{status}"
        );
    }
    assert_eq!(http::load_outcome(200, bare), LoadOutcome::Loaded);
    assert_eq!(http::load_outcome(503, unrun), LoadOutcome::NoCapacity);
    assert_eq!(http::load_outcome(500, bare), LoadOutcome::LoadFailed);
    let details = http::parse_response_details(|name| match name {
        "x-how" => Some("rode"),
        "x-ahead" => Some("300"),
        "x-gauges" => Some("queue:7;util:0.61;x:nan"),
        "x-units" => Some("2"),
        _ => None,
    });
    assert_eq!(
        (
            details.start_kind,
            details.concurrency,
            details.loaded_instances
        ),
        (Some(StartKind::JoinedLoad), Some(255), 2)
    );
    assert_eq!(
        (
            details.load_report.queue_length,
            details.load_report.utilization
        ),
        (Some(7.0), Some(0.61))
    );
    assert_eq!(
        http::parse_load_report("util:inf;queue:x").utilization,
        None
    );
}

#[test]
fn a_bad_configuration_names_field_value_and_what_was_expected() {
    let fault = |text: &str| config::parse(text).unwrap_err().to_string();
    assert!(fault("{").contains("JSON is expected"));
    assert!(
        fault(r#"{"seed":7}"#).starts_with("seed: 7: text"),
        "{}",
        fault(r#"{"seed":7}"#)
    );
    assert_eq!(
        fault(r#"{"seed":"1f"}"#),
        "settings: missing: the field is needed"
    );
    assert!(fault(r#"{"seed":"1f","settings":{}}"#).contains("classes.count: missing"));
    assert!(
        config::parse_feed_address(r#"{"feed":"nowhere"}"#)
            .unwrap_err()
            .to_string()
            .contains("ADDRESS:PORT")
    );
    assert_eq!(
        config::parse_feed_address(r#"{"feed":"10.2.0.1:8500"}"#)
            .unwrap()
            .port(),
        8_500
    );
}
