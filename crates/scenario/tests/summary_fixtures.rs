//! What `saltdrum play --virtual` records and tells, and what `saltdrum check` makes of a record,
//! is what it was when the fixtures were written. Days in virtual time repeat to the byte, so
//! records and summaries are compared whole.

#[path = "../../../tests/support/fixture_file.rs"]
mod fixture_file;

use saltdrum_fakes::record::{self, Line};
use saltdrum_scenario::check::{check, dispatches_after_hang_up, mismatched_outputs};
use saltdrum_scenario::{Day, State, play_virtually, serve, summary};
use serde_json::json;
use std::collections::BTreeSet;

const DAYS: [&str; 2] = ["short-day", "models-and-layers-day"];
const BROKEN_RULES: &str = "broken-rules.jsonl";

fn play(name: &str) -> Vec<Line> {
    let script = String::from_utf8(fixture_file::read(&format!("{name}.star"))).unwrap();
    play_virtually(&Day::load(name, &script).unwrap(), serve).unwrap()
}

fn shipped_days<const N: usize>(names: [&str; N]) -> [(&'static str, &'static str); N] {
    names.map(|name| {
        *saltdrum_scenario::DAYS
            .iter()
            .find(|day| day.0 == name)
            .unwrap()
    })
}

fn record_bytes(lines: &[Line]) -> Vec<u8> {
    let mut bytes = Vec::new();
    record::write(lines, &mut bytes).unwrap();
    bytes
}

/// As `--json` prints it.
fn summary_text(name: &str, lines: &[Line]) -> String {
    let told = summary::summarize(name, lines, check(lines).unwrap());
    serde_json::to_string_pretty(&told).unwrap() + "\n"
}

#[test]
fn a_virtual_day_leaves_the_same_record() {
    for name in DAYS {
        fixture_file::assert_equals(&format!("{name}.jsonl"), &record_bytes(&play(name)));
    }
}

#[test]
fn the_summary_of_a_virtual_day_as_json_is_the_same() {
    for name in DAYS {
        let told = summary_text(name, &play(name));
        fixture_file::assert_equals(&format!("{name}.summary.json"), told.as_bytes());
    }
}

#[test]
fn the_fixture_days_fill_all_optional_fields_of_the_summary() {
    let told = |name| summary::summarize(name, &play(name), Vec::new());
    let (short, models) = (told(DAYS[0]), told(DAYS[1]));
    assert!(short.moves.is_none() && short.layers.is_none() && short.passages.is_none());
    assert!(models.moves.is_some() && models.layers.is_some() && models.passages.is_some());
    assert!(short.tries.hung_up > 0 && !short.troubles.is_empty());
}

#[test]
fn a_stored_record_is_read_and_judged_the_same() {
    for name in DAYS {
        let stored = fixture_file::read(&format!("{name}.jsonl"));
        let lines = record::read(stored.as_slice()).unwrap();
        assert!(
            record_bytes(&lines) == stored,
            "{name} is written as it was read"
        );
        let told = summary_text(name, &lines);
        fixture_file::assert_equals(&format!("{name}.summary.json"), told.as_bytes());
    }
}

#[test]
fn breaches_of_the_rules_are_told_the_same() {
    let lines = record::read(fixture_file::read(BROKEN_RULES).as_slice()).unwrap();
    assert!(
        record_bytes(&lines) == fixture_file::read(BROKEN_RULES),
        "written as it was read"
    );
    let verdicts = check(&lines).unwrap();
    assert!(
        verdicts
            .iter()
            .all(|verdict| verdict.state == State::Broken),
        "{verdicts:#?}"
    );
    assert!(
        verdicts
            .iter()
            .any(|verdict| !verdict.cannot_tell.is_empty()),
        "{verdicts:#?}"
    );
    let told = summary::summarize(BROKEN_RULES, &lines, verdicts);
    assert_eq!(told.state(), State::Broken);
    let told = json!({
        "summary": told,
        "sent_on_after_leaving": dispatches_after_hang_up(&lines),
        "outputs_of_others": mismatched_outputs(&lines),
    });
    let told = serde_json::to_string_pretty(&told).unwrap() + "\n";
    fixture_file::assert_equals("broken-rules.summary.json", told.as_bytes());
}

/// Records name how a dispatch ended, and what the list said of an invoker, in words that the
/// rules are judged by.
#[test]
fn endings_of_dispatches_and_states_of_invokers_are_named_the_same() {
    let (mut endings, mut states) = (BTreeSet::new(), BTreeSet::new());
    for (_, script) in shipped_days(["bad-day", "misses-burn-tries"]) {
        for line in play_virtually(&Day::load("a day", script).unwrap(), serve).unwrap() {
            match line {
                Line::Ended { ended, .. } => drop(endings.insert(ended)),
                Line::EndpointSent { life, .. } => drop(states.insert(life)),
                _ => {}
            }
        }
    }
    let words = |words: BTreeSet<String>| words.into_iter().collect::<Vec<_>>();
    assert_eq!(
        words(endings),
        ["cancelled", "errored", "full", "miss", "succeeded"]
    );
    assert_eq!(words(states), ["draining", "gone", "ready"]);
}

#[test]
fn states_of_rules_are_named_the_same() {
    let states = [State::Kept, State::CannotTell, State::Broken];
    assert_eq!(json!(states), json!(["kept", "cannot-tell", "broken"]));
}
