//! A link of limited rate shared by all transfers.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

/// A shared link: each transfer waits for its turn.
#[derive(Debug)]
pub struct Link {
    /// When the link has sent everything handed to it.
    free: Mutex<Instant>,
}

impl Link {
    /// An idle link.
    pub fn new() -> Self {
        Self { free: Mutex::new(Instant::now()) }
    }

    /// Waits until `bytes` have passed at `rate` bytes per second, after all earlier transfers.
    pub async fn pass(&self, bytes: usize, rate: u64) {
        let span = Duration::from_secs_f64(bytes as f64 / rate.max(1) as f64);
        let end = {
            let mut free = self.free.lock();
            *free = (*free).max(Instant::now()) + span;
            *free
        };
        tokio::time::sleep_until(end).await;
    }
}
