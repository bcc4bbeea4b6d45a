//! Retries stay below a tenth of the requests.

use std::time::Duration;

use admit::RetryBudget;
use ident::Time;

#[test]
fn attempts_are_bounded_when_all_requests_fail() {
    bolero::check!().with_iterations(200).with_type::<u64>().for_each(|seed| {
        let mut budget = RetryBudget::default();
        let (mut now, mut random) = (Time(0), *seed | 1);
        let (mut requests, mut attempts) = (0_u32, 0_u32);
        for _ in 0..20_000 {
            random ^= random << 13;
            random ^= random >> 7;
            random ^= random << 17;
            now = now.after(Duration::from_millis(random % 4));
            requests += 1;
            attempts += 1;
            budget.record_request();
            // Every attempt fails, and up to four retries follow.
            for _ in 0..4 {
                attempts += u32::from(budget.try_retry(now));
            }
        }
        assert!(
            f64::from(attempts) <= f64::from(requests) * 1.1,
            "{attempts} attempts for {requests} requests"
        );
    });
}

#[test]
fn an_instance_without_requests_may_retry_once_in_advance() {
    let mut budget = RetryBudget::default();
    assert!(budget.try_retry(Time(0)));
    assert!(!budget.try_retry(Time(20_000)), "the budget has a debt of one retry");
    (0..13).for_each(|_| budget.record_request());
    assert!(!budget.try_retry(Time(9_999)));
    assert!(budget.try_retry(Time(10_000)));
}
