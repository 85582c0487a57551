//! Converts the times of a recorded trace to one clock.
//!
//! A clock that was set back shows as a backward step within its source; later times of that source are shifted forward
//! by the size of the step. The offset between two sources' clocks cannot be derived from arrivals and has to be given.

use saltdrum::interface::{SECOND, Ticks};
use std::collections::BTreeMap;

/// How far rows of one source may be out of order without a clock step: log lines are written when calls end.
const MAX_DISORDER: Ticks = SECOND;

/// The corrections made to a trace.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClockCorrections {
    /// Rows out of order within [`MAX_DISORDER`].
    pub reordered_rows: usize,
    /// Backward clock steps: source, row from 0, size of the step.
    pub backward_steps: Vec<(String, usize, Ticks)>,
}

/// Converts the times of rows, each with its source, to one clock that starts at 0. `ahead` lists the sources whose
/// clocks are known to be ahead, with their offsets. The order of the rows does not change.
pub fn correct_clocks(
    rows: &mut [(String, Ticks)],
    ahead: &BTreeMap<String, Ticks>,
) -> ClockCorrections {
    let mut corrections = ClockCorrections::default();
    let mut sources: BTreeMap<String, (Ticks, Ticks)> = BTreeMap::new();
    for (n, (source, at)) in rows.iter_mut().enumerate() {
        let (shift, latest) = sources.entry(source.clone()).or_insert((0, 0));
        let mut shifted = *at + *shift;
        if shifted + MAX_DISORDER < *latest {
            let step = *latest - shifted;
            *shift += step;
            shifted += step;
            corrections.backward_steps.push((source.clone(), n, step));
        } else if shifted < *latest {
            corrections.reordered_rows += 1;
        }
        *latest = shifted.max(*latest);
        *at = shifted;
    }
    // Clocks that are ahead are shifted back relative to the others, which move forward so that no time falls below 0.
    let max_offset = ahead.values().copied().max().unwrap_or(0);
    rows.iter_mut()
        .for_each(|(source, at)| *at += max_offset - ahead.get(source).copied().unwrap_or(0));
    let first = rows.iter().map(|(_, at)| *at).min().unwrap_or(0);
    rows.iter_mut().for_each(|(_, at)| *at -= first);
    corrections
}

#[cfg(test)]
mod tests {
    use super::*;

    fn rows(of: &[(&str, Ticks)]) -> Vec<(String, Ticks)> {
        of.iter().map(|(s, at)| ((*s).to_owned(), *at)).collect()
    }

    #[test]
    fn shifts_times_after_a_backward_step_of_one_source_only() {
        let mut rows_of_sources = rows(&[
            ("a", 500_000),
            ("b", 500_000),
            ("a", 500_100),
            ("a", 90_000),
            ("a", 90_300),
        ]);
        let corrections = correct_clocks(&mut rows_of_sources, &BTreeMap::new());
        assert_eq!(
            rows_of_sources.iter().map(|r| r.1).collect::<Vec<_>>(),
            [0, 0, 100, 100, 400]
        );
        assert_eq!(corrections.backward_steps, [("a".to_owned(), 3, 410_100)]);
    }

    #[test]
    fn small_disorder_is_not_a_step_and_known_offsets_are_subtracted() {
        let mut rows_of_sources = rows(&[("a", 20_000), ("a", 15_000), ("b", 1_020_000)]);
        let corrections = correct_clocks(
            &mut rows_of_sources,
            &BTreeMap::from([("b".to_owned(), 1_000_000)]),
        );
        assert_eq!(
            rows_of_sources.iter().map(|r| r.1).collect::<Vec<_>>(),
            [5_000, 0, 5_000]
        );
        assert_eq!(
            (corrections.reordered_rows, corrections.backward_steps.len()),
            (1, 0)
        );
    }
}
