//! The bounded log of one process.

use std::collections::VecDeque;

use ident::{Boot, Name, Time};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::{Event, EventKind};

/// Part of a log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// The events, in order of [`Event::seq`].
    pub events: Vec<Event>,
    /// What to pass as `after` for the following page.
    pub next: u64,
    /// Events after the asked position that were overwritten before they were read.
    pub lost: u64,
}

/// The latest events of this process.
///
/// Invariant: holds the events with consecutive `seq` up to the last one recorded, at most
/// `capacity` of them.
#[derive(Debug)]
pub struct Log {
    instance: Name,
    boot: Boot,
    capacity: usize,
    ring: Mutex<Ring>,
}

#[derive(Debug, Default)]
struct Ring {
    last: u64,
    at: Time,
    events: VecDeque<(Time, EventKind)>,
}

impl Ring {
    /// Position of the oldest event held; `last + 1` when none is.
    fn first(&self) -> u64 {
        self.last + 1 - self.events.len() as u64
    }
}

impl Log {
    /// An empty log that keeps the last `capacity` events.
    pub fn new(instance: Name, boot: Boot, capacity: usize) -> Self {
        assert!(capacity > 0, "a log keeps at least one event");
        Self { instance, boot, capacity, ring: Mutex::default() }
    }

    /// Records an event and returns its position. Times within one log never decrease: an event
    /// recorded by a thread that was overtaken takes the time of the one before it.
    pub fn record(&self, now: Time, kind: EventKind) -> u64 {
        let mut ring = self.ring.lock();
        ring.at = ring.at.max(now);
        ring.last += 1;
        if ring.events.len() == self.capacity {
            ring.events.pop_front();
        }
        let at = ring.at;
        ring.events.push_back((at, kind));
        ring.last
    }

    /// Up to `limit` events after position `after`, which is 0 for the start.
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
