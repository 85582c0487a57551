//! Generates all invocations of a day before it begins: an open-loop load, which does not wait for responses.

use crate::script::{Day, Kind, Traffic, Trouble};
use saltdrum::interface::Ticks;
use saltdrum_load::{Popularity, shape::draw_arrivals};

/// One invocation that a client sends.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    pub at: Ticks,
    pub tenant: usize,
    pub function: String,
    pub work: Ticks,
    /// Time after which the client hangs up.
    pub hangs_up: Option<Ticks>,
    /// Time for which the client delays reading its response.
    pub reads_late: Option<Ticks>,
}

/// Generates the arrivals of a day in order of time. The result depends on nothing but the day.
pub fn draw(day: &Day) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (n, t) in day.traffic.iter().enumerate() {
        let mut rng = fastrand::Rng::with_seed(day.seed.wrapping_mul(31) ^ n as u64);
        generate_traffic(t, &mut rng, &mut all);
    }
    let mut rng = fastrand::Rng::with_seed(day.seed ^ 0xdead);
    for arrival in &mut all {
        let during = |t: &&Trouble| arrival.at >= t.at && arrival.at < t.at + t.lasts;
        for t in day.troubles.iter().filter(during) {
            let affected = rng.f64() < t.part;
            match t.kind {
                Kind::HotFunction if affected => {
                    arrival.function = t.functions[rng.usize(..t.functions.len())].clone()
                }
                Kind::HeavyTail if affected => {
                    arrival.work = (arrival.work as f64 * t.times) as Ticks
                }
                Kind::ClientHangUps if affected => {
                    arrival.hangs_up = Some(rng.u64(0..=t.delay.max(1)))
                }
                Kind::SlowReaders if affected => arrival.reads_late = Some(t.delay.max(1)),
                _ => {}
            }
        }
    }
    all.sort_by_key(|a| a.at);
    all
}

fn generate_traffic(t: &Traffic, rng: &mut fastrand::Rng, all: &mut Vec<Arrival>) {
    let popularity = Popularity::new(t.functions.len(), t.zipf, t.turnover);
    for at in draw_arrivals(t.shape, t.per_second, t.from, t.to, rng) {
        let function = t.functions[popularity.draw(at, rng)].clone();
        let sigma = (1.0 + t.spread * t.spread).ln().sqrt();
        let work = t.work as f64 * (sigma * standard_normal(rng) - 0.5 * sigma * sigma).exp();
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

/// Draws from the standard normal distribution, by the Box-Muller transform.
fn standard_normal(rng: &mut fastrand::Rng) -> f64 {
    let (u, v) = (rng.f64().max(1e-12), rng.f64());
    (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos()
}
