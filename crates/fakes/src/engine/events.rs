//! Cache events. They are published with the lag that the knob `lag_ms` sets.

use std::sync::Arc;

use axum::{
    Json,
    extract::{Query, State},
};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::Engine;

/// Maximum number of events kept; the oldest is dropped first.
const MAX_EVENTS: usize = 1024;

/// Change of the cached pieces of a request.
#[derive(Debug, Clone, Copy, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EventKind {
    /// Its pieces were stored in the cache.
    Stored,
    /// At least one of its pieces was evicted from the cache.
    Evicted,
}

#[derive(Debug, Clone, Serialize)]
struct Event {
    seq: u64,
    kind: EventKind,
    request_id: Arc<str>,
    #[serde(skip)]
    at: Instant,
}

/// The latest events, oldest first. Sequence numbers start at 0 and have no gaps.
#[derive(Debug, Default)]
pub struct Events {
    next: u64,
    events: Vec<Event>,
}

impl Events {
    /// Appends an event with the next sequence number.
    pub fn push(&mut self, kind: EventKind, request_id: Arc<str>) {
        if self.events.len() >= MAX_EVENTS {
            self.events.remove(0);
        }
        self.events.push(Event { seq: self.next, kind, request_id, at: Instant::now() });
        self.next += 1;
    }
}

#[derive(Deserialize)]
pub(super) struct EventsQuery {
    #[serde(default)]
    from: u64,
}

#[derive(Serialize)]
pub(super) struct Page {
    next: u64,
    lost: bool,
    events: Vec<Event>,
}

pub(super) async fn list(
    State(engine): State<Arc<Engine>>,
    Query(query): Query<EventsQuery>,
) -> Json<Page> {
    let lag = engine.lag();
    let log = engine.events.lock();
    let first = log.next - log.events.len() as u64;
    let seen = log.events.iter().filter(|e| e.seq >= query.from && e.at.elapsed() >= lag);
    let events: Vec<_> = seen.cloned().collect();
    let next = events.last().map_or(query.from.max(first), |e| e.seq + 1);
    // A caller that is ahead of the log last read it before the engine restarted.
    let lost = query.from < first || query.from > log.next;
    Json(Page { next: if query.from > log.next { first } else { next }, lost, events })
}
