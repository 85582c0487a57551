use super::*;
use crate::interface::SECOND;

/// Three load orders within 5 s, and one more per ten invocations.
fn deployment() -> Deployment {
    Deployment {
        load_window: 5 * SECOND,
        free_loads: 3.0,
        loads_per_invocation: 0.1,
        ..Default::default()
    }
}

/// How many further orders the budget allows at `now`, if none of them ends.
fn allowed_orders(budget: &mut LoadBudget, now: Ticks) -> usize {
    let issued = (0..100).take_while(|_| {
        let is_allowed = budget.allows_one_more(now, &deployment(), 1.0);
        is_allowed.then(|| budget.order_issued(now));
        is_allowed
    });
    issued.count()
}

#[test]
fn counts_invocations_by_arrival_time_regardless_of_read_time() {
    // All are read at 100 s, in mixed order: ten arrived 6 s before, twenty arrived 2 s before.
    let mut budget = LoadBudget::default();
    for index in 0..30 {
        budget.invocation_arrived(if index % 3 == 0 {
            94 * SECOND
        } else {
            98 * SECOND
        });
    }
    assert_eq!(allowed_orders(&mut budget, 100 * SECOND), 5);
    // The twenty have expired from the window, and so has the budget they added; the orders they allowed still count.
    assert_eq!(allowed_orders(&mut budget, 104 * SECOND), 0);
    assert_eq!(allowed_orders(&mut budget, 106 * SECOND), 3);
}

#[test]
fn counts_an_order_from_its_send_time() {
    let mut budget = LoadBudget::default();
    assert_eq!(allowed_orders(&mut budget, 100 * SECOND), 3);
    // One was sent when it was issued, one at an unknown time, and one two seconds after its issue.
    budget.order_ended(100 * SECOND, Some(100 * SECOND));
    budget.order_ended(100 * SECOND, None);
    budget.order_ended(100 * SECOND, Some(102 * SECOND));
    assert_eq!(budget.orders_in_flight(), 0);
    assert_eq!(allowed_orders(&mut budget, 104 * SECOND), 0);
    assert_eq!(allowed_orders(&mut budget, 106 * SECOND), 2);
    // An order counts even if its end is reported after the window of its issue has expired.
    let mut budget = LoadBudget::default();
    assert_eq!(allowed_orders(&mut budget, 100 * SECOND), 3);
    assert_eq!(allowed_orders(&mut budget, 106 * SECOND), 3);
    budget.order_ended(100 * SECOND, Some(104 * SECOND));
    assert_eq!(budget.orders_counted(), 4);
}
