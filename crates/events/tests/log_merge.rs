//! The bounded log, the merge of pages and the conversion to a trace.

use events::{Event, EventKind, Log, merge, trace};
use ident::{Boot, Name, RequestId, Rev, Time};

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn applied(rev: u64) -> EventKind {
    EventKind::ConfApplied { rev: Rev(rev) }
}

#[test]
fn full_log_overwrites_oldest() {
    let log = Log::new(name("a"), Boot(1), 3);
    for i in 1..=5 {
        assert_eq!(log.record(Time(i), applied(i)), i);
    }
    let page = log.since(1, 10);
    assert_eq!(page.events.iter().map(|e| e.seq).collect::<Vec<_>>(), [3, 4, 5]);
    assert_eq!((page.next, page.lost), (5, 1));
    let page = log.since(3, 1);
    assert_eq!((page.events[0].kind.clone(), page.next, page.lost), (applied(4), 4, 0));
    assert_eq!(log.since(5, 10).events, []);
    assert_eq!((log.since(9, 10).next, log.since(0, 0).next), (5, 2));
}

#[test]
fn pages_and_lost_cover_all_events() {
    bolero::check!().with_iterations(300).with_type().for_each(|steps: &Vec<(u8, u8)>| {
        let log = Log::new(name("a"), Boot(1), 16);
        let (mut after, mut seen, mut lost) = (0, 0, 0);
        for (i, (add, limit)) in steps.iter().enumerate() {
            for _ in 0..add % 24 {
                log.record(Time(i as u64), EventKind::Ready);
            }
            let page = log.since(after, usize::from(limit % 8));
            assert_eq!(page.next, after + page.lost + page.events.len() as u64);
            (after, seen, lost) = (page.next, seen + page.events.len() as u64, lost + page.lost);
            assert_eq!(after, seen + lost);
        }
    });
}

#[test]
fn merge_orders_by_time() {
    let (a, b) = (Log::new(name("a"), Boot(1), 9), Log::new(name("b"), Boot(2), 9));
    a.record(Time(5), applied(1));
    b.record(Time(5), applied(2));
    a.record(Time(3), applied(3));
    b.record(Time(4), applied(4));
    a.record(Time(9), applied(5));
    let merged = merge(vec![b.since(0, 9), a.since(0, 2), a.since(0, 9)]);
    let revs: Vec<_> = merged.iter().map(|e| e.kind.clone()).collect();
    assert_eq!(revs, [1, 3, 2, 4, 5].map(applied));
}

#[test]
fn merge_keeps_order_after_clock_step() {
    let mut page = Log::new(name("a"), Boot(1), 9).since(0, 9);
    page.events = [(1, 70), (2, 10), (3, 80)]
        .map(|(seq, at)| Event {
            at: Time(at),
            instance: name("a"),
            boot: Boot(1),
            seq,
            kind: EventKind::Ready,
        })
        .into();
    let other = Log::new(name("b"), Boot(1), 9);
    other.record(Time(20), EventKind::Ready);
    let merged = merge(vec![page, other.since(0, 9)]);
    let order: Vec<_> = merged.iter().map(|e| (e.instance.to_string(), e.seq)).collect();
    assert_eq!(order, [("b", 1), ("a", 1), ("a", 2), ("a", 3)].map(|(n, s)| (n.to_owned(), s)));
}

#[test]
fn events_as_json_and_trace() {
    let log = Log::new(name("a"), Boot(1), 9);
    let request = RequestId(7);
    let plan = name("hot");
    let (team, target, replica) = (name("t"), name("m"), name("m-1"));
    log.record(Time(1), EventKind::Routed { request, team, target, replica, plan });
    log.record(Time(2), EventKind::Finished { request, cached: 1, prompt: 2 });
    let merged = merge(vec![log.since(0, 9)]);
    let text = serde_json::to_string(&merged[1]).unwrap();
    assert!(text.contains(r#""kind":{"kind":"finished","request":"#), "{text}");
    assert_eq!(serde_json::from_str::<Event>(&text).unwrap(), merged[1]);
    let value = trace(&merged);
    let phases: Vec<_> = value["traceEvents"]
        .as_array()
        .unwrap()
        .iter()
        .map(|e| e["ph"].as_str().unwrap())
        .collect();
    assert_eq!(phases, ["M", "i", "b", "i", "e"]);
}
