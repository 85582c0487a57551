//! A register that holds what was appended to it, and the checker of what callers saw.

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

/// Of voters that remember everything.
pub(crate) fn mark(from: Voter) -> VoterStamp {
    VoterStamp {
        from,
        incarnation: 0,
        incarnations: Default::default(),
    }
}

pub(crate) fn voters(all: impl IntoIterator<Item = u32>) -> BTreeSet<Voter> {
    all.into_iter().map(voter).collect()
}

/// An append as its caller saw it; moments are numbers of steps.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ProposedLine {
    pub line: u32,
    pub begun: u64,
    /// When it was told, and all that stood there with it; none: it never heard what came of it.
    pub told: Option<(u64, Vec<u32>)>,
}

/// Whether one order of all appends explains what every caller saw, and keeps to the order in which one ended before
/// another began. Appends that each caller reads back determine that order, so no search is needed.
pub(crate) fn linearizable(all: &[ProposedLine]) -> Result<(), String> {
    let told: Vec<(&ProposedLine, u64, &Vec<u32>)> = all
        .iter()
        .filter_map(|s| s.told.as_ref().map(|(at, lines)| (s, *at, lines)))
        .collect();
    let Some(longest) = told.iter().map(|t| t.2).max_by_key(|l| l.len()) else {
        return Ok(());
    };
    let mut once = BTreeSet::new();
    if let Some(twice) = longest.iter().find(|l| !once.insert(**l)) {
        return Err(format!("{twice} stands twice in {longest:?}"));
    }
    for (s, at, lines) in &told {
        if !longest.starts_with(lines) {
            return Err(format!(
                "{} was told {lines:?}, another {longest:?}",
                s.line
            ));
        }
        if !lines.contains(&s.line) {
            return Err(format!(
                "{} was told as done and is not in {lines:?}",
                s.line
            ));
        }
        for (other, _, theirs) in told.iter().filter(|(o, ..)| o.begun > *at) {
            if theirs.len() < lines.len() {
                return Err(format!(
                    "{} ended before {} began, and stands after it",
                    s.line, other.line
                ));
            }
        }
    }
    Ok(())
}

#[test]
fn the_checker_sees_what_is_wrong() {
    let seen = |line, begun, told: Option<(u64, &[u32])>| ProposedLine {
        line,
        begun,
        told: told.map(|(at, lines)| (at, lines.to_vec())),
    };
    let good = [
        seen(1, 0, Some((3, &[1]))),
        seen(2, 4, Some((6, &[1, 3, 2]))),
        seen(3, 1, None),
    ];
    assert_eq!(linearizable(&good), Ok(()));
    for (bad, why) in [
        (
            vec![seen(1, 0, Some((3, &[1]))), seen(2, 4, Some((6, &[2])))],
            "was told [1], another [2]",
        ),
        (
            vec![seen(1, 0, Some((3, &[1]))), seen(2, 1, Some((6, &[2, 1])))],
            "another",
        ),
        (vec![seen(1, 0, Some((3, &[1, 1])))], "twice"),
        (
            vec![seen(1, 5, Some((9, &[1]))), seen(2, 0, Some((4, &[1, 2])))],
            "stands after it",
        ),
        (vec![seen(1, 5, Some((9, &[2])))], "is not in"),
    ] {
        let told = linearizable(&bad).unwrap_err();
        assert!(told.contains(why), "{told}");
    }
}
