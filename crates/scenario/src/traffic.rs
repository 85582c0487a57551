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
    let mut arrivals = Vec::new();
    for (index, traffic) in day.traffic.iter().enumerate() {
        let mut rng = fastrand::Rng::with_seed(day.seed.wrapping_mul(31) ^ index as u64);
        generate_traffic(traffic, &mut rng, &mut arrivals);
    }
    let mut rng = fastrand::Rng::with_seed(day.seed ^ 0xdead);
    for arrival in &mut arrivals {
        let during = |trouble: &&Trouble| {
            arrival.at >= trouble.at && arrival.at < trouble.at + trouble.lasts
        };
        for trouble in day.troubles.iter().filter(during) {
            let affected = rng.f64() < trouble.part;
            match trouble.kind {
                Kind::HotFunction if affected => {
                    arrival.function =
                        trouble.functions[rng.usize(..trouble.functions.len())].clone()
                }
                Kind::HeavyTail if affected => {
                    arrival.work = (arrival.work as f64 * trouble.times) as Ticks
                }
                Kind::ClientHangUps if affected => {
                    arrival.hangs_up = Some(rng.u64(0..=trouble.delay.max(1)))
                }
                Kind::SlowReaders if affected => arrival.reads_late = Some(trouble.delay.max(1)),
                _ => {}
            }
        }
    }
    arrivals.sort_by_key(|a| a.at);
    arrivals
}

fn generate_traffic(traffic: &Traffic, rng: &mut fastrand::Rng, arrivals: &mut Vec<Arrival>) {
    let popularity = Popularity::new(traffic.functions.len(), traffic.zipf, traffic.turnover);
    for at in draw_arrivals(
        traffic.shape,
        traffic.per_second,
        traffic.from,
        traffic.to,
        rng,
    ) {
        let function = traffic.functions[popularity.draw(at, rng)].clone();
        let sigma = (1.0 + traffic.spread * traffic.spread).ln().sqrt();
        let work = traffic.work as f64 * (sigma * standard_normal(rng) - 0.5 * sigma * sigma).exp();
        let work = (work as Ticks).max(1);
        arrivals.push(Arrival {
            at,
            tenant: traffic.tenant,
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
