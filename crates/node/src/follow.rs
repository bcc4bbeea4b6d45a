//! Keeps the configuration of this instance up to date. Changes come from the change log in the
//! table service and from peers that have read further in it.

use std::{sync::Arc, time::Duration};

use conf::{Change, LoadError, Store};
use entry::Core;
use events::EventKind;
use ident::Rev;
use parking_lot::Mutex;
use tokio::time::sleep;

/// Mean interval between two reads of the change log. Each interval varies at random from 50% to
/// 150% of this, so that instances started together don't read at the same time.
const POLL_INTERVAL: Duration = Duration::from_secs(3);
/// Maximum number of changes in one read of the log.
const MAX_POLL_CHANGES: usize = 200;
/// Maximum number of recent changes kept in memory for peers.
const MAX_RECENT_CHANGES: usize = 256;
/// Backoff after the first failed read. It doubles with each failure up to [`POLL_INTERVAL`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// Applies configuration changes from the log and from peers in order of revision.
pub struct Follower {
    core: Arc<Core>,
    config_store: Arc<Store>,
    recent: Mutex<Recent>,
    /// Serialises calls of [`Self::install`].
    install_lock: Mutex<()>,
}

/// Recent changes and the last known state of the table service.
#[derive(Default)]
struct Recent {
    /// Last applied changes, oldest first. Invariant: consecutive revisions.
    changes: Vec<Change>,
    /// Whether the last read of the table succeeded; `None` before the first read.
    table_up: Option<bool>,
}

impl Follower {
    /// Creates a follower. The instance has no configuration until the first read.
    pub fn new(core: Arc<Core>, config_store: Arc<Store>) -> Self {
        Self { core, config_store, recent: Mutex::default(), install_lock: Mutex::default() }
    }

    /// Reads the log periodically until the process ends.
    pub async fn run(self: Arc<Self>) {
        let mut backoff = INITIAL_BACKOFF;
        loop {
            let wait = match self.poll().await {
                Ok(true) => continue,
                Ok(false) => {
                    backoff = INITIAL_BACKOFF;
                    self.jittered(POLL_INTERVAL)
                }
                Err(_) => {
                    let wait = self.jittered(backoff);
                    backoff = (backoff * 2).min(POLL_INTERVAL);
                    wait
                }
            };
            sleep(wait).await;
        }
    }

    /// Reads the log once. Returns true if there may be more changes to read immediately.
    async fn poll(&self) -> Result<bool, LoadError> {
        let before = self.core.now();
        let result = self.read().await;
        let result_label = if result.is_ok() { "ok" } else { "failed" };
        self.core.metrics.config_polls.with_label_values(&[result_label]).inc();
        let rev = self.core.view().rev();
        let newest = if matches!(result, Ok(true)) { rev.next() } else { rev };
        // The revision was the newest when the read started; a newer one may exist since.
        self.core.members.lock().on_table_read(before, result.is_ok(), newest);
        self.record_table_state(result.is_ok());
        result
    }

    async fn read(&self) -> Result<bool, LoadError> {
        if self.config_store.view().rev() == Rev::default() {
            self.config_store.refresh().await?;
            self.install();
            return Ok(false);
        }
        let changes =
            self.config_store.changes(self.config_store.view().rev(), MAX_POLL_CHANGES).await?;
        self.apply(&changes);
        // Only an empty answer shows that the end of the log is reached.
        Ok(!changes.is_empty())
    }

    /// Reads the log to its end. The configuration in force then is at least as new as the log was
    /// when the call began.
    pub async fn catch_up(&self) -> Result<(), LoadError> {
        while self.poll().await? {}
        Ok(())
    }

    /// Applies changes in order and skips known ones. Ignores changes after a gap; the next read of
    /// the log returns them.
    pub fn apply(&self, changes: &[Change]) {
        let known = self.config_store.view().rev();
        if self.config_store.apply(changes).is_err() {
            return;
        }
        let mut recent = self.recent.lock();
        let newer = changes.iter().filter(|c| c.rev > known);
        // Only consecutive changes are kept: after a gap none is added any more, and peers read
        // them from the log.
        for change in newer {
            if recent.changes.last().is_none_or(|last| change.rev == last.rev.next()) {
                recent.changes.push(change.clone());
            }
        }
        let excess = recent.changes.len().saturating_sub(MAX_RECENT_CHANGES);
        recent.changes.drain(..excess);
        drop(recent);
        self.install();
    }

    /// Makes the newest known view the current configuration.
    pub fn install(&self) {
        let _guard = self.install_lock.lock();
        let view = self.config_store.view();
        let rev = view.rev();
        if rev <= self.core.view().rev() {
            return;
        }
        self.core.install(view);
        self.core.members.lock().set_rev(rev);
        self.core.record(EventKind::ConfApplied { rev });
        self.core.sync_withdrawn();
        tracing::info!(%rev, "configuration applied");
    }

    /// Returns the changes after `rev`, for a peer that lacks them. Empty if some of them are no
    /// longer kept here; the peer then reads the log itself.
    pub fn changes_after(&self, rev: Rev) -> Vec<Change> {
        let recent = self.recent.lock();
        let at = recent.changes.partition_point(|c| c.rev <= rev);
        match recent.changes.get(at) {
            Some(first) if first.rev == rev.next() => recent.changes[at..].to_vec(),
            _ => Vec::new(),
        }
    }

    /// Logs and records when the table service becomes available or unavailable.
    fn record_table_state(&self, up: bool) {
        if self.recent.lock().table_up.replace(up) == Some(up) {
            return;
        }
        if up {
            self.core.record(EventKind::TableUp);
            tracing::info!("table service available");
        } else {
            self.core.record(EventKind::TableDown);
            tracing::warn!("table service unavailable");
        }
    }

    /// Returns a random duration from 50% to 150% of `mean`.
    fn jittered(&self, mean: Duration) -> Duration {
        let permille = u32::try_from(self.core.random.next_u64() % 1000).unwrap_or(0);
        mean / 2 + mean * permille / 1000
    }
}
