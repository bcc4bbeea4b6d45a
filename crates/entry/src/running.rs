//! Counts the work in progress, so that a drain can wait until it has ended.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use tokio::sync::Notify;

/// Counter of the work in progress on this instance.
#[derive(Debug, Default, Clone)]
pub struct Running(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    count: AtomicUsize,
    idle: Notify,
}

/// Guard of one unit of work in progress; the work ends when it is dropped.
#[derive(Debug)]
pub struct WorkGuard(Arc<Inner>);

impl Running {
    /// Registers a unit of work.
    pub fn begin(&self) -> WorkGuard {
        self.0.count.fetch_add(1, Ordering::AcqRel);
        WorkGuard(self.0.clone())
    }

    /// Returns the number of units of work in progress.
    pub fn count(&self) -> usize {
        self.0.count.load(Ordering::Acquire)
    }

    /// Waits until no work is in progress.
    pub async fn wait_idle(&self) {
        loop {
            let idle = self.0.idle.notified();
            if self.count() == 0 {
                return;
            }
            idle.await;
        }
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        if self.0.count.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.0.idle.notify_waiters();
        }
    }
}
