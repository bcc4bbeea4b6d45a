//! Splitting a stream into whole events.

use bolero::check;
use relay::{Splitter, StreamError};

fn event(n: u64) -> String {
    format!("id: {n}\ndata: piece {n}\n\n")
}

#[test]
fn only_whole_events_come_out() {
    let mut splitter = Splitter::new(None);
    assert_eq!(splitter.push(b"id: 1\nda"), Ok(None));
    assert_eq!(
        splitter.push(b"ta: x\n\nid: 2").unwrap().as_deref(),
        Some(&b"id: 1\ndata: x\n\n"[..])
    );
    assert_eq!(splitter.last(), Some(1));
    splitter.discard();
    assert!(splitter.take_rest().is_empty());
}

#[test]
fn a_missing_or_repeated_event_is_noticed() {
    for (from, found) in [(Some(3), 5), (Some(3), 3)] {
        let mut splitter = Splitter::new(from);
        let result = splitter.push(event(found).as_bytes());
        assert_eq!(result, Err(StreamError::OutOfOrder { last: 3, found }));
        assert_eq!(splitter.last(), Some(3), "nothing of it counts as delivered");
    }
}

#[test]
fn any_cut_of_the_bytes_gives_the_same_stream() {
    let whole: String = (1..=8).map(event).collect();
    check!().with_type::<Vec<u8>>().for_each(|cuts| {
        let mut splitter = Splitter::new(None);
        let (mut rest, mut out) = (whole.as_bytes(), Vec::new());
        for cut in cuts {
            let (piece, more) = rest.split_at(usize::from(*cut).min(rest.len()));
            rest = more;
            out.extend(splitter.push(piece).expect("events are in order").unwrap_or_default());
            assert!(whole.as_bytes().starts_with(&out));
            assert!(out.is_empty() || out.ends_with(b"\n\n"));
        }
        out.extend(splitter.push(rest).expect("events are in order").unwrap_or_default());
        out.extend(splitter.take_rest());
        assert_eq!(out, whole.as_bytes());
    });
}
