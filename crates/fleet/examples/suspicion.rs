//! Suspicion: how soon a kill is noticed, and how often one that lives is accused, over the level at which members are taken
//! for lost. Signs of life each 500 ms over three lines with jitter of their own; the level that two of three stewards reach.
//!
//!     cargo run --release -p saltdrum-fleet --example suspicion

use saltdrum_fleet::failure_detector::{ArrivalWindow, majority_level};

const EVERY: u64 = 5_000;
const LOOK: u64 = 500;
const HOURS: u64 = 20;

/// Signs of life as one steward hears them.
struct Line {
    silence: ArrivalWindow,
    due: Vec<u64>,
    jitter: u64,
}

impl Line {
    fn look(&mut self, now: u64) -> f64 {
        self.due.sort_unstable();
        while self.due.first().is_some_and(|at| *at <= now) {
            let at = self.due.remove(0);
            self.silence.record_heartbeat(at);
        }
        self.silence.level(now)
    }
}

/// Plays a member; `killed` after a minute, or never. Gives when the levels were reached for the first time after that, in
/// tenths, and how often each was reached while it lived.
fn play(
    seed: u64,
    jitter: u64,
    alone: bool,
    killed: bool,
    levels: &[f64],
) -> (Vec<Option<u64>>, Vec<u64>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let line = |_| Line {
        silence: ArrivalWindow::new(0, EVERY),
        due: Vec::new(),
        jitter,
    };
    let mut lines: Vec<Line> = (0..if alone { 1 } else { 3 }).map(line).collect();
    let (dies, ends) = if killed {
        (600_000, 900_000)
    } else {
        (u64::MAX, HOURS * 36_000_000)
    };
    let (mut noticed, mut accused) = (vec![None; levels.len()], vec![0; levels.len()]);
    let mut over = vec![false; levels.len()];
    let (mut now, mut next) = (0, EVERY);
    while now < ends {
        now += LOOK;
        while next <= now && next < dies {
            for line in &mut lines {
                line.due.push(
                    next + if line.jitter > 0 {
                        rng.u64(..=line.jitter)
                    } else {
                        0
                    },
                );
            }
            next += EVERY;
        }
        let stewards = lines.len();
        let level =
            majority_level(stewards, lines.iter_mut().map(|l| Some(l.look(now)))).unwrap_or(0.0);
        for (n, at) in levels.iter().enumerate() {
            let is = level >= *at;
            if is && now >= dies && noticed[n].is_none() {
                noticed[n] = Some(now - dies);
            }
            if is && !over[n] && now < dies && now > 100_000 {
                accused[n] += 1;
            }
            over[n] = is;
        }
    }
    (noticed, accused)
}

fn main() {
    let levels = [0.5, 1.0, 2.0, 3.0, 4.0, 6.0, 8.0, 12.0, 16.0];
    for (jitter_ms, what) in [(0, "calm"), (20, "20 ms jitter"), (200, "200 ms jitter")] {
        println!("\n{what}; signs of life each 500 ms\n");
        println!(
            "| level | kill noticed, median ms | slowest of 200 | accused an hour, one steward | two of three |"
        );
        println!("| --- | --- | --- | --- | --- |");
        let kills: Vec<Vec<Option<u64>>> = (0..200)
            .map(|seed| play(seed, jitter_ms * 10, false, true, &levels).0)
            .collect();
        let one = play(1, jitter_ms * 10, true, false, &levels).1;
        let three = play(1, jitter_ms * 10, false, false, &levels).1;
        for (n, level) in levels.iter().enumerate() {
            let mut took: Vec<u64> = kills
                .iter()
                .map(|k| k[n].unwrap_or(u64::MAX) / 10)
                .collect();
            took.sort_unstable();
            let rate = |all: &[u64]| all[n] as f64 / HOURS as f64;
            println!(
                "| {level} | {} | {} | {:.2} | {:.2} |",
                took[100],
                took[199],
                rate(&one),
                rate(&three)
            );
        }
    }
}
