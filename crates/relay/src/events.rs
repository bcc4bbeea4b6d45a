//! Splits a stream of server-sent events, so that it can go on at another replica after the last
//! whole one.

use bytes::{Bytes, BytesMut};

/// Longest event that is waited for, in bytes.
const MAX_EVENT: usize = 1 << 20;

/// Why a stream can't be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// An event is longer than is waited for.
    #[error("an event is longer than {MAX_EVENT} bytes")]
    TooLong,
    /// Events are missing or come twice.
    #[error("event {found} follows event {last}")]
    OutOfOrder {
        /// The last event so far.
        last: u64,
        /// The id that came next.
        found: u64,
    },
}

/// Collects bytes and gives out whole events.
///
/// Invariant: `rest` holds no whole event.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: BytesMut,
    last: Option<u64>,
}

impl Splitter {
    /// A splitter for a stream that follows event `last`.
    pub fn new(last: Option<u64>) -> Self {
        Self { rest: BytesMut::new(), last }
    }

    /// Takes in bytes; returns the whole events that end within them, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, StreamError> {
        self.rest.extend_from_slice(bytes);
        let Some(end) = last_end(&self.rest) else {
            return if self.rest.len() > MAX_EVENT { Err(StreamError::TooLong) } else { Ok(None) };
        };
        let whole = self.rest.split_to(end).freeze();
        let mut newest = self.last;
        for found in ids(&whole) {
            if let Some(last) = newest.filter(|last| found != last + 1) {
                return Err(StreamError::OutOfOrder { last, found });
            }
            newest = Some(found);
        }
        self.last = newest;
        Ok(Some(whole))
    }

    /// The id of the last whole event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Gives up the bytes of an event that broke off.
    pub fn discard(&mut self) {
        self.rest.clear();
    }

    /// The bytes after the last whole event.
    pub fn take_rest(&mut self) -> Bytes {
        self.rest.split().freeze()
    }
}

fn ids(bytes: &[u8]) -> impl Iterator<Item = u64> + '_ {
    bytes.split(|b| *b == b'\n').filter_map(|line| {
        let text = std::str::from_utf8(line.strip_prefix(b"id:")?).ok()?;
        text.trim().parse().ok()
    })
}

/// Where the last whole event ends: after a blank line.
fn last_end(bytes: &[u8]) -> Option<usize> {
    let blank = |at: &usize| {
        let before = &bytes[..*at];
        before.ends_with(b"\n\n") || before.ends_with(b"\n\r\n")
    };
    (1..=bytes.len()).rev().find(blank)
}
