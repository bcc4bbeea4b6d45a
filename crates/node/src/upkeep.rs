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
/// Interval between two adjustments of the limits to the number of instances.
const ADJUST_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two retries of rows that the ledger could not write. Each run writes one row,
/// because after an outage of the table service all instances may retry many rows at the same time.
const LEDGER_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Admits queued requests or gives them up as they become due, until the process ends.
pub async fn run_queue(core: Arc<Core>) {
    let mut ticks = interval(QUEUE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        core.admission.tick(&core);
    }
}

/// Retries failed ledger writes until the process ends.
pub async fn retry_ledger_writes(core: Arc<Core>) {
    let mut ticks = interval(LEDGER_RETRY_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        core.ledger.write_some_pending(1).await;
    }
}

/// Adjusts this instance's shares of capacity and of store links to the number of serving
/// instances, and records changes of configuration freshness, until the process ends.
pub async fn adjust_limits(core: Arc<Core>, limits: watch::Receiver<Limits>) {
    let mut ticks = interval(ADJUST_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut last, mut ready) = (Freshness::Stale, false);
    loop {
        ticks.tick().await;
        let limits = *limits.borrow();
        adjust(&core, limits);
        last = record_freshness(&core, last);
        if !ready && last != Freshness::Stale {
            ready = true;
            core.record(EventKind::Ready);
        }
    }
}

fn adjust(core: &Core, limits: Limits) {
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
    let load = (running + queued) * 1000 / core.admission.capacity().max(1);
    core.members.lock().set_load(u16::try_from(load).unwrap_or(u16::MAX));
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
