//! Signals that control the process.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Action that a signal requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalAction {
    /// Drain the instance and exit (SIGTERM, SIGINT).
    Drain,
    /// Read the settings file again (SIGHUP).
    Reload,
}

/// Receives SIGTERM, SIGINT and SIGHUP.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Registers the signal handlers.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal and returns its action.
    pub async fn next(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.terminate.recv() => SignalAction::Drain,
            _ = self.interrupt.recv() => SignalAction::Drain,
            _ = self.hangup.recv() => SignalAction::Reload,
        }
    }
}
