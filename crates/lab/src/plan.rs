//! The runs of an experiment and their progress.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One run, by indices into the experiment's lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cell {
    pub size: usize,
    pub day: usize,
    pub seed: usize,
    pub variant: usize,
}

/// All cells of an experiment. The variants of a day, size and seed are adjacent, so that most pairs are complete
/// whenever the experiment is interrupted.
pub fn cells(sizes: usize, days: usize, seeds: usize, variants: usize) -> Vec<Cell> {
    let mut cells = Vec::new();
    for seed in 0..seeds {
        for size in 0..sizes {
            for day in 0..days {
                cells.extend((0..variants).map(|variant| Cell {
                    size,
                    day,
                    seed,
                    variant,
                }));
            }
        }
    }
    cells
}

/// The state of each run. A run's key covers everything that its result depends on, so a stored result with the same
/// key is valid for it.
#[derive(Debug, Default)]
pub struct Progress {
    waiting: VecDeque<(Cell, String)>,
    running: BTreeSet<Cell>,
    pub done: BTreeSet<Cell>,
    /// With the reason. Failed runs are not repeated in this execution.
    pub failed: BTreeMap<Cell, String>,
    reused: usize,
}

impl Progress {
    /// `finished` contains the keys of the intact stored results.
    pub fn new(
        cells: impl IntoIterator<Item = (Cell, String)>,
        finished: &BTreeSet<String>,
    ) -> Self {
        let mut progress = Self::default();
        for (cell, key) in cells {
            if finished.contains(&key) {
                progress.done.insert(cell);
            } else {
                progress.waiting.push_back((cell, key));
            }
        }
        progress.reused = progress.done.len();
        progress
    }

    /// Takes the next waiting run.
    pub fn start_next(&mut self) -> Option<(Cell, String)> {
        let next = self.waiting.pop_front()?;
        self.running.insert(next.0);
        Some(next)
    }

    /// Records the result of a run. A run that is not running is ignored.
    pub fn finish(&mut self, cell: Cell, result: Result<(), String>) {
        if !self.running.remove(&cell) {
            return;
        }
        match result {
            Ok(()) => drop(self.done.insert(cell)),
            Err(reason) => drop(self.failed.insert(cell, reason)),
        }
    }

    /// Numbers of finished runs (done or failed), of all runs, and of reused results.
    pub fn counts(&self) -> (usize, usize, usize) {
        let finished = self.done.len() + self.failed.len();
        (
            finished,
            finished + self.waiting.len() + self.running.len(),
            self.reused,
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn with_keys(all: &[Cell]) -> Vec<(Cell, String)> {
        all.iter().map(|c| (*c, format!("{c:?}"))).collect()
    }

    #[test]
    fn variants_of_one_pair_are_adjacent() {
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

    /// Kills the execution after each number of runs and restarts it: every run is executed once and counted once.
    #[test]
    fn resumes_an_execution_that_was_killed() {
        let all = cells(1, 2, 3, 2);
        for killed_after in 0..=all.len() {
            let (mut finished, mut executed) = (BTreeSet::new(), Vec::new());
            for limit in [killed_after, usize::MAX] {
                let mut progress = Progress::new(with_keys(&all), &finished);
                while executed.len() < limit {
                    let Some((cell, key)) = progress.start_next() else {
                        break;
                    };
                    executed.push(cell);
                    finished.insert(key);
                    progress.finish(cell, Ok(()));
                    progress.finish(cell, Ok(()));
                }
                // One more run was in progress when it was killed.
                let _ = progress.start_next();
            }
            let progress = Progress::new(with_keys(&all), &finished);
            assert_eq!(progress.counts(), (all.len(), all.len(), all.len()));
            assert_eq!(
                (executed.len(), progress.done.len()),
                (all.len(), all.len()),
                "killed after {killed_after}"
            );
        }
    }

    #[test]
    fn failed_run_is_reported_and_not_repeated() {
        let all = cells(1, 1, 1, 2);
        let mut progress = Progress::new(with_keys(&all), &BTreeSet::new());
        let (first, _) = progress.start_next().unwrap();
        progress.finish(first, Err("it panicked".into()));
        assert_eq!(
            (progress.start_next().unwrap().0, progress.start_next()),
            (all[1], None)
        );
        assert_eq!(
            (progress.counts(), &progress.failed[&first]),
            ((1, 2, 0), &"it panicked".to_owned())
        );
    }
}
