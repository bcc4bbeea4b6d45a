//! Points in time.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

/// Point in time, in milliseconds since the Unix epoch.
///
/// Invariant: within one process, the values of [`Clock::now`] never decrease. The process reads
/// the wall clock once, at start, and adds the time of its monotonic clock. Values of two processes
/// are only compared where an error of some seconds is acceptable.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

impl Time {
    /// The latest point in time, used as a deadline that never passes.
    pub const NEVER: Self = Self(u64::MAX);

    /// Returns the point in time `span` later, at most [`Time::NEVER`].
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(millis(span)))
    }

    /// Returns the point in time `span` earlier, at least the Unix epoch.
    #[must_use]
    pub fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(millis(span)))
    }

    /// Returns the time from `earlier` to `self`; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// Returns whether a deadline at `self` has passed at `now`.
    pub fn passed(self, now: Self) -> bool {
        now >= self
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.0 / 1000, self.0 % 1000)
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Source of the current time: the clock of the process, or a manual clock in tests.
pub trait Clock: Send + Sync {
    /// Returns the current time, which never decreases.
    fn now(&self) -> Time;
}
