//! Hollow runs at small sizes, judged by count.

use saltdrum_scale::controller::{self, LoadPlan};
use saltdrum_scale::fit::fit;
use saltdrum_scale::members::{self, FleetSize};
use saltdrum_scale::world::{Popularity, Workload};

fn hollow(invokers: u32, functions: u64, zone: bool) -> controller::Row {
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

/// A zone lost and back, replacements, copies that are not there: nearly all succeed, and what is held is bounded by the
/// functions, not by the fleet.
#[test]
fn a_hollow_controller_serves_and_holds_what_its_functions_need() {
    for (invokers, zone) in [(120, true), (1_000, false)] {
        let row = hollow(invokers, 500, zone);
        assert!(
            row.invocations > 2_500 && row.succeeded * 100 >= row.invocations * 97,
            "{row:?}"
        );
        assert_eq!(row.list_events, if zone { 6 } else { 4 }, "{row:?}");
        assert!(
            row.functions_held <= 500 && row.places_held < 500 * 120,
            "{row:?}"
        );
        assert!(row.ranked_held <= row.functions_held * 400, "{row:?}");
    }
}

#[test]
fn the_same_seed_does_the_same() {
    let of = |r: controller::Row| {
        (
            r.invocations,
            r.succeeded,
            r.dispatches,
            r.misses,
            r.orders,
            r.rank_steps,
        )
    };
    assert_eq!(of(hollow(120, 300, false)), of(hollow(120, 300, false)));
}

/// One change of one line: every follower hears of it, and is sent that line alone.
#[test]
fn every_follower_of_a_hollow_fleet_hears_of_a_change() {
    let row = |members| {
        members::run(&FleetSize {
            members,
            followers: 9,
            leases: 0,
            rest_s: 2,
            seed: 5,
        })
    };
    let (small, large) = (row(20), row(80));
    for r in [&small, &large] {
        assert!(
            r.heard_all_ms > 0.0 && r.change_disk_bytes > 0.0 && r.member_bytes_s > 0.0,
            "{r:?}"
        );
    }
    // By bytes: the whole list and the fleet grow with the members, a line does not, nor what a member says.
    assert!(
        large.whole_list_bytes > 3 * small.whole_list_bytes,
        "{small:?} {large:?}"
    );
    assert!(
        large.fleet_bytes > 3 * small.fleet_bytes,
        "{small:?} {large:?}"
    );
    assert!(
        large.a_line_bytes < 2 * small.a_line_bytes,
        "{small:?} {large:?}"
    );
    assert!(
        (large.member_bytes_s / small.member_bytes_s - 1.0).abs() < 0.1,
        "{small:?} {large:?}"
    );
}

#[test]
fn fits_find_the_line_and_the_power() {
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
fn popularity_is_what_it_says() {
    let (flat, steep) = (Popularity::new(1_000, 0.0), Popularity::new(1_000, 1.5));
    let of_the_first = |p: &Popularity| {
        let mut rng = fastrand::Rng::with_seed(9);
        (0..10_000).filter(|_| p.draw(&mut rng) == 0).count()
    };
    assert!(of_the_first(&flat) < 40 && (3_600..4_200).contains(&of_the_first(&steep)));
}
