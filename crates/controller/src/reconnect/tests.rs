use super::*;

/// 48 controllers lose their connections to the same 84 invokers at once, and no invoker answers for 10 s. Guards against
/// controllers that retry in lockstep.
#[test]
fn reconnecting_to_a_restarted_fleet_is_spread_out() {
    let mut attempts_per_100_ms = vec![0u32; 100];
    for controller in 0..48u64 {
        let mut rng = fastrand::Rng::with_seed(controller);
        let mut budget = ConnectBudget::new(0);
        let mut due: Vec<(Ticks, ReconnectBackoff)> = vec![(0, ReconnectBackoff::default()); 84];
        for (at, backoff) in &mut due {
            backoff.disconnected(0);
            *at = backoff.next_delay(&mut rng);
        }
        loop {
            due.sort_by_key(|(at, _)| *at);
            let at = due[0].0;
            if at >= 10 * SECOND {
                break;
            }
            let delay = budget.reserve_retry(at, 84);
            due[0].1.disconnected(at + delay);
            let backoff = due[0].1.next_delay(&mut rng);
            let interval = ((at + delay) / (100 * MILLISECOND)) as usize;
            if let Some(attempts) = attempts_per_100_ms.get_mut(interval) {
                *attempts += 1;
            }
            due[0].0 = at + delay + backoff;
        }
    }
    let (first, late) = (
        attempts_per_100_ms[0],
        attempts_per_100_ms[50..].iter().max().copied().unwrap_or(0),
    );
    assert!(first <= 48 * 84 * 2, "{first} attempts in the first 100 ms");
    assert!(
        late * 8 < 48 * 84,
        "{late} attempts in a later interval of 100 ms: controllers retry in lockstep"
    );
    assert!(
        attempts_per_100_ms[50..]
            .iter()
            .all(|attempts| *attempts > 0),
        "controllers stopped retrying: {attempts_per_100_ms:?}"
    );
}

#[test]
fn only_connections_that_break_early_count_as_consecutive_failures() {
    let mut backoff = ReconnectBackoff::default();
    for failures in 1..6 {
        backoff.connected(failures);
        backoff.disconnected(failures + 10);
        assert_eq!(backoff.failures, failures as u32);
    }
    backoff.connected(100);
    backoff.disconnected(100 + STABLE_AFTER);
    assert_eq!(backoff.failures, 1);
    backoff.reset();
    assert!(
        !backoff.is_failing()
            && backoff.next_delay(&mut fastrand::Rng::with_seed(1)) <= FIRST_DELAY_MAX
    );
}

#[test]
fn connections_beyond_the_burst_are_delayed() {
    let mut budget = ConnectBudget::new(0);
    let delays: Vec<Ticks> = (0..200).map(|_| budget.reserve_retry(0, 84)).collect();
    assert!(delays[..128].iter().all(|delay| *delay == 0));
    assert!(delays[128..].windows(2).all(|pair| pair[0] < pair[1]));
    assert_eq!(budget.reserve_retry(60 * SECOND, 84), 0);
}

/// A controller starts in a fleet of 1,008 invokers, 900 of which do not answer.
#[test]
fn retries_do_not_delay_first_connections_to_a_large_fleet() {
    let mut budget = ConnectBudget::new(0);
    let longest_retry_delay = (0..900).map(|_| budget.reserve_retry(0, 1_008)).max();
    assert!(
        longest_retry_delay > Some(SECOND),
        "{longest_retry_delay:?}"
    );
    let longest_first_delay = (0..1_008).map(|_| budget.reserve_first(0)).max().unwrap();
    assert!(
        (SECOND / 2..SECOND).contains(&longest_first_delay),
        "{longest_first_delay}"
    );
    let longest_round_delay = (0..1_008)
        .map(|_| budget.reserve_retry(20 * SECOND, 1_008))
        .max()
        .unwrap();
    assert!(longest_round_delay <= BACKOFF_MAX, "{longest_round_delay}");
}
