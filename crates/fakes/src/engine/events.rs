//! Cache events, published late and kept for a while.

use std::sync::Arc;

use axum::{
    Json,
    extract::{Query, State},
};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::Engine;

/// Events kept; older ones are lost.
const KEPT: usize = 1024;

/// What happened to a request's pieces.
#[derive(Debug, Clone, Copy, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// They are in the cache.
    Stored,
    /// One of them has left the cache.
    Evicted,
}

#[derive(Debug, Clone, Serialize)]
struct Event {
    seq: u64,
    kind: Kind,
    request_id: Arc<str>,
    #[serde(skip)]
    at: Instant,
}

/// The latest events, oldest first, numbered from 0 on without gaps.
#[derive(Debug, Default)]
pub struct Events {
    next: u64,
    events: Vec<Event>,
}

impl Events {
    /// Appends an event.
    pub fn push(&mut self, kind: Kind, request_id: Arc<str>) {
        if self.events.len() >= KEPT {
            self.events.remove(0);
        }
        self.events.push(Event { seq: self.next, kind, request_id, at: Instant::now() });
        self.next += 1;
    }
}

#[derive(Deserialize)]
pub(super) struct From {
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
    Query(query): Query<From>,
) -> Json<Page> {
    let lag = engine.lag();
    let log = engine.events.lock();
    let first = log.next - log.events.len() as u64;
    let seen = log.events.iter().filter(|e| e.seq >= query.from && e.at.elapsed() >= lag);
    let events: Vec<_> = seen.cloned().collect();
    let next = events.last().map_or(query.from.max(first), |e| e.seq + 1);
    // A reader ahead of the log has read from an engine that has since restarted.
    let lost = query.from < first || query.from > log.next;
    Json(Page { next: if query.from > log.next { first } else { next }, lost, events })
}
