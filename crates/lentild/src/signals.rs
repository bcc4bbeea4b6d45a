//! Orders by signal.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// What a signal orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// Start the planned stop.
    Drain,
    /// Read the settings again.
    Reload,
}

/// The signals an instance listens to.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Starts listening.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next order.
    pub async fn next(&mut self) -> Order {
        tokio::select! {
            _ = self.terminate.recv() => Order::Drain,
            _ = self.interrupt.recv() => Order::Drain,
            _ = self.hangup.recv() => Order::Reload,
        }
    }
}
