//! Tests of the checks in `node_day::record`: each reports its violation and nothing else.

#![expect(clippy::disallowed_methods, reason = "records contain real times")]

mod node_day;
mod node_peers;

use node_day::record::{Attempt, Effect, Record, Request};
use node_day::send_trace::StoppedSend;
use std::time::{Duration, Instant};

const REQUEST: u64 = 7;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// An attempt at an invoker, with its arrival and end in milliseconds since `base`.
fn attempt(base: Instant, invoker: usize, arrived_ms: u64, ended_ms: u64) -> Attempt {
    Attempt {
        id: REQUEST,
        arrived: base + ms(arrived_ms),
        ended: base + ms(ended_ms),
        told_limit: ms(100),
        provably_never_ran: false,
        invoker,
    }
}

/// The record of one request, with its attempts in recording order. Its client has abandoned it, so that no answer is owed.
fn record_of(effect: Effect, base: Instant, attempts: Vec<Attempt>) -> Record {
    let request = Request {
        connected: base,
        sent_at: base,
        limit: ms(5_000),
        effect,
        answers: Vec::new(),
        abandoned_at: Some(base + ms(4_000)),
        dropped_at: None,
    };
    Record {
        requests: [(REQUEST, request)].into(),
        attempts,
        ..Record::default()
    }
}

fn violations_of(effect: Effect, base: Instant, attempts: Vec<Attempt>) -> Vec<String> {
    record_of(effect, base, attempts).violations()
}

/// Guards against a retry that ends at once and is recorded before the abandoned attempt that it follows, whose thread wakes
/// slightly later: the whole duration of the first attempt was then counted as two attempts in flight.
#[test]
fn checks_attempts_in_order_of_arrival() {
    let base = Instant::now();
    let (abandoned, retry) = (attempt(base, 1, 0, 596), attempt(base, 2, 594, 594));
    let violations = violations_of(Effect::Idempotent, base, vec![retry, abandoned]);
    assert!(violations.is_empty(), "{violations:?}");
}

#[test]
fn reports_two_attempts_in_flight_in_any_recording_order() {
    let base = Instant::now();
    for reversed in [false, true] {
        let mut attempts = vec![attempt(base, 1, 0, 200), attempt(base, 2, 100, 300)];
        if reversed {
            attempts.reverse();
        }
        let violations = violations_of(Effect::Idempotent, base, attempts);
        assert_eq!(violations.len(), 1, "{violations:?}");
        assert!(
            violations[0].contains("two out for 100ms"),
            "{violations:?}"
        );
    }
}

/// The second attempt has ended before the latest arrives, the first has not.
#[test]
fn reports_overlap_with_an_attempt_other_than_the_previous_one() {
    let base = Instant::now();
    let attempts = vec![
        attempt(base, 1, 0, 400),
        attempt(base, 2, 390, 395),
        attempt(base, 3, 350, 360),
    ];
    let violations = violations_of(Effect::Idempotent, base, attempts);
    assert_eq!(violations.len(), 1, "{violations:?}");
    assert!(violations[0].contains("at 3 from 350"), "{violations:?}");
}

#[test]
fn reports_a_retry_recorded_before_the_attempt_it_repeats() {
    let base = Instant::now();
    let attempts = vec![attempt(base, 2, 594, 594), attempt(base, 1, 0, 596)];
    let violations = violations_of(Effect::NonIdempotent, base, attempts);
    assert_eq!(violations, ["7: repeated, and may have run"]);
}

/// The number of violations by an attempt that arrived 1,000 ms after its client abandoned the request, with a limit of
/// 4,700 ms and no time remaining, given this trace.
fn violations_of_late_send(told_limit_ms: u64, stopped_ms: u64) -> usize {
    let base = Instant::now();
    let mut late = attempt(base, 1, 5_000, 5_010);
    late.told_limit = ms(4_700);
    let mut record = record_of(Effect::Idempotent, base, vec![late]);
    record.stopped_sends = vec![StoppedSend {
        id: REQUEST,
        told_limit: ms(told_limit_ms),
        stopped: ms(stopped_ms),
    }];
    record.violations().len()
}

#[test]
fn traced_stop_excuses_its_send_by_the_duration_of_the_stop_only() {
    assert_eq!(violations_of_late_send(4_700, 4_800), 0, "the whole delay");
    assert_eq!(
        violations_of_late_send(4_700, 4_300),
        1,
        "the limit is too long"
    );
    assert_eq!(
        violations_of_late_send(4_700, 300),
        2,
        "a part of the delay"
    );
    assert_eq!(violations_of_late_send(4_600, 4_800), 2, "another attempt");
}
