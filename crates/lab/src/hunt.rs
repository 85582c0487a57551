//! Plays days with random troubles until one breaks a rule or a bound, and reduces that day.

use crate::draw::with_random_troubles;
use crate::shrink::{Shrunk, shrink};
use crate::{Script, facts};
use saltdrum_scenario::{Overrides, play_with_overrides};

/// What a day has to satisfy, in addition to the rules.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bounds {
    /// Lowest share of the billed value earned in time; not checked if none.
    pub min_value: Option<f64>,
    /// Search for violations of this rule only.
    pub only_rule: Option<u8>,
}

/// A day that broke a rule or a bound.
#[derive(Debug)]
pub struct FailingDay {
    pub seed: u64,
    pub reason: String,
    /// The reduced day.
    pub shrunk: Shrunk,
    /// Days played until this one was found, not counting its reduction.
    pub days_played: usize,
}

/// Plays a day and returns the kind of its failure and a description, or none if it passes. The kind (`rule 3`, `copy`,
/// `mixed`, `value`) stays the same while the day is reduced.
fn find_failure(script: &Script, overrides: Overrides, bounds: Bounds) -> Option<(String, String)> {
    let day = script.day().ok()?;
    let result = std::panic::catch_unwind(|| play_with_overrides(&day, overrides));
    let lines = match result {
        Ok(Ok(lines)) => lines,
        Ok(Err(e)) => return Some(("play".into(), e.to_string())),
        Err(_) => return Some(("panic".into(), "the day panicked".into())),
    };
    let (_, facts) = match facts::summarize(&lines, None) {
        Ok(summary) => summary,
        Err(reason) => return Some(("record".into(), reason)),
    };
    if let Some((rule, _, finding)) = facts
        .rules
        .iter()
        .find(|r| r.1 == "broken" && bounds.only_rule.is_none_or(|n| n == r.0))
    {
        return Some((format!("rule {rule}"), finding.clone()));
    }
    if bounds.only_rule.is_some() {
        return None;
    }
    if let Some(count) = facts.measures["unsound"].filter(|count| *count > 0.0) {
        return Some((
            "copy".into(),
            format!("{count} copies that do not match their model were used"),
        ));
    }
    if let Some(count) = facts.measures["mixed"].filter(|count| *count > 0.0) {
        return Some((
            "mixed".into(),
            format!("{count} passages were answered by several versions"),
        ));
    }
    let value = facts.measures["value"]?;
    let min_value = bounds.min_value.filter(|min| value < *min)?;
    Some((
        "value".into(),
        format!("billed value in time {value:.3}, at least {min_value:.3} is expected"),
    ))
}

/// Plays up to `days` days with the seeds `seed`, `seed + 1` and so on. The failing day with the lowest seed is
/// reduced, for which up to `cuts` further days are played. The result does not depend on the number of threads.
pub fn hunt(
    base: &Script,
    overrides: Overrides,
    bounds: Bounds,
    seed: u64,
    days: usize,
    cuts: usize,
    threads: usize,
) -> Result<Option<FailingDay>, String> {
    let day = base.day().map_err(|e| e.to_string())?;
    let threads = threads.max(1);
    for first in (0..days).step_by(threads) {
        let failures: Result<Vec<_>, String> = std::thread::scope(|scope| {
            let play = |n: usize| {
                let (base, day) = (base.clone(), day.clone());
                let seed = seed + n as u64;
                scope.spawn(move || {
                    find_failure(&with_random_troubles(&base, &day, seed), overrides, bounds)
                        .map(|failure| (n, seed, failure))
                })
            };
            let handles: Vec<_> = (first..days.min(first + threads)).map(play).collect();
            // A panic while checking a day must not count as a pass.
            handles
                .into_iter()
                .map(|t| t.join().map_err(|_| "checking a day panicked".to_owned()))
                .collect()
        });
        if let Some((n, seed, (kind, _))) = failures?.into_iter().flatten().next() {
            let failing = with_random_troubles(base, &day, seed);
            let fails_alike =
                |s: &Script| find_failure(s, overrides, bounds).is_some_and(|(k, _)| k == kind);
            let shrunk = shrink(failing, cuts, fails_alike);
            let reason = find_failure(&shrunk.script, overrides, bounds)
                .map_or(kind, |(kind, text)| format!("{kind}: {text}"));
            return Ok(Some(FailingDay {
                seed,
                reason,
                shrunk,
                days_played: n + 1,
            }));
        }
    }
    Ok(None)
}
