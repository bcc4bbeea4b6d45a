//! Evacuated zones, and cold replicas as entries and this instance's own attempts show them.

use std::sync::Arc;

use fleet::{ColdLimit, Instance, Replica};
use ident::Time;
use rand::seq::IndexedRandom;
use tracing::{debug, info, warn};

use crate::{
    core::Core,
    permits,
    services::{Topic, Update},
};

/// Most ended incarnations in one datagram.
const MAX_ENDED: usize = 8;

/// A peer that may know what the registry does not tell this instance, whose polls have failed since
/// `failing`. `None` unless the registry has answered another instance since: otherwise peers know
/// nothing newer, and questions of all to all would add load to its return.
pub(crate) fn choose_peer(core: &Core, failing: Time) -> Option<Arc<str>> {
    let snapshot = core.view.snapshot();
    if snapshot.confirmed.registry <= failing {
        return None;
    }
    let others = snapshot.instances.iter().filter(|i| i.name != core.settings.name);
    let heard: Vec<&Arc<Instance>> = others.filter(|i| core.is_heard(&i.name)).collect();
    heard.choose(&mut rand::rng()).map(|i| i.name.clone())
}

/// Joins the evacuations in updates of the registry into one update with all evacuated zones.
pub(crate) fn join(core: &Core, topic: Topic, updates: Vec<Update>, full: bool) -> Vec<Update> {
    let is_evacuation = |u: &Update| matches!(u, Update::Evacuation { .. });
    if topic != Topic::Operator || !(full || updates.iter().any(is_evacuation)) {
        return updates;
    }
    // A complete reading replaces what was known.
    let known = core.view.snapshot().evacuated.clone();
    let mut zones = if full { Vec::new() } else { known };
    let mut out = Vec::new();
    for update in updates {
        let Update::Evacuation { zone, active } = update else {
            out.push(update);
            continue;
        };
        match (zones.binary_search(&zone), active) {
            (Err(at), true) => zones.insert(at, zone),
            (Ok(at), false) => _ = zones.remove(at),
            (Err(_), false) => info!(%zone, "evacuation removed that was not known"),
            (Ok(_), true) => {}
        }
    }
    out.push(Update::Evacuated(zones));
    out
}

/// Applies the evacuated zones. `from` names their origin in the log.
pub(crate) fn evacuate(core: &Core, zones: Vec<Arc<str>>, from: &str) {
    let (snapshot, now) = (core.view.snapshot(), core.now());
    let known = &snapshot.evacuated;
    if *known == zones {
        return;
    }
    let known_ms = now.since(snapshot.confirmed.config).as_millis() as u64;
    for zone in known.iter().filter(|z| zones.binary_search(z).is_err()) {
        // Before requests are sent there again.
        let cold = core.cold.lock().zone_returned(zone, now);
        info!(%zone, cold, known_ms, from, "evacuation of the zone ended");
    }
    for zone in zones.iter().filter(|z| known.binary_search(z).is_err()) {
        let replicas = snapshot.replicas.iter().filter(|r| r.zone == *zone).count();
        let bound_ms = core.settings.bounds.evacuation.as_millis() as u64;
        info!(%zone, replicas, known_ms, bound_ms, from, "zone is evacuated");
        if replicas == 0 && !snapshot.replicas.is_empty() {
            warn!(%zone, "evacuated zone has no known replica");
        }
    }
    core.metrics.evacuated_zones.set(zones.len() as i64);
    core.pool.lock().set_evacuated(&zones);
    core.view.set_evacuated(zones);
}

/// The limit of cold replicas of a target.
fn limit(core: &Core, target: &str) -> Option<ColdLimit> {
    core.view.snapshot().config.as_ref()?.target(target)?.cold
}

/// Records a replica's entry, before it takes effect, and logs a replica that becomes cold.
pub(crate) fn note_replica(core: &Core, replica: &Replica) {
    let (limit, now) = (limit(core, &replica.target), core.now());
    let previous = core.view.snapshot().replica(&replica.id).cloned();
    let mut cold = core.cold.lock();
    let known = previous.as_ref().is_some_and(|p| p.started_ms == replica.started_ms);
    let is_new = cold.note(replica, limit, known, now);
    core.metrics.cold_replicas.set(cold.count(now) as i64);
    drop(cold);
    let Some(limit) = limit else { return };
    let cold_ms = u64::try_from(replica.cold.as_millis()).unwrap_or(u64::MAX);
    if is_new {
        let restarted = previous.as_ref().is_some_and(|p| p.started_ms != replica.started_ms);
        let rate = limit.rate;
        info!(replica = &*replica.id, cold_ms, known, restarted, rate, "replica counts as cold");
    }
    let is_long = |r: &Replica| r.cold > limit.span;
    if is_long(replica) && !previous.is_some_and(|p| is_long(&p)) {
        let most_ms = limit.span.as_millis() as u64;
        warn!(replica = &*replica.id, cold_ms, most_ms, "cold time of the entry is not possible");
    }
}

/// Applies the limits of a new configuration to the known replicas.
pub(crate) fn note_config(core: &Core) {
    for replica in &core.view.snapshot().replicas {
        note_replica(core, replica);
    }
}

/// Records that a replica was not reached: it may come back cold. Returns whether that is new.
pub(crate) fn note_lost(core: &Core, replica: &Replica) -> bool {
    let mut cold = core.cold.lock();
    let is_new = cold.lost(&replica.id, replica.started_ms, core.now());
    if is_new {
        core.metrics.cold_replicas.set(cold.count(core.now()) as i64);
        info!(replica = &*replica.id, "replica was lost and counts as cold");
    }
    is_new
}

/// Records that an incarnation of a replica has ended, and tells peers: most of them have no
/// connection to it that would show it.
pub(crate) fn note_ended(core: &Core, replica: &Replica) {
    note_lost(core, replica);
    if core.cold.lock().ended(&replica.id, replica.started_ms, core.now()) {
        core.notify_evidence.notify_one();
    }
}

/// Records that a connection to a replica broke, and finds out whether it is still the same
/// incarnation. A replica may close an `idle` connection without having ended, so that counts only
/// until the replica answers without another start time.
pub(crate) fn note_broken(core: &Arc<Core>, replica: &Arc<Replica>, idle: bool) {
    // One check at a time: until it ends the replica counts as lost.
    if limit(core, &replica.target).is_none() || !note_lost(core, replica) {
        return;
    }
    let (core, replica) = (core.clone(), replica.clone());
    tokio::spawn(async move {
        match permits::report(&core, &replica).await {
            Ok(report) if report.started_ms == 0 && !idle => {}
            Ok(report) if [0, replica.started_ms].contains(&report.started_ms) => {
                core.cold.lock().is_same(&replica.id, replica.started_ms, core.now());
            }
            Ok(_) => note_ended(&core, &replica),
            Err(error) => debug!(replica = &*replica.id, %error, "replica does not say its start"),
        }
    });
}

/// The digest of an incarnation of a replica.
fn digest(id: &str, started_ms: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), started_ms)
}

/// The digests of the ended incarnations that peers are told of.
pub(crate) fn report(core: &Core) -> Vec<u64> {
    let ended = core.cold.lock().report(core.now());
    ended.into_iter().take(MAX_ENDED).map(|(id, started_ms)| digest(&id, started_ms)).collect()
}

/// Applies what a peer found to have ended.
pub(crate) fn merge(core: &Core, ended: &[u64]) {
    if ended.is_empty() {
        return;
    }
    let snapshot = core.view.snapshot();
    let has_ended = |r: &&Arc<Replica>| ended.contains(&digest(&r.id, r.started_ms));
    for replica in snapshot.replicas.iter().filter(has_ended) {
        // One that came back to this instance meanwhile counts as cold already.
        let is_cold = core.cold.lock().is_cold(&replica.id, core.now());
        if !is_cold {
            note_lost(core, replica);
        }
    }
}

/// Sets the instances that share the limits of cold replicas, and drops replicas that are gone.
pub(crate) fn sweep(core: &Core) {
    let (snapshot, now) = (core.view.snapshot(), core.now());
    let names = snapshot.instances.iter().map(|i| i.name.clone()).collect();
    let mut cold = core.cold.lock();
    cold.set_instances(&core.settings.name, names, now);
    cold.retain(|id| snapshot.replica(id).is_some());
    core.metrics.cold_replicas.set(cold.count(now) as i64);
}
