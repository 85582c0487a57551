//! The record of a trial, a line of JSON each, is written as it was when the fixture was written,
//! and read back the same. Verdicts on a stored record are told the same.

#[path = "../../../tests/support/fixture_file.rs"]
mod fixture_file;

use saltdrum_trial::judge::judge;
use saltdrum_trial::lease_judge::judge_leases;
use saltdrum_trial::record::{How, Line, read, write};
use std::collections::BTreeSet;

const FIXTURE: &str = "trial-record.jsonl";
const BROKEN: &str = "broken-rules.jsonl";

fn ended(code: Option<i32>, killed: bool) -> Line {
    Line::Ended {
        at_ns: 203,
        process: "invoker-2".into(),
        code,
        killed,
    }
}

fn invoked(how: How) -> Line {
    Line::Invoked {
        sent_ns: 210,
        at_ns: 211,
        controller: 2,
        how,
    }
}

/// A line of each kind, and each value of what has few values.
fn one_of_each() -> Vec<Line> {
    vec![
        Line::Bound {
            group: "invokers of kigali".into(),
            members: vec!["invoker-1".into(), "invoker-2".into()],
            out: 1,
            detect_ns: 5_000_000_001,
        },
        Line::Told {
            at_ns: 201,
            member: "invoker-1".into(),
            incarnation: 0x1234_5678_9abc,
            what: "began".into(),
            grant: 17,
        },
        Line::Started {
            at_ns: 202,
            process: "steward-1".into(),
        },
        ended(Some(-2), false),
        ended(None, true),
        Line::Stopped {
            at_ns: 204,
            process: "invoker-3".into(),
            still: true,
        },
        Line::Asked {
            sent_ns: 205,
            at_ns: 206,
            what: "halt".into(),
            done: true,
            answer: "done, at revision 7".into(),
        },
        Line::Effect {
            at_ns: 207,
            resource: "journal-1".into(),
            lease: "counting".into(),
            epoch: 18,
            by: "invoker-1/abc".into(),
        },
        Line::History {
            steward: 3,
            revision: 19,
            what: "resumed by operator".into(),
        },
        invoked(How::Succeeded),
        invoked(How::Throttled),
        invoked(How::Errored),
        invoked(How::Lost),
        Line::Disturbed {
            at_ns: 212,
            until_ns: 213,
        },
        Line::Failed {
            at_ns: 214,
            why: "one-drain.star:12: \"over\" took too long".into(),
        },
    ]
}

/// A new kind of line has to be added above, and to the fixture.
fn kind_number(line: &Line) -> usize {
    match line {
        Line::Bound { .. } => 0,
        Line::Told { .. } => 1,
        Line::Started { .. } => 2,
        Line::Ended { .. } => 3,
        Line::Stopped { .. } => 4,
        Line::Asked { .. } => 5,
        Line::Effect { .. } => 6,
        Line::History { .. } => 7,
        Line::Invoked { .. } => 8,
        Line::Disturbed { .. } => 9,
        Line::Failed { .. } => 10,
    }
}

const KINDS: usize = 11;

fn bytes_of(lines: &[Line]) -> Vec<u8> {
    let mut bytes = Vec::new();
    write(lines, &mut bytes).unwrap();
    bytes
}

#[test]
fn the_fixture_holds_each_kind_of_line() {
    let kinds: BTreeSet<usize> = one_of_each().iter().map(kind_number).collect();
    assert_eq!(kinds, (0..KINDS).collect());
}

#[test]
fn each_kind_of_line_is_written_the_same() {
    fixture_file::assert_equals(FIXTURE, &bytes_of(&one_of_each()));
}

#[test]
fn a_stored_record_is_read_as_what_was_written() {
    assert_eq!(
        read(fixture_file::read(FIXTURE).as_slice()).unwrap(),
        one_of_each()
    );
}

#[test]
fn breaches_of_the_rules_are_told_the_same() {
    let stored = fixture_file::read(BROKEN);
    let lines = read(stored.as_slice()).unwrap();
    assert!(
        bytes_of(&lines) == stored,
        "it is written again as it was read"
    );
    let mut verdicts = judge(&lines);
    verdicts.extend(judge_leases(&lines));
    let told = serde_json::to_string_pretty(&verdicts).unwrap() + "\n";
    fixture_file::assert_equals("broken-rules.verdicts.json", told.as_bytes());
    // An invocation that is lost counts only where no process was killed or stopped.
    let kept = verdicts
        .iter()
        .filter(|verdict| verdict.broken.is_empty())
        .count();
    assert_eq!((verdicts.len(), kept), (9, 0), "{told}");
}
