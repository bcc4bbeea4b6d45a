//! A request that was accepted, and the record of how it went.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use fleet::{Route, Snapshot, Team};
use hyper::{HeaderMap, Method, Uri};
use ident::Time;
use place::Prompt;
use tokio::sync::OwnedSemaphorePermit;

use crate::{core::Core, dialect::Told};

/// Counts a request as in progress until its answer has ended.
pub struct Active(Arc<Core>);

impl Active {
    /// Begins to count.
    pub fn new(core: &Arc<Core>) -> Self {
        core.active.fetch_add(1, Ordering::Relaxed);
        Self(core.clone())
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request that was accepted and read whole.
pub struct Job {
    /// Its method.
    pub method: Method,
    /// Path and query, as the client sent them.
    pub uri: Uri,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// What the client says of it.
    pub told: Told,
    /// Its route.
    pub route: Route,
    /// The client's team.
    pub team: Option<Team>,
    /// When its head was read.
    pub start: Time,
    /// When its answer must have ended.
    pub deadline: Time,
    /// Memory that its body takes.
    pub _room: OwnedSemaphorePermit,
    /// The process does not end while it is in progress.
    pub _active: Active,
}

impl Job {
    /// Its prompt, where it goes to a model engine.
    pub fn prompt(&self) -> Option<&Prompt> {
        self.told.prompt.as_ref().filter(|_| self.route.sticky)
    }

    /// The time left.
    pub fn left(&self, now: Time) -> Duration {
        self.deadline.since(now)
    }

    /// The team, where its KV cache is shared with no other.
    pub fn wall(&self) -> Option<&str> {
        self.team.as_ref().filter(|t| t.dedicated).map(|t| &*t.name)
    }

    /// The target it goes to: drawn by the shares of its route.
    pub fn target(&self, draw: u64) -> Arc<str> {
        let total: u64 = self.route.shares.iter().map(|s| u64::from(s.weight)).sum();
        let mut left = draw % total.max(1);
        for share in &self.route.shares {
            if left < u64::from(share.weight) {
                return share.target.clone();
            }
            left -= u64::from(share.weight);
        }
        self.route.shares[0].target.clone()
    }

    /// Its rank at an engine: short prompts first, since they delay nobody.
    pub fn rank(&self) -> Option<u8> {
        let tokens = self.prompt()?.input;
        let shorter = RANKS.iter().find(|(below, _)| tokens < *below);
        Some(shorter.map_or(LAST_RANK, |(_, rank)| *rank))
    }

    /// The oldest version of the model's weights that may be used.
    pub fn floor(&self, core: &Core, snapshot: &Snapshot, now: Time) -> u64 {
        let term = core.settings.bounds.version.mul_f64(RETIRE_SHARE);
        let wanted = self.prompt().and_then(|p| snapshot.wanted(&p.model));
        wanted.map_or(0, |w| w.floor(term, now))
    }
}

/// Ranks at an engine by prompt tokens below a bound. The second bound is what engines read in one
/// piece between two tokens of others, the third four such pieces; 5 is the engines' own default.
const RANKS: [(u64, u8); 3] = [(1_024, 2), (4_096, 4), (16_384, 5)];
/// The rank of all longer prompts.
const LAST_RANK: u8 = 6;
/// Share of the time allowed for new weights after which older ones are no longer used. A request
/// begins to run only after it has waited at the replica.
const RETIRE_SHARE: f64 = 0.75;
