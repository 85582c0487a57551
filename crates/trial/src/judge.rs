//! Judges the rules on drains, grants and invocations by the record of a trial alone.

use crate::record::{How, Line};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// A rule and its violations in a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Verdict {
    pub rule: &'static str,
    /// One text for each violation.
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

/// The members out of service according to the record.
#[derive(Default)]
struct OutOfService {
    /// Members that began to drain and are not up again.
    planned: BTreeSet<String>,
    /// Members that ended without draining and are not up again, with the times of their ends.
    dead: BTreeMap<String, u64>,
}

/// Returns the time of an observation; bounds and history entries have none and sort first.
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
    let begin_text = format!("{member} began to drain, grant {grant}");
    let revisions_of = |is_wanted: &dyn Fn(&str) -> bool| -> BTreeSet<u64> {
        let matching = lines.iter().filter_map(|line| match line {
            Line::History { revision, what, .. } if is_wanted(what) => Some(*revision),
            _ => None,
        });
        matching.collect()
    };
    let (halts, resumes) = (
        revisions_of(&|what| what.starts_with("halt by")),
        revisions_of(&|what| what.starts_with("resumed by")),
    );
    let Some(begin_revision) = revisions_of(&|what| what == begin_text).first().copied() else {
        return false;
    };
    let last_before = |revisions: &BTreeSet<u64>| {
        revisions
            .range(..begin_revision)
            .next_back()
            .copied()
            .unwrap_or(0)
    };
    last_before(&halts) <= last_before(&resumes)
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
    let mut halted_at_ns: Option<u64> = None;
    let mut history = BTreeMap::<u64, &str>::new();
    let mut fault_seen = false;
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
                    let began_before = || began_before_halt(lines, member, *grant);
                    if let Some(halt_ns) =
                        halted_at_ns.filter(|halt_ns| at_ns > halt_ns && !began_before())
                    {
                        let late_ms = (at_ns - halt_ns) / 1_000_000;
                        broken[2].push(format!(
                            "{member} began {late_ms} ms after the halt was acknowledged"
                        ));
                    }
                    let process = (member.clone(), *incarnation);
                    if let Some(other) = begun.insert(*grant, process.clone()) {
                        broken[3].push(format!(
                            "grant {grant}: begun by {} and by {member}",
                            other.0
                        ));
                    }
                    out.planned.insert(member.clone());
                    for bound in lines {
                        let Line::Bound {
                            group,
                            members,
                            out: max_out,
                            detect_ns,
                        } = bound
                        else {
                            continue;
                        };
                        if !members.contains(member) {
                            continue;
                        }
                        let planned = out.planned.iter().filter(|m| members.contains(m)).count();
                        if planned > *max_out {
                            broken[0].push(format!(
                                "{member} began with {planned} of {group} out by plan: {max_out} is the bound"
                            ));
                        }
                        let is_detected = |(dead, ended_ns): &(&String, &u64)| {
                            members.contains(dead)
                                && !out.planned.contains(*dead)
                                && at_ns.saturating_sub(**ended_ns) > *detect_ns
                        };
                        let dead = out.dead.iter().filter(is_detected).count();
                        if planned + dead > *max_out {
                            broken[1].push(format!(
                                "{member} began with {planned} of {group} out by plan and {dead} long dead: {max_out} is the bound"
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
                fault_seen |= *killed || *code != Some(0);
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
                halted_at_ns = halted_at_ns.or(Some(*at_ns));
            }
            Line::History {
                steward,
                revision,
                what,
            } => {
                if let Some(other) = history
                    .insert(*revision, what)
                    .filter(|other| other != what)
                {
                    broken[4].push(format!(
                        "revision {revision}: '{other}', and '{what}' by steward {steward}"
                    ));
                }
            }
            Line::Stopped { still: true, .. } => fault_seen = true,
            _ => {}
        }
        // Drains may begin again as soon as a resume was sent.
        if let Line::Asked { what, .. } = line
            && what == "resume"
        {
            halted_at_ns = None;
        }
    }
    if !fault_seen {
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
