//! Statistics of the differences between paired runs.

use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Differences between a variant and the base variant over the same days, seeds and sizes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    pub pairs: usize,
    pub mean: f64,
    /// The 95% confidence interval of the mean, assuming identically distributed differences; none for a single pair.
    pub interval: Option<(f64, f64)>,
    /// Pairs in which the variant was higher.
    pub higher: usize,
    /// Pairs in which the variant was lower.
    pub lower: usize,
}

/// The direction of a difference, where it is significant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    Higher,
    Lower,
    Same,
    #[serde(rename = "cannot-tell")]
    Inconclusive,
}

impl Difference {
    /// Evaluates pairs (variant, base). Pairs with a value that is not finite are ignored.
    pub fn from_pairs(pairs: &[(f64, f64)]) -> Option<Self> {
        let differences: Vec<f64> = pairs
            .iter()
            .map(|(variant, base)| variant - base)
            .filter(|d| d.is_finite())
            .collect();
        if differences.is_empty() {
            return None;
        }
        let count = differences.len() as f64;
        let mean = differences.iter().sum::<f64>() / count;
        let interval = (differences.len() > 1).then(|| {
            let variance =
                differences.iter().map(|d| (d - mean).powi(2)).sum::<f64>() / (count - 1.0);
            let t_quantile = StudentsT::new(0.0, 1.0, count - 1.0)
                .expect("at least one degree of freedom")
                .inverse_cdf(0.975);
            let half_width = t_quantile * (variance / count).sqrt();
            (mean - half_width, mean + half_width)
        });
        let count_of = |f: fn(&f64) -> bool| differences.iter().filter(|d| f(d)).count();
        Some(Self {
            pairs: differences.len(),
            mean,
            interval,
            higher: count_of(|d| *d > 0.0),
            lower: count_of(|d| *d < 0.0),
        })
    }

    /// Whether the variant is significantly higher or lower than the base.
    pub fn direction(&self) -> Direction {
        match self.interval {
            _ if self.higher + self.lower == 0 => Direction::Same,
            Some((low, _)) if low > 0.0 => Direction::Higher,
            Some((_, high)) if high < 0.0 => Direction::Lower,
            _ => Direction::Inconclusive,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn confidence_interval_matches_a_worked_example() {
        // Differences 1, 2, 3, 4, 5: mean 3, t(4, 0.975) = 2.776, half width 2.776 * sqrt(2.5 / 5) = 1.963.
        let difference =
            Difference::from_pairs(&[(1.0, 0.0), (3.0, 1.0), (5.0, 2.0), (7.0, 3.0), (9.0, 4.0)])
                .unwrap();
        let (low, high) = difference.interval.unwrap();
        assert!(
            (low - 1.037).abs() < 1e-3 && (high - 4.963).abs() < 1e-3,
            "{low} {high}"
        );
        assert_eq!(
            (difference.direction(), difference.higher, difference.pairs),
            (Direction::Higher, 5, 5)
        );
    }

    #[test]
    fn too_little_data_is_inconclusive() {
        assert_eq!(Difference::from_pairs(&[]), None);
        assert_eq!(Difference::from_pairs(&[(f64::NAN, 1.0)]), None);
        assert_eq!(
            Difference::from_pairs(&[(2.0, 1.0)]).unwrap().direction(),
            Direction::Inconclusive
        );
        assert_eq!(
            Difference::from_pairs(&[(1.0, 1.0), (1.0, 1.0)])
                .unwrap()
                .direction(),
            Direction::Same
        );
        assert_eq!(
            Difference::from_pairs(&[(2.0, 1.0), (1.0, 2.0)])
                .unwrap()
                .direction(),
            Direction::Inconclusive
        );
    }

    /// In 400 comparisons of two identical distributions, about one in twenty appears significant.
    #[test]
    fn false_positive_rate_matches_the_confidence_level() {
        let mut rng = fastrand::Rng::with_seed(11);
        let mut noise = || (0..12).map(|_| rng.f64()).sum::<f64>();
        let count_significant = |shift: f64, noise: &mut dyn FnMut() -> f64| {
            let pairs = |noise: &mut dyn FnMut() -> f64| {
                (0..8)
                    .map(|_| (noise() + shift, noise()))
                    .collect::<Vec<_>>()
            };
            (0..400)
                .filter(|_| {
                    Difference::from_pairs(&pairs(noise)).unwrap().direction()
                        != Direction::Inconclusive
                })
                .count()
        };
        let (same, shifted) = (
            count_significant(0.0, &mut noise),
            count_significant(4.0, &mut noise),
        );
        assert!((8..=34).contains(&same), "{same} of 400");
        assert!(shifted > 390, "{shifted} of 400");
    }
}
