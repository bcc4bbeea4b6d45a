//! Replicas' reports of their load, in answers and in polls between instances.

use std::{sync::Arc, time::Duration};

use fleet::Replica;
use ident::Time;
use place::{LoadReport, ReplicaLoad};
use tracing::{info, warn};

use crate::{
    core::Core,
    feed_wire::{self, FiguresWire, LoadWire},
    protocol::ResponseMeta,
};

/// Age from which a replica's report of its load is not handed on.
const MAX_LOAD_AGE: Duration = Duration::from_millis(1200);

/// Records the load in the head of a replica's answer, and logs what changes by it. Malformed
/// reports are logged once for each incarnation of a replica.
pub(crate) fn observe(core: &Core, meta: &ResponseMeta, replica: &Replica, now: Time) {
    match &meta.load {
        Ok(None) => {}
        Ok(Some(load)) => {
            let mut pool = core.pool.lock();
            pool.record_report(&replica.id, *load, now);
            let changes = pool.take_share_changes(now);
            drop(pool);
            for share in changes {
                core.metrics
                    .short_engines
                    .with_label_values(&[&*share.target])
                    .set(share.short as i64);
                info!(
                    target = &*share.target,
                    short = share.short,
                    engines = share.engines,
                    busy = share.busy,
                    long_prompts = share.long,
                    "number of engines for short prompts changed"
                );
            }
        }
        Err(error) => {
            if core.pool.lock().mark_malformed(&replica.id) {
                core.metrics.malformed_loads.inc();
                warn!(replica = &*replica.id, %error, "replica's report of its load is malformed");
            }
        }
    }
}

/// Reports that are handed on, and the figures of those that name a pace.
pub(crate) fn encode(reports: Vec<LoadReport>, now: Time) -> (Vec<LoadWire>, Vec<FiguresWire>) {
    let recent: Vec<LoadReport> =
        reports.into_iter().filter(|r| r.age(now) < MAX_LOAD_AGE).collect();
    let load = |r: &LoadReport| {
        let age = r.age(now).as_millis() as u64;
        LoadWire(feed_wire::replica_tag(&r.replica), r.load.requests(), age)
    };
    let figures = |r: &LoadReport| {
        let ReplicaLoad { running, slots, pace, .. } = r.load;
        Some(FiguresWire(feed_wire::replica_tag(&r.replica), running, slots, pace?))
    };
    (recent.iter().map(load).collect(), recent.iter().filter_map(figures).collect())
}

/// Records reports that a peer handed on, with their age at `now`. `figures` need not be sorted.
pub(crate) fn merge(core: &Core, loads: &[LoadWire], figures: &[FiguresWire], now: Time) {
    if loads.is_empty() {
        return;
    }
    let snapshot = core.view.snapshot();
    let mut tags: Vec<(u32, &Arc<str>)> =
        snapshot.replicas.iter().map(|r| (feed_wire::replica_tag(&r.id), &r.id)).collect();
    tags.sort_unstable();
    let mut figures: Vec<&FiguresWire> = figures.iter().collect();
    figures.sort_unstable_by_key(|f| f.0);
    let mut pool = core.pool.lock();
    for LoadWire(tag, requests, age_ms) in loads {
        let at = now.before(Duration::from_millis(*age_ms));
        let Ok(found) = tags.binary_search_by_key(tag, |(tag, _)| *tag) else { continue };
        let more = figures.binary_search_by_key(tag, |f| f.0).ok().map(|at| figures[at]);
        let load = match more {
            // A pace of 0 is not valid.
            Some(FiguresWire(_, running, slots, pace)) if *pace > 0 => ReplicaLoad {
                running: *running.min(requests),
                waiting: requests.saturating_sub(*running),
                slots: *slots,
                pace: Some(*pace),
            },
            _ => ReplicaLoad::of_requests(*requests),
        };
        pool.merge_report(&LoadReport { replica: tags[found].1.clone(), load, at });
    }
}
