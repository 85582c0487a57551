use super::*;

/// Guards against bounds per site that are not judged.
#[test]
fn bounds_apply_to_each_group_of_their_scope() {
    let text = include_str!("../../trials/one-drain.star").replace(
        "bound(kind = \"invoker\", out = 1)",
        "bound(kind = \"invoker\", per = \"site\", share = 0.5)\nbound(site = \"huye\", out = 1)",
    );
    let trial = Trial::load("t.star", &text).unwrap();
    let sizes: Vec<(usize, usize)> = trial
        .bounds()
        .iter()
        .map(|(_, members, out)| (members.len(), *out))
        .collect();
    assert_eq!(
        sizes,
        [(2, 1), (2, 1), (2, 1), (2, 1)],
        "each site, then huye, then controllers"
    );
    assert_eq!(trial.bounds()[2].1, ["invoker-3", "invoker-4"]);
}
