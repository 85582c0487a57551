use super::*;

/// 48 controllers lose the same 84 invokers at one moment; nobody answers for 10 s.
#[test]
fn reconnecting_to_a_restarted_fleet_is_spread_out() {
    let mut tries = vec![0u32; 100];
    for controller in 0..48u64 {
        let mut rng = fastrand::Rng::with_seed(controller);
        let mut budget = ConnectBudget::new(0);
        let mut due: Vec<(Ticks, ReconnectBackoff)> = vec![(0, ReconnectBackoff::default()); 84];
        for (at, link) in &mut due {
            link.disconnected(0);
            *at = link.next_delay(&mut rng);
        }
        loop {
            due.sort_by_key(|d| d.0);
            let at = due[0].0;
            if at >= 10 * SECOND {
                break;
            }
            let delay = budget.reserve_retry(at, 84);
            due[0].1.disconnected(at + delay);
            let wait = due[0].1.next_delay(&mut rng);
            if let Some(n) = tries.get_mut(((at + delay) / (100 * MILLISECOND)) as usize) {
                *n += 1;
            }
            due[0].0 = at + delay + wait;
        }
    }
    let (first, late) = (tries[0], tries[50..].iter().max().copied().unwrap_or(0));
    assert!(first <= 48 * 84 * 2, "{first} budget in the first 100 ms");
    assert!(
        late * 8 < 48 * 84,
        "{late} budget in a later 100 ms: controllers fell into step"
    );
    assert!(
        tries[50..].iter().all(|n| *n > 0),
        "it is still tried: {tries:?}"
    );
}

#[test]
fn only_a_connection_that_breaks_early_counts_as_failed() {
    let mut link = ReconnectBackoff::default();
    for n in 1..6 {
        link.connected(n);
        link.disconnected(n + 10);
        assert_eq!(link.failures, n as u32);
    }
    link.connected(100);
    link.disconnected(100 + STABLE_AFTER);
    assert_eq!(link.failures, 1);
    link.reset();
    assert!(
        !link.is_failing() && link.next_delay(&mut fastrand::Rng::with_seed(1)) <= FIRST_DELAY_MAX
    );
}

#[test]
fn connections_beyond_the_burst_are_delayed() {
    let mut budget = ConnectBudget::new(0);
    let waits: Vec<Ticks> = (0..200).map(|_| budget.reserve_retry(0, 84)).collect();
    assert!(waits[..128].iter().all(|w| *w == 0));
    assert!(waits[128..].windows(2).all(|w| w[0] < w[1]));
    assert_eq!(budget.reserve_retry(60 * SECOND, 84), 0);
}

/// A controller that starts among 1,008 invokers of which 900 don't answer.
#[test]
fn retries_do_not_delay_first_connections_to_a_large_fleet() {
    let mut budget = ConnectBudget::new(0);
    let retries = (0..900).map(|_| budget.reserve_retry(0, 1_008)).max();
    assert!(retries > Some(SECOND), "{retries:?}");
    let last = (0..1_008).map(|_| budget.reserve_first(0)).max().unwrap();
    assert!((SECOND / 2..SECOND).contains(&last), "{last}");
    let round = (0..1_008)
        .map(|_| budget.reserve_retry(20 * SECOND, 1_008))
        .max()
        .unwrap();
    assert!(round <= BACKOFF_MAX, "{round}");
}
