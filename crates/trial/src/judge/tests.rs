use super::*;

const NS_PER_MS: u64 = 1_000_000;

fn member_event(at_ms: u64, member: &str, what: &str, grant: u64) -> Line {
    let (member, what) = (member.to_owned(), what.to_owned());
    Line::Told {
        at_ns: at_ms * NS_PER_MS,
        member,
        incarnation: 7,
        what,
        grant,
    }
}

fn operator_call(at_ms: u64, what: &str) -> Line {
    let (sent_ns, at_ns) = ((at_ms - 1) * NS_PER_MS, at_ms * NS_PER_MS);
    Line::Asked {
        sent_ns,
        at_ns,
        what: what.into(),
        done: true,
        answer: String::new(),
    }
}

fn broken_rules(lines: &[Line]) -> Vec<usize> {
    let members = (1..=4).map(|n| format!("invoker-{n}")).collect();
    let bound = Line::Bound {
        group: "invokers".into(),
        members,
        out: 1,
        detect_ns: 1_000 * NS_PER_MS,
    };
    let record: Vec<Line> = [bound].into_iter().chain(lines.iter().cloned()).collect();
    let verdicts = judge(&record);
    (0..RULES.len())
        .filter(|rule| !verdicts[*rule].broken.is_empty())
        .collect()
}

/// Judges a valid record and, for each rule, a record that breaks it.
#[test]
fn reports_violation_of_each_rule() {
    let drained_and_up = [
        member_event(10, "invoker-1", "began", 1),
        member_event(20, "invoker-1", "up", 0),
    ];
    assert_eq!(broken_rules(&drained_and_up), [0usize; 0]);
    let next_drain = member_event(30, "invoker-2", "began", 2);
    assert_eq!(
        broken_rules(&[&drained_and_up[..], std::slice::from_ref(&next_drain)].concat()),
        [0usize; 0]
    );
    assert_eq!(
        broken_rules(&[drained_and_up[0].clone(), next_drain.clone()]),
        [0, 1]
    );
    let controller_drain = member_event(30, "controller-2", "began", 2);
    assert_eq!(
        broken_rules(&[drained_and_up[0].clone(), controller_drain]),
        [0usize; 0],
        "another kind has its own bound"
    );
    let dead = Line::Ended {
        at_ns: 5 * NS_PER_MS,
        process: "invoker-3".into(),
        code: None,
        killed: true,
    };
    assert_eq!(
        broken_rules(&[dead.clone(), next_drain.clone()]),
        [0usize; 0],
        "the loss is not detected so soon"
    );
    assert_eq!(
        broken_rules(&[dead, member_event(1_100, "invoker-2", "began", 2)]),
        [1]
    );
    assert_eq!(
        broken_rules(&[operator_call(15, "halt"), next_drain.clone()]),
        [2]
    );
    let history_entry = |revision, what: &str| Line::History {
        steward: 1,
        revision,
        what: what.into(),
    };
    let agreed_drain = history_entry(5, "invoker-2 began to drain, grant 2");
    let drain_after_halt = [operator_call(15, "halt"), next_drain.clone(), agreed_drain];
    assert_eq!(
        broken_rules(&[&drain_after_halt[..], &[history_entry(6, "halt by ada: x")]].concat()),
        [0usize; 0],
        "the drain was agreed before the halt"
    );
    assert_eq!(
        broken_rules(&[&drain_after_halt[..], &[history_entry(4, "halt by ada: x")]].concat()),
        [2]
    );
    assert_eq!(
        broken_rules(&[
            operator_call(15, "halt"),
            operator_call(25, "resume"),
            next_drain
        ]),
        [0usize; 0]
    );
    assert_eq!(
        broken_rules(
            &[
                &drained_and_up[..],
                &[member_event(30, "invoker-1", "began", 1)]
            ]
            .concat()
        ),
        [3]
    );
    let history = |steward, what: &str| Line::History {
        steward,
        revision: 4,
        what: what.into(),
    };
    assert_eq!(
        broken_rules(&[history(1, "a"), history(2, "a")]),
        [0usize; 0]
    );
    assert_eq!(broken_rules(&[history(1, "a"), history(2, "b")]), [4]);
    let lost = Line::Invoked {
        sent_ns: 0,
        at_ns: 1,
        controller: 1,
        how: How::Lost,
    };
    assert_eq!(broken_rules(std::slice::from_ref(&lost)), [5]);
    let killed = Line::Ended {
        at_ns: 5,
        process: "controller-1".into(),
        code: None,
        killed: true,
    };
    assert_eq!(
        broken_rules(&[lost, killed]),
        [0usize; 0],
        "a killed controller may lose its invocations"
    );
}
