//! The shares of all instances add up to the limits.

use admit::{Limits, instance_share};

#[test]
fn shares_add_up() {
    bolero::check!().with_iterations(2_000).with_type::<(u16, u16, u8, u8)>().for_each(
        |&(rate, inflight, spread, members)| {
            let limits = Limits { rate: u32::from(rate), inflight: u32::from(inflight) };
            let members = usize::from(members % 64) + 1;
            let all: Vec<_> =
                (0..members).map(|r| instance_share(limits, spread, members, r)).collect();
            assert_eq!(all.iter().map(|s| s.inflight).sum::<u32>(), limits.inflight);
            let sum: f64 = all.iter().map(|s| s.rate).sum();
            assert!((sum - f64::from(limits.rate)).abs() < 1e-6 * f64::from(limits.rate).max(1.0));
        },
    );
}

#[test]
fn preferred_instances_get_most() {
    let limits = Limits { rate: 100, inflight: 60 };
    let at = |rank| instance_share(limits, 2, 8, rank);
    assert_eq!((at(0).rate, at(0).inflight), (45.0, 27));
    assert_eq!(at(7).inflight, 1);
    assert!((at(7).rate - 10.0 / 6.0).abs() < 1e-9);
    assert_eq!(instance_share(limits, 2, 1, 0).inflight, 60);
}

#[test]
fn small_limits_are_shared_with_other_instances() {
    let limits = Limits { rate: 8, inflight: 8 };
    let all: Vec<_> = (0..8).map(|r| instance_share(limits, 2, 8, r).inflight).collect();
    assert_eq!(all, [3, 3, 1, 1, 0, 0, 0, 0]);
}
