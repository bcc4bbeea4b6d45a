//! Splits a stream of server-sent events, so that it can be resumed at another replica after the
//! last complete event, and tells whether a stream ended within an event.

use bytes::{Bytes, BytesMut};

/// Longest event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An error in a stream that keeps it from being relayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// The stream ended within an event or before its first one.
    #[error("the stream ended within an event or before its first one")]
    Incomplete,
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

/// A line of an event stream so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    /// The line begins with a colon; it belongs to no event.
    Comment,
    Field,
}

/// Finds the ends of events, however the bytes of the stream are cut. Lines end with LF, CRLF or
/// CR.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventScanner {
    line: Line,
    /// Whether a field has ended since the last blank line.
    in_event: bool,
    /// Whether the last byte was a CR.
    after_cr: bool,
    /// Whether lines of this stream end with CR alone, so that a CR ends its line at once.
    bare_cr: bool,
}

impl EventScanner {
    /// Scans the next bytes. Returns the offset after the last blank line that ends within them.
    pub fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        for (at, byte) in bytes.iter().enumerate() {
            let after_cr = std::mem::take(&mut self.after_cr);
            if after_cr && !self.bare_cr && *byte != b'\n' {
                self.bare_cr = true;
                if self.end_line() {
                    end = Some(at);
                }
            }
            let ended = match byte {
                // The CR before it has ended the line.
                b'\n' if after_cr && self.bare_cr => false,
                b'\n' => self.end_line(),
                b'\r' => {
                    self.after_cr = true;
                    self.bare_cr && self.end_line()
                }
                _ => {
                    if self.line == Line::Empty {
                        self.line = if *byte == b':' { Line::Comment } else { Line::Field };
                    }
                    false
                }
            };
            if ended {
                end = Some(at + 1);
            }
        }
        end
    }

    /// Whether the bytes so far end within an event.
    pub fn is_inside(&self) -> bool {
        self.in_event || self.line != Line::Empty
    }

    /// Ends a line and returns whether it was blank, which ends an event.
    fn end_line(&mut self) -> bool {
        let line = std::mem::take(&mut self.line);
        match line {
            Line::Empty => self.in_event = false,
            Line::Comment => {}
            Line::Field => self.in_event = true,
        }
        line == Line::Empty
    }
}

/// Collects bytes and returns complete events.
///
/// Invariant: `rest` holds no complete event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    scanner: EventScanner,
    rest: BytesMut,
    last: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that follows event `last`; `None` for a new stream.
    pub fn new(last: Option<u64>) -> Self {
        Self { last, ..Self::default() }
    }

    /// Adds bytes and returns the events that they complete. Returns `None` if they complete none,
    /// and an error if an event is too long or its number does not follow the last.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, StreamError> {
        let end = self.scanner.scan(bytes).map(|end| self.rest.len() + end);
        self.rest.extend_from_slice(bytes);
        let Some(end) = end else {
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
        self.scanner = EventScanner::default();
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.rest.split().freeze()
    }
}

fn event_numbers(bytes: &[u8]) -> impl Iterator<Item = u64> + '_ {
    bytes.split(|b| matches!(b, b'\n' | b'\r')).filter_map(|line| {
        let text = std::str::from_utf8(line.strip_prefix(b"id:")?).ok()?;
        text.trim().parse().ok()
    })
}
