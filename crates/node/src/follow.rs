//! Keeps the configuration of this instance up to date. Changes come from the change log in the
//! table service and from peers that have read further in it.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

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
/// Backoff after the first failed read. It doubles with each failure up to [`POLL_INTERVAL`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// Applies configuration changes from the log and from peers in order of revision.
pub struct Follower {
    core: Arc<Core>,
    config_store: Arc<Store>,
    /// Whether the last read of the table succeeded; `None` before the first read.
    table_up: Mutex<Option<bool>>,
    /// Whether the log has been read at least once.
    has_read: AtomicBool,
    /// Serialises calls of [`Self::install`].
    install_lock: Mutex<()>,
}

impl Follower {
    /// Creates a follower. The instance has no configuration until the first read.
    pub fn new(core: Arc<Core>, config_store: Arc<Store>) -> Self {
        Self {
            core,
            config_store,
            table_up: Mutex::default(),
            has_read: AtomicBool::default(),
            install_lock: Mutex::default(),
        }
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
        let result = self.config_store.follow(MAX_POLL_CHANGES).await;
        self.install();
        if result.is_ok() {
            self.has_read.store(true, Ordering::Relaxed);
        }
        let result_label = if result.is_ok() { "ok" } else { "failed" };
        self.core.metrics.config_polls.with_label_values(&[result_label]).inc();
        let rev = self.core.view().rev();
        // The revision was the newest when the read started; a newer one may exist since.
        let (answered, newest) = match &result {
            Ok(true) => (true, rev.next()),
            // The log has lost what is in force here, so it has nothing newer.
            Ok(false) | Err(LoadError::Lost { .. }) => (true, rev),
            Err(LoadError::Diverged(_) | LoadError::Apply(_)) => (true, rev.next()),
            Err(LoadError::Table(_) | LoadError::Blob(_)) => (false, rev),
        };
        if let Err(error) = result.as_ref()
            && answered
        {
            tracing::error!(%rev, %error, "configuration log does not match the configuration");
        }
        self.core.members.lock().on_table_read(before, answered, newest);
        self.record_table_state(answered);
        result
    }

    /// Reads the log to its end. The configuration in force then is at least as new as the log was
    /// when the call began.
    pub async fn catch_up(&self) -> Result<(), LoadError> {
        while self.poll().await? {}
        Ok(())
    }

    /// Applies changes of a peer in order and skips known ones. Ignores changes after a gap, which
    /// the next read of the log returns, and all changes before the first read of the log: an
    /// instance that starts in an outage of the table service takes no work.
    pub fn apply(&self, changes: &[Change]) {
        if self.has_read.load(Ordering::Relaxed) && self.config_store.apply(changes).is_ok() {
            self.install();
        }
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
        self.config_store.recent(rev)
    }

    /// Logs and records when the table service becomes available or unavailable.
    fn record_table_state(&self, up: bool) {
        if self.table_up.lock().replace(up) == Some(up) {
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
