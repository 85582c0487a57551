use super::*;

fn effect(at_ns: u64, resource: &str, epoch: u64, by: &str) -> Line {
    let (resource, by) = (resource.to_owned(), by.to_owned());
    Line::Effect {
        at_ns,
        resource,
        lease: "collection".into(),
        epoch,
        by,
    }
}

fn broken_rules(lines: &[Line]) -> Vec<usize> {
    let verdicts = judge_leases(lines).into_iter().enumerate();
    verdicts
        .filter(|(_, verdict)| !verdict.broken.is_empty())
        .map(|(rule, _)| rule)
        .collect()
}

#[test]
fn reports_violation_of_each_rule() {
    let history = |what: &str| Line::History {
        steward: 1,
        revision: 9,
        what: what.into(),
    };
    let granted = history("lease collection goes to invoker-2, epoch 2");
    let valid = [
        effect(1, "a", 1, "invoker-1/7"),
        granted.clone(),
        effect(3, "b", 2, "invoker-2/8"),
    ];
    assert_eq!(broken_rules(&valid), [0usize; 0]);
    let overlap = [
        effect(5, "a", 2, "invoker-2/8"),
        effect(6, "b", 1, "invoker-1/7"),
    ];
    assert_eq!(broken_rules(&overlap), [0]);
    // The second effect is from another process: later in the file and earlier in time.
    assert_eq!(
        broken_rules(&[effect(6, "a", 2, "x"), effect(5, "b", 1, "y")]),
        [0usize; 0]
    );
    assert_eq!(
        broken_rules(&[
            effect(1, "a", 1, "invoker-1/7"),
            effect(2, "b", 1, "invoker-1/9")
        ]),
        [1]
    );
    assert_eq!(
        broken_rules(&[granted, effect(3, "b", 2, "invoker-1/7")]),
        [2]
    );
}
