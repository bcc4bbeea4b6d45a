//! An event splitter must return complete events only, and notice missing and repeated ones,
//! however the bytes of the stream are cut.

use bolero::check;
use relay::{EventSplitter, StreamError};

fn event(n: u64) -> String {
    format!("id: {n}\ndata: piece {n}\n\n")
}

#[test]
fn returns_complete_events_only() {
    let mut splitter = EventSplitter::new(None);
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
fn rejects_missing_or_repeated_events() {
    for (from, found) in [(Some(3), 5), (Some(3), 3)] {
        let mut splitter = EventSplitter::new(from);
        let result = splitter.push(event(found).as_bytes());
        assert_eq!(result, Err(StreamError::OutOfOrder { last: 3, found }));
        assert_eq!(splitter.last(), Some(3), "nothing of it counts as delivered");
    }
}

#[test]
fn output_does_not_depend_on_cuts() {
    let stream: String = (1..=8).map(event).collect();
    check!().with_type::<Vec<u8>>().for_each(|cuts| {
        let mut splitter = EventSplitter::new(None);
        let (mut rest, mut out) = (stream.as_bytes(), Vec::new());
        for cut in cuts {
            let (piece, more) = rest.split_at(usize::from(*cut).min(rest.len()));
            rest = more;
            out.extend(splitter.push(piece).expect("events are in order").unwrap_or_default());
            assert!(stream.as_bytes().starts_with(&out));
            assert!(out.is_empty() || out.ends_with(b"\n\n"));
        }
        out.extend(splitter.push(rest).expect("events are in order").unwrap_or_default());
        out.extend(splitter.take_rest());
        assert_eq!(out, stream.as_bytes());
    });
}
