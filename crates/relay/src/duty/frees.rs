//! Frees KV cache that no request will use again.

use std::time::Duration;

use place::{HeldPart, Salt, free_delay};
use tracing::info;

use super::LeaseState;
use crate::kept::MAX_CONFIG_AGE;

/// Interval between two runs.
const RUN_INTERVAL: Duration = Duration::from_millis(500);
/// Most parts freed by one call.
const MAX_PARTS: usize = 200;
/// How long after other teams became dedicated the parts that are no longer shared are freed. All
/// instances in touch know of it long before, and their fetches have ended.
const UNSHARED_DELAY: Duration = Duration::from_secs(10);
/// The first release whose salts name the dedicated teams. Earlier ones go on using a salt without.
const SCOPED_SALTS_RELEASE: u32 = 1;
/// How long a free call may be in flight, on the store's clock, in ms.
const FREE_TIMEOUT_MS: u64 = 1500;

/// Frees parts until the lease ends.
pub(super) async fn run(lease_state: &LeaseState) {
    loop {
        free_outdated(lease_state).await;
        tokio::time::sleep(RUN_INTERVAL).await;
    }
}

/// Frees the parts that were made with older weights, and those that no team shares any more.
async fn free_outdated(lease_state: &LeaseState) {
    let core = &lease_state.core;
    let (snapshot, now) = (core.view.snapshot(), core.now());
    // This instance may have started right after the change.
    let walls_since = core.walls_change.lock().at.unwrap_or(core.feeds.started());
    let lowest = core.releases.lock().lowest(&core.settings.name, &snapshot.instances);
    let is_settled = lowest >= SCOPED_SALTS_RELEASE
        && now.since(walls_since) > UNSHARED_DELAY
        && now.since(snapshot.confirmed.config) < MAX_CONFIG_AGE;
    let config = snapshot.config.as_ref().filter(|_| is_settled);
    let is_outdated = |stored: &HeldPart| {
        let Some(salt) = Salt::parse(&stored.salt) else { return false };
        let newer = snapshot.announced(&salt.model).filter(|w| salt.version < w.version);
        config.is_some_and(|config| !config.walls.is_in_use(&salt.scope))
            || newer.is_some_and(|w| now.since(w.known_since) > free_delay(&stored.part))
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
