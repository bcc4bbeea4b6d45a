//! Policies: the order in which waiting requests start.

use std::{fmt, sync::Arc, time::Duration};

use ident::Time;

/// A request that waits for capacity.
#[derive(Debug, Clone, PartialEq)]
pub struct Waiting {
    /// Effective priority: the team's, else the route's. 0 is the most urgent.
    pub level: u8,
    /// Team of the caller; empty without one.
    pub team: Arc<str>,
    /// When the request arrived.
    pub arrived: Time,
    /// Time until which an answer is on time.
    pub goal: Time,
    /// Time after which an answer has no value.
    pub deadline: Time,
    /// Time from which it starts without capacity, and thus the longest wait; [`Time::NEVER`] if it
    /// waits on.
    pub free_at: Time,
    /// Expected time from its start to its answer.
    pub work: Duration,
    /// Whether a part of the work is done: a stream to be resumed, or a retry.
    pub is_begun: bool,
    /// Size of its body.
    pub bytes: usize,
}

impl Waiting {
    /// Time from which the request counts as late: its answer is, even if it starts then. No more
    /// than a sixth of the goal is counted for its work. With all of it, the largest tenth of a class
    /// is late first, and was served 0.15 times as often as the class at 1.5 times the capacity.
    pub fn late_at(&self) -> Time {
        let part = self.goal.since(self.arrived) / 6;
        self.goal.before(self.work.min(part)).after(Duration::from_millis(1))
    }

    /// Whether the deadline passes before the answer even if the request starts now.
    pub fn is_hopeless(&self, now: Time) -> bool {
        now.after(self.work) > self.deadline
    }
}

/// The order in which the waiting requests of a target start.
///
/// The order is by level, then begun requests before others, then the teams in turn, then by key.
pub trait Policy: fmt::Debug + Send {
    /// Name of the policy in logs and tables.
    fn name(&self) -> &'static str;

    /// Level at which a request is queued, 0 first.
    fn level(&self, request: &Waiting) -> u8;

    /// Whether teams take turns, and begun requests go first.
    fn takes_turns(&self) -> bool;

    /// Key of a request among those of its level and team; the lowest starts first. `is_late` tells
    /// whether it can't be answered within its goal any more.
    fn key(&self, request: &Waiting, is_late: bool) -> u64;

    /// Whether requests that can't be answered before their deadline are rejected before it.
    fn sheds(&self) -> bool;

    /// Requests of more urgent levels that may start before the first request of a level since the
    /// last start of that level.
    fn max_passes(&self) -> u32;
}

/// First come, first served.
#[derive(Debug, Clone, Copy)]
pub struct FirstCome;

impl Policy for FirstCome {
    fn name(&self) -> &'static str {
        "first come"
    }

    fn level(&self, _: &Waiting) -> u8 {
        0
    }

    fn takes_turns(&self) -> bool {
        false
    }

    fn key(&self, request: &Waiting, _: bool) -> u64 {
        request.arrived.0
    }

    fn sheds(&self) -> bool {
        false
    }

    fn max_passes(&self) -> u32 {
        u32::MAX
    }
}

/// Earliest goal first, whatever the priority.
#[derive(Debug, Clone, Copy)]
pub struct EarliestDeadline;

impl Policy for EarliestDeadline {
    fn name(&self) -> &'static str {
        "earliest deadline"
    }

    fn key(&self, request: &Waiting, _: bool) -> u64 {
        request.goal.0
    }

    fn level(&self, request: &Waiting) -> u8 {
        FirstCome.level(request)
    }

    fn takes_turns(&self) -> bool {
        false
    }

    fn sheds(&self) -> bool {
        false
    }

    fn max_passes(&self) -> u32 {
        u32::MAX
    }
}

/// Least slack until the deadline first, whatever the priority. Requests without slack are shed.
#[derive(Debug, Clone, Copy)]
pub struct LeastSlack;

impl Policy for LeastSlack {
    fn name(&self) -> &'static str {
        "least slack"
    }

    fn key(&self, request: &Waiting, _: bool) -> u64 {
        request.deadline.before(request.work).0
    }

    fn level(&self, request: &Waiting) -> u8 {
        FirstCome.level(request)
    }

    fn takes_turns(&self) -> bool {
        false
    }

    fn sheds(&self) -> bool {
        true
    }

    fn max_passes(&self) -> u32 {
        u32::MAX
    }
}

/// Highest value per work first. The configuration names no values: a request of one level counts
/// half of one of the next more urgent level, and a late one a fifth of one that is on time.
#[derive(Debug, Clone, Copy)]
pub struct ValuePerWork;

impl Policy for ValuePerWork {
    fn name(&self) -> &'static str {
        "value per work"
    }

    fn key(&self, request: &Waiting, is_late: bool) -> u64 {
        let value = 0.5_f64.powi(request.level.into()) * if is_late { 0.2 } else { 1.0 };
        (request.work.as_secs_f64().max(1e-3) / value * 1e6) as u64
    }

    fn level(&self, request: &Waiting) -> u8 {
        FirstCome.level(request)
    }

    fn takes_turns(&self) -> bool {
        false
    }

    fn sheds(&self) -> bool {
        true
    }

    fn max_passes(&self) -> u32 {
        u32::MAX
    }
}

/// More urgent levels first, within a bound; teams take turns. Among the requests of a team, those
/// that can still be on time go first, the earliest goal first, and late ones in the order of their
/// deadlines.
#[derive(Debug, Clone, Copy)]
pub struct FairLevels {
    /// See [`Policy::max_passes`].
    pub max_passes: u32,
}

/// Half of the keys; those of late requests are above it.
const LATE_KEYS: u64 = 1 << 63;

impl Policy for FairLevels {
    fn name(&self) -> &'static str {
        "fair levels"
    }

    fn level(&self, request: &Waiting) -> u8 {
        request.level
    }

    fn takes_turns(&self) -> bool {
        true
    }

    fn key(&self, request: &Waiting, is_late: bool) -> u64 {
        if is_late { LATE_KEYS | request.deadline.0 } else { request.goal.0 }
    }

    fn sheds(&self) -> bool {
        true
    }

    fn max_passes(&self) -> u32 {
        self.max_passes
    }
}
