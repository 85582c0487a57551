//! Judges the rules on drains, grants and invocations by the record of a trial alone.

use crate::record::{How, Line};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// A rule and the violations of it, one text each.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Verdict {
    pub rule: &'static str,
    pub broken: Vec<String>,
}

/// The rules in the order of the verdicts.
pub const RULES: [&str; 6] = [
    "planned out never above the bound",
    "no drain begins while true out is at the bound",
    "no drain begins after an acknowledged halt",
    "each grant is begun once, by one life",
    "stewards tell one history",
    "no invocation is lost to a planned drain",
];

/// The members out of service, as far as the record shows.
#[derive(Default)]
struct OutOfService {
    /// Members that began to drain and are not up again.
    planned: BTreeSet<String>,
    /// Members that ended without draining and are not up again, with the times of their ends.
    dead: BTreeMap<String, u64>,
}

fn time_ns(line: &Line) -> u64 {
    match line {
        Line::Bound { .. } | Line::History { .. } => 0,
        Line::Told { at_ns, .. }
        | Line::Started { at_ns, .. }
        | Line::Ended { at_ns, .. }
        | Line::Stopped { at_ns, .. }
        | Line::Asked { at_ns, .. }
        | Line::Invoked { at_ns, .. }
        | Line::Effect { at_ns, .. }
        | Line::Disturbed { at_ns, .. }
        | Line::Failed { at_ns, .. } => *at_ns,
    }
}

/// Whether the coordinators' history contains the start of this drain with no halt in force before it.
fn began_before_halt(lines: &[Line], member: &str, grant: u64) -> bool {
    let begin = format!("{member} began to drain, grant {grant}");
    let revisions = |want: &dyn Fn(&str) -> bool| -> BTreeSet<u64> {
        let matching = lines.iter().filter_map(|l| match l {
            Line::History { revision, what, .. } if want(what) => Some(*revision),
            _ => None,
        });
        matching.collect()
    };
    let (halts, resumes) = (
        revisions(&|w| w.starts_with("halt by")),
        revisions(&|w| w.starts_with("resumed by")),
    );
    let Some(begun) = revisions(&|w| w == begin).first().copied() else {
        return false;
    };
    let last = |all: &BTreeSet<u64>| all.range(..begun).next_back().copied().unwrap_or(0);
    last(&halts) <= last(&resumes)
}

/// Judges all rules and returns one verdict for each.
pub fn judge(lines: &[Line]) -> Vec<Verdict> {
    let mut broken: [Vec<String>; 6] = Default::default();
    let mut sorted: Vec<&Line> = lines.iter().collect();
    sorted.sort_by_key(|l| time_ns(l));
    let (mut out, mut begun) = (
        OutOfService::default(),
        BTreeMap::<u64, (String, u64)>::new(),
    );
    let mut halted: Option<u64> = None;
    let mut history = BTreeMap::<u64, &str>::new();
    let mut faults = false;
    for line in &sorted {
        match line {
            Line::Told {
                at_ns,
                member,
                incarnation,
                what,
                grant,
            } => match what.as_str() {
                "began" => {
                    // A member may learn of its drain after the halt although the drain was agreed before it.
                    let began_first = || began_before_halt(lines, member, *grant);
                    if let Some(since) = halted.filter(|since| at_ns > since && !began_first()) {
                        let late = (at_ns - since) / 1_000_000;
                        broken[2].push(format!(
                            "{member} began {late} ms after the halt was acknowledged"
                        ));
                    }
                    let mine = (member.clone(), *incarnation);
                    if let Some(other) = begun.insert(*grant, mine.clone()) {
                        broken[3].push(format!(
                            "grant {grant}: begun by {} and by {member}",
                            other.0
                        ));
                    }
                    out.planned.insert(member.clone());
                    for b in lines {
                        let Line::Bound {
                            group,
                            members,
                            out: most,
                            detect_ns,
                        } = b
                        else {
                            continue;
                        };
                        if !members.contains(member) {
                            continue;
                        }
                        let planned = out.planned.iter().filter(|m| members.contains(m)).count();
                        if planned > *most {
                            broken[0].push(format!(
                                "{member} began with {planned} of {group} out by plan: {most} is the bound"
                            ));
                        }
                        let known = |(m, since): &(&String, &u64)| {
                            members.contains(m)
                                && !out.planned.contains(*m)
                                && at_ns.saturating_sub(**since) > *detect_ns
                        };
                        let dead = out.dead.iter().filter(known).count();
                        if planned + dead > *most {
                            broken[1].push(format!(
                                "{member} began with {planned} of {group} out by plan and {dead} long dead: {most} is the bound"
                            ));
                        }
                    }
                }
                "up" => {
                    out.planned.remove(member);
                    out.dead.remove(member);
                }
                _ => {}
            },
            Line::Ended {
                at_ns,
                process,
                code,
                killed,
            } => {
                faults |= *killed || *code != Some(0);
                if !out.planned.contains(process) {
                    out.dead.insert(process.clone(), *at_ns);
                }
            }
            Line::Asked {
                at_ns,
                what,
                done: true,
                ..
            } if what == "halt" => {
                halted = halted.or(Some(*at_ns));
            }
            Line::History {
                steward,
                revision,
                what,
            } => {
                if let Some(other) = history.insert(*revision, what).filter(|o| o != what) {
                    broken[4].push(format!(
                        "revision {revision}: '{other}', and '{what}' by steward {steward}"
                    ));
                }
            }
            Line::Stopped { still: true, .. } => faults = true,
            _ => {}
        }
        // Drains may begin again as soon as a resume was sent.
        if let Line::Asked { what, .. } = line
            && what == "resume"
        {
            halted = None;
        }
    }
    if !faults {
        let lost = lines
            .iter()
            .filter(|l| matches!(l, Line::Invoked { how: How::Lost, .. }))
            .count();
        if lost > 0 {
            broken[5].push(format!(
                "{lost} invocations had no answer, and nothing else was wrong"
            ));
        }
    }
    RULES
        .into_iter()
        .zip(broken)
        .map(|(rule, broken)| Verdict { rule, broken })
        .collect()
}

/// Whether the machine stalled for longer than 500 ms, which makes the record inconclusive.
pub fn cannot_tell(lines: &[Line]) -> bool {
    lines
        .iter()
        .any(|l| matches!(l, Line::Disturbed { at_ns, until_ns } if until_ns - at_ns > 500_000_000))
}

#[cfg(test)]
mod tests;
