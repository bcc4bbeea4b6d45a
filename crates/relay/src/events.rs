//! Splits a stream of server-sent events, so that it can be resumed at another replica after the
//! last complete event.

use bytes::{Bytes, BytesMut};

/// Longest event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An error in a stream that keeps it from being relayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// An event is longer than [`MAX_EVENT_BYTES`].
    #[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// Events are missing or repeated.
    #[error("event {found} follows event {last}")]
    OutOfOrder {
        /// Number of the last complete event.
        last: u64,
        /// Number of the event that followed it.
        found: u64,
    },
}

/// Collects bytes and returns complete events.
///
/// Invariant: `rest` holds no complete event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
    last: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that follows event `last`; `None` for a new stream.
    pub fn new(last: Option<u64>) -> Self {
        Self { rest: BytesMut::new(), last }
    }

    /// Adds bytes and returns the events that they complete. Returns `None` if they complete none,
    /// and an error if an event is too long or its number does not follow the last.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, StreamError> {
        self.rest.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.rest) else {
            return if self.rest.len() > MAX_EVENT_BYTES {
                Err(StreamError::TooLong)
            } else {
                Ok(None)
            };
        };
        let events = self.rest.split_to(end).freeze();
        let mut newest = self.last;
        for found in event_numbers(&events) {
            if let Some(last) = newest.filter(|last| found != last + 1) {
                return Err(StreamError::OutOfOrder { last, found });
            }
            newest = Some(found);
        }
        self.last = newest;
        Ok(Some(events))
    }

    /// Number of the last complete event; `None` before the first.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Drops the bytes of an incomplete event.
    pub fn discard(&mut self) {
        self.rest.clear();
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.rest.split().freeze()
    }
}

fn event_numbers(bytes: &[u8]) -> impl Iterator<Item = u64> + '_ {
    bytes.split(|b| *b == b'\n').filter_map(|line| {
        let text = std::str::from_utf8(line.strip_prefix(b"id:")?).ok()?;
        text.trim().parse().ok()
    })
}

/// The end of the last complete event, which is after a blank line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let ends_event = |at: &usize| {
        let before = &bytes[..*at];
        before.ends_with(b"\n\n") || before.ends_with(b"\n\r\n")
    };
    (1..=bytes.len()).rev().find(ends_event)
}
