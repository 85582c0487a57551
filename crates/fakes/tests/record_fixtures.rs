//! The record of a day, a line of JSON each, is written as it was when the fixture was written, and
//! read back the same.

#[path = "../../../tests/support/fixture_file.rs"]
mod fixture_file;

use saltdrum_fakes::record::{
    ClientAttempt, ControllerId, InvokerInfo, Line, Outcome, RuleParameters, Trigger, read, write,
};

const FIXTURE: &str = "day-record.jsonl";
const WHO: ControllerId = ControllerId {
    controller: 3,
    incarnation: 0x1234_5678_9abc,
};
const OF: ClientAttempt = ClientAttempt {
    number: 4_000_000_007,
    attempt: 2,
};

fn trigger(name: &str, effect: &str, scope: &str) -> Trigger {
    Trigger {
        name: name.into(),
        effect: effect.into(),
        scope: scope.into(),
        repeat_window: 30_001,
        objective: 12_002,
        billed_value: 2.5,
    }
}

fn stated() -> RuleParameters {
    RuleParameters {
        triggers: vec![
            trigger("narrate", "idempotent", "all"),
            trigger("charge", "tokened", "cell"),
            trigger("book", "non-idempotent", "zone"),
        ],
        places: vec![
            InvokerInfo {
                invoker: 1,
                zone: 2,
                cell: 3,
                pace: 3.5,
            },
            InvokerInfo {
                invoker: 4,
                zone: 5,
                cell: 6,
                pace: 0.75,
            },
        ],
        parallel_dispatches: true,
        drain_grace: 2_501,
        cold_share: 0.2,
        cold_time: 80_001,
        tip_factor: 2.25,
        tip_window: 15_001,
        order_window: 20_001,
        orders_free: 6.5,
        orders_share: 0.08,
    }
}

fn final_answer(how: Outcome) -> Line {
    Line::Final {
        at: 103,
        earliest: 102,
        of: OF,
        how,
    }
}

fn ran(token: Option<&str>, repeat: bool) -> Line {
    let (at, invoker, invocation, hop) = (111, 7, 19, 1);
    let token = token.map(str::to_owned);
    Line::Started {
        at,
        invoker,
        who: WHO,
        invocation,
        hop,
        of: OF,
        token,
        repeat,
    }
}

/// A line of each kind, and each value of what has few values.
fn one_of_each() -> Vec<Line> {
    vec![
        Line::RuleParameters(stated()),
        Line::Sent {
            at: 101,
            who: WHO,
            of: OF,
            tenant: "hill-museum".into(),
            trigger: "narrate".into(),
            function: "voice-3".into(),
            timeout: 50_001,
            work: 1_101,
        },
        final_answer(Outcome::Succeeded),
        final_answer(Outcome::Throttled),
        final_answer(Outcome::Errored),
        Line::HungUp { at: 104, of: OF },
        Line::OutputProduced {
            at: 105,
            invoker: 7,
            of: OF,
            output: "made \"so\" – ü".into(),
        },
        Line::OutputReceived {
            at: 106,
            of: OF,
            output: "told\nso".into(),
        },
        Line::ConnectionLost { at: 107, of: OF },
        Line::ReadsSlowly { at: 108, of: OF },
        Line::Dispatched {
            at: 110,
            earliest: 109,
            invoker: 7,
            who: WHO,
            invocation: 19,
            hop: 1,
            of: OF,
            trigger: "book".into(),
        },
        ran(Some("token-5"), true),
        ran(None, false),
        Line::PassageStep {
            at: 112,
            invoker: 7,
            of: OF,
            function: u64::MAX,
            passage: "passage-9".into(),
        },
        Line::Ended {
            at: 113,
            invoker: 7,
            who: WHO,
            invocation: 19,
            hop: 1,
            of: OF,
            ended: "succeeded".into(),
            response_sent: true,
        },
        Line::Cancelled {
            at: 114,
            invoker: 7,
            who: WHO,
            invocation: 19,
            hop: 1,
        },
        Line::LoadOrdered {
            at: 116,
            earliest: 115,
            invoker: 7,
            who: WHO,
            function: 0xfeed,
            count: 2,
        },
        Line::Loaded {
            at: 117,
            invoker: 7,
            function: 0xfeed,
            took: 9_001,
            ok: true,
        },
        Line::CopyAssembled {
            at: 118,
            invoker: 7,
            function: 0xfeed,
            matches_model: true,
        },
        Line::EndpointSent {
            at: 119,
            who: WHO,
            invoker: 7,
            incarnation: 0xabc,
            life: "draining".into(),
        },
        Line::FetchRequested {
            at: 120,
            invoker: 7,
            function: 0xfeed,
            refused: true,
        },
        Line::LayerTotals {
            at: 121,
            chunks: 31,
            store_requests: 32,
            bytes_from_store: 33,
            from_cache: 34,
            from_peers: 35,
            from_store: 36,
            damaged: 37,
        },
        Line::RegistryTotals {
            at: 122,
            revision: 41,
            moves: 42,
            stages_well: 43,
            stages_stopped: 44,
            corrupt: vec![("voice-1".into(), 45), ("voice-2".into(), 46)],
        },
        Line::Invoker {
            at: 123,
            invoker: 7,
            incarnation: 0xabc,
            up: true,
            cold: true,
        },
        Line::Controller {
            at: 124,
            who: WHO,
            up: true,
        },
        Line::ThreadStalled {
            at: 125,
            until: 126,
            thread: "controller-3".into(),
        },
        Line::FaultInjected {
            at: 127,
            until: 128,
            text: "crash: invokers 2, 11".into(),
        },
        Line::TrafficEnded { at: 129 },
    ]
}

/// A new kind of line has to be added above, and to the fixture.
fn kind_number(line: &Line) -> usize {
    match line {
        Line::RuleParameters(_) => 0,
        Line::Sent { .. } => 1,
        Line::Final { .. } => 2,
        Line::HungUp { .. } => 3,
        Line::OutputProduced { .. } => 4,
        Line::OutputReceived { .. } => 5,
        Line::ConnectionLost { .. } => 6,
        Line::ReadsSlowly { .. } => 7,
        Line::Dispatched { .. } => 8,
        Line::Started { .. } => 9,
        Line::PassageStep { .. } => 10,
        Line::Ended { .. } => 11,
        Line::Cancelled { .. } => 12,
        Line::LoadOrdered { .. } => 13,
        Line::Loaded { .. } => 14,
        Line::CopyAssembled { .. } => 15,
        Line::EndpointSent { .. } => 16,
        Line::FetchRequested { .. } => 17,
        Line::LayerTotals { .. } => 18,
        Line::RegistryTotals { .. } => 19,
        Line::Invoker { .. } => 20,
        Line::Controller { .. } => 21,
        Line::ThreadStalled { .. } => 22,
        Line::FaultInjected { .. } => 23,
        Line::TrafficEnded { .. } => 24,
    }
}

const KINDS: usize = 25;

fn bytes_of(lines: &[Line]) -> Vec<u8> {
    let mut bytes = Vec::new();
    write(lines, &mut bytes).unwrap();
    bytes
}

#[test]
fn the_fixture_holds_each_kind_of_line() {
    let kinds: std::collections::BTreeSet<usize> = one_of_each().iter().map(kind_number).collect();
    assert_eq!(kinds, (0..KINDS).collect());
}

#[test]
fn each_kind_of_line_is_written_the_same() {
    fixture_file::assert_equals(FIXTURE, &bytes_of(&one_of_each()));
}

#[test]
fn a_stored_record_is_read_as_what_was_written() {
    let stored = fixture_file::read(FIXTURE);
    let lines = read(stored.as_slice()).unwrap();
    assert!(
        bytes_of(&lines) == stored,
        "it is written again as it was read"
    );
    let kinds = |lines: &[Line]| lines.iter().map(kind_number).collect::<Vec<_>>();
    assert_eq!(kinds(&lines), kinds(&one_of_each()));
    let Line::RuleParameters(stated) = &lines[0] else {
        panic!("the first line states the deployment")
    };
    assert_eq!((stated.triggers.len(), stated.places[1].pace), (3, 0.75));
    assert_eq!(
        (stated.cold_time, stated.tip_window, stated.order_window),
        (80_001, 15_001, 20_001)
    );
    let answers: Vec<Outcome> = lines
        .iter()
        .filter_map(|line| {
            if let Line::Final { how, .. } = line {
                Some(*how)
            } else {
                None
            }
        })
        .collect();
    assert_eq!(
        answers,
        [Outcome::Succeeded, Outcome::Throttled, Outcome::Errored]
    );
    let tokens: Vec<(Option<String>, bool)> = lines
        .iter()
        .filter_map(|line| match line {
            Line::Started { token, repeat, .. } => Some((token.clone(), *repeat)),
            _ => None,
        })
        .collect();
    assert_eq!(tokens, [(Some("token-5".to_owned()), true), (None, false)]);
}
