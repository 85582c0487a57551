//! An append-only value for the register, and a linearizability checker for the appends that callers observed.

use saltdrum_fleet::register::{Config, Value, Voter, VoterStamp};
use std::collections::BTreeSet;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Lines {
    pub config: Config,
    pub lines: Vec<u32>,
}

impl Value for Lines {
    fn config(&self) -> &Config {
        &self.config
    }
}

pub(crate) fn voter(steward: u32) -> Voter {
    Voter { steward, disk: 0 }
}

/// The stamp of a voter that never lost its state.
pub(crate) fn stamp(from: Voter) -> VoterStamp {
    VoterStamp {
        from,
        incarnation: 0,
        incarnations: Default::default(),
    }
}

pub(crate) fn voters(numbers: impl IntoIterator<Item = u32>) -> BTreeSet<Voter> {
    numbers.into_iter().map(voter).collect()
}

/// An append as its caller observed it. Times are numbers of steps.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Append {
    pub line: u32,
    pub started_at: u64,
    /// When the append completed, and all lines read back with it; `None`: the outcome is unknown to the caller.
    pub completed: Option<(u64, Vec<u32>)>,
}

/// Checks that one order of all appends explains every observation, and that an append that completed before another started
/// comes first. The lines that each caller reads back determine that order, so no search is needed.
pub(crate) fn check_linearizable(appends: &[Append]) -> Result<(), String> {
    let completed: Vec<(&Append, u64, &Vec<u32>)> = appends
        .iter()
        .filter_map(|a| a.completed.as_ref().map(|(at, lines)| (a, *at, lines)))
        .collect();
    let Some(longest) = completed.iter().map(|c| c.2).max_by_key(|l| l.len()) else {
        return Ok(());
    };
    let mut distinct = BTreeSet::new();
    if let Some(duplicate) = longest.iter().find(|l| !distinct.insert(**l)) {
        return Err(format!("{duplicate} is contained twice in {longest:?}"));
    }
    for (append, at, lines) in &completed {
        if !longest.starts_with(lines) {
            return Err(format!(
                "{} read {lines:?}, another append read {longest:?}",
                append.line
            ));
        }
        if !lines.contains(&append.line) {
            return Err(format!("{} completed and is not in {lines:?}", append.line));
        }
        for (other, _, other_lines) in completed.iter().filter(|(o, ..)| o.started_at > *at) {
            if other_lines.len() < lines.len() {
                return Err(format!(
                    "{} completed before {} started, and comes after it",
                    append.line, other.line
                ));
            }
        }
    }
    Ok(())
}

#[test]
fn linearizability_checker_rejects_invalid_histories() {
    let append = |line, started_at, completed: Option<(u64, &[u32])>| Append {
        line,
        started_at,
        completed: completed.map(|(at, lines)| (at, lines.to_vec())),
    };
    let valid = [
        append(1, 0, Some((3, &[1]))),
        append(2, 4, Some((6, &[1, 3, 2]))),
        append(3, 1, None),
    ];
    assert_eq!(check_linearizable(&valid), Ok(()));
    for (invalid, expected) in [
        (
            vec![append(1, 0, Some((3, &[1]))), append(2, 4, Some((6, &[2])))],
            "1 read [1], another append read [2]",
        ),
        (
            vec![
                append(1, 0, Some((3, &[1]))),
                append(2, 1, Some((6, &[2, 1]))),
            ],
            "another",
        ),
        (vec![append(1, 0, Some((3, &[1, 1])))], "twice"),
        (
            vec![
                append(1, 5, Some((9, &[1]))),
                append(2, 0, Some((4, &[1, 2]))),
            ],
            "comes after it",
        ),
        (vec![append(1, 5, Some((9, &[2])))], "is not in"),
    ] {
        let error = check_linearizable(&invalid).unwrap_err();
        assert!(error.contains(expected), "{error}");
    }
}
