//! Brings recorded times on one clock, as far as a trace tells.
//!
//! A clock that was set back shows as a jump within its own source: what follows is moved on by as much. What two
//! sources' clocks differ by can't be seen from arrivals alone; it has to be said.

use saltdrum::interface::{SECOND, Ticks};
use std::collections::BTreeMap;

/// Rows of one source may be out of order by so much: lines of a log are written when calls end.
const DISORDER: Ticks = SECOND;

/// What was done to a trace.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClockCorrections {
    /// Rows that came out of order within [`DISORDER`], and were sorted.
    pub reordered_rows: usize,
    /// Clocks set back: source, row from 0, by how much.
    pub backward_steps: Vec<(String, usize, Ticks)>,
}

/// Puts times of rows, each with its source, on one clock that begins at 0. `ahead` says which sources' clocks are
/// known to be ahead, and by how much. The rows keep their places.
pub fn correct_clocks(
    rows: &mut [(String, Ticks)],
    ahead: &BTreeMap<String, Ticks>,
) -> ClockCorrections {
    let mut done = ClockCorrections::default();
    let mut sources: BTreeMap<String, (Ticks, Ticks)> = BTreeMap::new();
    for (n, (source, at)) in rows.iter_mut().enumerate() {
        let (moved, latest) = sources.entry(source.clone()).or_insert((0, 0));
        let mut here = *at + *moved;
        if here + DISORDER < *latest {
            let by = *latest - here;
            *moved += by;
            here += by;
            done.backward_steps.push((source.clone(), n, by));
        } else if here < *latest {
            done.reordered_rows += 1;
        }
        *latest = here.max(*latest);
        *at = here;
    }
    // Those whose clock is ahead go back; nobody goes below 0 for it.
    let most = ahead.values().copied().max().unwrap_or(0);
    rows.iter_mut()
        .for_each(|(source, at)| *at += most - ahead.get(source).copied().unwrap_or(0));
    let first = rows.iter().map(|(_, at)| *at).min().unwrap_or(0);
    rows.iter_mut().for_each(|(_, at)| *at -= first);
    done
}

#[cfg(test)]
mod tests {
    use super::*;

    fn rows(of: &[(&str, Ticks)]) -> Vec<(String, Ticks)> {
        of.iter().map(|(s, at)| ((*s).to_owned(), *at)).collect()
    }

    #[test]
    fn a_clock_set_back_goes_on_and_other_sources_are_left_alone() {
        let mut all = rows(&[
            ("a", 500_000),
            ("b", 500_000),
            ("a", 500_100),
            ("a", 90_000),
            ("a", 90_300),
        ]);
        let done = correct_clocks(&mut all, &BTreeMap::new());
        assert_eq!(
            all.iter().map(|r| r.1).collect::<Vec<_>>(),
            [0, 0, 100, 100, 400]
        );
        assert_eq!(done.backward_steps, [("a".to_owned(), 3, 410_100)]);
    }

    #[test]
    fn small_disorder_is_no_step_and_known_offsets_are_taken_off() {
        let mut all = rows(&[("a", 20_000), ("a", 15_000), ("b", 1_020_000)]);
        let done = correct_clocks(&mut all, &BTreeMap::from([("b".to_owned(), 1_000_000)]));
        assert_eq!(
            all.iter().map(|r| r.1).collect::<Vec<_>>(),
            [5_000, 0, 5_000]
        );
        assert_eq!((done.reordered_rows, done.backward_steps.len()), (1, 0));
    }
}
