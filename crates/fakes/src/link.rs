//! A network link of limited rate that all transfers share.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

/// A shared link; its transfers take place one after the other.
#[derive(Debug)]
pub struct Link {
    /// Time at which all transfers so far are finished.
    idle_at: Mutex<Instant>,
}

impl Link {
    /// Creates an idle link.
    pub fn new() -> Self {
        Self { idle_at: Mutex::new(Instant::now()) }
    }

    /// Waits until all earlier transfers are finished and `bytes` have been transferred at `rate`
    /// bytes per second.
    pub async fn transfer(&self, bytes: usize, rate: u64) {
        let duration = Duration::from_secs_f64(bytes as f64 / rate.max(1) as f64);
        let done_at = {
            let mut idle_at = self.idle_at.lock();
            *idle_at = (*idle_at).max(Instant::now()) + duration;
            *idle_at
        };
        tokio::time::sleep_until(done_at).await;
    }
}
