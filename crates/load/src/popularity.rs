//! Draws functions by a Zipf distribution whose ranking can rotate over time.

use saltdrum::interface::Ticks;

/// A Zipf distribution over a list of functions.
#[derive(Clone, Debug)]
pub struct Popularity {
    /// Cumulative weights up to each rank.
    cumulative_weights: Vec<f64>,
    /// Interval after which the least popular function takes the top rank and all others move down by one; 0 means
    /// never.
    turnover: Ticks,
}

impl Popularity {
    /// A distribution over `count` functions, at least one. Rank r has the weight r to the power of minus `zipf`.
    pub fn new(count: usize, zipf: f64, turnover: Ticks) -> Self {
        let mut sum = 0.0;
        let cumulative_weight = |rank: usize| {
            sum += (rank as f64).powf(-zipf);
            sum
        };
        Self {
            cumulative_weights: (1..=count.max(1)).map(cumulative_weight).collect(),
            turnover,
        }
    }

    /// Draws a function at time `at`, as an index into the list.
    pub fn draw(&self, at: Ticks, rng: &mut fastrand::Rng) -> usize {
        let total = *self
            .cumulative_weights
            .last()
            .expect("there is at least one");
        let target = rng.f64() * total;
        let rank = self
            .cumulative_weights
            .partition_point(|sum| *sum <= target)
            .min(self.cumulative_weights.len() - 1);
        let rotations = at.checked_div(self.turnover).unwrap_or(0) as usize;
        (rank + self.cumulative_weights.len() - rotations % self.cumulative_weights.len())
            % self.cumulative_weights.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn top_rank_rotates_and_shares_stay_constant() {
        let popularity = Popularity::new(10, 1.0, 1_000);
        let counts = |at| {
            let mut rng = fastrand::Rng::with_seed(5);
            let mut counts = [0_i32; 10];
            (0..29_290).for_each(|_| counts[popularity.draw(at, &mut rng)] += 1);
            counts
        };
        let (initial, rotated_twice, full_cycle) = (counts(0), counts(2_500), counts(10_000));
        // 29,290 is 10,000 times the sum of the ten weights.
        assert!(
            initial[0].abs_diff(10_000) < 300 && initial[9].abs_diff(1_000) < 120,
            "{initial:?}"
        );
        assert_eq!(
            (rotated_twice[8], rotated_twice[0]),
            (initial[0], initial[2]),
            "the last but one has the top rank, the first the third"
        );
        assert_eq!(full_cycle, initial);
    }
}
