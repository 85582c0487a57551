use super::*;

const MAX_BYTES: usize = 100_000;

#[test]
fn greedy_holders_leave_a_share_to_each_other_holder() {
    let budget = SharedBudget::new(MAX_BYTES, PeerShare::Ninth);
    let greedy: Vec<_> = (0..50).map(|_| BudgetHolder::new(budget.clone())).collect();
    let mut reservations = Vec::new();
    for _ in 0..1_000 {
        reservations.extend(greedy.iter().filter_map(|holder| holder.reserve(100)));
    }
    let held = budget.used();
    assert!(held > MAX_BYTES * 3 / 4 && held < MAX_BYTES, "{held}");
    assert!(budget.refused() > 0);
    let modest = BudgetHolder::new(budget.clone());
    assert!(modest.reserve(MAX_BYTES / RESERVE_DIVISOR).is_some());
    reservations.clear();
    assert_eq!(budget.used(), 0);
}

#[test]
fn reservation_changes_nothing_where_it_is_refused() {
    let budget = SharedBudget::new(MAX_BYTES, PeerShare::Ninth);
    let holder = BudgetHolder::new(budget.clone());
    let mut reservation = holder.reserve(1_000).unwrap();
    assert!(!reservation.resize(MAX_BYTES / 2));
    assert_eq!(budget.used(), 1_000);
    assert!(reservation.resize(10));
    assert_eq!(budget.used(), 10);
}

#[test]
fn bytes_in_queues_count_against_the_bound() {
    let budget = SharedBudget::new(MAX_BYTES, PeerShare::Ninth);
    budget.queued().set(MAX_BYTES);
    assert!(!budget.is_exceeded());
    assert!(BudgetHolder::new(budget.clone()).reserve(1).is_none());
    budget.queued().set(MAX_BYTES + 1);
    assert!(budget.is_exceeded());
}

#[test]
fn partial_data_leaves_room_for_data_in_use() {
    let budget = SharedBudget::new(MAX_BYTES, PeerShare::Ninth);
    let mut partial = Vec::new();
    for _ in 0..200 {
        let mut reservation = BudgetHolder::new(budget.clone()).empty_reservation(Purpose::Partial);
        reservation.resize(1_000);
        partial.push(reservation);
    }
    assert_eq!(budget.used(), MAX_BYTES / PARTIAL_DIVISOR);
    let holders = (0..45).map(|_| BudgetHolder::new(budget.clone()).reserve(1_000));
    let in_use: Vec<_> = holders.collect();
    assert!(in_use.iter().all(Option::is_some));
}

/// Guards against connections that few peers cannot use, and against many that leave none to others.
#[test]
fn peers_with_half_shares_use_most_and_leave_some() {
    let used_by = |peers: usize| {
        let budget = SharedBudget::new(128, PeerShare::Half);
        let holders: Vec<_> = (0..peers)
            .map(|_| BudgetHolder::new(budget.clone()))
            .collect();
        let mut reserved = Vec::new();
        for _ in 0..32 {
            reserved.extend(holders.iter().filter_map(|holder| holder.reserve(1)));
        }
        let other = BudgetHolder::new(budget.clone()).reserve(1);
        (budget.used(), other.is_some())
    };
    assert_eq!(used_by(1), (33, true));
    assert_eq!(used_by(8), (113, true));
    assert_eq!(used_by(100), (113, true));
}
