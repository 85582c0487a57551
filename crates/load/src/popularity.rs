//! Which function is called: some far more than others, and others tomorrow.

use saltdrum::interface::Ticks;

/// Zipf ranks over a list of functions that come and go.
#[derive(Clone, Debug)]
pub struct Popularity {
    /// Sums of the weights up to each rank.
    sums: Vec<f64>,
    /// So often the least popular function takes the top rank, and all others go down by one; 0: never.
    turnover: Ticks,
}

impl Popularity {
    /// Of `count` functions, at least one; the weight of rank r is r to the power of minus `zipf`.
    pub fn new(count: usize, zipf: f64, turnover: Ticks) -> Self {
        let mut sum = 0.0;
        let weigh = |rank: usize| {
            sum += (rank as f64).powf(-zipf);
            sum
        };
        Self {
            sums: (1..=count.max(1)).map(weigh).collect(),
            turnover,
        }
    }

    /// A function by its place in the list.
    pub fn draw(&self, at: Ticks, rng: &mut fastrand::Rng) -> usize {
        let total = *self.sums.last().expect("there is at least one");
        let sought = rng.f64() * total;
        let rank = self
            .sums
            .partition_point(|sum| *sum <= sought)
            .min(self.sums.len() - 1);
        let turns = at.checked_div(self.turnover).unwrap_or(0) as usize;
        (rank + self.sums.len() - turns % self.sums.len()) % self.sums.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_top_moves_on_and_the_shares_stay() {
        let p = Popularity::new(10, 1.0, 1_000);
        let counts = |at| {
            let mut rng = fastrand::Rng::with_seed(5);
            let mut counts = [0_i32; 10];
            (0..29_290).for_each(|_| counts[p.draw(at, &mut rng)] += 1);
            counts
        };
        let (now, then, round) = (counts(0), counts(2_500), counts(10_000));
        // 29,290 is 10,000 times the sum of the ten weights.
        assert!(
            now[0].abs_diff(10_000) < 300 && now[9].abs_diff(1_000) < 120,
            "{now:?}"
        );
        assert_eq!(
            (then[8], then[0]),
            (now[0], now[2]),
            "the last but one leads, the first is third"
        );
        assert_eq!(round, now);
    }
}
