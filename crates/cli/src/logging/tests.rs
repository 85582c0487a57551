use super::with_present_targets;

#[test]
fn replaces_earlier_names_of_targets() {
    let earlier = "info,saltdrum_steward=debug,saltdrum_link::send_queue=trace,saltdrum_day[span]";
    let present = "info,saltdrum_coordinator=debug,saltdrum_transport::send_queue=trace,saltdrum_scenario[span]";
    assert_eq!(with_present_targets(earlier), present);
}

#[test]
fn leaves_other_filters_unchanged() {
    for filter in [
        "",
        "warn",
        "warn,saltdrum_controller=debug",
        "saltdrum_days=info",
        " debug , x=info",
    ] {
        assert_eq!(with_present_targets(filter), filter);
    }
}
