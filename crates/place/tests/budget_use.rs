//! What is told of a retry budget.

use std::time::Duration;

use ident::Time;
use place::{RetryBudget, RetryBudgets};

const WINDOW: Duration = Duration::from_secs(10);

/// Guards against a log line for each denied retry.
#[test]
fn denials_are_reported_once_a_second() {
    let mut budget = RetryBudget::new(0.2, WINDOW);
    assert_eq!(budget.take_denials(0.0, Time(5_000)), None, "nothing was denied");
    let mut counts = Vec::new();
    for ms in (5_000..8_000).step_by(100) {
        assert!(!budget.try_retry(0.0, Time(ms)));
        counts.extend(budget.take_denials(0.0, Time(ms)).map(|d| d.count));
    }
    assert_eq!(counts, [1, 10, 10]);
}

#[test]
fn the_use_of_each_target_is_told() {
    let mut budgets = RetryBudgets::new(0.2, WINDOW, 70.0, Time(0));
    let desk = "desk".into();
    budgets.for_target(&desk).record_request(Time(19_000));
    let allowance = budgets.allowance(Some(7), Time(20_000));
    assert!(budgets.for_target(&desk).try_retry(allowance, Time(20_000)));
    let used = budgets.used(Some(7), Time(20_000));
    let [(target, used)] = &used[..] else { panic!("{used:?}") };
    assert_eq!((&**target, used.requests, used.retries), ("desk", 1, 1));
    assert!((6.0..7.0).contains(&used.left), "{} left of 7.2", used.left);
}
