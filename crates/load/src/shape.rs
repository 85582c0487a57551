//! Arrival times of invocations.

use saltdrum::interface::{SECOND, Ticks};

/// How the arrival rate changes over time, relative to its mean.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Shape {
    /// Poisson arrivals.
    #[default]
    Steady,
    /// Bursts at `rate_factor` times the mean rate, `mean_duration` long on average, with no arrivals between them.
    Bursty {
        rate_factor: f64,
        mean_duration: Ticks,
    },
    /// `count` arrivals at once, as of a group of visitors: all within `spread` of the start. The rate is ignored.
    Group { count: u32, spread: Ticks },
    /// A dip: the full rate at both ends, down to `min_share` of it in the middle.
    Afternoon { min_share: f64 },
    /// A linear increase from zero to twice the mean.
    Ramp,
    /// A sine around the mean; `amplitude` is a share of the mean.
    Season { amplitude: f64, period: Ticks },
}

/// Draws arrival times in ascending order. The same state of `rng` gives the same arrivals.
pub fn draw_arrivals(
    shape: Shape,
    per_second: f64,
    from: Ticks,
    to: Ticks,
    rng: &mut fastrand::Rng,
) -> Vec<Ticks> {
    if let Shape::Group { count, spread } = shape {
        let mut arrivals: Vec<Ticks> = (0..count)
            .map(|_| from + rng.u64(0..spread.max(1)))
            .collect();
        arrivals.sort_unstable();
        return arrivals;
    }
    let length = to.saturating_sub(from).max(1) as f64;
    let bursts = match shape {
        Shape::Bursty {
            rate_factor,
            mean_duration,
        } => bursts(rate_factor, mean_duration, from, to, rng),
        _ => Vec::new(),
    };
    let max_rate = match shape {
        Shape::Bursty { rate_factor, .. } => rate_factor.max(1.0),
        Shape::Ramp => 2.0,
        Shape::Season { amplitude, .. } => 1.0 + amplitude.clamp(0.0, 1.0),
        _ => 1.0,
    };
    // Thinning: an arrival of a Poisson process at the maximum rate is kept with the probability rate / maximum.
    let rate = |at: f64| match shape {
        Shape::Steady | Shape::Group { .. } => 1.0,
        Shape::Bursty { rate_factor, .. } => {
            let within = bursts
                .iter()
                .any(|(start, end)| (*start..*end).contains(&(at as Ticks)));
            if within { rate_factor.max(1.0) } else { 0.0 }
        }
        Shape::Afternoon { min_share } => {
            let position = (at - from as f64) / length;
            min_share + (1.0 - min_share) * (2.0 * position - 1.0).powi(2)
        }
        Shape::Ramp => 2.0 * (at - from as f64) / length,
        Shape::Season { amplitude, period } => {
            let periods = (at - from as f64) / period.max(1) as f64;
            1.0 + amplitude.clamp(0.0, 1.0) * (std::f64::consts::TAU * periods).sin()
        }
    };
    let (mut arrivals, mut at) = (Vec::new(), from as f64);
    if per_second <= 0.0 {
        return arrivals;
    }
    loop {
        at += -rng.f64().max(1e-12).ln() / (per_second * max_rate) * SECOND as f64;
        if at >= to as f64 {
            return arrivals;
        }
        if matches!(shape, Shape::Steady) || rng.f64() * max_rate < rate(at) {
            arrivals.push(at as Ticks);
        }
    }
}

/// Draws the intervals of bursts. They cover 1 / `rate_factor` of the time, so that the mean rate is preserved.
fn bursts(
    rate_factor: f64,
    mean_duration: Ticks,
    from: Ticks,
    to: Ticks,
    rng: &mut fastrand::Rng,
) -> Vec<(Ticks, Ticks)> {
    let (mean_burst, mean_gap) = (
        mean_duration.max(1) as f64,
        mean_duration.max(1) as f64 * (rate_factor.max(1.0) - 1.0),
    );
    let mut draw = |mean: f64| -rng.f64().max(1e-12).ln() * mean;
    let (mut bursts, mut at) = (Vec::new(), from as f64 + draw(mean_gap));
    while at < to as f64 {
        let end = at + draw(mean_burst);
        bursts.push((at as Ticks, end as Ticks));
        at = end + draw(mean_gap);
    }
    bursts
}

#[cfg(test)]
mod tests {
    use super::*;

    fn arrivals_of(shape: Shape) -> Vec<Ticks> {
        draw_arrivals(
            shape,
            50.0,
            0,
            400 * SECOND,
            &mut fastrand::Rng::with_seed(3),
        )
    }

    /// Arrivals in each tenth of the time.
    fn counts_by_tenth(shape: Shape) -> Vec<usize> {
        let mut counts = vec![0; 10];
        arrivals_of(shape)
            .iter()
            .for_each(|at| counts[(at / (40 * SECOND)) as usize] += 1);
        counts
    }

    #[test]
    fn every_shape_has_its_mean_rate_and_its_profile() {
        let is_near = |n: usize, expected: f64| (n as f64 - expected).abs() < 0.12 * expected;
        for shape in [
            Shape::Steady,
            Shape::Ramp,
            Shape::Season {
                amplitude: 0.8,
                period: 400 * SECOND,
            },
        ] {
            assert!(
                is_near(arrivals_of(shape).len(), 20_000.0),
                "{shape:?}: {}",
                arrivals_of(shape).len()
            );
        }
        let bursty = Shape::Bursty {
            rate_factor: 8.0,
            mean_duration: SECOND,
        };
        assert!(
            (14_000..26_000).contains(&arrivals_of(bursty).len()),
            "{}",
            arrivals_of(bursty).len()
        );
        let busy_seconds = |shape| {
            let mut by_second = vec![0; 400];
            arrivals_of(shape)
                .iter()
                .for_each(|at| by_second[(at / SECOND) as usize] += 1);
            by_second.iter().filter(|n| **n > 100).count()
        };
        assert!(
            busy_seconds(bursty) > 20 && busy_seconds(Shape::Steady) == 0,
            "{} bursts",
            busy_seconds(bursty)
        );
        let ramp = counts_by_tenth(Shape::Ramp);
        assert!(
            ramp.windows(2).all(|w| w[0] < w[1]) && is_near(ramp[9], 3_800.0),
            "{ramp:?}"
        );
        let afternoon = counts_by_tenth(Shape::Afternoon { min_share: 0.1 });
        assert!(
            afternoon[5] * 4 < afternoon[0] && afternoon[4] * 4 < afternoon[9],
            "{afternoon:?}"
        );
        let season = counts_by_tenth(Shape::Season {
            amplitude: 0.8,
            period: 400 * SECOND,
        });
        assert!(season[2] > 3 * season[7], "{season:?}");
    }

    #[test]
    fn group_arrives_within_its_spread_at_any_rate() {
        let group = draw_arrivals(
            Shape::Group {
                count: 60,
                spread: 5_000,
            },
            0.0,
            90_000,
            0,
            &mut fastrand::Rng::with_seed(1),
        );
        assert!(group.len() == 60 && group.is_sorted());
        assert!(group.iter().all(|at| (90_000..95_000).contains(at)));
    }
}
