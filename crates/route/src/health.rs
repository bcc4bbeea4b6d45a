//! Whether a replica may be sent work after failures.

use std::time::Duration;

use ident::Time;

/// First pause of a replica judged dead.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause of a replica judged dead.
const MAX_PAUSE: Duration = Duration::from_secs(8);

/// What a replica may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing {
    /// Any work.
    Live,
    /// One request at a time, over a new connection.
    Probe,
    /// Nothing until this time.
    Paused(Time),
}

/// Failures of one replica since its last success.
///
/// One failure makes the replica suspect: it is probed over a new connection, since an open one
/// may have gone silent. Only a failed probe makes it dead; each further one doubles its pause.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Health {
    /// 0: live. 1: suspect. From 2 on: dead, with the number of failed probes plus one.
    fails: u32,
    /// No probe before this time.
    until: Time,
    /// Whether a probe is running. Invariant: never set while `fails` is 0.
    probing: bool,
}

impl Health {
    pub(crate) fn standing(&self, now: Time) -> Standing {
        if self.fails == 0 {
            return Standing::Live;
        }
        if self.probing || !self.until.passed(now) {
            return Standing::Paused(self.until.max(now.after(FIRST_PAUSE)));
        }
        Standing::Probe
    }

    /// Notes the start of a request; true when it is a probe.
    pub(crate) fn start(&mut self) -> bool {
        if self.fails == 0 || self.probing {
            return false;
        }
        self.probing = true;
        true
    }

    pub(crate) fn succeed(&mut self) {
        *self = Self::default();
    }

    pub(crate) fn fail(&mut self, is_probe: bool, now: Time) {
        if is_probe {
            self.probing = false;
            self.fails = self.fails.saturating_add(1);
            let doublings = self.fails.saturating_sub(2).min(5);
            self.until = now.after((FIRST_PAUSE * (1 << doublings)).min(MAX_PAUSE));
        } else if self.fails == 0 {
            self.fails = 1;
            self.until = now;
        }
    }

    /// A probe ended without a verdict.
    pub(crate) fn release(&mut self, is_probe: bool) {
        if is_probe {
            self.probing = false;
        }
    }
}
