//! The ramp of cold invokers over a whole fleet: what all controllers together send to one that came up cold, against
//! the budget that the settings give it, though none of them hears of another.

mod support;

use saltdrum::port::*;
use support::*;

/// When all but STAY invokers are replaced by ones that come up cold, and when it ends.
const COLD: Tenths = 112 * SECOND;
const END: Tenths = 124 * SECOND;
const INVOKERS: u32 = 12;
const STAY: u32 = 2;
/// Of what the whole fleet could do: far more than those that stay can.
const LOAD: f64 = 0.9;
/// Every fifth controller is started anew, from so long before the change on, each half a second later.
const RESTARTS: Tenths = 3 * SECOND;

fn replaced(bed: &mut Bed) {
    let gone = (STAY + 1..=INVOKERS).map(|w| listed(w, Life::Gone, None));
    let cold = (INVOKERS + 1..=2 * INVOKERS - STAY).map(|w| listed(w, Life::Ready, Some(COLD)));
    bed.list(false, &gone.chain(cold).collect::<Vec<_>>());
}

/// Dispatches of one controller to the cold invokers: to which, and when.
fn sent(bed: &Bed) -> impl Iterator<Item = (InvokerId, Tenths)> {
    let all = bed.k.invs.values().flat_map(|t| &t.sent);
    all.filter(|s| s.invoker > INVOKERS).map(|s| (s.invoker, s.at))
}

/// Answers whatever has run for long enough, at a pace that its invoker's state allows.
fn answer(bed: &mut Bed, rng: &mut fastrand::Rng) {
    for (id, hop) in bed.out() {
        let s = &bed.k.invs[&id].sent[hop];
        let takes = (RUN as f64 * (0.5 + rng.f64())) as Tenths;
        if bed.k.now >= s.at + takes {
            let found = if bed.k.stands.insert((bed.k.invs[&id].call.function, s.invoker)) {
                Found::BeganLoad
            } else {
                Found::Warm
            };
            bed.answer(id, hop, Outcome::Succeeded, Some(found));
        }
    }
    while !bed.k.holds.is_empty() {
        bed.held(0, HoldOutcome::Standing);
    }
}

/// One controller, whose load is its `part` of the fleet's.
fn one(d: &Deployment, seed: u64, part: f64) -> Vec<(InvokerId, Tenths)> {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0xc01d);
    let rate = LOAD * f64::from(INVOKERS) * CORES / RUN as f64 * part;
    let restart = seed.is_multiple_of(5).then(|| COLD - RESTARTS + seed / 5 % 16 * SECOND / 2);
    let (mut bed, mut all) = (Bed::seeded(d.clone(), INVOKERS, seed), Vec::new());
    bed.k.even = false;
    let (mut next, mut replaced_at, mut restarted) = (bed.k.now, false, false);
    while bed.k.now < END {
        if bed.k.now >= COLD && !replaced_at {
            replaced(&mut bed);
            replaced_at = true;
        }
        if restart.is_some_and(|at| bed.k.now >= at) && !restarted {
            restarted = true;
            all.extend(sent(&bed));
            let now = bed.k.now;
            bed = Bed::begun(d.clone(), INVOKERS, seed ^ 0x5eed, now);
            bed.k.even = false;
            if replaced_at {
                replaced(&mut bed);
            }
            next = now;
        }
        while next <= bed.k.now {
            bed.invoke(0, rng.u64(0..200), 4 * SECOND);
            next += 1 + (-(1.0 - rng.f64()).ln() / rate) as Tenths;
        }
        bed.pass(20 * MILLI);
        answer(&mut bed, &mut rng);
    }
    all.extend(sent(&bed));
    all
}

/// The sum over all controllers of a fleet, which are told `told`: windows in which they sent more than the budget that is
/// `stated` and what is put down to chance beside it, all windows, and the fullest, as a share of the budget.
fn judged(controllers: u32, draw: u64, told: &Deployment, stated: &Deployment) -> (usize, usize, f64) {
    let weights: Vec<f64> = (0..controllers).map(|i| if i % 10 == 3 { 10.0 } else { 1.0 }).collect();
    let total: f64 = weights.iter().sum();
    let d = Deployment { controllers, ..told.clone() };
    let seed = |i: usize| i as u64 + 1_000 * (draw + 1);
    let of = |(i, weight): (usize, &f64)| one(&d, seed(i), weight / total);
    let mut all: Vec<(InvokerId, Tenths)> = weights.iter().enumerate().flat_map(of).collect();
    all.sort_unstable();
    let (mut over, mut fullest) = (0, 0.0_f64);
    for (n, (w, from)) in all.iter().enumerate() {
        let end = from + stated.tip_window;
        let sum = all[n..].iter().take_while(|(v, at)| v == w && *at < end).count() as f64;
        let age = (from - COLD) as f64 / stated.cold_time as f64;
        let risen = stated.cold_share + (1.0 - stated.cold_share) * age.min(1.0);
        let budget = stated.tip_factor * risen * CORES * stated.tip_window as f64 / RUN as f64;
        over += usize::from(sum > budget + 2.0 * budget.sqrt() + 2.0);
        fullest = fullest.max(sum / budget);
    }
    println!("{controllers} controllers, draw {draw}: {} windows, {fullest:.2} of N at the most", all.len());
    (over, all.len(), fullest)
}

/// Asked for by the operators: beyond the budget only 2 x root of N + 2 are put down to chance, also where few controllers
/// share it, where some carry ten times the load of others, and where some know neither rate nor size yet.
#[test]
fn the_sum_of_all_controllers_keeps_the_budget_of_a_cold_invoker() {
    for (controllers, draws) in [(20, 4), (30, 3), (300, 1)] {
        for draw in 0..draws {
            let (over, windows, fullest) = judged(controllers, draw, &deployment(), &deployment());
            assert_eq!(over, 0, "{controllers} controllers, draw {draw}, of {windows} windows");
            assert!(windows > 300 && fullest > 0.3, "{windows} windows, {fullest}: cold ones are used too");
        }
    }
}

/// Controllers that take a cold invoker for one that is warm.
#[test]
fn the_judge_of_the_sum_catches_a_fleet_that_takes_too_much() {
    let told = Deployment { cold_share: 1.0, ..deployment() };
    assert!(judged(30, 0, &told, &deployment()).0 > 0);
}
