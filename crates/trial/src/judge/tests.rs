use super::*;

const MS: u64 = 1_000_000;

fn member_event(at: u64, member: &str, what: &str, grant: u64) -> Line {
    let (member, what) = (member.to_owned(), what.to_owned());
    Line::Told {
        at_ns: at * MS,
        member,
        incarnation: 7,
        what,
        grant,
    }
}

fn operator_call(at: u64, what: &str) -> Line {
    let (sent_ns, at_ns) = ((at - 1) * MS, at * MS);
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
        detect_ns: 1_000 * MS,
    };
    let all: Vec<Line> = [bound].into_iter().chain(lines.iter().cloned()).collect();
    let verdicts = judge(&all);
    (0..RULES.len())
        .filter(|n| !verdicts[*n].broken.is_empty())
        .collect()
}

/// Judges a valid record and, for each rule, a record that breaks it.
#[test]
fn reports_violation_of_each_rule() {
    let one = [
        member_event(10, "invoker-1", "began", 1),
        member_event(20, "invoker-1", "up", 0),
    ];
    assert_eq!(broken_rules(&one), [0usize; 0]);
    let next = member_event(30, "invoker-2", "began", 2);
    assert_eq!(
        broken_rules(&[&one[..], std::slice::from_ref(&next)].concat()),
        [0usize; 0]
    );
    assert_eq!(broken_rules(&[one[0].clone(), next.clone()]), [0, 1]);
    let other = member_event(30, "controller-2", "began", 2);
    assert_eq!(
        broken_rules(&[one[0].clone(), other]),
        [0usize; 0],
        "another kind has its own bound"
    );
    let dead = Line::Ended {
        at_ns: 5 * MS,
        process: "invoker-3".into(),
        code: None,
        killed: true,
    };
    assert_eq!(
        broken_rules(&[dead.clone(), next.clone()]),
        [0usize; 0],
        "the loss is not detected so soon"
    );
    assert_eq!(
        broken_rules(&[dead, member_event(1_100, "invoker-2", "began", 2)]),
        [1]
    );
    assert_eq!(
        broken_rules(&[operator_call(15, "halt"), next.clone()]),
        [2]
    );
    let agreed = |revision, what: &str| Line::History {
        steward: 1,
        revision,
        what: what.into(),
    };
    let begun = agreed(5, "invoker-2 began to drain, grant 2");
    let late = [operator_call(15, "halt"), next.clone(), begun];
    assert_eq!(
        broken_rules(&[&late[..], &[agreed(6, "halt by ada: x")]].concat()),
        [0usize; 0],
        "the drain was agreed before the halt"
    );
    assert_eq!(
        broken_rules(&[&late[..], &[agreed(4, "halt by ada: x")]].concat()),
        [2]
    );
    assert_eq!(
        broken_rules(&[operator_call(15, "halt"), operator_call(25, "resume"), next]),
        [0usize; 0]
    );
    assert_eq!(
        broken_rules(&[&one[..], &[member_event(30, "invoker-1", "began", 1)]].concat()),
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
    let kill = Line::Ended {
        at_ns: 5,
        process: "controller-1".into(),
        code: None,
        killed: true,
    };
    assert_eq!(
        broken_rules(&[lost, kill]),
        [0usize; 0],
        "a killed controller may lose its invocations"
    );
}
