//! Merges the logs of several processes.

use std::{cmp::Reverse, collections::BinaryHeap};

use ident::{Boot, Name, Time};

use crate::{Event, Page};

/// Merges pages into one list, ordered by time, then instance, boot and position. An event that
/// is in several pages appears once.
///
/// Events of one process keep their order even if its clock stepped back: an event is ordered as if
/// it were no earlier than the events before it in its log.
pub fn merge(pages: Vec<Page>) -> Vec<Event> {
    let mut logs = split(pages);
    let mut heap = BinaryHeap::with_capacity(logs.len());
    for (i, log) in logs.iter_mut().enumerate() {
        heap.extend(log.head(i));
    }
    let mut out = Vec::new();
    while let Some(Reverse((.., i))) = heap.pop() {
        out.extend(logs[i].events.next());
        heap.extend(logs[i].head(i));
    }
    out
}

/// Time, instance, boot, position and index of the log, in ascending order.
type Head = Reverse<(Time, Name, Boot, u64, usize)>;

/// The events of one process, in order.
struct ProcessLog {
    /// Latest time of the events up to the next one.
    latest: Time,
    events: std::iter::Peekable<std::vec::IntoIter<Event>>,
}

impl ProcessLog {
    /// Sort key of the next event and the index `i` of this log, or `None` at the end.
    fn head(&mut self, i: usize) -> Option<Head> {
        let event = self.events.peek()?;
        self.latest = self.latest.max(event.at);
        Some(Reverse((self.latest, event.instance.clone(), event.boot, event.seq, i)))
    }
}

/// Sorts the events of all pages into one log per process, without duplicates.
fn split(pages: Vec<Page>) -> Vec<ProcessLog> {
    let mut events: Vec<_> = pages.into_iter().flat_map(|p| p.events).collect();
    events.sort_by(|a, b| key(a).cmp(&key(b)));
    events.dedup_by(|a, b| key(a) == key(b));
    let mut logs = Vec::new();
    while let Some(first) = events.first() {
        let (instance, boot) = (first.instance.clone(), first.boot);
        let len = events.partition_point(|e| (&e.instance, e.boot) <= (&instance, boot));
        let rest = events.split_off(len);
        logs.push(ProcessLog { latest: Time::default(), events: events.into_iter().peekable() });
        events = rest;
    }
    logs
}

fn key(event: &Event) -> (&Name, Boot, u64) {
    (&event.instance, event.boot, event.seq)
}
