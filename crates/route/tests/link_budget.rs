//! Planned transfers never exceed the budget of a link.

use std::time::Duration;

use ident::{Class, Name, Time};
use route::Links;

const LIMIT: u64 = 1_000_000;

fn store() -> Name {
    Name::new("store-a").unwrap()
}

fn links() -> Links {
    let mut links = Links::default();
    links.sync(&[(store(), LIMIT)], Time(0));
    links
}

#[test]
fn starts_are_distributed_over_time() {
    let mut links = links();
    let at = Time(1000);
    let one = links.reserve_import(&store(), 1_000_000, Class::Interactive, at).unwrap();
    let two = links.reserve_import(&store(), 1_000_000, Class::Interactive, at).unwrap();
    let batch = links.window(&store(), 1_000_000, Class::Batch, at).unwrap();
    assert_eq!(one.start, at);
    assert_eq!(two.start, Time(1500), "the burst of 500 ms is used up");
    assert!(batch.start > two.start);
    assert_eq!(links.reserve_export(&store(), 1, at), None);
    links.settle(two, 0, at);
    links.settle(one, 1_000_000, Time(2000));
    assert_eq!(links.inflight(&store()), 0);
    assert!(links.reserve_export(&store(), 1, Time(9000)).is_some());
}

#[test]
fn the_expected_time_follows_the_measured_rate() {
    let mut links = links();
    let end = |links: &Links, now| {
        links.window(&store(), 100_000, Class::Interactive, now).unwrap().end.since(now)
    };
    let before = end(&links, Time(0));
    for i in 0..20 {
        let now = Time(i * 10_000);
        let t = links.reserve_import(&store(), 100_000, Class::Interactive, now).unwrap();
        links.settle(t, 100_000, now.after(Duration::from_secs(1)));
    }
    let after = end(&links, Time(500_000));
    assert!(after > before * 8, "{before:?} {after:?}");
}

#[test]
fn a_link_is_excluded_after_a_failure() {
    let mut links = links();
    let t = links.reserve_import(&store(), 100, Class::Interactive, Time(0)).unwrap();
    links.failed(t, Time(10));
    assert_eq!(links.window(&store(), 100, Class::Interactive, Time(500)), None);
    assert!(links.window(&store(), 100, Class::Interactive, Time(1010)).is_some());
    assert_eq!(links.window(&Name::new("other").unwrap(), 1, Class::Batch, Time(0)), None);
}

#[test]
fn no_time_span_exceeds_the_limit() {
    bolero::check!().with_iterations(500).with_type::<Vec<(u8, u16, bool)>>().for_each(|steps| {
        let mut links = links();
        let mut now = Time(0);
        let mut starts: Vec<(Time, u64)> = Vec::new();
        let mut largest = 0;
        for &(wait, bytes, interactive) in steps {
            now = now.after(Duration::from_millis(u64::from(wait)));
            let class = if interactive { Class::Interactive } else { Class::Batch };
            let bytes = u64::from(bytes) * 10;
            largest = largest.max(bytes);
            let t = links.reserve_import(&store(), bytes, class, now).unwrap();
            assert!(t.start >= now);
            starts.push((t.start, bytes));
        }
        starts.sort_unstable();
        for (i, &(from, _)) in starts.iter().enumerate() {
            let mut sum = 0;
            for &(to, bytes) in &starts[i..] {
                sum += bytes;
                let span = to.since(from).as_millis() as u64 + 1;
                assert!(sum <= LIMIT / 1000 * span + LIMIT / 2 + largest + LIMIT / 1000);
            }
        }
    });
}
