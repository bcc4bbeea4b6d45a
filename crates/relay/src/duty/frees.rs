//! Freeing KV cache that no request will use again.

use std::time::Duration;

use place::{Held, free_term, salted};
use tracing::info;

use super::Tenure;

/// Pause between two rounds.
const ROUND: Duration = Duration::from_millis(500);
/// Parts freed by one call.
const BATCH: usize = 200;
/// How long a freeing call may be under way, on the store's clock, in ms.
const LIMIT_MS: u64 = 1500;

/// Frees for ever.
pub(super) async fn run(tenure: &Tenure) {
    loop {
        round(tenure).await;
        tokio::time::sleep(ROUND).await;
    }
}

/// Frees what was made by older weights.
async fn round(tenure: &Tenure) {
    let core = &tenure.core;
    let (snapshot, now) = (core.view.get(), core.now());
    let dead = |held: &Held| {
        let Some((model, version)) = salted(&held.salt) else { return false };
        let newer = snapshot.wanted(model).filter(|w| version < w.version);
        newer.is_some_and(|w| now.since(w.seen) > free_term(&held.part))
    };
    let batches: Vec<_> = core
        .shelves
        .lock()
        .iter()
        .filter_map(|s| {
            let parts = s.catalog.dead(dead);
            let epoch = s.catalog.epoch().filter(|_| !parts.is_empty())?;
            Some((s.store.clone(), parts, epoch, s.catalog.clock() + LIMIT_MS))
        })
        .collect();
    for (store, parts, epoch, until) in batches {
        if !tenure.may_order() {
            return;
        }
        let parts: Vec<_> = parts.into_iter().take(BATCH).map(|p| (p.salt, p.part)).collect();
        let freed = core.outside.engines.free(store.addr, &parts, epoch, until).await;
        info!(store = %store.name, parts = parts.len(), outcome = ?freed, "cached parts freed");
        if freed.is_err() {
            continue;
        }
        let mut shelves = core.shelves.lock();
        if let Some(shelf) = shelves.iter_mut().find(|s| s.store.addr == store.addr) {
            shelf.catalog.freed(&parts);
        }
    }
}
