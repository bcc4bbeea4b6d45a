//! Cold replicas, as entries and this instance's own attempts show them.

use std::sync::Arc;

use fleet::{ColdLimit, Replica};
use tracing::{info, warn};

use crate::{core::Core, permits};

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

/// Records that a replica was not reached: it may come back cold.
pub(crate) fn note_lost(core: &Core, replica: &Replica) {
    let mut cold = core.cold.lock();
    if cold.lost(&replica.id, replica.started_ms, core.now()) {
        core.metrics.cold_replicas.set(cold.count(core.now()) as i64);
        info!(replica = &*replica.id, "replica was lost and counts as cold");
    }
}

/// Records that a connection to a replica broke, and finds out whether it is still the same
/// incarnation.
pub(crate) fn note_broken(core: &Arc<Core>, replica: &Arc<Replica>) {
    if limit(core, &replica.target).is_none() {
        return;
    }
    note_lost(core, replica);
    let (core, replica) = (core.clone(), replica.clone());
    tokio::spawn(async move {
        let report = permits::report(&core, &replica).await;
        let is_same =
            |r: &crate::services::Report| r.started_ms != 0 && r.started_ms == replica.started_ms;
        if report.is_ok_and(|r| is_same(&r)) {
            let now = core.now();
            core.cold.lock().is_same(&replica.id, replica.started_ms, now);
        }
    });
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
