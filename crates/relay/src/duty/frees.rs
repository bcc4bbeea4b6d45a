//! Frees KV cache that no request will use again.

use std::time::Duration;

use place::{HeldPart, free_delay, parse_salt};
use tracing::info;

use super::LeaseState;

/// Interval between two runs.
const RUN_INTERVAL: Duration = Duration::from_millis(500);
/// Most parts freed by one call.
const MAX_PARTS: usize = 200;
/// How long a free call may be in flight, on the store's clock, in ms.
const FREE_TIMEOUT_MS: u64 = 1500;

/// Frees parts until the lease ends.
pub(super) async fn run(lease_state: &LeaseState) {
    loop {
        free_outdated(lease_state).await;
        tokio::time::sleep(RUN_INTERVAL).await;
    }
}

/// Frees the parts that were made with older weights.
async fn free_outdated(lease_state: &LeaseState) {
    let core = &lease_state.core;
    let (snapshot, now) = (core.view.snapshot(), core.now());
    let is_outdated = |stored: &HeldPart| {
        let Some((model, version)) = parse_salt(&stored.salt) else { return false };
        let newer = snapshot.announced(model).filter(|w| version < w.version);
        newer.is_some_and(|w| now.since(w.known_since) > free_delay(&stored.part))
    };
    let batches: Vec<_> = core
        .catalogs
        .lock()
        .iter()
        .filter_map(|s| {
            let parts = s.catalog.matching(is_outdated);
            let epoch = s.catalog.epoch().filter(|_| !parts.is_empty())?;
            Some((s.store.clone(), parts, epoch, s.catalog.clock_ms() + FREE_TIMEOUT_MS))
        })
        .collect();
    for (store, parts, epoch, until) in batches {
        if !lease_state.may_act() {
            return;
        }
        let parts: Vec<_> = parts.into_iter().take(MAX_PARTS).map(|p| (p.salt, p.part)).collect();
        let freed = core.adapters.engines.free(store.addr, &parts, epoch, until).await;
        info!(
            store = %store.name,
            parts = parts.len(),
            outcome = ?freed,
            "sent free call for outdated parts"
        );
        if freed.is_err() {
            continue;
        }
        let mut catalogs = core.catalogs.lock();
        if let Some(entry) = catalogs.iter_mut().find(|s| s.store.addr == store.addr) {
            entry.catalog.remove(&parts);
        }
    }
}
