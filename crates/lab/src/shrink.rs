//! Cuts a failing day down to the least that still fails.

use crate::Script;
use saltdrum_deployment::Statement;
use saltdrum_deployment::units::span;
use serde_json::{Value as Json, json};

/// Cut down, and how many days were played for it.
#[derive(Debug)]
pub struct Shrunk {
    pub script: Script,
    pub days_played: usize,
}

fn without(script: &Script, drop: &[usize]) -> Script {
    let mut less = script.clone();
    let mut n = 0;
    less.statements.retain(|_| {
        n += 1;
        !drop.contains(&(n - 1))
    });
    less
}

/// What may be left out: the rest is the deployment, of which some is needed by what stays.
fn optional(s: &Statement) -> bool {
    matches!(
        s.what,
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

/// Half of an amount; none where it is as small as it should get.
fn half(value: &Json) -> Option<Json> {
    if let Some(n) = value.as_u64() {
        return (n > 1).then(|| json!(n / 2));
    }
    if let Some(n) = value.as_f64() {
        return (n > 1.0).then(|| json!(n / 2.0));
    }
    let tenths = span(value.as_str()?).ok()?.0;
    (tenths > 2_000).then(|| json!(format!("{}ms", tenths / 20)))
}

/// Arguments that are tried with half of their amount.
const HALVED: &[(&str, &[&str])] = &[
    ("day", &["length"]),
    ("traffic", &["per_second", "at_once"]),
    ("invokers", &["count"]),
    ("deployment", &["controllers"]),
    ("trouble", &["lasts", "at"]),
];

/// `fails` plays a script and tells whether it still fails; it is asked `most` times at the most. What does not load is
/// never played.
pub fn shrink(script: Script, most: usize, mut fails: impl FnMut(&Script) -> bool) -> Shrunk {
    let (mut best, mut played) = (script, 0);
    let mut try_it = |candidate: Script, best: &mut Script| {
        if played >= most || candidate.day().is_err() {
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
        // In great parts first, then one by one; from the end, where the troubles stand.
        let mut part = best.statements.len().div_ceil(2);
        while part > 0 {
            let mut end = best.statements.len();
            while end > 0 {
                let begin = end.saturating_sub(part);
                let drop: Vec<usize> = (begin..end)
                    .filter(|n| optional(&best.statements[*n]))
                    .collect();
                if !drop.is_empty() {
                    try_it(without(&best, &drop), &mut best);
                }
                end = begin.min(best.statements.len());
            }
            part /= 2;
        }
        for n in 0..best.statements.len() {
            let what = best.statements[n].what;
            let Some((_, arguments)) = HALVED.iter().find(|h| h.0 == what) else {
                continue;
            };
            for argument in *arguments {
                while let Some(less) = best.statements[n].said.get(*argument).and_then(half) {
                    let mut candidate = best.clone();
                    candidate.statements[n]
                        .said
                        .insert((*argument).to_owned(), less);
                    if !try_it(candidate, &mut best) {
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
    fn what_does_not_matter_goes_and_what_does_stays() {
        let bad = Script::read("bad", DAYS[0].1).unwrap();
        // Fails as long as there is a flush and a store that is slow for at least 400 ms, and three invokers.
        let fails = |s: &Script| {
            let day = s.day().unwrap();
            let has = |name, least| {
                day.troubles
                    .iter()
                    .any(|t| t.name == name && t.lasts >= least)
            };
            has("flush", 0) && has("store_slow", 4_000) && day.terms.invokers.len() >= 3
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
    fn its_budget_is_kept() {
        let mut asked = 0;
        let bad = Script::read("bad", DAYS[0].1).unwrap();
        let shrunk = shrink(bad, 7, |_| {
            asked += 1;
            true
        });
        assert_eq!((shrunk.days_played, asked), (7, 7));
    }
}
