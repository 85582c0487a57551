//! Draws a day's invocations, all before it begins: what comes does not wait for what was answered.

use crate::script::{Day, Kind, Traffic, Trouble};
use saltdrum::port::{SECOND, Tenths};

#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    pub at: Tenths,
    pub tenant: usize,
    pub function: String,
    pub work: Tenths,
    /// The client hangs up after so long.
    pub hangs_up: Option<Tenths>,
    /// The client reads its answer so much later.
    pub reads_late: Option<Tenths>,
}

/// The same day gives the same arrivals.
pub fn draw(day: &Day) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (n, t) in day.traffic.iter().enumerate() {
        let mut rng = fastrand::Rng::with_seed(day.seed.wrapping_mul(31) ^ n as u64);
        draw_one(t, &mut rng, &mut all);
    }
    let mut rng = fastrand::Rng::with_seed(day.seed ^ 0xdead);
    for a in &mut all {
        let during = |t: &&Trouble| a.at >= t.at && a.at < t.at + t.lasts;
        for t in day.troubles.iter().filter(during) {
            let struck = rng.f64() < t.part;
            match t.kind {
                Kind::HotFunction if struck => {
                    a.function = t.functions[rng.usize(..t.functions.len())].clone()
                }
                Kind::HeavyTail if struck => a.work = (a.work as f64 * t.times) as Tenths,
                Kind::ClientHangUps if struck => a.hangs_up = Some(rng.u64(0..=t.delay.max(1))),
                Kind::SlowReaders if struck => a.reads_late = Some(t.delay.max(1)),
                _ => {}
            }
        }
    }
    all.sort_by_key(|a| a.at);
    all
}

fn draw_one(t: &Traffic, rng: &mut fastrand::Rng, all: &mut Vec<Arrival>) {
    let weights: Vec<f64> = (1..=t.functions.len()).map(|rank| (rank as f64).powf(-t.zipf)).collect();
    let total: f64 = weights.iter().sum();
    let one = |at: Tenths, rng: &mut fastrand::Rng| {
        let mut left = rng.f64() * total;
        let rank = weights.iter().position(|w| {
            left -= w;
            left < 0.0
        });
        let sigma = (1.0 + t.spread * t.spread).ln().sqrt();
        let work = t.work as f64 * (sigma * normal(rng) - 0.5 * sigma * sigma).exp();
        Arrival {
            at,
            tenant: t.tenant,
            function: t.functions[rank.unwrap_or(0)].clone(),
            work: (work as Tenths).max(1),
            hangs_up: None,
            reads_late: None,
        }
    };
    if t.at_once > 0 {
        // A class is told to press play; nobody does within the same moment.
        let spread = SECOND / 2;
        for _ in 0..t.at_once {
            let at = t.from + rng.u64(0..spread);
            all.push(one(at, rng));
        }
        return;
    }
    let mut at = t.from as f64;
    loop {
        at += -rng.f64().max(1e-12).ln() / t.per_second * SECOND as f64;
        if at >= t.to as f64 {
            return;
        }
        all.push(one(at as Tenths, rng));
    }
}

fn normal(rng: &mut fastrand::Rng) -> f64 {
    let (u, v) = (rng.f64().max(1e-12), rng.f64());
    (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos()
}
