//! Counts work in progress, so that a drain can wait for its end.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use tokio::sync::Notify;

/// Work in progress on this instance.
#[derive(Debug, Default, Clone)]
pub struct Running(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    count: AtomicUsize,
    idle: Notify,
}

/// One piece of work in progress; ends when dropped.
#[derive(Debug)]
pub struct Work(Arc<Inner>);

impl Running {
    /// Begins a piece of work.
    pub fn begin(&self) -> Work {
        self.0.count.fetch_add(1, Ordering::AcqRel);
        Work(self.0.clone())
    }

    /// Pieces of work in progress.
    pub fn count(&self) -> usize {
        self.0.count.load(Ordering::Acquire)
    }

    /// Waits until nothing is in progress.
    pub async fn idle(&self) {
        loop {
            let idle = self.0.idle.notified();
            if self.count() == 0 {
                return;
            }
            idle.await;
        }
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        if self.0.count.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.0.idle.notify_waiters();
        }
    }
}
