//! The event log of one process, a ring buffer.

use std::collections::VecDeque;

use ident::{Boot, Name, Time};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::{Event, EventKind};

/// A page of a log, as returned by [`Log::since`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// The events, in order of [`Event::seq`].
    pub events: Vec<Event>,
    /// Position to pass as `after` to get the next page.
    pub next: u64,
    /// Number of events after the requested position that were overwritten before they were read.
    pub lost: u64,
}

/// The latest events of this process, at most `capacity`; older ones are overwritten.
///
/// Invariant: the positions of the events are consecutive and end with the last one recorded.
#[derive(Debug)]
pub struct Log {
    instance: Name,
    boot: Boot,
    capacity: usize,
    ring: Mutex<Ring>,
}

#[derive(Debug, Default)]
struct Ring {
    /// Position of the last recorded event; 0 before the first.
    last: u64,
    /// Time of the last recorded event.
    last_time: Time,
    events: VecDeque<(Time, EventKind)>,
}

impl Ring {
    /// Position of the oldest event in the buffer, or `last + 1` if the buffer is empty.
    fn first(&self) -> u64 {
        self.last + 1 - self.events.len() as u64
    }
}

impl Log {
    /// Creates an empty log that keeps the last `capacity` events. Panics if `capacity` is 0.
    pub fn new(instance: Name, boot: Boot, capacity: usize) -> Self {
        assert!(capacity > 0, "the capacity of an event log must be at least 1");
        Self { instance, boot, capacity, ring: Mutex::default() }
    }

    /// Records an event and returns its position. Times within one log never decrease: if `now` is
    /// earlier than the time of the previous event, the event gets that time.
    pub fn record(&self, now: Time, kind: EventKind) -> u64 {
        let mut ring = self.ring.lock();
        ring.last_time = ring.last_time.max(now);
        ring.last += 1;
        if ring.events.len() == self.capacity {
            ring.events.pop_front();
        }
        let at = ring.last_time;
        ring.events.push_back((at, kind));
        ring.last
    }

    /// Returns up to `limit` events after position `after`. Pass 0 to start with the oldest event.
    pub fn since(&self, after: u64, limit: usize) -> Page {
        let ring = self.ring.lock();
        let after = after.min(ring.last);
        let first = ring.first().max(after + 1);
        let skip = usize::try_from(first - ring.first()).expect("a position within the ring");
        let events: Vec<_> = ring
            .events
            .iter()
            .skip(skip)
            .take(limit)
            .zip(first..)
            .map(|((at, kind), seq)| self.event(*at, seq, kind))
            .collect();
        let next = events.last().map_or(first - 1, |e| e.seq);
        Page { events, next, lost: first - after - 1 }
    }

    fn event(&self, at: Time, seq: u64, kind: &EventKind) -> Event {
        Event { at, instance: self.instance.clone(), boot: self.boot, seq, kind: kind.clone() }
    }
}
