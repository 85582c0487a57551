//! Measurements at small sizes, checked by counts and bytes, not by CPU time.

use saltdrum_scale::controller::{self, LoadPlan};
use saltdrum_scale::fit::fit;
use saltdrum_scale::members::{self, FleetSize};
use saltdrum_scale::world::{Popularity, Workload};

fn run_controller(invokers: u32, functions: u64, zone: bool) -> controller::Row {
    let load = Workload {
        invokers,
        functions,
        rate: 159.0,
        skew: 0.0,
        seed: 3,
    };
    controller::run(
        &load,
        &LoadPlan {
            load_s: 20,
            quiet_s: 2,
            event_every_s: 5,
            zone_outage: zone,
        },
    )
}

/// With a lost zone, replaced invokers and misses, nearly all invocations succeed, and the policy's tables are bounded
/// by the number of functions, not by the size of the fleet.
#[test]
fn controller_serves_with_tables_bounded_by_its_functions() {
    for (invokers, zone) in [(120, true), (1_000, false)] {
        let row = run_controller(invokers, 500, zone);
        assert!(
            row.invocations > 2_500 && row.succeeded * 100 >= row.invocations * 97,
            "{row:?}"
        );
        assert_eq!(row.list_events, if zone { 6 } else { 4 }, "{row:?}");
        assert!(
            row.tracked_functions <= 500 && row.tracked_instances < 500 * 120,
            "{row:?}"
        );
        assert!(
            row.ranked_invokers <= row.tracked_functions * 400,
            "{row:?}"
        );
    }
}

#[test]
fn same_seed_yields_the_same_counts() {
    let counts = |r: controller::Row| {
        (
            r.invocations,
            r.succeeded,
            r.dispatches,
            r.misses,
            r.load_orders,
            r.rank_steps,
        )
    };
    assert_eq!(
        counts(run_controller(120, 300, false)),
        counts(run_controller(120, 300, false))
    );
}

/// After a change of one entry, every follower receives that entry and nothing else.
#[test]
fn every_follower_receives_a_changed_entry() {
    let run_members = |members| {
        members::run(&FleetSize {
            members,
            followers: 9,
            leases: 0,
            rest_s: 2,
            seed: 5,
        })
    };
    let (small, large) = (run_members(20), run_members(80));
    for r in [&small, &large] {
        assert!(
            r.propagation_max_ms > 0.0 && r.change_disk_bytes > 0.0 && r.member_bytes_s > 0.0,
            "{r:?}"
        );
    }
    // The snapshot and the fleet grow with the number of members; an entry and a member's heartbeats do not.
    assert!(
        large.snapshot_bytes > 3 * small.snapshot_bytes,
        "{small:?} {large:?}"
    );
    assert!(
        large.fleet_bytes > 3 * small.fleet_bytes,
        "{small:?} {large:?}"
    );
    assert!(
        large.entry_bytes < 2 * small.entry_bytes,
        "{small:?} {large:?}"
    );
    assert!(
        (large.member_bytes_s / small.member_bytes_s - 1.0).abs() < 0.1,
        "{small:?} {large:?}"
    );
}

#[test]
fn fits_a_line_and_a_power_law() {
    let line = fit(&[(1.0, 5.0), (2.0, 8.0), (4.0, 14.0)]).unwrap();
    assert!(
        (line.slope - 3.0).abs() < 1e-9
            && (line.intercept - 2.0).abs() < 1e-9
            && line.residual < 1e-9
    );
    let power = fit(&[(1.0, 2.0), (10.0, 200.0), (100.0, 20_000.0)]).unwrap();
    assert!((power.exponent.unwrap() - 2.0).abs() < 1e-9 && power.residual > 0.01);
    assert!(fit(&[(1.0, 1.0)]).is_none());
}

#[test]
fn functions_are_drawn_with_their_frequencies() {
    let (flat, steep) = (Popularity::new(1_000, 0.0), Popularity::new(1_000, 1.5));
    let first_function_draws = |p: &Popularity| {
        let mut rng = fastrand::Rng::with_seed(9);
        (0..10_000).filter(|_| p.draw(&mut rng) == 0).count()
    };
    assert!(
        first_function_draws(&flat) < 40 && (3_600..4_200).contains(&first_function_draws(&steep))
    );
}
