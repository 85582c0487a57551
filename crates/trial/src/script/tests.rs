use super::*;

/// A bound for each site was not judged at all.
#[test]
fn bounds_are_judged_for_each_group_that_they_are_counted_for() {
    let text = include_str!("../../trials/one-drain.star").replace(
        "bound(kind = \"invoker\", out = 1)",
        "bound(kind = \"invoker\", per = \"site\", share = 0.5)\nbound(site = \"huye\", out = 1)",
    );
    let trial = Trial::load("t.star", &text).unwrap();
    let told: Vec<(usize, usize)> = trial
        .bounds()
        .iter()
        .map(|(_, m, out)| (m.len(), *out))
        .collect();
    assert_eq!(
        told,
        [(2, 1), (2, 1), (2, 1), (2, 1)],
        "each site, then huye, then controllers"
    );
    assert_eq!(trial.bounds()[2].1, ["invoker-3", "invoker-4"]);
}
