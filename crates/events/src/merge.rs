//! One time line out of many logs.

use std::{cmp::Reverse, collections::BinaryHeap};

use ident::{Boot, Name, Time};

use crate::{Event, Page};

/// Merges pages into one time line, ordered by time, then instance, then position. An event that
/// several pages hold appears once.
///
/// The order within one life of an instance is kept even where its clock stepped back: an event
/// counts as no earlier than the ones before it in its log.
pub fn merge(pages: Vec<Page>) -> Vec<Event> {
    let mut lives = split(pages);
    let mut heap = BinaryHeap::with_capacity(lives.len());
    for (i, life) in lives.iter_mut().enumerate() {
        heap.extend(life.head(i));
    }
    let mut out = Vec::new();
    while let Some(Reverse((.., i))) = heap.pop() {
        out.extend(lives[i].events.next());
        heap.extend(lives[i].head(i));
    }
    out
}

type Head = Reverse<(Time, Name, Boot, u64, usize)>;

/// The events of one life of an instance, in order.
struct Life {
    at: Time,
    events: std::iter::Peekable<std::vec::IntoIter<Event>>,
}

impl Life {
    fn head(&mut self, i: usize) -> Option<Head> {
        let event = self.events.peek()?;
        self.at = self.at.max(event.at);
        Some(Reverse((self.at, event.instance.clone(), event.boot, event.seq, i)))
    }
}

fn split(pages: Vec<Page>) -> Vec<Life> {
    let mut events: Vec<_> = pages.into_iter().flat_map(|p| p.events).collect();
    events.sort_by(|a, b| key(a).cmp(&key(b)));
    events.dedup_by(|a, b| key(a) == key(b));
    let mut lives = Vec::new();
    while let Some(first) = events.first() {
        let (instance, boot) = (first.instance.clone(), first.boot);
        let len = events.partition_point(|e| (&e.instance, e.boot) <= (&instance, boot));
        let rest = events.split_off(len);
        lives.push(Life { at: Time::default(), events: events.into_iter().peekable() });
        events = rest;
    }
    lives
}

fn key(event: &Event) -> (&Name, Boot, u64) {
    (&event.instance, event.boot, event.seq)
}
