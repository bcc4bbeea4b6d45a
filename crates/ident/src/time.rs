//! Points in time.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

/// A point in time in milliseconds since the Unix epoch.
///
/// Invariant: within one process the values handed to decision code never decrease. The process
/// anchors its monotonic clock to the wall clock once, at start. Values of two processes are only
/// compared where a skew of seconds does no harm.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

impl Time {
    /// The latest point in time: a deadline that never passes.
    pub const NEVER: Self = Self(u64::MAX);

    /// The point `span` later, at most [`Time::NEVER`].
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(millis(span)))
    }

    /// The point `span` earlier, at least the epoch.
    #[must_use]
    pub fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(millis(span)))
    }

    /// The time from `earlier` to `self`; zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// Whether a deadline at `self` has passed at `now`.
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

/// Where the current time comes from: the process clock, or a stepped one in tests.
pub trait Clock: Send + Sync {
    /// The current time; never decreases.
    fn now(&self) -> Time;
}
