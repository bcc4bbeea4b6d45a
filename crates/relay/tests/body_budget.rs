//! Which bodies get memory, and which are given up for others.

use std::time::Duration;

use ident::Time;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use relay::body_budget::{BodyBudget, Grow, WAIT_TIMEOUT};

const TOTAL: usize = 1_000;
const MAX_BODY: usize = 400;

fn time(ms: u64) -> Time {
    Time(10_000 + ms)
}

/// Opens a body with `bytes` at 0 ms.
fn body(budget: &mut BodyBudget, sized: bool, bytes: usize) -> u64 {
    let id = budget.open(sized.then_some(MAX_BODY), MAX_BODY, time(0));
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
    let new = budget.open(Some(MAX_BODY), MAX_BODY, time(500));
    assert_eq!(budget.grow(new, 100, time(500)), Grow::Wait { victims: vec![large] });
    assert!(budget.is_given_up(large) && !budget.is_given_up(slow));
    // What is given up frees enough, so no other body is given up.
    assert_eq!(budget.grow(new, 100, time(501)), Grow::Wait { victims: vec![] });
    assert!(budget.wait_over(new, 100, time(800)).is_empty());
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
    assert_eq!(budget.wait_over(ids[2], 100, time(500)), [ids[0]]);
    budget.close(ids[0], time(501));
    assert_eq!(budget.grow(ids[1], 100, time(501)), Grow::Granted);
    assert_eq!(budget.grow(ids[2], 100, time(501)), Grow::Granted);
}

/// What became of a body that a client sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Reading,
    /// All of it has arrived but the last byte, which never comes.
    Stopped,
    Complete,
    GivenUp,
}

/// A body that is sent as fast as memory is granted for it.
struct Upload {
    id: u64,
    bytes: usize,
    /// Bytes that are sent at most.
    sent: usize,
    /// End of its wait for memory.
    wait_end: Option<Time>,
    fate: Fate,
}

impl Upload {
    fn new(budget: &mut BodyBudget, len: Option<usize>, sent: usize, now: Time) -> Self {
        let id = budget.open(len, MAX_BODY, now);
        Self { id, bytes: 0, sent, wait_end: None, fate: Fate::Reading }
    }

    /// Takes one step of memory if it is granted now. Returns whether it was.
    fn read(&mut self, budget: &mut BodyBudget, now: Time) -> bool {
        const STEP: usize = 4;
        if self.fate != Fate::GivenUp && budget.is_given_up(self.id) {
            self.fate = Fate::GivenUp;
            budget.close(self.id, now);
        }
        if self.fate != Fate::Reading {
            return false;
        }
        if self.bytes >= self.sent {
            let is_complete = self.sent == MAX_BODY;
            self.fate = if is_complete { Fate::Complete } else { Fate::Stopped };
            return false;
        }
        if budget.grow(self.id, STEP, now) == Grow::Granted {
            (self.bytes, self.wait_end) = (self.bytes + STEP, None);
            budget.record_arrival(self.id, now);
            return true;
        }
        let end = *self.wait_end.get_or_insert(now.after(WAIT_TIMEOUT));
        if end.passed(now) {
            budget.wait_over(self.id, STEP, now);
            self.wait_end = None;
        }
        false
    }
}

/// Guards against a crowd of partly read bodies that wait for each other until their deadlines, and
/// keep ordinary requests out meanwhile.
#[test]
fn a_crowd_that_stops_ends_its_contest_soon() {
    let mut budget = BodyBudget::new(4 * MAX_BODY);
    let lens = [None, Some(MAX_BODY)].into_iter().cycle().take(64);
    let mut crowd: Vec<Upload> =
        lens.map(|len| Upload::new(&mut budget, len, MAX_BODY - 4, time(0))).collect();
    let mut ordinary = None;
    for ms in (0..4_000).step_by(10) {
        // Each gets memory in turn.
        loop {
            let reads = crowd.iter_mut().map(|u| u.read(&mut budget, time(ms)));
            if reads.filter(|granted| *granted).count() == 0 {
                break;
            }
        }
        if ms >= 2_500 {
            let sent = |b: &mut BodyBudget| Upload::new(b, Some(MAX_BODY), MAX_BODY, time(ms));
            let upload = ordinary.get_or_insert_with(|| sent(&mut budget));
            while upload.read(&mut budget, time(ms)) {}
        }
    }
    assert!(crowd.iter().all(|u| u.fate != Fate::Reading), "the crowd still waits");
    assert_eq!(ordinary.map(|u| u.fate), Some(Fate::Complete));
}

/// Guards against bodies that are given up although running requests soon release their memory.
#[test]
fn bodies_wait_for_running_requests() {
    let mut budget = BodyBudget::new(TOTAL);
    for _ in 0..2 {
        let running = body(&mut budget, true, 400);
        assert!(budget.complete(running, 400));
    }
    let waiting = [body(&mut budget, true, 110), body(&mut budget, true, 90)];
    for id in waiting {
        assert_eq!(budget.grow(id, 50, time(200)), Grow::Wait { victims: vec![] });
    }
    assert_eq!(budget.wait_over(waiting[0], 50, time(500)), [waiting[0]]);
    assert!(!budget.is_given_up(waiting[1]));
}

/// Guards against small bodies that are given up in numbers while they are read, for a large one.
#[test]
fn bodies_that_are_read_stay_while_a_large_one_waits() {
    let mut budget = BodyBudget::new(TOTAL);
    let large = body(&mut budget, true, 100);
    let small: Vec<u64> = (0..30).map(|_| body(&mut budget, true, 30)).collect();
    small.iter().for_each(|id| budget.record_arrival(*id, time(450)));
    assert_eq!(budget.grow(large, 50, time(200)), Grow::Wait { victims: vec![] });
    let victims = budget.wait_over(large, 50, time(500));
    assert!(victims.len() <= 2, "{} are given up", victims.len());
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
                0 => open.push((
                    budget.open(random.random::<bool>().then_some(MAX_BODY), MAX_BODY, now),
                    0,
                )),
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
        let id = budget.open(Some(MAX_BODY), MAX_BODY, time(0));
        budget.close(id, time(2_000));
    }
    assert!(budget.retry_delay(1_000) > Duration::from_millis(1_900));
    assert!(budget.retry_delay(500) < Duration::from_millis(1_100));
    budget.close(held, time(2_000));
}
