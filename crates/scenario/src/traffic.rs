//! Draws a day's invocations, all before it begins: what comes does not wait for what was answered.

use crate::script::{Day, Kind, Traffic, Trouble};
use saltdrum::interface::Ticks;
use saltdrum_load::{Popularity, shape::draw_arrivals};

#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    pub at: Ticks,
    pub tenant: usize,
    pub function: String,
    pub work: Ticks,
    /// The client hangs up after so long.
    pub hangs_up: Option<Ticks>,
    /// The client reads its answer so much later.
    pub reads_late: Option<Ticks>,
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
                Kind::HeavyTail if struck => a.work = (a.work as f64 * t.times) as Ticks,
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
    let popularity = Popularity::new(t.functions.len(), t.zipf, t.turnover);
    for at in draw_arrivals(t.shape, t.per_second, t.from, t.to, rng) {
        let function = t.functions[popularity.draw(at, rng)].clone();
        let sigma = (1.0 + t.spread * t.spread).ln().sqrt();
        let work = t.work as f64 * (sigma * normal(rng) - 0.5 * sigma * sigma).exp();
        let work = (work as Ticks).max(1);
        all.push(Arrival {
            at,
            tenant: t.tenant,
            function,
            work,
            hangs_up: None,
            reads_late: None,
        });
    }
}

fn normal(rng: &mut fastrand::Rng) -> f64 {
    let (u, v) = (rng.f64().max(1e-12), rng.f64());
    (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos()
}
