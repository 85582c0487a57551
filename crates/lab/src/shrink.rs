//! Reduces a failing day to a small day that still fails.

use crate::Script;
use saltdrum_deployment::Statement;
use saltdrum_deployment::units::span;
use serde_json::{Value as Json, json};

/// A reduced day, and the number of days played to reduce it.
#[derive(Debug)]
pub struct Shrunk {
    pub script: Script,
    pub days_played: usize,
}

fn without_statements(script: &Script, removed: &[usize]) -> Script {
    let mut remaining = script.clone();
    let mut visited = 0;
    remaining.statements.retain(|_| {
        visited += 1;
        !removed.contains(&(visited - 1))
    });
    remaining
}

/// Whether the script may load without this statement. Candidates that do not load are rejected later.
fn is_optional(statement: &Statement) -> bool {
    matches!(
        statement.what,
        "trouble"
            | "traffic"
            | "network"
            | "invokers"
            | "machine"
            | "function"
            | "tenant"
            | "trigger_type"
    )
}

/// Halves an amount; none if it is already at its lower limit.
fn halve(value: &Json) -> Option<Json> {
    if let Some(number) = value.as_u64() {
        return (number > 1).then(|| json!(number / 2));
    }
    if let Some(number) = value.as_f64() {
        return (number > 1.0).then(|| json!(number / 2.0));
    }
    let tenths = span(value.as_str()?).ok()?.0;
    (tenths > 2_000).then(|| json!(format!("{}ms", tenths / 20)))
}

/// Arguments that are halved, by kind of statement.
const HALVED_ARGUMENTS: &[(&str, &[&str])] = &[
    ("day", &["length"]),
    ("traffic", &["per_second", "at_once"]),
    ("invokers", &["count"]),
    ("deployment", &["controllers"]),
    ("trouble", &["lasts", "at"]),
];

/// Reduces `script`. `fails` plays a script and returns whether it still fails; it is called at most `max_plays` times,
/// and never with a script that does not load.
pub fn shrink(script: Script, max_plays: usize, mut fails: impl FnMut(&Script) -> bool) -> Shrunk {
    let (mut best, mut played) = (script, 0);
    let mut try_candidate = |candidate: Script, best: &mut Script| {
        if played >= max_plays || candidate.day().is_err() {
            return false;
        }
        played += 1;
        let failed = fails(&candidate);
        if failed {
            *best = candidate;
        }
        failed
    };
    loop {
        let before = best.text();
        // Removes large ranges of statements first, then single ones, starting from the end, where the troubles are.
        let mut range_len = best.statements.len().div_ceil(2);
        while range_len > 0 {
            let mut end = best.statements.len();
            while end > 0 {
                let begin = end.saturating_sub(range_len);
                let removed: Vec<usize> = (begin..end)
                    .filter(|n| is_optional(&best.statements[*n]))
                    .collect();
                if !removed.is_empty() {
                    try_candidate(without_statements(&best, &removed), &mut best);
                }
                end = begin.min(best.statements.len());
            }
            range_len /= 2;
        }
        for index in 0..best.statements.len() {
            let what = best.statements[index].what;
            let Some((_, arguments)) = HALVED_ARGUMENTS.iter().find(|h| h.0 == what) else {
                continue;
            };
            for argument in *arguments {
                while let Some(halved) = best.statements[index].said.get(*argument).and_then(halve)
                {
                    let mut candidate = best.clone();
                    candidate.statements[index]
                        .said
                        .insert((*argument).to_owned(), halved);
                    if !try_candidate(candidate, &mut best) {
                        break;
                    }
                }
            }
        }
        if best.text() == before {
            return Shrunk {
                script: best,
                days_played: played,
            };
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use saltdrum_scenario::DAYS;

    #[test]
    fn removes_statements_that_do_not_affect_the_failure() {
        let bad = Script::read("bad", DAYS[0].1).unwrap();
        // Fails with a flush, a store that is slow for at least 400 ms, and at least three invokers.
        let fails = |s: &Script| {
            let day = s.day().unwrap();
            let has_trouble = |name, min_duration| {
                day.troubles
                    .iter()
                    .any(|t| t.name == name && t.lasts >= min_duration)
            };
            has_trouble("flush", 0)
                && has_trouble("store_slow", 4_000)
                && day.terms.invokers.len() >= 3
        };
        let shrunk = shrink(bad, 400, fails);
        let day = shrunk.script.day().unwrap();
        assert_eq!(day.troubles.len(), 2, "{}", shrunk.script.text());
        assert_eq!(
            (day.traffic.len(), day.terms.deployment.controllers),
            (1, 1),
            "{}",
            shrunk.script.text()
        );
        assert!(
            (3..6).contains(&day.terms.invokers.len()) && day.length < 10_000,
            "{}",
            shrunk.script.text()
        );
        assert!(
            day.troubles.iter().all(|t| t.lasts < 8_000) && shrunk.days_played < 400,
            "{}",
            shrunk.days_played
        );
    }

    #[test]
    fn plays_at_most_the_given_number_of_days() {
        let mut calls = 0;
        let bad = Script::read("bad", DAYS[0].1).unwrap();
        let shrunk = shrink(bad, 7, |_| {
            calls += 1;
            true
        });
        assert_eq!((shrunk.days_played, calls), (7, 7));
    }
}
