//! Which bodies get memory, and which are given up for others.

use std::time::Duration;

use ident::Time;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use relay::body_budget::{BodyBudget, Grow};

const TOTAL: usize = 1_000;
const MAX_BODY: usize = 400;

fn time(ms: u64) -> Time {
    Time(10_000 + ms)
}

/// Opens a body with `bytes` at 0 ms.
fn body(budget: &mut BodyBudget, sized: bool, bytes: usize) -> u64 {
    let id = budget.open(sized, MAX_BODY, time(0));
    assert_eq!(budget.grow(id, bytes, time(0)), Grow::Granted);
    id
}

/// Guards against ordinary requests that wait for clients which stopped sending.
#[test]
fn a_stalled_body_is_given_up_for_another() {
    let mut budget = BodyBudget::new(TOTAL);
    let large = body(&mut budget, true, 400);
    let slow = body(&mut budget, true, 300);
    let fast = body(&mut budget, true, 300);
    budget.record_arrival(fast, time(450));
    let new = budget.open(true, MAX_BODY, time(500));
    assert_eq!(budget.grow(new, 100, time(500)), Grow::Wait { victims: vec![large] });
    assert!(budget.is_given_up(large) && !budget.is_given_up(slow));
    // What is given up frees enough, so no other body is given up.
    assert_eq!(budget.grow(new, 100, time(501)), Grow::Wait { victims: vec![] });
    assert_eq!(budget.wait_over(new, 100, time(800)), None);
    budget.close(large, time(501));
    assert_eq!(budget.grow(new, 100, time(502)), Grow::Granted);
}

/// Guards against a deadlock of partly read bodies that all wait for memory.
#[test]
fn waiting_bodies_make_room_for_each_other() {
    let mut budget = BodyBudget::new(TOTAL);
    let ids = [400, 300, 300].map(|bytes| body(&mut budget, true, bytes));
    for id in ids {
        assert_eq!(budget.grow(id, 100, time(200)), Grow::Wait { victims: vec![] });
    }
    assert_eq!(budget.wait_over(ids[2], 100, time(500)), Some(ids[0]));
    budget.close(ids[0], time(501));
    assert_eq!(budget.grow(ids[1], 100, time(501)), Grow::Granted);
    assert_eq!(budget.grow(ids[2], 100, time(501)), Grow::Granted);
}

/// Guards against bodies without a length that take the memory of those with one.
#[test]
fn bodies_without_a_length_leave_memory() {
    let mut budget = BodyBudget::new(TOTAL);
    let first = body(&mut budget, false, 400);
    body(&mut budget, false, 200);
    assert_eq!(budget.grow(first, 100, time(1)), Grow::Wait { victims: vec![] });
    body(&mut budget, true, MAX_BODY);
}

/// Guards against a configuration whose largest body is never served.
#[test]
fn one_largest_body_fits_alone() {
    let mut budget = BodyBudget::new(100);
    body(&mut budget, false, MAX_BODY);
    assert_eq!(budget.held(), MAX_BODY);
}

/// Guards against bytes that stay counted after their body, over random histories.
#[test]
fn nothing_is_left_after_all_bodies() {
    for seed in 0..200 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut budget = BodyBudget::new(TOTAL);
        let mut open: Vec<(u64, usize)> = Vec::new();
        for step in 0..400 {
            let now = time(step * random.random_range(1..50));
            match random.random_range(0..6) {
                0 => open.push((budget.open(random.random(), MAX_BODY, now), 0)),
                1 if !open.is_empty() => {
                    let (id, _) = open.swap_remove(random.random_range(0..open.len()));
                    budget.close(id, now);
                }
                2 if !open.is_empty() => {
                    let at = random.random_range(0..open.len());
                    let (id, bytes) = open[at];
                    budget.complete(id, bytes / 2);
                }
                3 if !open.is_empty() => {
                    let (id, _) = open[random.random_range(0..open.len())];
                    budget.wait_over(id, 50, now);
                }
                _ if !open.is_empty() => {
                    let at = random.random_range(0..open.len());
                    let bytes = random.random_range(1..200);
                    if budget.grow(open[at].0, bytes, now) == Grow::Granted {
                        open[at].1 += bytes;
                    }
                }
                _ => {}
            }
            assert!(budget.held() <= TOTAL, "seed {seed}, step {step}");
        }
        for (id, _) in open {
            budget.close(id, time(30_000));
        }
        assert_eq!((budget.held(), budget.bodies()), (0, 0), "seed {seed}");
        body(&mut budget, true, TOTAL);
    }
}

/// Guards against a delay that does not grow with what must become free.
#[test]
fn the_delay_follows_the_mean_time() {
    let mut budget = BodyBudget::new(TOTAL);
    let held = body(&mut budget, true, 1_000);
    for _ in 0..200 {
        let id = budget.open(true, MAX_BODY, time(0));
        budget.close(id, time(2_000));
    }
    assert!(budget.retry_delay(1_000) > Duration::from_millis(1_900));
    assert!(budget.retry_delay(500) < Duration::from_millis(1_100));
    budget.close(held, time(2_000));
}
