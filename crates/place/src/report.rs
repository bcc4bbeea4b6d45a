//! A replica's report of its load.

use std::{sync::Arc, time::Duration};

use ident::Time;

/// The pace of a replica on which work takes the usual time.
const USUAL_PACE: u32 = 100;

/// What a replica reports of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait at the replica.
    pub waiting: u32,
    /// Requests that the replica runs at once; 0 if it does not say.
    pub slots: u32,
    /// How long work takes now, in hundredths of the usual time; `None` if the replica does not say.
    pub pace: Option<u32>,
}

impl ReplicaLoad {
    /// The load of which only the number of requests is known.
    pub fn of_requests(requests: u32) -> Self {
        Self { running: requests, waiting: 0, slots: 0, pace: None }
    }

    /// Requests that run or wait.
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }

    /// How long work takes now, as a multiple of the usual time.
    pub fn slowdown(&self) -> f64 {
        f64::from(self.pace.unwrap_or(USUAL_PACE)) / f64::from(USUAL_PACE)
    }
}

/// A replica's report of its load, as peers share it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadReport {
    /// Identifier of the replica.
    pub replica: Arc<str>,
    /// The load that it reports.
    pub load: ReplicaLoad,
    /// When the report arrived at the instance that got it.
    pub at: Time,
}

impl LoadReport {
    /// How old the report is.
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.at)
    }
}
