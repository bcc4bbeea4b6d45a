//! Freeing KV cache that no request will use again.

use std::{sync::Arc, time::Duration};

use fleet::Snapshot;
use ident::Time;
use place::{Held, free_term, salted};
use tracing::info;

use super::Tenure;
use crate::core::Core;

/// Pause between two rounds.
const ROUND: Duration = Duration::from_millis(500);
/// Parts freed by one call.
const BATCH: usize = 200;
/// How long a freeing call may be under way, on the store's clock, in ms.
const LIMIT_MS: u64 = 1500;

/// Frees for ever.
pub(super) async fn run(tenure: &Tenure) {
    let mut frees = Frees { tenure, core: &tenure.core, seen: Vec::new() };
    loop {
        frees.round().await;
        tokio::time::sleep(ROUND).await;
    }
}

struct Frees<'a> {
    tenure: &'a Tenure,
    core: &'a Core,
    /// Models, versions of their weights and when this holder first knew them. Sorted.
    seen: Vec<(Arc<str>, u64, Time)>,
}

impl Frees<'_> {
    /// Frees what was made by older weights.
    async fn round(&mut self) {
        let snapshot = self.core.view.get();
        let now = self.core.now();
        self.see(&snapshot, now);
        let dead = |held: &Held| {
            let Some((model, version)) = salted(&held.salt) else { return false };
            let newer = snapshot.wanted(model).filter(|w| version < w.version);
            newer.is_some_and(|w| now.since(w.learnt) > free_term(&held.part))
        };
        let batches: Vec<_> = self
            .core
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
            if !self.tenure.may_order() {
                return;
            }
            let parts: Vec<_> = parts.into_iter().take(BATCH).map(|p| (p.salt, p.part)).collect();
            let freed = self.core.outside.engines.free(store.addr, &parts, epoch, until).await;
            info!(store = %store.name, parts = parts.len(), outcome = ?freed, "cached parts freed");
            if freed.is_err() {
                continue;
            }
            let mut shelves = self.core.shelves.lock();
            if let Some(shelf) = shelves.iter_mut().find(|s| s.store.addr == store.addr) {
                shelf.catalog.freed(&parts);
            }
        }
    }

    /// Notes which versions are known. Not by when they were named: an instance that was cut off
    /// takes a version for older than its peers do, and they read older parts for longer.
    fn see(&mut self, snapshot: &Snapshot, now: Time) {
        for weights in &snapshot.weights {
            let key = (&weights.model, weights.version);
            if let Err(at) = self.seen.binary_search_by(|(m, v, _)| (m, *v).cmp(&key)) {
                self.seen.insert(at, (weights.model.clone(), weights.version, now));
            }
        }
    }

    /// When this holder first knew the newest weights, where they are newer than `version`.
    fn replaced(&self, model: &str, version: u64) -> Option<Time> {
        let newest = self.seen.iter().rev().find(|(m, _, _)| **m == *model)?;
        (newest.1 > version).then_some(newest.2)
    }
}
