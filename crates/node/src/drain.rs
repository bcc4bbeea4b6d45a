//! Drains an instance before it stops.

use std::{sync::Arc, time::Duration};

use entry::Core;
use events::EventKind;
use ident::Time;
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

/// Interval between two checks whether the instance is drained.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Whether an instance takes work or drains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainState {
    /// The instance takes work.
    Serving,
    /// Callers are no longer given the address of this instance. It still serves callers that got
    /// the address earlier.
    Draining,
}

/// Result of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainOutcome {
    /// All completions, calls and saves of contexts ended in time. Some call outcomes may not have
    /// been written.
    Clean,
    /// The grace period ended. Holds the number of completions, calls and saves of contexts
    /// still in progress.
    TimedOut(usize),
}

/// Waits for the drain to start, then until the instance may stop: every answer that gave its
/// address to a caller has expired, and the last request has ended. Waits at most `grace` after
/// the start of the drain.
pub async fn wait(
    core: Arc<Core>,
    mut state: watch::Receiver<DrainState>,
    grace: Duration,
) -> DrainOutcome {
    // `wait_for` fails only if the sender is dropped, which means that the instance ends; drain
    // in this case too.
    let _ = state.wait_for(|s| *s == DrainState::Draining).await;
    core.record(EventKind::Draining);
    tracing::info!(running = core.running.count(), "draining");
    let deadline = core.now().after(grace);
    core.members.lock().leave(core.now());
    while !core.members.lock().is_drained(core.now()) && !deadline.passed(core.now()) {
        sleep(CHECK_INTERVAL).await;
    }
    finish(&core, deadline).await
}

/// Waits until no request runs or `deadline` passes, then writes pending call outcomes.
async fn finish(core: &Core, deadline: Time) -> DrainOutcome {
    let remaining = deadline.since(core.now());
    let idle = timeout(remaining, core.running.wait_idle()).await;
    let pending = core.ledger.pending_count();
    if pending > 0 {
        write_outcomes(core, deadline).await;
    }
    match idle {
        Ok(()) => DrainOutcome::Clean,
        Err(_) => DrainOutcome::TimedOut(core.running.count()),
    }
}

/// Repeats the writes of call outcomes that the table service has not acknowledged yet.
async fn write_outcomes(core: &Core, deadline: Time) {
    while core.ledger.pending_count() > 0 && !deadline.passed(core.now()) {
        core.ledger.write_pending().await;
        sleep(CHECK_INTERVAL).await;
    }
}
