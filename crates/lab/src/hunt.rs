//! Plays random days until one breaks a rule or a bound, and cuts it down.

use crate::draw::troubled;
use crate::shrink::{Shrunk, shrink};
use crate::{Script, facts};
use saltdrum_scenario::{Overrides, play_with_overrides};

/// What a day must keep besides the rules.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bounds {
    /// Share of billed value in time; none: any.
    pub min_value: Option<f64>,
    /// PollTimes for this rule's breaches only.
    pub only_rule: Option<u8>,
}

/// A day that failed.
#[derive(Debug)]
pub struct FailingDay {
    pub seed: u64,
    pub reason: String,
    pub shrunk: Shrunk,
    /// Days played until it was found, cutting down not counted.
    pub days_played: usize,
}

/// Which way a day fails, in words that stay the same while it is cut down: `rule 3`, `copy`, `mixed`, `value`. None: it does not.
fn fails(script: &Script, cover: Overrides, bounds: Bounds) -> Option<(String, String)> {
    let day = script.day().ok()?;
    let played = std::panic::catch_unwind(|| play_with_overrides(&day, cover));
    let lines = match played {
        Ok(Ok(lines)) => lines,
        Ok(Err(e)) => return Some(("play".into(), e.to_string())),
        Err(_) => return Some(("panic".into(), "it panicked".into())),
    };
    let (_, facts) = match facts::summarize(&lines, None) {
        Ok(all) => all,
        Err(why) => return Some(("record".into(), why)),
    };
    if let Some((rule, _, found)) = facts
        .rules
        .iter()
        .find(|r| r.1 == "broken" && bounds.only_rule.is_none_or(|n| n == r.0))
    {
        return Some((format!("rule {rule}"), found.clone()));
    }
    if bounds.only_rule.is_some() {
        return None;
    }
    if let Some(n) = facts.measures["unsound"].filter(|n| *n > 0.0) {
        return Some((
            "copy".into(),
            format!("{n} copies were not their model, and were used"),
        ));
    }
    if let Some(n) = facts.measures["mixed"].filter(|n| *n > 0.0) {
        return Some((
            "mixed".into(),
            format!("{n} passages were answered by several versions"),
        ));
    }
    let value = facts.measures["value"]?;
    let short = bounds.min_value.filter(|least| value < *least)?;
    Some((
        "value".into(),
        format!("billed value in time {value:.3}, at least {short:.3} is expected"),
    ))
}

/// Plays days `seed`, `seed + 1` and so on, `days` at the most, on so many threads. The first by its number that fails is
/// cut down with `cuts` days at the most. Whatever the number of threads, the same is found.
pub fn hunt(
    base: &Script,
    cover: Overrides,
    bounds: Bounds,
    seed: u64,
    days: usize,
    cuts: usize,
    threads: usize,
) -> Result<Option<FailingDay>, String> {
    let day = base.day().map_err(|e| e.to_string())?;
    let threads = threads.max(1);
    for first in (0..days).step_by(threads) {
        let found: Result<Vec<_>, String> = std::thread::scope(|scope| {
            let play = |n: usize| {
                let (base, day) = (base.clone(), day.clone());
                let seed = seed + n as u64;
                scope.spawn(move || {
                    fails(&troubled(&base, &day, seed), cover, bounds).map(|how| (n, seed, how))
                })
            };
            let all: Vec<_> = (first..days.min(first + threads)).map(play).collect();
            // A judge that panics must not pass for a day that kept everything.
            all.into_iter()
                .map(|t| t.join().map_err(|_| "judging a day panicked".to_owned()))
                .collect()
        });
        if let Some((n, seed, (kind, _))) = found?.into_iter().flatten().next() {
            let failing = troubled(base, &day, seed);
            let same = |s: &Script| fails(s, cover, bounds).is_some_and(|(k, _)| k == kind);
            let shrunk = shrink(failing, cuts, same);
            let why = fails(&shrunk.script, cover, bounds)
                .map_or(kind, |(kind, why)| format!("{kind}: {why}"));
            return Ok(Some(FailingDay {
                seed,
                reason: why,
                shrunk,
                days_played: n + 1,
            }));
        }
    }
    Ok(None)
}
