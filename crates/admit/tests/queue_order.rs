//! The order, bounds and rejections of a target's queue.

use std::time::Duration;

use admit::{FairLevels, QueueBounds, RejectReason, WaitQueue, Waiting};
use ident::Time;

const MAX_PASSES: u32 = 4;

fn queue(entries: usize) -> WaitQueue {
    let bounds = QueueBounds { entries, bytes: 1000 };
    WaitQueue::new(Box::new(FairLevels { max_passes: MAX_PASSES }), bounds)
}

fn request(level: u8, team: &str) -> Waiting {
    Waiting {
        level,
        team: team.into(),
        arrived: Time(0),
        goal: Time(500),
        deadline: Time(2_000),
        free_at: Time::NEVER,
        work: Duration::from_millis(50),
        is_begun: false,
        bytes: 1,
    }
}

/// Guards against an urgent request that waits behind one that it could precede, and against levels
/// that starve: at most `MAX_PASSES + levels - 2` others start before each.
#[test]
fn urgent_requests_start_first_within_the_bound() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|levels| {
        let mut queue = queue(1_000);
        let mut levels: Vec<u8> = levels.iter().map(|l| l % 3).collect();
        let mut waiting: Vec<_> =
            levels.iter().map(|l| (queue.push(request(*l, "a"), Time(0)).0, *l)).collect();
        let mut passed = [0; 3];
        while let Some(ticket) = queue.next(1, Time(0)).pop() {
            let at = waiting.iter().position(|w| w.0 == ticket).unwrap();
            let (_, level) = waiting.remove(at);
            let urgent = *levels.iter().min().unwrap();
            assert!(level == urgent || passed[usize::from(level)] >= MAX_PASSES);
            assert!(queue.start(ticket, Time(0)));
            levels = waiting.iter().map(|w| w.1).collect();
            for other in 0..3 {
                let waits = levels.contains(&other);
                passed[usize::from(other)] += u32::from(waits && other > level);
                if other == level || !waits {
                    passed[usize::from(other)] = 0;
                }
                assert!(passed[usize::from(other)] <= MAX_PASSES + 1);
            }
        }
        assert!(queue.is_empty());
    });
}

/// Guards against a team that keeps another one of its level from starting, and against new work
/// that goes before begun work.
#[test]
fn begun_requests_go_first_and_teams_take_turns() {
    let mut queue = queue(100);
    let long = |team| Waiting { work: Duration::from_millis(200), ..request(0, team) };
    let first: Vec<_> = (0..3).map(|_| queue.push(long("a"), Time(0)).0).collect();
    let other = queue.push(long("b"), Time(0)).0;
    let begun = queue.push(Waiting { is_begun: true, ..long("a") }, Time(0)).0;
    assert_eq!(queue.next(3, Time(0)), [begun, first[0], other]);
    assert!(queue.start(begun, Time(0)) && queue.start(first[0], Time(0)));
    assert_eq!(queue.next(2, Time(0)), [other, first[1]]);
}

/// Guards against late requests that make others late as well.
#[test]
fn requests_that_can_be_on_time_go_before_late_ones() {
    let mut queue = queue(100);
    let early = queue.push(request(0, "a"), Time(0)).0;
    let later = queue.push(Waiting { goal: Time(900), ..request(0, "a") }, Time(0)).0;
    assert_eq!(queue.next(2, Time(400)), [early, later]);
    assert_eq!(queue.next(2, Time(460)), [later, early]);
}

/// Guards against a full queue that keeps urgent requests out, and against removed requests that
/// still take its place.
#[test]
fn a_full_queue_gives_way_to_urgent_requests_only() {
    let mut queue = queue(2);
    queue.push(request(1, "a"), Time(0));
    let last = queue.push(Waiting { goal: Time(600), ..request(1, "a") }, Time(0)).0;
    let full = queue.check(&request(1, "a"), Time(0)).unwrap_err();
    assert_eq!((full.reason, full.queued), (RejectReason::Full, 2));
    assert_eq!(queue.check(&request(0, "a"), Time(0)), Ok(()));
    let (ticket, evicted) = queue.push(request(0, "a"), Time(0));
    assert_eq!(evicted, Some(last));
    assert!(queue.remove(last) && queue.remove(ticket) && !queue.remove(ticket));
    assert_eq!(queue.check(&request(1, "a"), Time(0)), Ok(()));
    let large = Waiting { bytes: 1000, ..request(1, "a") };
    assert_eq!(queue.check(&large, Time(0)).unwrap_err().reason, RejectReason::Full);
}

/// Guards against rejections without knowledge of the pace, against requests that are kept although
/// they can't be answered, and against callers of all levels that return at once.
#[test]
fn only_what_cannot_be_answered_is_rejected() {
    let mut queue = queue(1_000);
    for _ in 0..60 {
        queue.push(request(1, "a"), Time(0));
    }
    assert_eq!(queue.check(&request(1, "a"), Time(0)), Ok(()), "the pace is not known");
    for start in 1..=20 {
        let ticket = queue.next(1, Time(start * 100)).pop().unwrap();
        assert!(queue.start(ticket, Time(start * 100)));
    }
    // 40 wait, one starts in 100 ms: 4 s, and at least 2.8 s.
    let now = Time(2_000);
    let due = |ms| Waiting { deadline: now.after(Duration::from_millis(ms)), ..request(1, "a") };
    assert_eq!(queue.check(&due(2_500), now).unwrap_err().reason, RejectReason::Deadline);
    assert_eq!(queue.check(&due(3_500), now), Ok(()));
    assert_eq!(queue.check(&Waiting { level: 0, ..due(2_500) }, now), Ok(()));
    // One that starts without capacity before its deadline may be late, but has an answer.
    assert_eq!(queue.check(&Waiting { free_at: Time(4_000), ..due(2_500) }, now), Ok(()));
    let least = Duration::from_millis(400);
    let delay =
        |level: u8, bits| queue.retry_delay((level, level.into()), least, bits, now).as_millis();
    assert_eq!((delay(0, 0), delay(0, u64::MAX)), (400, 599));
    assert_eq!((delay(1, 0), delay(1, u64::MAX)), (4_000, 5_999));
}

/// Guards against an order of old priorities after the configuration changed.
#[test]
fn a_changed_level_changes_the_order() {
    let mut queue = queue(100);
    let one = queue.push(request(0, "a"), Time(0)).0;
    let two = queue.push(request(1, "a"), Time(0)).0;
    assert_eq!(queue.next(2, Time(0)), [one, two]);
    queue.relevel(|ticket| (ticket == one).then_some(2), Time(0));
    assert_eq!(queue.next(2, Time(0)), [two, one]);
}
