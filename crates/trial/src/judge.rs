//! Judges a trial by its record alone.

use crate::record::{How, Line};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Verdict {
    pub rule: &'static str,
    pub broken: Vec<String>,
}

pub const RULES: [&str; 6] = [
    "planned out never above the bound",
    "no drain begins while true out is at the bound",
    "no drain begins after an acknowledged halt",
    "each grant is begun once, by one life",
    "stewards tell one history",
    "no invocation is lost to a planned drain",
];

/// Who is out, as far as processes showed it.
#[derive(Default)]
struct Out {
    /// Began to drain and not yet up again.
    planned: BTreeSet<String>,
    /// Dead without having drained, and since when; not yet up again.
    dead: BTreeMap<String, u64>,
}

fn at(line: &Line) -> u64 {
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

/// Whether stewards tell of this begin, and of no halt before it that stood then.
fn agreed_before_halt(lines: &[Line], member: &str, grant: u64) -> bool {
    let begin = format!("{member} began to drain, grant {grant}");
    let told = |want: &dyn Fn(&str) -> bool| -> BTreeSet<u64> {
        let at = lines.iter().filter_map(|l| match l {
            Line::History { revision, what, .. } if want(what) => Some(*revision),
            _ => None,
        });
        at.collect()
    };
    let (halts, resumes) = (
        told(&|w| w.starts_with("halt by")),
        told(&|w| w.starts_with("resumed by")),
    );
    let Some(begun) = told(&|w| w == begin).first().copied() else {
        return false;
    };
    let last = |all: &BTreeSet<u64>| all.range(..begun).next_back().copied().unwrap_or(0);
    last(&halts) <= last(&resumes)
}

/// Each rule, with what breaks it.
pub fn judge(lines: &[Line]) -> Vec<Verdict> {
    let mut broken: [Vec<String>; 6] = Default::default();
    let mut sorted: Vec<&Line> = lines.iter().collect();
    sorted.sort_by_key(|l| at(l));
    let (mut out, mut begun) = (Out::default(), BTreeMap::<u64, (String, u64)>::new());
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
                    // It may hear of its begin after the halt: what was agreed first began first.
                    let agreed = || agreed_before_halt(lines, member, *grant);
                    if let Some(since) = halted.filter(|since| at_ns > since && !agreed()) {
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
        // From the moment at which a resume was sent, drains may begin again.
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

/// Whether the machine stood still for so long that what was seen decides nothing.
pub fn cannot_tell(lines: &[Line]) -> bool {
    lines
        .iter()
        .any(|l| matches!(l, Line::Disturbed { at_ns, until_ns } if until_ns - at_ns > 500_000_000))
}

#[cfg(test)]
mod tests;
