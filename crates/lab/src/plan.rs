//! Which runs an experiment takes, and which are still to do.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One run: places in the experiment's lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cell {
    pub size: usize,
    pub day: usize,
    pub seed: usize,
    pub variant: usize,
}

/// All cells, so that all variants of one pair stand together: whenever it is stopped, most pairs are whole.
pub fn cells(sizes: usize, days: usize, seeds: usize, variants: usize) -> Vec<Cell> {
    let mut all = Vec::new();
    for seed in 0..seeds {
        for size in 0..sizes {
            for day in 0..days {
                all.extend((0..variants).map(|variant| Cell {
                    size,
                    day,
                    seed,
                    variant,
                }));
            }
        }
    }
    all
}

/// What is known of each run. A run's key says all that its result hangs on, so a result found under it is its own.
#[derive(Debug, Default)]
pub struct Progress {
    waiting: VecDeque<(Cell, String)>,
    under_way: BTreeSet<Cell>,
    pub done: BTreeSet<Cell>,
    /// With why. It is not tried again in this sitting.
    pub failed: BTreeMap<Cell, String>,
    found: usize,
}

impl Progress {
    /// `finished` are the keys of results that are there already and whole.
    pub fn new(
        cells: impl IntoIterator<Item = (Cell, String)>,
        finished: &BTreeSet<String>,
    ) -> Self {
        let mut p = Self::default();
        for (cell, key) in cells {
            if finished.contains(&key) {
                p.done.insert(cell);
            } else {
                p.waiting.push_back((cell, key));
            }
        }
        p.found = p.done.len();
        p
    }

    pub fn take(&mut self) -> Option<(Cell, String)> {
        let next = self.waiting.pop_front()?;
        self.under_way.insert(next.0);
        Some(next)
    }

    /// A run came to its end. One that was not under way changes nothing.
    pub fn ended(&mut self, cell: Cell, how: Result<(), String>) {
        if !self.under_way.remove(&cell) {
            return;
        }
        match how {
            Ok(()) => drop(self.done.insert(cell)),
            Err(why) => drop(self.failed.insert(cell, why)),
        }
    }

    /// Done or failed, of all; and how many of them were there before.
    pub fn told(&self) -> (usize, usize, usize) {
        let over = self.done.len() + self.failed.len();
        (
            over,
            over + self.waiting.len() + self.under_way.len(),
            self.found,
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn keyed(all: &[Cell]) -> Vec<(Cell, String)> {
        all.iter().map(|c| (*c, format!("{c:?}"))).collect()
    }

    #[test]
    fn variants_of_one_pair_follow_each_other() {
        let all = cells(2, 3, 4, 5);
        assert_eq!(
            (all.len(), all.iter().collect::<BTreeSet<_>>().len()),
            (120, 120)
        );
        for pair in all.chunks(5) {
            assert!(
                pair.iter()
                    .all(|c| (c.size, c.day, c.seed) == (pair[0].size, pair[0].day, pair[0].seed))
            );
        }
    }

    /// Killed after any number of runs and started again, each run is done once and counted once.
    #[test]
    fn a_sitting_that_was_killed_is_gone_on_with() {
        let all = cells(1, 2, 3, 2);
        for killed_after in 0..=all.len() {
            let (mut finished, mut played) = (BTreeSet::new(), Vec::new());
            for most in [killed_after, usize::MAX] {
                let mut p = Progress::new(keyed(&all), &finished);
                while played.len() < most {
                    let Some((cell, key)) = p.take() else { break };
                    played.push(cell);
                    finished.insert(key);
                    p.ended(cell, Ok(()));
                    p.ended(cell, Ok(()));
                }
                // One more was under way when it was killed.
                let _ = p.take();
            }
            let p = Progress::new(keyed(&all), &finished);
            assert_eq!(p.told(), (all.len(), all.len(), all.len()));
            assert_eq!(
                (played.len(), p.done.len()),
                (all.len(), all.len()),
                "killed after {killed_after}"
            );
        }
    }

    #[test]
    fn a_failed_run_is_told_and_not_tried_again() {
        let all = cells(1, 1, 1, 2);
        let mut p = Progress::new(keyed(&all), &BTreeSet::new());
        let (first, _) = p.take().unwrap();
        p.ended(first, Err("it panicked".into()));
        assert_eq!((p.take().unwrap().0, p.take()), (all[1], None));
        assert_eq!(
            (p.told(), &p.failed[&first]),
            ((1, 2, 0), &"it panicked".to_owned())
        );
    }
}
