//! In every window, retries stay within the ratio and the allowance.

use std::time::Duration;

use ident::Time;
use place::{RetryBudget, RetryBudgets};

const WINDOW: Duration = Duration::from_secs(10);

fn budget() -> RetryBudget {
    RetryBudget::new(0.2, WINDOW)
}

#[test]
fn without_requests_only_the_allowance_is_left() {
    let mut budget = budget();
    let taken = (0..20).filter(|_| budget.try_retry(5.0, Time(1000))).count();
    assert_eq!(taken, 5);
}

#[test]
fn first_attempts_allow_retries() {
    let mut budget = budget();
    (0..100).for_each(|n| budget.record_request(Time(1000 + n)));
    let taken = (0..100).filter(|_| budget.try_retry(0.0, Time(1200))).count();
    assert_eq!(taken, 20);
}

/// Guards against one budget for all targets, with which requests to one target allow retries at
/// another.
#[test]
fn requests_to_one_target_add_nothing_to_the_budget_of_another() {
    let mut budgets = RetryBudgets::new(0.2, WINDOW, 0.0, Time(0));
    let (desk, model) = ("desk".into(), "model".into());
    (0..100).for_each(|_| budgets.for_target(&desk).record_request(Time(1000)));
    assert!(!budgets.for_target(&model).try_retry(0.0, Time(1000)));
    assert!(budgets.for_target(&desk).try_retry(0.0, Time(1000)));
}

/// Guards against first attempts that lie just before the window.
#[test]
fn first_attempts_before_the_window_allow_nothing() {
    for late in 1..500 {
        let mut budget = budget();
        (0..100).for_each(|_| budget.record_request(Time(1000)));
        assert!(!budget.try_retry(0.0, Time(11_000 + late)), "{late} ms after the window");
    }
}

#[test]
fn no_window_exceeds_the_budget() {
    let mut budget = budget();
    let mut sends = Vec::new();
    for ms in (0..60_000).step_by(20) {
        budget.record_request(Time(ms));
        if budget.try_retry(3.0, Time(ms)) {
            sends.push(ms);
        }
    }
    for (at, end) in sends.iter().enumerate() {
        let inside = sends[..=at].iter().filter(|s| **s + 10_000 > *end).count();
        // First attempts in the same window, one every 20 ms.
        let attempts = (end / 20 + 1).min(500);
        let allowed = 0.2 * attempts as f64 + 3.0;
        assert!(inside as f64 <= allowed, "{inside} retries in the window before {end}, {allowed}");
    }
    assert!(sends.len() > 500, "too few retries were allowed");
}

/// Guards against processes that begin with the whole allowance after each restart.
#[test]
fn processes_in_a_row_share_the_allowance() {
    const INSTANCES: u32 = 4;
    const EXTRA: f64 = 80.0;
    let target = "desk".into();
    for lifetimes in [vec![30_000, 9_900], vec![30_000, 4_000, 4_000, 1_900], vec![30_000; 3]] {
        let (mut retries, mut start) = (Vec::new(), 0);
        for lifetime in lifetimes {
            let mut budgets = RetryBudgets::new(0.2, WINDOW, EXTRA, Time(start));
            for ms in (start..start + lifetime).step_by(20) {
                let allowance = budgets.allowance(INSTANCES, Time(ms));
                while budgets.for_target(&target).try_retry(allowance, Time(ms)) {
                    retries.push(ms);
                }
            }
            start += lifetime;
        }
        for (at, end) in retries.iter().enumerate() {
            let inside = retries[..=at].iter().filter(|ms| **ms + 10_000 > *end).count();
            let share = EXTRA / f64::from(INSTANCES);
            assert!(
                inside as f64 <= share,
                "{inside} in the window before {end} ms, {share} allowed"
            );
        }
        assert!(retries.len() > 14, "too few retries were allowed");
    }
}

/// Guards against shares that grow, once instances are removed, by what the removed ones have used
/// within the window.
#[test]
fn removed_instances_leave_no_allowance_within_the_window() {
    const EXTRA: f64 = 80.0;
    let target = "desk".into();
    let new = || RetryBudgets::new(0.2, WINDOW, EXTRA, Time(0));
    let mut budgets: Vec<_> = std::iter::repeat_with(new).take(10).collect();
    let mut retries = Vec::new();
    for ms in (12_000..40_000).step_by(50) {
        if ms == 15_000 {
            budgets.truncate(4);
        }
        let count = budgets.len() as u32;
        for own in &mut budgets {
            let allowance = own.allowance(count, Time(ms));
            while own.for_target(&target).try_retry(allowance, Time(ms)) {
                retries.push(ms);
            }
        }
    }
    for (at, end) in retries.iter().enumerate() {
        let inside = retries[..=at].iter().filter(|ms| **ms + 10_000 > *end).count();
        assert!(inside as f64 <= EXTRA, "{inside} in the window before {end} ms, {EXTRA} allowed");
    }
    let late = retries.iter().filter(|ms| **ms >= 28_000).count();
    assert!(late > 40, "the others never get the share of the removed ones: {late}");
}
