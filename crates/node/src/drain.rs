//! The planned stop of an instance.

use std::{sync::Arc, time::Duration};

use entry::Core;
use events::EventKind;
use ident::Time;
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

/// Time between two looks whether an instance is drained.
const LOOK: Duration = Duration::from_millis(100);

/// How far an instance is on its way out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It takes work.
    Serving,
    /// It is no longer named to callers, and serves those who come by an older answer.
    Draining,
}

/// How a drain ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Drained {
    /// Nothing was running any more.
    Clean,
    /// The time ran out with this many pieces of work in progress.
    Cut(usize),
}

/// Waits for the order to drain, then until the instance may stop: every address answer that names
/// it has expired, and the last request has ended.
pub async fn wait(core: Arc<Core>, mut stage: watch::Receiver<Stage>, most: Duration) -> Drained {
    // The sender lives as long as the instance; an error means that it is gone, so drain as well.
    let _ = stage.wait_for(|s| *s == Stage::Draining).await;
    core.record(EventKind::Draining);
    tracing::info!(running = core.running.count(), "draining");
    let deadline = core.now().after(most);
    core.members.lock().leave(core.now());
    while !core.members.lock().drained(core.now()) && !deadline.passed(core.now()) {
        sleep(LOOK).await;
    }
    finish(&core, deadline).await
}

async fn finish(core: &Core, deadline: Time) -> Drained {
    let left = deadline.since(core.now());
    let idle = timeout(left, core.running.idle()).await;
    let pending = core.ledger.pending();
    if pending > 0 {
        settle(core, deadline).await;
    }
    match idle {
        Ok(()) => Drained::Clean,
        Err(_) => Drained::Cut(core.running.count()),
    }
}

/// Writes the outcomes of calls that the table service has not taken yet.
async fn settle(core: &Core, deadline: Time) {
    while core.ledger.pending() > 0 && !deadline.passed(core.now()) {
        core.ledger.sweep().await;
        sleep(LOOK).await;
    }
}
