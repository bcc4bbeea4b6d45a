//! Retries stay a tenth of the work.

use std::time::Duration;

use admit::RetryBudget;
use ident::Time;

#[test]
fn a_storm_is_not_amplified() {
    bolero::check!().with_iterations(200).with_type::<u64>().for_each(|seed| {
        let mut budget = RetryBudget::default();
        let (mut now, mut draw) = (Time(0), *seed | 1);
        let (mut requests, mut tries) = (0_u32, 0_u32);
        for _ in 0..20_000 {
            draw ^= draw << 13;
            draw ^= draw >> 7;
            draw ^= draw << 17;
            now = now.after(Duration::from_millis(draw % 4));
            requests += 1;
            tries += 1;
            budget.earn();
            // Every try fails and would be repeated four times.
            for _ in 0..4 {
                tries += u32::from(budget.withdraw(now));
            }
        }
        assert!(f64::from(tries) <= f64::from(requests) * 1.1, "{tries} of {requests}");
    });
}

#[test]
fn a_quiet_instance_may_retry_in_advance() {
    let mut budget = RetryBudget::default();
    assert!(budget.withdraw(Time(0)));
    assert!(!budget.withdraw(Time(20_000)), "the first was not earned yet");
    (0..13).for_each(|_| budget.earn());
    assert!(!budget.withdraw(Time(9_999)));
    assert!(budget.withdraw(Time(10_000)));
}
