//! What the differences of paired runs mean.

use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Differences of a variant to the base over the same days, seeds and sizes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    pub pairs: usize,
    pub mean: f64,
    /// The mean lies within this with 95%, if differences are drawn alike; none from a single pair.
    pub interval: Option<(f64, f64)>,
    /// Pairs in which it was higher, and lower.
    pub higher: usize,
    pub lower: usize,
}

/// What can be said of a difference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Word {
    Higher,
    Lower,
    Same,
    CannotTell,
}

impl Difference {
    /// Of pairs (variant, base). Pairs of which one is not a number are left out.
    pub fn of(pairs: &[(f64, f64)]) -> Option<Self> {
        let all: Vec<f64> = pairs
            .iter()
            .map(|(a, b)| a - b)
            .filter(|d| d.is_finite())
            .collect();
        if all.is_empty() {
            return None;
        }
        let n = all.len() as f64;
        let mean = all.iter().sum::<f64>() / n;
        let interval = (all.len() > 1).then(|| {
            let variance = all.iter().map(|d| (d - mean).powi(2)).sum::<f64>() / (n - 1.0);
            let t = StudentsT::new(0.0, 1.0, n - 1.0)
                .expect("one degree at least")
                .inverse_cdf(0.975);
            let half = t * (variance / n).sqrt();
            (mean - half, mean + half)
        });
        let count = |f: fn(&f64) -> bool| all.iter().filter(|d| f(d)).count();
        Some(Self {
            pairs: all.len(),
            mean,
            interval,
            higher: count(|d| *d > 0.0),
            lower: count(|d| *d < 0.0),
        })
    }

    pub fn word(&self) -> Word {
        match self.interval {
            _ if self.higher + self.lower == 0 => Word::Same,
            Some((low, _)) if low > 0.0 => Word::Higher,
            Some((_, high)) if high < 0.0 => Word::Lower,
            _ => Word::CannotTell,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_interval_is_the_textbooks() {
        // Differences 1, 2, 3, 4, 5: mean 3, t(4, 0.975) = 2.776, half width 2.776 * sqrt(2.5 / 5) = 1.963.
        let d =
            Difference::of(&[(1.0, 0.0), (3.0, 1.0), (5.0, 2.0), (7.0, 3.0), (9.0, 4.0)]).unwrap();
        let (low, high) = d.interval.unwrap();
        assert!(
            (low - 1.037).abs() < 1e-3 && (high - 4.963).abs() < 1e-3,
            "{low} {high}"
        );
        assert_eq!((d.word(), d.higher, d.pairs), (Word::Higher, 5, 5));
    }

    #[test]
    fn nothing_is_said_of_what_cannot_be_told() {
        assert_eq!(Difference::of(&[]), None);
        assert_eq!(Difference::of(&[(f64::NAN, 1.0)]), None);
        assert_eq!(
            Difference::of(&[(2.0, 1.0)]).unwrap().word(),
            Word::CannotTell
        );
        assert_eq!(
            Difference::of(&[(1.0, 1.0), (1.0, 1.0)]).unwrap().word(),
            Word::Same
        );
        assert_eq!(
            Difference::of(&[(2.0, 1.0), (1.0, 2.0)]).unwrap().word(),
            Word::CannotTell
        );
    }

    /// Of 400 comparisons of a thing with itself about one in twenty looks like a difference, and not more.
    #[test]
    fn noise_is_called_a_difference_as_seldom_as_is_said() {
        let mut rng = fastrand::Rng::with_seed(11);
        let mut noise = || (0..12).map(|_| rng.f64()).sum::<f64>();
        let seen = |shift: f64, noise: &mut dyn FnMut() -> f64| {
            let pairs = |noise: &mut dyn FnMut() -> f64| {
                (0..8)
                    .map(|_| (noise() + shift, noise()))
                    .collect::<Vec<_>>()
            };
            (0..400)
                .filter(|_| Difference::of(&pairs(noise)).unwrap().word() != Word::CannotTell)
                .count()
        };
        let (same, shifted) = (seen(0.0, &mut noise), seen(4.0, &mut noise));
        assert!((8..=34).contains(&same), "{same} of 400");
        assert!(shifted > 390, "{shifted} of 400");
    }
}
