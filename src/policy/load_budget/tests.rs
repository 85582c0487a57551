use super::*;
use crate::interface::SECOND;

/// Three orders in 5 s, and one more for ten invocations.
fn deployment() -> Deployment {
    Deployment {
        load_window: 5 * SECOND,
        free_loads: 3.0,
        loads_per_invocation: 0.1,
        ..Default::default()
    }
}

/// How many orders the budget allows at `now`, none of which ends.
fn allowed_orders(budget: &mut LoadBudget, now: Ticks) -> usize {
    let given = (0..100).take_while(|_| {
        let allowed = budget.allows_one_more(now, &deployment(), 1.0);
        allowed.then(|| budget.order_given(now));
        allowed
    });
    given.count()
}

#[test]
fn invocations_count_from_their_arrival_however_late_they_are_read() {
    // All are read at 100 s: ten that arrived 6 s ago, twenty that arrived 2 s ago, in any order.
    let mut budget = LoadBudget::default();
    for n in 0..30 {
        budget.invocation_arrived(if n % 3 == 0 { 94 * SECOND } else { 98 * SECOND });
    }
    assert_eq!(allowed_orders(&mut budget, 100 * SECOND), 5);
    // When the twenty have left the window, what they allowed is over too, and their orders still count.
    assert_eq!(allowed_orders(&mut budget, 104 * SECOND), 0);
    assert_eq!(allowed_orders(&mut budget, 106 * SECOND), 3);
}

#[test]
fn an_order_counts_from_when_it_left() {
    let mut budget = LoadBudget::default();
    assert_eq!(allowed_orders(&mut budget, 100 * SECOND), 3);
    // One left as it was given, one was not seen to leave, one left two seconds late.
    budget.order_ended(100 * SECOND, Some(100 * SECOND));
    budget.order_ended(100 * SECOND, None);
    budget.order_ended(100 * SECOND, Some(102 * SECOND));
    assert_eq!(budget.orders_in_flight(), 0);
    assert_eq!(allowed_orders(&mut budget, 104 * SECOND), 0);
    assert_eq!(allowed_orders(&mut budget, 106 * SECOND), 2);
    // Told of after the window of when it was given, it counts all the same.
    let mut budget = LoadBudget::default();
    assert_eq!(allowed_orders(&mut budget, 100 * SECOND), 3);
    assert_eq!(allowed_orders(&mut budget, 106 * SECOND), 3);
    budget.order_ended(100 * SECOND, Some(104 * SECOND));
    assert_eq!(budget.orders_counted(), 4);
}
