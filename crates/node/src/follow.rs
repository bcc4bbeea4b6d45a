//! Keeps the configuration in force up to date: by reading the platform's change log, and by
//! taking changes from peers that have read further.

use std::{sync::Arc, time::Duration};

use conf::{Change, LoadError, Store};
use entry::Core;
use events::EventKind;
use ident::Rev;
use parking_lot::Mutex;
use tokio::time::sleep;

/// Time between two reads of the change log; half of it is drawn at random, so that instances
/// started together don't read together.
const POLL_INTERVAL: Duration = Duration::from_secs(3);
/// Changes read at once.
const POLL_LIMIT: usize = 200;
/// Changes kept to hand to peers.
const RECENT_CHANGES: usize = 256;
/// First pause after a failed read; doubles up to [`POLL_INTERVAL`].
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Applies changes, from wherever they come, in order.
pub struct Follower {
    core: Arc<Core>,
    store: Arc<Store>,
    recent: Mutex<Recent>,
    /// Held while a view is put in force, so that two do not cross.
    installing: Mutex<()>,
}

/// The last changes applied.
///
/// Invariant: consecutive revisions.
#[derive(Default)]
struct Recent {
    changes: Vec<Change>,
    table: Option<bool>,
}

impl Follower {
    /// A follower for an instance that has no configuration yet.
    pub fn new(core: Arc<Core>, store: Arc<Store>) -> Self {
        Self { core, store, recent: Mutex::default(), installing: Mutex::default() }
    }

    /// Reads the log until the process ends.
    pub async fn run(self: Arc<Self>) {
        let mut pause = FIRST_PAUSE;
        loop {
            let wait = match self.poll().await {
                Ok(true) => continue,
                Ok(false) => {
                    pause = FIRST_PAUSE;
                    self.jittered(POLL_INTERVAL)
                }
                Err(_) => {
                    let wait = self.jittered(pause);
                    pause = (pause * 2).min(POLL_INTERVAL);
                    wait
                }
            };
            sleep(wait).await;
        }
    }

    /// Reads the log once; whether there may be more at once.
    async fn poll(&self) -> Result<bool, LoadError> {
        let before = self.core.now();
        let result = self.read().await;
        let result_label = if result.is_ok() { "ok" } else { "failed" };
        self.core.metrics.polls.with_label_values(&[result_label]).inc();
        let rev = self.core.view().rev();
        let newest = if matches!(result, Ok(true)) { rev.next() } else { rev };
        // The revision was the newest when the read began, not when its answer came.
        self.core.members.lock().table_read(before, result.is_ok(), newest);
        self.note_table(result.is_ok());
        result
    }

    async fn read(&self) -> Result<bool, LoadError> {
        if self.store.view().rev() == Rev::default() {
            self.store.refresh().await?;
            self.install();
            return Ok(false);
        }
        let changes = self.store.changes(self.store.view().rev(), POLL_LIMIT).await?;
        self.apply(&changes);
        // Only an empty answer means that there is nothing more.
        Ok(!changes.is_empty())
    }

    /// Applies changes in order; known ones are skipped. Changes after a gap are left to the next
    /// read of the log.
    pub fn apply(&self, changes: &[Change]) {
        let known = self.store.view().rev();
        if self.store.learn(changes).is_err() {
            return;
        }
        let mut recent = self.recent.lock();
        let newer = changes.iter().filter(|c| c.rev > known);
        for change in newer {
            if recent.changes.last().is_none_or(|last| change.rev == last.rev.next()) {
                recent.changes.push(change.clone());
            }
        }
        let excess = recent.changes.len().saturating_sub(RECENT_CHANGES);
        recent.changes.drain(..excess);
        drop(recent);
        self.install();
    }

    /// Puts the newest view known in force.
    pub fn install(&self) {
        let _order = self.installing.lock();
        let view = self.store.view();
        let rev = view.rev();
        if rev <= self.core.view().rev() {
            return;
        }
        self.core.install(view);
        self.core.members.lock().set_rev(rev);
        self.core.record(EventKind::ConfApplied { rev });
        self.core.sync_withdrawn();
        tracing::info!(%rev, "configuration in force");
    }

    /// Changes after `rev` that a peer lacks; empty when they are no longer kept here, and the
    /// peer reads the log itself.
    pub fn changes_after(&self, rev: Rev) -> Vec<Change> {
        let recent = self.recent.lock();
        let at = recent.changes.partition_point(|c| c.rev <= rev);
        match recent.changes.get(at) {
            Some(first) if first.rev == rev.next() => recent.changes[at..].to_vec(),
            _ => Vec::new(),
        }
    }

    fn note_table(&self, up: bool) {
        if self.recent.lock().table.replace(up) == Some(up) {
            return;
        }
        if up {
            self.core.record(EventKind::TableUp);
            tracing::info!("the table service answers");
        } else {
            self.core.record(EventKind::TableDown);
            tracing::warn!("the table service does not answer");
        }
    }

    fn jittered(&self, span: Duration) -> Duration {
        let draw = u32::try_from(self.core.draws.draw() % 1000).unwrap_or(0);
        span / 2 + span * draw / 1000
    }
}
