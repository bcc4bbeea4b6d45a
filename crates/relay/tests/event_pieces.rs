//! An event splitter must return complete events only, and notice missing and repeated ones,
//! however the bytes of the stream are cut.

use bolero::check;
use relay::{EventScanner, EventSplitter, StreamError};

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

/// Whether a stream that ends with `bytes` ends inside an event, read as one piece and byte by byte.
fn ends_inside(bytes: &[u8]) -> bool {
    let (mut whole, mut cut) = (EventScanner::default(), EventScanner::default());
    whole.scan(bytes);
    bytes.iter().for_each(|b| {
        cut.scan(&[*b]);
    });
    assert_eq!(whole.is_inside(), cut.is_inside(), "{:?}", String::from_utf8_lossy(bytes));
    whole.is_inside()
}

#[test]
fn a_cut_event_is_noticed_at_every_byte() {
    for line_end in ["\n", "\r\n", "\r"] {
        let stream: String = (1..=3).map(|n| event(n).replace('\n', line_end)).collect();
        let length = stream.len() / 3;
        for cut in 0..=stream.len() {
            let inside = ends_inside(&stream.as_bytes()[..cut]);
            assert_eq!(inside, cut % length != 0, "{line_end:?}, cut at {cut}");
        }
    }
}

#[test]
fn blank_lines_and_comments_belong_to_no_event() {
    for rest in ["", "\n", "\r\n", ": ping\n", ": ping\n\n", "\n: ping\r\n\r\n"] {
        assert!(!ends_inside(format!("{}{rest}", event(1)).as_bytes()), "{rest:?}");
    }
    for rest in [": pi", "data", ": ping\nid: 2\n", "retry: 1\n"] {
        assert!(ends_inside(format!("{}{rest}", event(1)).as_bytes()), "{rest:?}");
    }
}

#[test]
fn events_end_with_any_line_end() {
    for line_end in ["\n", "\r\n", "\r"] {
        let events: Vec<String> = (1..=4).map(|n| event(n).replace('\n', line_end)).collect();
        let stream = events.concat();
        for cut in 1..stream.len() {
            let mut splitter = EventSplitter::new(None);
            let mut out = Vec::new();
            for piece in [&stream.as_bytes()[..cut], &stream.as_bytes()[cut..]] {
                out.extend(splitter.push(piece).expect("events are in order").unwrap_or_default());
            }
            out.extend(splitter.take_rest());
            assert_eq!(out, stream.as_bytes(), "{line_end:?}, cut at {cut}");
            assert!(splitter.last() >= Some(3), "{line_end:?}, cut at {cut}");
        }
    }
}
