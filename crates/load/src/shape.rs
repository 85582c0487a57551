//! When invocations come.

use saltdrum::interface::{SECOND, Ticks};

/// How the rate goes, over its mean.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Shape {
    /// Poisson arrivals.
    #[default]
    Steady,
    /// Bursts of `times` the mean rate, of about `lasts` each, with quiet between them.
    Bursty {
        rate_factor: f64,
        mean_duration: Ticks,
    },
    /// A group is told to press play: all within `spread` of the begin. The rate counts for nothing.
    Group { count: u32, spread: Ticks },
    /// A slow holiday afternoon: from full at both ends down to `least` of it in the middle.
    Afternoon { min_share: f64 },
    /// From nothing to twice the mean.
    Ramp,
    /// An amplitude of this share of the mean around it, once every `period`.
    Season { amplitude: f64, period: Ticks },
}

/// Draws arrivals in order of time. The same generator gives the same ones.
pub fn draw_arrivals(
    shape: Shape,
    per_second: f64,
    from: Ticks,
    to: Ticks,
    rng: &mut fastrand::Rng,
) -> Vec<Ticks> {
    if let Shape::Group { count, spread } = shape {
        let mut all: Vec<Ticks> = (0..count)
            .map(|_| from + rng.u64(0..spread.max(1)))
            .collect();
        all.sort_unstable();
        return all;
    }
    let length = to.saturating_sub(from).max(1) as f64;
    let bursts = match shape {
        Shape::Bursty {
            rate_factor,
            mean_duration,
        } => bursts(rate_factor, mean_duration, from, to, rng),
        _ => Vec::new(),
    };
    let most = match shape {
        Shape::Bursty { rate_factor, .. } => rate_factor.max(1.0),
        Shape::Ramp => 2.0,
        Shape::Season { amplitude, .. } => 1.0 + amplitude.clamp(0.0, 1.0),
        _ => 1.0,
    };
    // Of a Poisson stream at the highest rate so many are kept as the rate of the moment asks for.
    let rate = |at: f64| match shape {
        Shape::Steady | Shape::Group { .. } => 1.0,
        Shape::Bursty { rate_factor, .. } => {
            let within = bursts
                .iter()
                .any(|(a, b)| (*a..*b).contains(&(at as Ticks)));
            if within { rate_factor.max(1.0) } else { 0.0 }
        }
        Shape::Afternoon { min_share } => {
            let part = (at - from as f64) / length;
            min_share + (1.0 - min_share) * (2.0 * part - 1.0).powi(2)
        }
        Shape::Ramp => 2.0 * (at - from as f64) / length,
        Shape::Season { amplitude, period } => {
            let turn = (at - from as f64) / period.max(1) as f64;
            1.0 + amplitude.clamp(0.0, 1.0) * (std::f64::consts::TAU * turn).sin()
        }
    };
    let (mut all, mut at) = (Vec::new(), from as f64);
    if per_second <= 0.0 {
        return all;
    }
    loop {
        at += -rng.f64().max(1e-12).ln() / (per_second * most) * SECOND as f64;
        if at >= to as f64 {
            return all;
        }
        if matches!(shape, Shape::Steady) || rng.f64() * most < rate(at) {
            all.push(at as Ticks);
        }
    }
}

/// On for one part in `times` of the time, so that the mean stays what it is.
fn bursts(
    times: f64,
    lasts: Ticks,
    from: Ticks,
    to: Ticks,
    rng: &mut fastrand::Rng,
) -> Vec<(Ticks, Ticks)> {
    let (lasts, quiet) = (
        lasts.max(1) as f64,
        lasts.max(1) as f64 * (times.max(1.0) - 1.0),
    );
    let mut draw = |mean: f64| -rng.f64().max(1e-12).ln() * mean;
    let (mut all, mut at) = (Vec::new(), from as f64 + draw(quiet));
    while at < to as f64 {
        let end = at + draw(lasts);
        all.push((at as Ticks, end as Ticks));
        at = end + draw(quiet);
    }
    all
}

#[cfg(test)]
mod tests {
    use super::*;

    fn drawn(shape: Shape) -> Vec<Ticks> {
        draw_arrivals(
            shape,
            50.0,
            0,
            400 * SECOND,
            &mut fastrand::Rng::with_seed(3),
        )
    }

    /// How many came in each tenth of the time.
    fn tenths_of(shape: Shape) -> Vec<usize> {
        let mut counts = vec![0; 10];
        drawn(shape)
            .iter()
            .for_each(|at| counts[(at / (40 * SECOND)) as usize] += 1);
        counts
    }

    #[test]
    fn every_shape_keeps_its_mean_and_its_own_form() {
        let near = |n: usize, want: f64| (n as f64 - want).abs() < 0.12 * want;
        for shape in [
            Shape::Steady,
            Shape::Ramp,
            Shape::Season {
                amplitude: 0.8,
                period: 400 * SECOND,
            },
        ] {
            assert!(
                near(drawn(shape).len(), 20_000.0),
                "{shape:?}: {}",
                drawn(shape).len()
            );
        }
        let bursty = Shape::Bursty {
            rate_factor: 8.0,
            mean_duration: SECOND,
        };
        assert!(
            (14_000..26_000).contains(&drawn(bursty).len()),
            "{}",
            drawn(bursty).len()
        );
        let busy = |shape| {
            let mut by_second = vec![0; 400];
            drawn(shape)
                .iter()
                .for_each(|at| by_second[(at / SECOND) as usize] += 1);
            by_second.iter().filter(|n| **n > 100).count()
        };
        assert!(
            busy(bursty) > 20 && busy(Shape::Steady) == 0,
            "{} bursts",
            busy(bursty)
        );
        let ramp = tenths_of(Shape::Ramp);
        assert!(
            ramp.windows(2).all(|w| w[0] < w[1]) && near(ramp[9], 3_800.0),
            "{ramp:?}"
        );
        let afternoon = tenths_of(Shape::Afternoon { min_share: 0.1 });
        assert!(
            afternoon[5] * 4 < afternoon[0] && afternoon[4] * 4 < afternoon[9],
            "{afternoon:?}"
        );
        let season = tenths_of(Shape::Season {
            amplitude: 0.8,
            period: 400 * SECOND,
        });
        assert!(season[2] > 3 * season[7], "{season:?}");
    }

    #[test]
    fn a_group_comes_together_whatever_the_rate() {
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
