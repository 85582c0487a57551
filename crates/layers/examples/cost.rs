//! What layers cost: cutting beside hashing alone, and choosing whom to ask at 84 and at 840 invokers.
//!
//!     cargo run --release -p saltdrum-layers --example cost

use saltdrum_layers::plan::{Ended, Fetcher, Member, Need};
use saltdrum_layers::{Digest, cut};
use std::time::Instant;

const ROUNDS: usize = 5;

fn median(mut of: Vec<f64>) -> f64 {
    of.sort_by(f64::total_cmp);
    of[of.len() / 2]
}

/// Seconds that it takes.
#[expect(
    clippy::disallowed_methods,
    reason = "it is this machine's time that is asked for"
)]
fn timed(work: impl FnOnce()) -> f64 {
    let began = Instant::now();
    work();
    began.elapsed().as_secs_f64()
}

/// Microseconds a chunk, from the wish to its end, with everybody's list that long.
fn choosing(invokers: u32, seed: u64) -> f64 {
    let members = (1..=invokers)
        .map(|invoker| Member {
            invoker,
            size: 1.0,
            capacity_share: 1.0,
            ready: true,
        })
        .collect();
    let mut fetcher = Fetcher::new(1, seed);
    fetcher.listed(members);
    let needs: Vec<Need> = (0..2_000u64)
        .map(|n| Need {
            digest: Digest::of(&(n ^ seed << 32).to_le_bytes()),
            bytes: 1 << 19,
        })
        .collect();
    let mut ended = 0;
    let spent = timed(|| {
        fetcher.want(0, 1, &needs);
        let mut now = 1;
        while ended < needs.len() {
            for ask in fetcher.next(now).asks {
                fetcher.ended(now + 50, ask.attempt, Ended::Well);
                ended += 1;
            }
            now += 100;
        }
    });
    spent * 1e6 / ended as f64
}

fn main() {
    let mut rng = fastrand::Rng::with_seed(1);
    let noise: Vec<u8> = (0..64 << 20).map(|_| rng.u8(..)).collect();
    let (mut hashing, mut packing, mut verifying) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..ROUNDS {
        let mut stored = Vec::new();
        hashing.push(timed(|| {
            std::hint::black_box(Digest::of(&noise));
        }));
        packing.push(timed(|| {
            let keep = |chunk: &saltdrum_layers::Chunk, bytes: &[u8]| {
                stored.push((chunk.clone(), bytes.to_vec()));
                Ok(())
            };
            cut::pack(&noise[..], keep).expect("memory is readable");
        }));
        verifying.push(timed(|| {
            stored
                .iter()
                .for_each(|(c, b)| cut::verify(c, b).expect("they are as packed"))
        }));
    }
    let rate = |of: &[f64]| noise.len() as f64 / 1e6 / median(of.to_vec());
    let ratio = |of: &[f64]| median(of.iter().zip(&hashing).map(|(a, h)| h / a).collect());
    println!("the digest library alone   {:>8.0} MB/s", rate(&hashing));
    println!(
        "verifying chunks           {:>8.0} MB/s  {:.2} of that",
        rate(&verifying),
        ratio(&verifying)
    );
    println!(
        "cutting, packing, hashing  {:>8.0} MB/s  {:.2} of that",
        rate(&packing),
        ratio(&packing)
    );
    let pairs: Vec<(f64, f64)> = (0..ROUNDS as u64)
        .map(|r| (choosing(84, r), choosing(840, r)))
        .collect();
    let (small, large) = (
        median(pairs.iter().map(|p| p.0).collect()),
        median(pairs.iter().map(|p| p.1).collect()),
    );
    let growth = median(pairs.iter().map(|p| p.1 / p.0).collect());
    println!(
        "choosing, a chunk, 2,000 wanted: {small:.1} us at 84 invokers, {large:.1} us at 840: {growth:.2} times"
    );
}
