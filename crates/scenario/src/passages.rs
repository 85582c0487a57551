//! Checks from the invokers' records that each passage ran on one model version only. Does not depend on the registry.

use saltdrum_fakes::record::Line;
use std::collections::BTreeMap;

/// Counts of passages and of those that mixed versions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Passages {
    pub passages: usize,
    /// Passages in which more than one invocation ran.
    pub longer: usize,
    pub invocations: usize,
    /// Distinct functions that ran over all passages.
    pub functions: usize,
    /// A description of each passage in which more than one function ran.
    pub mixed: Vec<String>,
}

/// Groups the runs in a record by passage. Returns `None` if no run belongs to a passage.
pub fn look(lines: &[Line]) -> Option<Passages> {
    let mut runs_by_passage = BTreeMap::<&str, Vec<(u64, u64, u32)>>::new();
    for line in lines {
        if let Line::PassageStep {
            at,
            invoker,
            function,
            passage,
            ..
        } = line
        {
            runs_by_passage
                .entry(passage)
                .or_default()
                .push((*at, *function, *invoker));
        }
    }
    if runs_by_passage.is_empty() {
        return None;
    }
    let mut found = Passages {
        passages: runs_by_passage.len(),
        ..Default::default()
    };
    let mut functions = std::collections::BTreeSet::new();
    for (passage, runs) in runs_by_passage {
        found.invocations += runs.len();
        found.longer += usize::from(runs.len() > 1);
        functions.extend(runs.iter().map(|s| s.1));
        let first = runs[0];
        if let Some(other) = runs.iter().find(|s| s.1 != first.1) {
            found.mixed.push(format!(
                "passage {passage}: function {} on invoker {} at {} ms, then function {} on invoker {} at {} ms",
                first.1,
                first.2,
                first.0 / 10,
                other.1,
                other.2,
                other.0 / 10
            ));
        }
    }
    found.functions = functions.len();
    Some(found)
}
