//! Periodic maintenance tasks of an instance.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use entry::{AdmissionLimits, Core};
use events::EventKind;
use member::Freshness;
use tokio::{
    sync::watch,
    time::{MissedTickBehavior, interval},
};

use crate::settings::Limits;

/// Interval between two runs of the request queue.
const QUEUE_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between two computations of this instance's shares of the limits.
const SHARE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two retries of call outcomes that the ledger could not write. Each run writes
/// one, because after an outage of the table service all instances may have many to retry.
const OUTCOME_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Admits queued requests when there is capacity and refuses those past their deadline, until the
/// process ends.
pub async fn run_queue(core: Arc<Core>) {
    let mut ticks = interval(QUEUE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        core.admission.tick(&core);
    }
}

/// Retries failed writes of call outcomes until the process ends.
pub async fn retry_outcome_writes(core: Arc<Core>) {
    let mut ticks = interval(OUTCOME_RETRY_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        core.ledger.write_some_pending(1).await;
    }
}

/// Updates this instance's shares of capacity and of store links to the number of serving
/// instances, reports its load to peers and records changes of configuration freshness, until the
/// process ends.
pub async fn update_shares(core: Arc<Core>, limits: watch::Receiver<Limits>) {
    let mut ticks = interval(SHARE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut last, mut ready) = (Freshness::Stale, false);
    loop {
        ticks.tick().await;
        let limits = *limits.borrow();
        update_once(&core, limits);
        last = record_freshness(&core, last);
        if !ready && last != Freshness::Stale {
            ready = true;
            core.record(EventKind::Ready);
        }
    }
}

fn update_once(core: &Core, limits: Limits) {
    let now = core.now();
    let instances = core.members.lock().serving(now).len().max(1);
    let running = u32::try_from(limits.running).unwrap_or(u32::MAX);
    core.serving_instances.store(instances, Ordering::Relaxed);
    core.admission.update_limits(
        core,
        AdmissionLimits { instances, max_running: running, max_queued: limits.queue },
    );
    core.stores.update_link_shares(instances, now);
    let (running, queued) = core.admission.load();
    // Above 1000 if requests are queued while all capacity is in use.
    let load_permille = (running + queued) * 1000 / core.admission.capacity().max(1);
    core.members.lock().set_load(u16::try_from(load_permille).unwrap_or(u16::MAX));
}

/// Logs and records a change of configuration freshness since `last`. Returns the current
/// freshness.
fn record_freshness(core: &Core, last: Freshness) -> Freshness {
    let freshness = core.members.lock().freshness(core.now());
    if freshness != last {
        tracing::info!(?freshness, "configuration freshness changed");
        core.record(match freshness {
            Freshness::Fresh => EventKind::Fresh,
            Freshness::Outage => EventKind::Outage,
            Freshness::Stale => EventKind::Stale,
        });
    }
    freshness
}
