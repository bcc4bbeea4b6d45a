//! Whether requests may be sent to a replica after failures.

use std::time::Duration;

use ident::Time;

/// Cooldown of a replica after its first failed probe.
const FIRST_COOLDOWN: Duration = Duration::from_secs(1);
/// Longest cooldown of a replica after failed probes.
const MAX_COOLDOWN: Duration = Duration::from_secs(8);

/// Which requests may be sent to a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HealthState {
    /// All requests.
    Healthy,
    /// One request at a time, over a new connection.
    Probe,
    /// No request until this time.
    Excluded(Time),
}

/// The failures of one replica since its last success.
///
/// After one failure the replica is suspect: it is probed over a new connection, because an open
/// one may no longer work. Only after a failed probe is it down; each further failed probe doubles
/// the cooldown.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Health {
    /// Number of failures that count: the first one and each failed probe after it. The replica is
    /// healthy at 0, suspect at 1 and down from 2 on.
    fails: u32,
    /// No probe before this time.
    until: Time,
    /// Whether a probe is in flight. Invariant: false while `fails` is 0.
    probing: bool,
}

impl Health {
    pub(crate) fn state(&self, now: Time) -> HealthState {
        if self.fails == 0 {
            return HealthState::Healthy;
        }
        if self.probing || !self.until.passed(now) {
            return HealthState::Excluded(self.until.max(now.after(FIRST_COOLDOWN)));
        }
        HealthState::Probe
    }

    /// Records the start of a request; returns whether it is a probe.
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
            self.until = now.after((FIRST_COOLDOWN * (1 << doublings)).min(MAX_COOLDOWN));
        } else if self.fails == 0 {
            self.fails = 1;
            self.until = now;
        }
    }

    /// Records the end of a request that was neither a success nor a failure.
    pub(crate) fn release(&mut self, is_probe: bool) {
        if is_probe {
            self.probing = false;
        }
    }
}
