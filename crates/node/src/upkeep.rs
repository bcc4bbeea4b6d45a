//! Small things an instance does all the time.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use entry::{Bounds, Core};
use events::EventKind;
use member::Freshness;
use tokio::{
    sync::watch,
    time::{MissedTickBehavior, interval},
};

use crate::settings::Limits;

/// Time between two looks at the queue.
const QUEUE_TICK: Duration = Duration::from_millis(20);
/// Time between two rounds of the rest.
const ROUND: Duration = Duration::from_millis(500);
/// Time between two looks at rows the ledger could not write. One row each time: all instances may
/// come back to the table service at once with long lists.
const SWEEP_PACE: Duration = Duration::from_secs(1);

/// Releases and gives up queued requests, until the process ends.
pub async fn queue(core: Arc<Core>) {
    let mut ticks = interval(QUEUE_TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        core.admission.tick(&core);
    }
}

/// Repeats ledger writes, until the process ends.
pub async fn sweeps(core: Arc<Core>) {
    let mut ticks = interval(SWEEP_PACE);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        core.ledger.sweep_some(1).await;
    }
}

/// Adapts capacity and link shares to the instances there are and notes changes of freshness, until
/// the process ends.
pub async fn rounds(core: Arc<Core>, limits: watch::Receiver<Limits>) {
    let mut ticks = interval(ROUND);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut last, mut ready) = (Freshness::Stale, false);
    loop {
        ticks.tick().await;
        let limits = *limits.borrow();
        adapt(&core, limits);
        last = note(&core, last);
        if !ready && last != Freshness::Stale {
            ready = true;
            core.record(EventKind::Ready);
        }
    }
}

fn adapt(core: &Core, limits: Limits) {
    let now = core.now();
    let instances = core.members.lock().serving(now).len().max(1);
    let running = u32::try_from(limits.running).unwrap_or(u32::MAX);
    core.serving.store(instances, Ordering::Relaxed);
    core.admission.adapt(core, Bounds { instances, running, queue: limits.queue });
    core.stores.share(instances, now);
    let (running, queued) = core.admission.load();
    let load = (running + queued) * 1000 / core.admission.capacity().max(1);
    core.members.lock().set_load(u16::try_from(load).unwrap_or(u16::MAX));
}

fn note(core: &Core, last: Freshness) -> Freshness {
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
